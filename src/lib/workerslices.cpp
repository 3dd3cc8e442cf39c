#include "savorywick/workerslices.h"

#include "savorywick/errors.h"
#include "savorywick/shardrow.h"

#include <json/json.h>

#include <algorithm>
#include <memory>
#include <tuple>

namespace savorywick {

namespace {

std::string toValue(const std::set<std::string> &slice)
{
    Json::Value value(Json::arrayValue);
    for (const std::string &it : slice)
        value.append(it);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
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
    Json::Value value;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    const char *text = row.value.data();
    if (!reader->parse(text, text + row.value.size(), &value, nullptr) || !value.isArray())
        throw Error(ErrorKind::InvalidInput, "row '" + row.key + "' is no slice of workers",
                    "remove the row; its workers are given to shards again");
    for (const Json::Value &it : value)
        slice.insert(it.asString());
    return slice;
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
    std::map<std::string, Shape> shapes;
    std::set<std::string> listed;
    for (const HostInfo &it : hosts) {
        if (it.role != HostRole::Worker)
            continue;
        shapes[it.id] = {it.cores, it.memoryMb, it.accelerators};
        listed.insert(it.id);
    }
    std::vector<std::set<std::string>> slices = m_slices;
    for (const std::string &it : longGone(listed, now)) {
        for (auto &slice : slices)
            slice.erase(it);
    }
    std::set<std::string> placed;
    for (const auto &slice : slices)
        placed.insert(slice.begin(), slice.end());
    for (const std::string &it : listed) {
        if (placed.contains(it))
            continue;
        const int shard = emptiest(shapes, shapes[it], slices);
        slices[static_cast<std::size_t>(shard)].insert(it);
    }

    Transaction transaction{{{std::string(sliceIndexKey), m_indexVersion}},
                            {{std::string(sliceIndexKey), std::string("1")}}};
    for (std::size_t shard = 0; shard < slices.size(); ++shard) {
        if (slices[shard] == m_slices[shard])
            continue;
        const std::string key = sliceKey(static_cast<int>(shard));
        transaction.conditions.push_back({key, m_versions[shard]});
        transaction.writes.push_back({key, toValue(slices[shard])});
    }
    if (!m_observed || transaction.writes.size() == 1)
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

int WorkerSlices::emptiest(const std::map<std::string, Shape> &shapes, const Shape &shape,
                           const std::vector<std::set<std::string>> &slices) const
{
    using Rank = std::tuple<std::ptrdiff_t, std::size_t, std::size_t>;
    std::optional<Rank> best;
    for (std::size_t shard = 0; shard < slices.size(); ++shard) {
        const auto alike = [&](const std::string &it) {
            const auto found = shapes.find(it);
            return found != shapes.end() && found->second == shape;
        };
        const auto n = std::count_if(slices[shard].begin(), slices[shard].end(), alike);
        const Rank rank{n, slices[shard].size(), shard};
        if (!best || rank < *best)
            best = rank;
    }
    return static_cast<int>(std::get<2>(*best));
}

} // namespace savorywick
