#pragma once

#include "savorywick/clock.h"
#include "savorywick/platform.h"
#include "savorywick/shardrow.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace savorywick {

struct LeaseSettings
{
    int shards = 16; // How many shards there are in all; the same in every process.
    Millis term{9'000}; // How long a renewal lasts.
    Millis margin{1'000}; // Covers the difference of two clocks' rates over one term.
    Millis renewEvery{2'000}; // From one renewal to the next.
};

// A free shard that may be taken, and the transaction that takes it.
struct ShardClaim
{
    OwnedShard taken; // What is owned once the transaction has committed; version is unset.
    Transaction transaction;
};

// Decides for one run of one process which shards it owns, through rows of the table.
//
// The process keeps one row, `entry/SESSION`, whatever the number of its shards. Every renewal is
// conditioned on the row's version. A process whose row stands still for a term and the margin, as
// measured by the clock of whoever watches it, is expired: the row is deleted on condition that it
// is unchanged. A session whose row is gone can never renew again, so its shards are free at once.
// An owner stops by itself earlier than that: see mayAct().
//
// Use one keeper a session. When fenced() it is over: drop every shard and start a new session.
// Not thread-safe. Commits that ended Unknown or Unavailable are sent again unchanged.
//
// Example:
//   LeaseKeeper keeper("entry-a.7f31", "10.0.0.1:8090", {});
//   if (const auto t = keeper.nextRenewal(clock.now()))
//       keeper.renewed(table.commit(*t), clock.now());
//   keeper.observe(table.scan("entry/", "", 1'000), table.scan("shard/", "", 1'000), clock.now());
//   for (const ShardClaim &claim : keeper.claims(clock.now()))
//       keeper.claimed(claim, table.commit(claim.transaction));
class LeaseKeeper
{
public:
    // `session` must never have been used before: add a random part to the entry's name.
    LeaseKeeper(std::string session, std::string peer, LeaseSettings settings);

    const std::string &session() const { return m_session; }

    // Sets further fields of the own row, as the text of one JSON object; `beat` is added to it.
    // Throws Error(InvalidInput) if the text is no JSON object.
    void setFields(std::string_view json);

    // Returns the renewal to commit now, if one is due. After an unknown outcome it is the same
    // transaction again. At most one is in flight: report its end by renewed().
    std::optional<Transaction> nextRenewal(Instant now);
    void renewed(const CommitResult &result, Instant now);
    // Returns true if and only if the own row must be read and given to readBack().
    bool needsReadBack() const { return m_needsReadBack; }
    void readBack(const Row &ownRow, Instant now);

    // Returns true if and only if the process may act as owner: its latest confirmed renewal was
    // sent less than the term without the margin ago. False for ever once fenced.
    bool mayAct(Instant now) const;
    // Returns the first instant at which mayAct() is false unless a renewal is confirmed before.
    Instant actsUntil() const;
    // Returns true if and only if the session was expired by another process.
    bool fenced() const { return m_fenced; }

    // Takes in all rows `entry/` and `shard/` as read by `now`. Read the shards first: an owner
    // whose row is missing from a later reading of the entries is over for ever. After a gap in the
    // observations (the store was down, or this process slept) the watch over other entries starts
    // anew.
    void observe(std::span<const Row> entries, std::span<const Row> shards, Instant now);

    // Returns transactions that expire entries whose rows have stood still for too long, and
    // earlier sessions of this entry, "NAME.RANDOM" with the same name.
    std::vector<Transaction> expiries(Instant now) const;
    // Returns claims for free shards, up to an equal share for each live entry, rounded up. Each
    // touches rows of its shard only. Empty unless mayAct(). Each
    // must be reported by claimed() before the shard is claimed again.
    std::vector<ShardClaim> claims(Instant now);
    // Reports a claim's end. Returns the owned shard if it is known to be ours. After Unknown send
    // the same claim again, or leave it: a row that names this session is claimed anew. On a
    // Conflict of a claim that was sent twice read the shard's row and call claimReadBack().
    std::optional<OwnedShard> claimed(const ShardClaim &claim, const CommitResult &result);
    std::optional<OwnedShard> claimReadBack(const ShardClaim &claim, const Row &shardRow);

    // Returns owned shards to give up: those beyond mostShards(), or one if another live entry has
    // fewer than fewestShards(). Release them through their journals, then call dropped().
    std::vector<int> shardsToRelease(Instant now) const;
    // Forgets a shard that was released or lost.
    void dropped(int shard) { m_owned.erase(shard); }
    // Stops claiming, for shutdown. Releases of all shards must be asked of their journals.
    void stopClaiming() { m_claiming = false; }
    // Returns the transaction that ends the session once no shard is owned any more.
    Transaction farewell() const;

    // Returns the owned shards.
    std::vector<int> owned() const;
    // Returns how many shards this entry may take, given the entries that are alive.
    std::size_t mostShards() const;
    // Returns how many shards every entry has once they are spread evenly.
    std::size_t fewestShards() const;

private:
    struct Watched
    {
        std::uint64_t version = 0;
        Instant since; // When this version was first seen.
    };

    bool someoneIsShort() const;
    std::size_t liveEntries() const;
    bool isPredecessor(const std::string &session) const;
    bool isFree(const OwnedShard &seen) const;
    ShardClaim claimFor(const OwnedShard &seen);
    void confirmRenewal(std::uint64_t version);

    std::string m_session;
    std::string m_peer;
    LeaseSettings m_settings;
    std::string m_fields;

    std::uint64_t m_beat = 0;
    std::uint64_t m_rowVersion = 0;
    std::optional<Transaction> m_renewal; // Sent at least once and not settled.
    Instant m_renewalFirstSent;
    bool m_renewalMayHaveLanded = false;
    bool m_inFlight = false;
    bool m_needsReadBack = false;
    bool m_fenced = false;
    bool m_claiming = true;
    std::optional<Instant> m_provedAt; // When the latest confirmed renewal was first sent.

    std::optional<Instant> m_lastObserved;
    std::map<std::string, Watched> m_entries; // Other sessions' rows and our own.
    std::map<int, OwnedShard> m_shardRows; // As observed.
    std::map<int, std::uint64_t> m_owned; // Shard to epoch.
    std::set<int> m_openClaims; // Handed out and not reported yet.
    std::uint64_t m_claims = 0;
};

} // namespace savorywick
