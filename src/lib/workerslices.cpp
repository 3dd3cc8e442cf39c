#include "savorywick/workerslices.h"

#include "jsontext.h"
#include "savorywick/errors.h"
#include "savorywick/shardrow.h"

#include <json/json.h>

#include <algorithm>
#include <tuple>

namespace savorywick {

namespace {

// Returns the array in a row. Throws Error(InvalidInput) if the row holds something else.
Json::Value arrayOf(const Row &row)
{
    Json::Value value = internal::fromText(row.value);
    if (!value.isArray())
        throw Error(ErrorKind::InvalidInput, "row '" + row.key + "' is no slice of workers",
                    "remove the row; it is written anew");
    return value;
}

std::string toValue(const std::set<std::string> &slice)
{
    Json::Value value(Json::arrayValue);
    for (const std::string &it : slice)
        value.append(it);
    return internal::toText(value);
}

// What a shard has: all its workers, and the live ones by size.
struct Load
{
    std::size_t workers = 0;
    std::map<Resources, std::size_t> bySize;
};

// Returns the shard with the fewest live workers of `size`; of those, the one with fewest at all.
std::size_t emptiest(const std::vector<Load> &loads, const Resources &size)
{
    const auto rank = [&](const Load &load) {
        const auto it = load.bySize.find(size);
        return std::make_tuple(it == load.bySize.end() ? 0 : it->second, load.workers);
    };
    const auto best =
        std::min_element(loads.begin(), loads.end(),
                         [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
    return static_cast<std::size_t>(best - loads.begin());
}

// "shard/0007" and "slice/0007" carry the same digits.
std::string digitsOf(int shard)
{
    const std::string key = shardKey(shard);
    return key.substr(key.find('/') + 1);
}

} // namespace

std::string sliceKey(int shard)
{
    return std::string(slicePrefix) + digitsOf(shard);
}

std::set<std::string> parseSliceRow(const Row &row)
{
    std::set<std::string> slice;
    if (row.version == 0)
        return slice;
    const Json::Value value = arrayOf(row);
    for (const Json::Value &it : value)
        slice.insert(it.asString());
    return slice;
}

SliceSummary SliceSummary::parse(const Row &index)
{
    SliceSummary summary;
    if (index.version == 0)
        return summary;
    const Json::Value value = arrayOf(index);
    for (const Json::Value &it : value) {
        const Resources size{it[1].asInt(), it[2].asInt(), it[3].asInt()};
        summary.m_counts[it[0].asInt()][size] = it[4].asInt();
    }
    return summary;
}

void SliceSummary::add(int shard, const Resources &size)
{
    ++m_counts[shard][size];
}

std::string SliceSummary::toValue() const
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
    return internal::toText(value);
}

std::optional<int> SliceSummary::choose(const Resources &need, std::uint64_t draw) const
{
    std::vector<int> shards; // One element for each fitting worker.
    for (const auto &shard : m_counts) {
        for (const auto &it : shard.second) {
            if (need.fitsIn(it.first))
                shards.insert(shards.end(), static_cast<std::size_t>(it.second), shard.first);
        }
    }
    if (shards.empty())
        return std::nullopt;
    return shards[draw % shards.size()];
}

WorkerSlices::WorkerSlices(int shards, Millis forgetAfter)
    : m_forgetAfter(forgetAfter)
    , m_slices(static_cast<std::size_t>(shards))
    , m_versions(static_cast<std::size_t>(shards))
{ }

bool WorkerSlices::isStale(const Row &index) const
{
    return !m_observed || index.version != m_indexVersion;
}

void WorkerSlices::observe(const Row &index, std::span<const Row> rows)
{
    m_observed = true;
    m_indexVersion = index.version;
    m_summary = SliceSummary::parse(index);
    for (std::size_t shard = 0; shard < m_slices.size(); ++shard) {
        m_slices[shard].clear();
        m_versions[shard] = 0;
        const std::string key = sliceKey(static_cast<int>(shard));
        const auto row =
            std::find_if(rows.begin(), rows.end(), [&](const Row &it) { return it.key == key; });
        if (row == rows.end())
            continue;
        m_slices[shard] = parseSliceRow(*row);
        m_versions[shard] = row->version;
    }
}

std::optional<Transaction> WorkerSlices::assign(std::span<const HostInfo> hosts, Instant now)
{
    std::map<std::string, Resources> sizes; // Of the live workers.
    std::set<std::string> listed;
    for (const HostInfo &it : hosts) {
        if (it.role != HostRole::Worker)
            continue;
        listed.insert(it.id);
        if (it.state == HostState::Live)
            sizes[it.id] = {it.cores, it.memoryMb, it.accelerators};
    }
    std::vector<std::set<std::string>> slices = m_slices;
    for (const std::string &it : longGone(listed, now)) {
        for (auto &slice : slices)
            slice.erase(it);
    }
    std::set<std::string> placed;
    for (const auto &slice : slices)
        placed.insert(slice.begin(), slice.end());
    std::vector<Load> loads(slices.size());
    for (std::size_t shard = 0; shard < slices.size(); ++shard) {
        loads[shard].workers = slices[shard].size();
        for (const std::string &it : slices[shard]) {
            if (const auto size = sizes.find(it); size != sizes.end())
                ++loads[shard].bySize[size->second];
        }
    }
    for (const auto &it : sizes) {
        if (placed.contains(it.first))
            continue;
        const std::size_t shard = emptiest(loads, it.second);
        slices[shard].insert(it.first);
        ++loads[shard].workers;
        ++loads[shard].bySize[it.second];
    }
    SliceSummary summary;
    for (std::size_t shard = 0; shard < slices.size(); ++shard) {
        for (const std::string &it : slices[shard]) {
            if (const auto size = sizes.find(it); size != sizes.end())
                summary.add(static_cast<int>(shard), size->second);
        }
    }

    Transaction transaction{{{std::string(sliceIndexKey), m_indexVersion}},
                            {{std::string(sliceIndexKey), summary.toValue()}}};
    for (std::size_t shard = 0; shard < slices.size(); ++shard) {
        if (slices[shard] == m_slices[shard])
            continue;
        const std::string key = sliceKey(static_cast<int>(shard));
        transaction.conditions.push_back({key, m_versions[shard]});
        transaction.writes.push_back({key, toValue(slices[shard])});
    }
    if (!m_observed || (transaction.writes.size() == 1 && summary == m_summary))
        return std::nullopt;
    return transaction;
}

const std::set<std::string> &WorkerSlices::slice(int shard) const
{
    return m_slices[static_cast<std::size_t>(shard)];
}

std::vector<std::string> WorkerSlices::longGone(const std::set<std::string> &listed, Instant now)
{
    std::map<std::string, Instant> missing;
    std::vector<std::string> gone;
    for (const auto &slice : m_slices) {
        for (const std::string &it : slice) {
            if (listed.contains(it))
                continue;
            const auto known = m_missingSince.find(it);
            const Instant since = known == m_missingSince.end() ? now : known->second;
            missing[it] = since;
            if (now - since >= m_forgetAfter)
                gone.push_back(it);
        }
    }
    m_missingSince = std::move(missing);
    return gone;
}

} // namespace savorywick
