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

struct ShardHostSettings
{
    ShardEngineSettings engine;
    int workerCallers = 16; // Calls to different workers made at once.
    Millis tickEvery{100};
};

// Runs the shards that this entry owns: an actor for each, and actors that make the blocking calls
// to the store and to the workers.
//
// Thread-safe. A shard acts only while actsUntil() lies in the future; whoever renews the entry's
// lease moves it.
class ShardHost
{
public:
    // Told from an actor's thread that a shard was lost or released.
    using OverListener = std::function<void(int shard)>;

    // All references must outlive this object.
    ShardHost(const ShardHostSettings &settings, const Clock &clock, Table &table,
              ObjectStore &objects, WorkerClient &workers, const Topology &topology,
              OverListener listener);
    ~ShardHost();

    // Starts the shard, which this entry has just come to own.
    void open(const OwnedShard &owned);
    // Hands `message` to the shard's actor. Returns false if this entry does not run the shard.
    bool send(int shard, ShardMessage message);
    // Drops every shard at once, because the entry's session is over.
    void dropAll();
    std::vector<int> shards() const;
    // Returns how many shards have been restored and take requests.
    std::size_t ready() const;

    // Sets the instant until which this entry may act as an owner.
    void setActsUntil(Instant until) { m_actsUntil = until.count(); }
    bool mayAct() const { return m_clock.now().count() < m_actsUntil; }

private:
    struct Impl;
    const Clock &m_clock;
    std::atomic<std::int64_t> m_actsUntil{0};
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
