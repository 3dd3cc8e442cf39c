#include "savorywick/workerassigner.h"

#include "jsontext.h"
#include "savorywick/errors.h"
#include "savorywick/shardrow.h"

#include <json/json.h>

#include <algorithm>
#include <tuple>

namespace savorywick {

namespace {

// Returns the JSON array in a row. Throws Error(InvalidInput) if the row holds something else.
Json::Value parseArray(const Row &row)
{
    Json::Value value = internal::parseJsonText(row.value);
    if (!value.isArray())
        throw Error(ErrorKind::InvalidInput,
                    "row '" + row.key + "' does not hold a JSON array of workers",
                    "delete the row; it is then rebuilt from the membership list");
    return value;
}

std::string toRowValue(const std::set<std::string> &slice)
{
    Json::Value value(Json::arrayValue);
    for (const std::string &it : slice)
        value.append(it);
    return internal::toJsonText(value);
}

// The numbers of workers in a shard.
struct WorkerCounts
{
    std::size_t all = 0; // Includes workers that are not live.
    std::map<Resources, std::size_t> liveBySize;
};

// Returns the shard with the fewest live workers of `size` and, among equals, with the fewest
// workers of any size.
std::size_t leastPopulatedShard(const std::vector<WorkerCounts> &counts, const Resources &size)
{
    const auto rank = [&](const WorkerCounts &shard) {
        const auto it = shard.liveBySize.find(size);
        return std::make_tuple(it == shard.liveBySize.end() ? 0 : it->second, shard.all);
    };
    const auto least =
        std::min_element(counts.begin(), counts.end(),
                         [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
    return static_cast<std::size_t>(least - counts.begin());
}

// Returns the shard's number as it stands in keys: "0007" in "shard/0007" and in "slice/0007".
std::string shardDigits(int shard)
{
    const std::string key = shardKey(shard);
    return key.substr(key.find('/') + 1);
}

} // namespace

std::string sliceKey(int shard)
{
    return std::string(slicePrefix) + shardDigits(shard);
}

std::set<std::string> parseSliceRow(const Row &row)
{
    std::set<std::string> slice;
    if (row.version == 0)
        return slice;
    const Json::Value value = parseArray(row);
    for (const Json::Value &it : value)
        slice.insert(it.asString());
    return slice;
}

ShardWorkerCounts ShardWorkerCounts::parse(const Row &index)
{
    ShardWorkerCounts summary;
    if (index.version == 0)
        return summary;
    const Json::Value value = parseArray(index);
    for (const Json::Value &it : value) {
        const Resources size{it[1].asInt(), it[2].asInt(), it[3].asInt()};
        summary.m_counts[it[0].asInt()][size] = it[4].asInt();
    }
    return summary;
}

void ShardWorkerCounts::addWorker(int shard, const Resources &size)
{
    ++m_counts[shard][size];
}

std::string ShardWorkerCounts::toRowValue() const
{
    Json::Value value(Json::arrayValue);
    for (const auto &shard : m_counts) {
        for (const auto &it : shard.second) {
            Json::Value entry(Json::arrayValue);
            for (const int n :
                 {shard.first, it.first.cores, it.first.memoryMb, it.first.accelerators, it.second})
                entry.append(n);
            value.append(std::move(entry));
        }
    }
    return internal::toJsonText(value);
}

std::optional<int> ShardWorkerCounts::chooseShard(const Resources &demand, std::uint64_t draw) const
{
    std::vector<int>
        shards; // A shard occurs once for each of its workers that could hold `demand`.
    for (const auto &shard : m_counts) {
        for (const auto &it : shard.second) {
            if (demand.fitsIn(it.first))
                shards.insert(shards.end(), static_cast<std::size_t>(it.second), shard.first);
        }
    }
    if (shards.empty())
        return std::nullopt;
    return shards[draw % shards.size()];
}

WorkerAssigner::WorkerAssigner(int shards, Millis removalDelay)
    : m_removalDelay(removalDelay)
    , m_slices(static_cast<std::size_t>(shards))
    , m_rowVersions(static_cast<std::size_t>(shards))
{ }

bool WorkerAssigner::isStale(const Row &index) const
{
    return !m_observed || index.version != m_indexVersion;
}

void WorkerAssigner::observe(const Row &index, std::span<const Row> rows)
{
    m_observed = true;
    m_indexVersion = index.version;
    m_summary = ShardWorkerCounts::parse(index);
    for (std::size_t shard = 0; shard < m_slices.size(); ++shard) {
        m_slices[shard].clear();
        m_rowVersions[shard] = 0;
        const std::string key = sliceKey(static_cast<int>(shard));
        const auto row =
            std::find_if(rows.begin(), rows.end(), [&](const Row &it) { return it.key == key; });
        if (row == rows.end())
            continue;
        m_slices[shard] = parseSliceRow(*row);
        m_rowVersions[shard] = row->version;
    }
}

std::optional<Transaction> WorkerAssigner::assign(std::span<const HostInfo> hosts, Instant now)
{
    std::map<std::string, Resources> liveSizes; // The sizes of the live workers by id.
    std::set<std::string> listed;
    for (const HostInfo &it : hosts) {
        if (it.role != HostRole::Worker)
            continue;
        listed.insert(it.id);
        if (it.state == HostState::Live)
            liveSizes[it.id] = {it.cores, it.memoryMb, it.accelerators};
    }
    std::vector<std::set<std::string>> slices = m_slices;
    for (const std::string &it : updateMissing(listed, now)) {
        for (auto &slice : slices)
            slice.erase(it);
    }
    std::set<std::string> assigned;
    for (const auto &slice : slices)
        assigned.insert(slice.begin(), slice.end());
    std::vector<WorkerCounts> counts(slices.size());
    for (std::size_t shard = 0; shard < slices.size(); ++shard) {
        counts[shard].all = slices[shard].size();
        for (const std::string &it : slices[shard]) {
            if (const auto size = liveSizes.find(it); size != liveSizes.end())
                ++counts[shard].liveBySize[size->second];
        }
    }
    for (const auto &it : liveSizes) {
        if (assigned.contains(it.first))
            continue;
        const std::size_t shard = leastPopulatedShard(counts, it.second);
        slices[shard].insert(it.first);
        ++counts[shard].all;
        ++counts[shard].liveBySize[it.second];
    }
    ShardWorkerCounts summary;
    for (std::size_t shard = 0; shard < slices.size(); ++shard) {
        for (const std::string &it : slices[shard]) {
            if (const auto size = liveSizes.find(it); size != liveSizes.end())
                summary.addWorker(static_cast<int>(shard), size->second);
        }
    }

    Transaction transaction{{{std::string(sliceIndexKey), m_indexVersion}},
                            {{std::string(sliceIndexKey), summary.toRowValue()}}};
    for (std::size_t shard = 0; shard < slices.size(); ++shard) {
        if (slices[shard] == m_slices[shard])
            continue;
        const std::string key = sliceKey(static_cast<int>(shard));
        transaction.conditions.push_back({key, m_rowVersions[shard]});
        transaction.writes.push_back({key, toRowValue(slices[shard])});
    }
    if (!m_observed || (transaction.writes.size() == 1 && summary == m_summary))
        return std::nullopt;
    return transaction;
}

const std::set<std::string> &WorkerAssigner::workersOf(int shard) const
{
    return m_slices[static_cast<std::size_t>(shard)];
}

// Updates since when each assigned worker is missing from the list. Returns the workers whose
// removal delay has passed.
std::vector<std::string> WorkerAssigner::updateMissing(const std::set<std::string> &listed,
                                                       Instant now)
{
    std::map<std::string, Instant> missingSince;
    std::vector<std::string> expired;
    for (const auto &slice : m_slices) {
        for (const std::string &it : slice) {
            if (listed.contains(it))
                continue;
            const auto known = m_missingSince.find(it);
            const Instant since = known == m_missingSince.end() ? now : known->second;
            missingSince[it] = since;
            if (now - since >= m_removalDelay)
                expired.push_back(it);
        }
    }
    m_missingSince = std::move(missingSince);
    return expired;
}

} // namespace savorywick
