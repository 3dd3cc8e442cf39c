#include "entry/workerpoller.h"

#include "core/log.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <limits>

namespace savorywick {

namespace {

constexpr Millis departedWorkerRetention{3'600'000};
constexpr std::size_t rowsPerScan = 500;
// The owner of this shard assigns the workers of all shards.
constexpr int coordinatorShard = 0;

// Returns one shard's share of a quota over all shards, rounded up. A quota of 0 means unlimited.
int quotaPerShard(int quota, int shardCount)
{
    if (quota == 0)
        return std::numeric_limits<int>::max();
    return (quota + shardCount - 1) / shardCount;
}

} // namespace

WorkerPoller::WorkerPoller(int shardCount, const Clock &clock, Membership &membership, Table &table,
                           Topology &topology, ShardSupervisor &supervisor,
                           const DocumentService &documents)
    : m_clock(clock)
    , m_membership(membership)
    , m_table(table)
    , m_topology(topology)
    , m_shardSupervisor(supervisor)
    , m_documents(documents)
    , m_shardCount(shardCount)
    , m_slices(shardCount, departedWorkerRetention)
{ }

void WorkerPoller::poll()
{
    try {
        m_topology.setHosts(m_membership.list());
        m_membershipRead = true;
        const std::vector<std::string> keys{std::string(sliceIndexKey)};
        const Row index = m_table.read(keys).front();
        {
            auto summary = std::make_shared<ShardWorkerCounts>(ShardWorkerCounts::parse(index));
            const std::lock_guard lock(m_mutex);
            m_summary = std::move(summary);
        }
        const std::vector<int> owned = m_shardSupervisor.shards();
        if (std::find(owned.begin(), owned.end(), coordinatorShard) != owned.end())
            assignWorkers(index);
        notifyShards();
    } catch (const Error &error) {
        logDebug("worker-poll-failed", {{"why", error.what()}});
    }
}

std::shared_ptr<const ShardWorkerCounts> WorkerPoller::summary() const
{
    const std::lock_guard lock(m_mutex);
    return m_summary;
}

void WorkerPoller::assignWorkers(const Row &index)
{
    if (m_slices.isStale(index)) {
        std::vector<Row> rows;
        for (std::vector<Row> page;;) {
            page = m_table.scan(slicePrefix, page.empty() ? std::string() : page.back().key,
                                rowsPerScan);
            rows.insert(rows.end(), page.begin(), page.end());
            if (page.size() < rowsPerScan)
                break;
        }
        m_slices.observe(index, rows);
    }
    if (const auto transaction = m_slices.assign(*m_topology.hosts(), m_clock.now()))
        m_table.commit(*transaction);
}

BatchPolicy WorkerPoller::buildBatchPolicy() const
{
    BatchPolicy policy;
    std::map<std::string, TeamShare> teams;
    for (const std::string &service : m_documents.services()) {
        const auto document = m_documents.find(service);
        if (!document)
            continue;
        const ServiceDocument &it = document->document;
        policy.latencyTargets[it.upstreamService] = it.latencyTarget;
        const Resources &quota = it.quotas.resources;
        // If a team has several services, the largest weight and quota among them apply.
        TeamShare &share = teams.try_emplace(it.team, TeamShare{1.0, {}}).first->second;
        share.weight = std::max(share.weight, static_cast<double>(it.quotas.weight));
        share.quota.cores = std::max(share.quota.cores, quotaPerShard(quota.cores, m_shardCount));
        share.quota.memoryMb =
            std::max(share.quota.memoryMb, quotaPerShard(quota.memoryMb, m_shardCount));
        share.quota.accelerators =
            std::max(share.quota.accelerators, quotaPerShard(quota.accelerators, m_shardCount));
    }
    for (const auto &it : teams)
        policy.teams.push_back({it.first, it.second});
    return policy;
}

void WorkerPoller::notifyShards()
{
    const std::vector<int> owned = m_shardSupervisor.shards();
    std::vector<std::string> keys;
    keys.reserve(owned.size());
    for (const int it : owned)
        keys.push_back(sliceKey(it));
    const std::vector<Row> rows = m_table.read(keys);
    const auto hosts = m_topology.hosts();
    const auto policy = std::make_shared<const BatchPolicy>(buildBatchPolicy());
    for (std::size_t i = 0; i < owned.size(); ++i) {
        const std::set<std::string> slice = parseSliceRow(rows[i]);
        WorkersChanged message{{}, policy};
        for (const HostInfo &it : *hosts) {
            if (it.role == HostRole::Worker && slice.contains(it.id))
                message.workers.push_back(it);
        }
        m_shardSupervisor.send(owned[i], std::move(message));
    }
}

} // namespace savorywick
