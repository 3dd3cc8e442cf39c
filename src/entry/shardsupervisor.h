#pragma once

#include "core/metrics.h"
#include "entry/shardmessages.h"
#include "savorywick/clock.h"
#include "savorywick/platform.h"
#include "worker/workerclient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace savorywick {

class Topology;

struct ShardSupervisorSettings
{
    ShardEngineSettings engine;
    int concurrentWorkerCalls = 16; // Worker calls that run at the same time.
    Millis tickInterval{100};
};

// Starts and stops the shards that this entry owns and routes messages to them.
//
// Each shard has an actor. Further actors perform the blocking calls to the store and to workers.
// Shards act only while hasValidLease() is true, so whoever renews the entry's lease must call
// setLeaseValidUntil() after each renewal. Thread-safe.
//
// Example:
//   supervisor.setLeaseValidUntil(leases.leaseValidUntil());
//   supervisor.startShard(owned);
//   if (!supervisor.send(shard, QueryJob{id, channel}))
//       forwardToOwner(shard);
class ShardSupervisor
{
public:
    // Called on an actor's thread after a shard was lost or released.
    using StoppedListener = std::function<void(int shard)>;

    // Creates a supervisor without shards. All references must outlive it.
    ShardSupervisor(const ShardSupervisorSettings &settings, const Clock &clock, Table &table,
                    ObjectStore &objects, WorkerClient &workers, const Topology &topology,
                    StoppedListener listener);
    // Stops all shards and waits until their actors have ended.
    ~ShardSupervisor();

    // Starts a shard of which this entry has just become the owner.
    void startShard(const OwnedShard &owned);
    // Queues `message` for the shard's actor. Returns false if this entry does not run the shard.
    bool send(int shard, ShardMessage message);
    // Stops every shard without releasing it. Use it when the entry's session has ended.
    void stopAll();
    // Returns the shards that run here, restored or not, in ascending order.
    std::vector<int> shards() const;
    // Returns how many shards have been restored and accept requests.
    std::size_t readyCount() const;

    // Sets the instant until which this entry may act as an owner of shards.
    void setLeaseValidUntil(Instant until) { m_leaseValidUntilMs = until.count(); }
    // Returns true if and only if this entry may act as an owner now.
    bool hasValidLease() const { return m_clock.now().count() < m_leaseValidUntilMs; }

private:
    struct Impl;
    const Clock &m_clock;
    std::atomic<std::int64_t> m_leaseValidUntilMs{0};
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
