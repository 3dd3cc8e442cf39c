#include "node/shardcount.h"

#include "savorywick/errors.h"

#include <algorithm>
#include <charconv>

namespace savorywick {

void ShardCountChooser::observe(std::size_t workers, Instant now)
{
    if (!m_observedSince) {
        m_observedSince = now;
        m_grownAt = now;
    }
    if (workers > m_workers)
        m_grownAt = now;
    m_workers = std::max(m_workers, workers);
}

std::optional<int> ShardCountChooser::choose(Instant now) const
{
    if (!m_observedSince)
        return {};
    const bool settled = m_workers > 0 && now - m_grownAt >= m_settings.settledAfter;
    if (!settled && now - *m_observedSince < m_settings.maxWait)
        return {};
    const std::size_t shards = m_workers / m_settings.workersPerShard;
    return std::clamp(static_cast<int>(shards), 1, m_settings.maxShards);
}

std::optional<int> parseShardCount(const Row &row)
{
    if (row.version == 0)
        return {};
    int shards = 0;
    const char *end = row.value.data() + row.value.size();
    const auto parsed = std::from_chars(row.value.data(), end, shards);
    if (parsed.ec != std::errc() || parsed.ptr != end || shards < 1)
        throw Error(ErrorKind::InvalidInput, "row '" + row.key + "' holds no number of shards",
                    "restore the row from a backup");
    return shards;
}

Transaction shardCountTransaction(int shards)
{
    return {{{shardCountKey, 0}}, {{shardCountKey, std::to_string(shards)}}};
}

} // namespace savorywick
