#pragma once

#include "net/eventloop.h"
#include "node/asyncstore.h"
#include "savorywick/clock.h"
#include "savorywick/shardlease.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorywick {

struct OwnershipSettings
{
    ShardLeaseSettings lease{.shardCount = 1,
                             .term = Millis{2'500},
                             .clockDriftMargin = Millis{300},
                             .renewalInterval = Millis{700}};
    Millis observeEvery{700};
    Millis stepEvery{100};
    // A claim waits for this many round trips to the store, so that an entry near it comes first.
    int claimDelayRoundTrips = 10;
    Millis longestClaimDelay{600};
};

// Where the owner of a shard is reached.
struct ShardOwner
{
    std::string peer; // Address for other entries.
    bool self = false;
};

// Keeps this entry's session and its shards on an event loop: renews, watches, takes and releases.
//
// Not thread-safe.
//
// Example:
//   Ownership ownership(settings, loop, clock, table, "entry-a", "10.0.0.1:7720", listeners);
//   ownership.start();
//   if (const auto owner = ownership.ownerOf(3)) forward(owner->peer);
class Ownership
{
public:
    struct Listeners
    {
        std::function<void(const OwnedShard &)> taken;
        std::function<void(int shard)> mustRelease; // Then call shardOver().
        std::function<void()> sessionOver; // Every shard must be dropped at once.
    };

    // All references must outlive this object.
    Ownership(const OwnershipSettings &settings, EventLoop &loop, const Clock &clock,
              AsyncTable &table, std::string entry, std::string peer, Listeners listeners);
    ~Ownership();

    void start();
    // Returns true if and only if this entry may act as owner of its shards now.
    bool mayAct() const { return m_keeper->holdsLease(m_clock.now()); }
    // Returns the shard's owner as last observed, or nothing if it has none.
    std::optional<ShardOwner> ownerOf(int shard) const;
    int shards() const { return m_settings.lease.shardCount; }
    // Returns the addresses of the other live entries.
    std::vector<std::string> otherPeers() const;
    // Returns when the store last told who owns what.
    std::optional<Instant> observedAt() const { return m_observedAt; }

    // Looks at the store's rows now rather than at the next turn.
    void observeSoon();
    // Notes that a shard was lost or released.
    void shardOver(int shard);
    // Takes no more shards and asks for the release of all.
    void drain();
    // Ends the session. Call it once no shard is owned any more.
    void farewell(std::function<void()> done);

private:
    void newSession();
    void step();
    void renew();
    void readOwnRow();
    void observe();
    void takeRows(const std::vector<Row> &shards, const std::vector<Row> &entries);
    void expireOthers();
    void claimAfterDelay();
    void claim();
    void claimEnded(const ShardClaim &claim, const CommitResult &result);
    void releaseExcess();
    void noteRoundTrip(Millis taken);

    const OwnershipSettings m_settings;
    EventLoop &m_loop;
    const Clock &m_clock;
    AsyncTable &m_table;
    const std::string m_entry;
    const std::string m_peer;
    const Listeners m_listeners;

    std::unique_ptr<ShardLeaseManager> m_keeper;
    std::map<int, ShardRow> m_owners;
    std::vector<std::string> m_otherPeers;
    std::optional<Instant> m_observedAt;
    Instant m_nextObservation;
    bool m_observing = false;
    bool m_observeAgain = false;
    bool m_readingOwnRow = false;
    bool m_claimPending = false;
    bool m_draining = false;
    Millis m_roundTrip{0}; // To the store; smoothed.
    // Callbacks of a session that is over do nothing.
    std::shared_ptr<int> m_life = std::make_shared<int>(0);
};

} // namespace savorywick
