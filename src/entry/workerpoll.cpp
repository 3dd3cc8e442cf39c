#include "entry/workerpoll.h"

#include "core/log.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <limits>

namespace savorywick {

namespace {

constexpr Millis forgetAfter{3'600'000};
constexpr std::size_t rowsPerScan = 500;
// Its owner decides for all shards which workers they have.
constexpr int decidingShard = 0;

// Returns a shard's part of a quota for all; 0 stands for none.
int partOf(int quota, int shards)
{
    if (quota == 0)
        return std::numeric_limits<int>::max();
    return (quota + shards - 1) / shards;
}

} // namespace

WorkerPoll::WorkerPoll(int shards, const Clock &clock, Membership &membership, Table &table,
                       Topology &topology, ShardHost &host, const DocumentService &documents)
    : m_clock(clock)
    , m_membership(membership)
    , m_table(table)
    , m_topology(topology)
    , m_host(host)
    , m_documents(documents)
    , m_shards(shards)
    , m_slices(shards, forgetAfter)
{ }

void WorkerPoll::poll()
{
    try {
        m_topology.setHosts(m_membership.list());
        m_listRead = true;
        const std::vector<std::string> keys{std::string(sliceIndexKey)};
        const Row index = m_table.read(keys).front();
        {
            auto summary = std::make_shared<ShardWorkerCounts>(ShardWorkerCounts::parse(index));
            const std::lock_guard lock(m_mutex);
            m_summary = std::move(summary);
        }
        const std::vector<int> owned = m_host.shards();
        if (std::find(owned.begin(), owned.end(), decidingShard) != owned.end())
            assign(index);
        tellShards();
    } catch (const Error &error) {
        logDebug("worker-poll-failed", {{"why", error.what()}});
    }
}

std::shared_ptr<const ShardWorkerCounts> WorkerPoll::summary() const
{
    const std::lock_guard lock(m_mutex);
    return m_summary;
}

void WorkerPoll::assign(const Row &index)
{
    if (m_slices.isStale(index)) {
        std::vector<Row> rows;
        for (std::vector<Row> part;;) {
            part = m_table.scan(slicePrefix, part.empty() ? std::string() : part.back().key,
                                rowsPerScan);
            rows.insert(rows.end(), part.begin(), part.end());
            if (part.size() < rowsPerScan)
                break;
        }
        m_slices.observe(index, rows);
    }
    if (const auto transaction = m_slices.assign(*m_topology.hosts(), m_clock.now()))
        m_table.commit(*transaction);
}

BatchPolicy WorkerPoll::policy() const
{
    BatchPolicy policy;
    std::map<std::string, TeamShare> teams;
    for (const std::string &service : m_documents.services()) {
        const auto document = m_documents.find(service);
        if (!document)
            continue;
        const ServiceDocument &it = document->document;
        policy.targets[it.upstreamService] = it.latencyTarget;
        const Resources &quota = it.quotas.resources;
        // A team with several services has the largest of their shares.
        TeamShare &share = teams.try_emplace(it.team, TeamShare{1.0, {}}).first->second;
        share.weight = std::max(share.weight, static_cast<double>(it.quotas.weight));
        share.quota.cores = std::max(share.quota.cores, partOf(quota.cores, m_shards));
        share.quota.memoryMb = std::max(share.quota.memoryMb, partOf(quota.memoryMb, m_shards));
        share.quota.accelerators =
            std::max(share.quota.accelerators, partOf(quota.accelerators, m_shards));
    }
    for (const auto &it : teams)
        policy.teams.push_back({it.first, it.second});
    return policy;
}

void WorkerPoll::tellShards()
{
    const std::vector<int> owned = m_host.shards();
    std::vector<std::string> keys;
    keys.reserve(owned.size());
    for (const int it : owned)
        keys.push_back(sliceKey(it));
    const std::vector<Row> rows = m_table.read(keys);
    const auto hosts = m_topology.hosts();
    const auto policy = std::make_shared<const BatchPolicy>(this->policy());
    for (std::size_t i = 0; i < owned.size(); ++i) {
        const std::set<std::string> slice = parseSliceRow(rows[i]);
        WorkersChanged change{{}, policy};
        for (const HostInfo &it : *hosts) {
            if (it.role == HostRole::Worker && slice.contains(it.id))
                change.workers.push_back(it);
        }
        m_host.send(owned[i], std::move(change));
    }
}

} // namespace savorywick
