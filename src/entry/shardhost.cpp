#include "entry/shardhost.h"

#include "core/log.h"
#include "entry/shardactor.h"
#include "entry/storeactor.h"
#include "entry/workeractor.h"

#include <map>
#include <mutex>
#include <set>

namespace savorywick {

struct ShardHost::Impl
{
    Impl(const ShardHostSettings &s, Table &t, ObjectStore &o, OverListener l)
        : settings(s)
        , table(t)
        , objects(o)
        , listener(std::move(l))
        , system(config)
    { }

    const ShardHostSettings settings;
    Table &table;
    ObjectStore &objects;
    OverListener listener;
    caf::actor_system_config config;
    caf::actor_system system;
    std::vector<caf::actor> workerCallers;
    mutable std::mutex mutex;
    std::map<int, caf::actor> shards;
    std::set<int> ready;

    void over(int shard)
    {
        {
            const std::lock_guard lock(mutex);
            shards.erase(shard);
            ready.erase(shard);
        }
        logInfo("shard-over", {{"shard", shard}});
        listener(shard);
    }
};

ShardHost::ShardHost(const ShardHostSettings &settings, const Clock &clock, Table &table,
                     ObjectStore &objects, WorkerClient &workers, const Topology &topology,
                     OverListener listener)
    : m_clock(clock)
    , m_impl(std::make_unique<Impl>(settings, table, objects, std::move(listener)))
{
    for (int i = 0; i < settings.workerCallers; ++i)
        m_impl->workerCallers.push_back(m_impl->system.spawn<WorkerActor, caf::detached>(
            &workers, &topology, [this] { return mayAct(); }));
}

ShardHost::~ShardHost()
{
    dropAll();
    for (const caf::actor &it : m_impl->workerCallers)
        caf::anon_send_exit(it, caf::exit_reason::user_shutdown);
    m_impl->workerCallers.clear();
    m_impl->system.await_all_actors_done();
}

void ShardHost::open(const OwnedShard &owned)
{
    Impl &impl = *m_impl;
    ShardSurroundings around;
    around.clock = &m_clock;
    around.store = impl.system.spawn<StoreActor, caf::detached>(&impl.table, &impl.objects);
    around.workerCallers = impl.workerCallers;
    around.mayAct = [this] { return mayAct(); };
    around.ready = [&impl](int shard) {
        const std::lock_guard lock(impl.mutex);
        impl.ready.insert(shard);
    };
    around.over = [&impl](int shard) { impl.over(shard); };
    around.tickEvery = impl.settings.tickEvery;
    const std::lock_guard lock(impl.mutex);
    impl.shards[owned.shard] =
        impl.system.spawn<ShardActor>(owned, impl.settings.engine, std::move(around));
}

bool ShardHost::send(int shard, ShardMessage message)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto it = m_impl->shards.find(shard);
    if (it == m_impl->shards.end())
        return false;
    caf::anon_send(it->second, std::move(message));
    return true;
}

void ShardHost::dropAll()
{
    const std::lock_guard lock(m_impl->mutex);
    for (const auto &it : m_impl->shards)
        caf::anon_send(it.second, DropShard{});
}

std::vector<int> ShardHost::shards() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<int> result;
    for (const auto &it : m_impl->shards)
        result.push_back(it.first);
    return result;
}

std::size_t ShardHost::ready() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->ready.size();
}

} // namespace savorywick
