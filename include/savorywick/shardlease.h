#pragma once

#include "savorywick/clock.h"
#include "savorywick/ownerpreference.h"
#include "savorywick/platform.h"
#include "savorywick/shardrow.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace savorywick {

// The terms of an entry's lease. They must be the same in every entry.
struct ShardLeaseSettings
{
    int shardCount = 16; // Number of shards in all.
    Millis term{9'000}; // How long a renewal keeps the lease valid.
    Millis clockDriftMargin{1'000}; // Covers the relative drift of two clocks over one term.
    Millis renewalInterval{2'000}; // Interval from one renewal to the next.
    OwnerPreferenceSettings preference;
};

// The session of an entry as another entry, or the entry itself, observes it.
struct ObservedEntry
{
    std::uint64_t version = 0;
    Instant unchangedSince; // When this version was first seen, or a gap in the observations ended.
    Instant lastChangeSeenAt; // When this version was first seen.
    Instant steadySince; // Since when each change came soon after the one before.
    EntryRow row;
};

// A claim on a shard without a live owner: the transaction that makes this process the owner.
struct ShardClaim
{
    OwnedShard owned; // The shard as owned once the transaction has committed; version is unset.
    Transaction transaction;
};

// Decides which shards one run of an entry process owns, by leases in the platform's table.
//
// Use one object for each run of a process, that is for each session. Once fenced() the session is
// over: drop every shard and start a new session with a new object.
//
// The process has one lease for all its shards: the row `entry/SESSION`, which it renews on
// condition of the row's version. A row that has not changed for the term and the margin, by the
// clock of the process that observes it, has expired: the observer deletes it on condition that it
// is unchanged. A session without a row can't renew any more, so its shards may be claimed at
// once. The owner itself stops acting earlier, by its own clock: see holdsLease().
//
// The class does no I/O: the caller reads the rows and commits the transactions. Not thread-safe.
//
// Example:
//   ShardLeaseManager manager("entry-a.7f31", "10.0.0.1:8090", {});
//   if (const auto t = manager.nextRenewal(clock.now()))
//       manager.handleRenewalResult(table.commit(*t), clock.now());
//   const auto shards = table.scan("shard/", "", 1'000);
//   manager.observe(table.scan("entry/", "", 1'000), shards, clock.now());
//   for (const ShardClaim &claim : manager.claimFreeShards(clock.now()))
//       manager.handleClaimResult(claim, table.commit(claim.transaction));
class ShardLeaseManager
{
public:
    // Starts a session without a lease. `session` is the entry's name, a dot and a random part, so
    // that no session was ever called the same. `peer` is the address for other entries.
    ShardLeaseManager(std::string session, std::string peer, ShardLeaseSettings settings);

    // Returns the session's id.
    const std::string &session() const { return m_session; }

    // Raises the number of shards in all. All entries must be told the same number.
    void setShardCount(int shards) { m_settings.shardCount = shards; }

    // Sets the further fields that later renewals write to the session's row, as the text of one
    // JSON object; the renewal's number is added as `beat`. If parseEntryRow() finds a capacity in
    // it, that is this entry's: it leaves shards to entries that offer clearly more.
    // Throws Error(InvalidInput) if the text is no JSON object.
    void setEntryFields(std::string_view json);

    // Returns the renewal to commit now, or nothing if none is due or one is in flight. Report its
    // result by handleRenewalResult(). A renewal whose outcome is unknown is returned again
    // unchanged.
    std::optional<Transaction> nextRenewal(Instant now);
    // Takes in the result of the renewal in flight.
    void handleRenewalResult(const CommitResult &result, Instant now);
    // Returns true if and only if the session's row must be read and given to handleReadBack().
    bool needsReadBack() const { return m_needsReadBack; }
    // Decides by the session's row, read after a conflict, whether the renewal had taken effect or
    // the session was expired.
    void handleReadBack(const Row &ownRow, Instant now);

    // Returns true if and only if the process may act as owner of its shards: its last confirmed
    // renewal was first sent less than the term minus the margin ago. Always false once fenced.
    bool holdsLease(Instant now) const;
    // Returns the time at which the lease ends unless a further renewal is confirmed before, or
    // the clock's start if there is no lease.
    Instant leaseValidUntil() const;
    // Returns true if and only if a renewal has found that another process expired the session.
    bool fenced() const { return m_fenced; }

    // Takes in all rows `entry/` and `shard/`, read by `now`. Read the shards first: then a session
    // that owns a shard but has no row among `entries` is over for good. If more than two renewal
    // intervals lie between two calls (the store was down, or this process was paused), the terms
    // of all entries start afresh, so that an outage is not held against their processes. So they
    // do, and all entries count as live, if the rows say little of them: pass true as
    // `inconclusive` if the store was away or slow, since renewals can't land in time then.
    void observe(std::span<const Row> entries, std::span<const Row> shards, Instant now,
                 bool inconclusive = false);

    // Returns the live entries other than this one that are not draining, as far as the last two
    // observations show.
    std::vector<EntryRow> livePeers(Instant now) const;
    // Returns true if and only if an earlier session of this entry's name has a row.
    bool hasEarlierSession() const;

    // Returns the transactions that delete the rows of expired entries and of earlier sessions of
    // this entry, which are those with the same name before the dot.
    std::vector<Transaction> expiryTransactions(Instant now) const;
    // Returns claims on shards without a live owner, until this entry has maxShards(). Each claim
    // touches the row of its shard only. Returns none without a valid lease. A shard is not claimed
    // again before the result of its claim is reported by handleClaimResult(). A shard that is
    // left to a stronger entry is not claimed either: see claimDeferrals().
    std::vector<ShardClaim> claimFreeShards(Instant now);
    // Returns the shards that would be claimed now but are left to stronger entries for a time.
    // Call claimFreeShards() again at the end of each deferral.
    std::vector<ClaimDeferral> claimDeferrals(Instant now) const;
    // Takes in the result of a claim and returns the shard if the claim has committed. After an
    // Unknown outcome commit the same claim again, or leave it: a shard whose row names this
    // session is claimed again. If a repeated commit ends in a conflict, read the shard's row and
    // call handleClaimReadBack().
    std::optional<OwnedShard> handleClaimResult(const ShardClaim &claim,
                                                const CommitResult &result);
    // Returns the shard if its row shows that the claim had committed, else nothing.
    std::optional<OwnedShard> handleClaimReadBack(const ShardClaim &claim, const Row &shardRow);

    // Returns the owned shards to release: all beyond maxShards(), or else one if this entry has
    // more and another live entry has fewer than minShards(), or else one that a stronger entry
    // should own. Release each through its journal, then call forgetShard(). Returns none without a
    // valid lease.
    std::vector<int> shardsToRelease(Instant now);
    // Returns the handover for which shardsToRelease() returned the shard, or nothing if it was
    // for another reason.
    std::optional<ShardHandover> handoverOf(int shard) const;
    // Forgets a shard that was released or lost.
    void forgetShard(int shard);
    // Stops claiming shards, for shutdown. The owned shards must be released through their
    // journals. A renewal that says so in the session's row is due at once, so that no other entry
    // leaves a shard to this one.
    void stopClaiming();
    // Returns the transaction that ends the session. Commit it once no shard is owned any more.
    Transaction endSessionTransaction() const;

    // Returns the entries as last observed, by session, this one included.
    const std::map<std::string, ObservedEntry> &entries() const { return m_entries; }
    // Returns the numbers of the owned shards, in ascending order.
    std::vector<int> ownedShards() const;
    // Returns an equal share of the shards among the live entries, rounded up: the most that this
    // entry may own.
    std::size_t maxShards() const;
    // Returns an equal share of the shards among the live entries, rounded down: the fewest that
    // each entry owns once the shards are spread evenly.
    std::size_t minShards() const;

private:
    void observeEntries(std::span<const Row> entries, bool restart, bool inconclusive, Instant now);
    std::map<std::string, std::size_t> shardCounts() const;
    std::vector<StrongerEntry> strongerEntries(Instant now) const;
    OwnedShard observedShard(int shard) const;
    bool isOwnerless(const OwnedShard &seen) const;
    bool anotherEntryHasTooFew() const;
    std::size_t liveEntries() const;
    bool isEarlierSession(const std::string &session) const;
    bool isClaimable(const OwnedShard &seen) const;
    bool mayClaim(int shard, std::span<const StrongerEntry> stronger, Instant now) const;
    ShardClaim makeClaim(const OwnedShard &seen);
    void confirmRenewal(std::uint64_t version);

    std::string m_session;
    std::string m_peer;
    ShardLeaseSettings m_settings;
    std::string m_fields;
    EntryCapacity m_capacity;
    OwnerPreference m_preference;

    std::uint64_t m_heartbeat = 0; // The number of the last renewal.
    std::uint64_t m_rowVersion = 0; // Of the session's row, as last confirmed.
    std::optional<Transaction> m_pendingRenewal; // Sent at least once, outcome not known yet.
    Instant m_renewalFirstSentAt;
    bool m_renewalMayHaveCommitted = false;
    bool m_inFlight = false;
    bool m_needsReadBack = false;
    bool m_fenced = false;
    bool m_claiming = true;
    bool m_renewAtOnce = false;
    std::optional<Instant> m_confirmedRenewalSentAt; // When it was first sent.

    std::optional<Instant> m_lastObservedAt;
    std::map<std::string, ObservedEntry> m_entries; // By session, this one included.
    std::map<int, OwnedShard> m_shardRows; // As observed.
    std::map<int, std::uint64_t> m_owned; // From shard to epoch.
    std::set<int> m_pendingClaims; // Shards claimed without a result yet.
    std::uint64_t m_claimCount = 0;
};

} // namespace savorywick
