#include "entry/shardsupervisor.h"

#include "core/log.h"
#include "entry/shardactor.h"
#include "entry/storeactor.h"
#include "entry/workeractor.h"

#include <map>
#include <mutex>
#include <set>

namespace savorywick {

struct ShardSupervisor::Impl
{
    Impl(const ShardSupervisorSettings &s, Table &t, ObjectStore &o, StoppedListener l)
        : settings(s)
        , table(t)
        , objects(o)
        , listener(std::move(l))
        , system(config)
    { }

    const ShardSupervisorSettings settings;
    Table &table;
    ObjectStore &objects;
    StoppedListener listener;
    caf::actor_system_config config;
    caf::actor_system system;
    std::vector<caf::actor> workerActors;
    mutable std::mutex mutex;
    std::map<int, caf::actor> shardActors;
    std::set<int> readyShards;

    void shardStopped(int shard)
    {
        {
            const std::lock_guard lock(mutex);
            shardActors.erase(shard);
            readyShards.erase(shard);
        }
        logInfo("shard-over", {{"shard", shard}});
        listener(shard);
    }
};

ShardSupervisor::ShardSupervisor(const ShardSupervisorSettings &settings, const Clock &clock,
                                 Table &table, ObjectStore &objects, WorkerClient &workers,
                                 const Topology &topology, StoppedListener listener)
    : m_clock(clock)
    , m_impl(std::make_unique<Impl>(settings, table, objects, std::move(listener)))
{
    for (int i = 0; i < settings.concurrentWorkerCalls; ++i)
        m_impl->workerActors.push_back(m_impl->system.spawn<WorkerActor, caf::detached>(
            &workers, &topology, [this] { return hasValidLease(); }));
}

ShardSupervisor::~ShardSupervisor()
{
    stopAll();
    for (const caf::actor &it : m_impl->workerActors)
        caf::anon_send_exit(it, caf::exit_reason::user_shutdown);
    m_impl->workerActors.clear();
    m_impl->system.await_all_actors_done();
}

void ShardSupervisor::startShard(const OwnedShard &owned)
{
    Impl &impl = *m_impl;
    ShardActorContext around;
    around.clock = &m_clock;
    around.store = impl.system.spawn<StoreActor, caf::detached>(&impl.table, &impl.objects);
    around.workerActors = impl.workerActors;
    around.hasValidLease = [this] { return hasValidLease(); };
    around.onReady = [&impl](int shard) {
        const std::lock_guard lock(impl.mutex);
        impl.readyShards.insert(shard);
    };
    around.onStopped = [&impl](int shard) { impl.shardStopped(shard); };
    around.tickInterval = impl.settings.tickInterval;
    const std::lock_guard lock(impl.mutex);
    impl.shardActors[owned.shard] =
        impl.system.spawn<ShardActor>(owned, impl.settings.engine, std::move(around));
}

bool ShardSupervisor::send(int shard, ShardMessage message)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto it = m_impl->shardActors.find(shard);
    if (it == m_impl->shardActors.end())
        return false;
    caf::anon_send(it->second, std::move(message));
    return true;
}

void ShardSupervisor::stopAll()
{
    const std::lock_guard lock(m_impl->mutex);
    for (const auto &it : m_impl->shardActors)
        caf::anon_send(it.second, StopShard{});
}

std::vector<int> ShardSupervisor::shards() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<int> result;
    for (const auto &it : m_impl->shardActors)
        result.push_back(it.first);
    return result;
}

std::size_t ShardSupervisor::readyCount() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->readyShards.size();
}

} // namespace savorywick
