#pragma once

#include "net/eventloop.h"
#include "node/asyncstore.h"
#include "node/ownercandidates.h"
#include "node/shardcount.h"
#include "savorywick/clock.h"
#include "savorywick/shardlease.h"
#include "savorywick/steps/storerejection.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// The settings of Ownership.
struct OwnershipSettings
{
    // If its number of shards is 0, the entries agree on one through the store.
    ShardLeaseSettings lease{.shardCount = 1,
                             .term = Millis{2'500},
                             .clockDriftMargin = Millis{300},
                             .renewalInterval = Millis{700}};
    OwnerCandidateSettings candidates;
    steps::StoreRejectionSettings rejection;
    Millis observeInterval{700}; // Between a candidate's reads of all ownership rows.
    Millis idleObserveInterval{2'500}; // Between those of the other entries.
    // An observation that takes longer tells of a slow store, in which renewals don't land in time.
    Millis slowObservation{350};
    Millis minObserveInterval{150}; // Between reads that failed requests cause.
    Millis tickInterval{100}; // Between checks for work that is due.
    // A claim is delayed by this many store round trips, so that the entry nearest to the store
    // claims first.
    int claimDelayRoundTrips = 10;
    Millis maxClaimDelay{600}; // The upper limit of the claim delay.
    EntryCapacity capacity; // What this entry's host offers to the owner of a shard.
};

// The location of a shard's owner.
struct ShardOwnerLocation
{
    std::string peerAddress; // The address at which other entries reach the owner.
    bool isSelf = false; // Whether the owner is this entry.
};

// Maintains this entry's lease and its share of the shards on an event loop.
//
// It runs a ShardLeaseManager against the store: renews the lease, observes the other entries,
// claims free shards and requests the release of excess ones and of those that a stronger entry
// should own. If the lease is lost, it begins a new session under a new name. An entry that is no
// candidate for owning shards (see OwnerCandidates) only observes. Use one for each entry. Not
// thread-safe.
//
// Unless the settings name it, the number of shards is that in the store's row `layout/shards`.
// While there is none, the first shard can be owned, and its owner proposes a number.
//
// Example:
//   Ownership ownership(settings, loop, clock, table, "entry-a", "10.0.0.1:7720", listeners);
//   ownership.start();
//   if (const auto owner = ownership.ownerOf(3)) forward(owner->peerAddress);
class Ownership
{
public:
    // Callbacks, each called on the event loop.
    struct Listeners
    {
        std::function<void(const OwnedShard &)> shardAcquired; // This entry now owns the shard.
        std::function<void(int shard)> releaseRequested; // Release it, then call shardEnded().
        std::function<void()> sessionLost; // Drop all shards immediately.
        // This entry has expired another one, or has ended its own session before its shards were
        // released. The shards are free now: tell the other entries.
        std::function<void()> entryExpired;
        std::function<void()> shardCountAgreed = [] {}; // shardCount() is set from now on.
    };

    // `entry` is the entry's name and `peer` the address for other entries. All references must
    // outlive this object.
    Ownership(const OwnershipSettings &settings, EventLoop &loop, const Clock &clock,
              AsyncTable &table, std::string entry, std::string peer, Listeners listeners);
    ~Ownership();

    // Starts the periodic work. Call it once.
    void start();
    // Returns true if and only if this entry may act as the owner of its shards now.
    bool hasValidLease() const { return m_leaseManager->holdsLease(m_clock.now()); }
    // Returns until when it may unless the lease is renewed before, or the clock's start if it may
    // not.
    Instant leaseValidUntil() const { return m_leaseManager->leaseValidUntil(); }
    // Returns the shard's owner as last observed, or std::nullopt if it has none.
    std::optional<ShardOwnerLocation> ownerOf(int shard) const;
    // Returns the number of shards in the deployment, or 0 while it is not known.
    int shardCount() const { return m_shardCount; }
    // Proposes the number of shards, which is not known yet. Call it in the owner of shard 0.
    void proposeShardCount(int shards);
    // Returns the addresses of the other live entries.
    std::vector<std::string> otherPeerAddresses() const;
    // Returns when the ownership of all shards was last read from the store, or std::nullopt if it
    // has not been read yet.
    std::optional<Instant> lastObservedAt() const { return m_lastObservedAt; }

    // Reads the ownership rows from the store now instead of at the next interval.
    void observeNow();
    // Records that the store rejected a commit of an owned shard without effect, or answered it. If
    // rejections last while the store serves other entries, this entry leaves its shards to them.
    void commitEnded(int shard, bool rejected);
    // Returns how often this entry has done so.
    std::uint64_t rejectionHandovers() const { return m_rejectionHandovers; }
    // Records that this entry has lost or released the shard.
    void shardEnded(int shard);
    // Stops claiming shards, says so in the store and requests the release of all owned ones.
    void drain();
    // Ends the session in the store, then calls `done` whatever the outcome. Call it when no shard
    // is owned any more.
    void endSession(std::function<void()> done);

private:
    void beginSession();
    void setShardCount(int shards);
    void updateCandidacy();
    void join(std::string_view why);
    void leave();
    Millis observeInterval() const;
    void tick();
    void renewLease();
    void readOwnRow();
    void observe();
    void endFailedObservation();
    void applyReadableRows(const std::vector<Row> &shards, const std::vector<Row> &entries);
    void applyRows(const std::vector<Row> &shards, const std::vector<Row> &entries);
    void expireDeadEntries();
    void scheduleClaim();
    void claimFreeShards();
    void claimAfterDeferral();
    void logDeferral(const ClaimDeferral &deferral);
    Millis claimDelay() const;
    void finishClaim(const ShardClaim &claim, const CommitResult &result);
    void releaseExcessShards();
    void noteOtherRenewals();
    void handOverIfRejected();
    void recordRoundTrip(Millis taken);

    OwnershipSettings m_settings;
    EventLoop &m_loop;
    const Clock &m_clock;
    AsyncTable &m_table;
    const std::string m_entryName;
    const std::string m_peerAddress;
    const Listeners m_listeners;

    int m_shardCount = 0;
    bool m_proposing = false;
    OwnerCandidates m_candidates;
    steps::StoreRejection m_rejection;
    std::uint64_t m_rejectionHandovers = 0;
    bool m_isCandidate = false; // The session has a row in the store, or is to get one.
    std::unique_ptr<ShardLeaseManager> m_leaseManager;
    std::map<int, ShardRow> m_shardRows;
    std::vector<std::string> m_otherPeerAddresses;
    std::optional<Instant> m_lastObservedAt;
    Instant m_nextObservationAt;
    Instant m_lastObservationSentAt;
    bool m_storeWasBad = false; // The last observation failed or was slow.
    bool m_observing = false;
    bool m_observeAgain = false;
    bool m_readingOwnRow = false;
    bool m_claimPending = false;
    bool m_deferredClaimPending = false;
    std::map<int, Instant> m_loggedDeferrals; // By shard: since when it was free.
    bool m_draining = false;
    // Round-trip time to the store; unset until the first renewal is confirmed.
    std::optional<Millis> m_smoothedRoundTrip;
    // Replaced with each session, so that callbacks of an earlier session have no effect.
    std::shared_ptr<int> m_sessionToken = std::make_shared<int>(0);
};

} // namespace savorywick
