#include "savorywick/steps/storerejection.h"

namespace savorywick::steps {

void StoreRejection::commitEnded(int shard, bool rejected, Instant now)
{
    if (!rejected)
        return shardEnded(shard);
    ++m_rejected.try_emplace(shard, Rejections{now, 0}).first->second.count;
}

void StoreRejection::shardEnded(int shard)
{
    m_rejected.erase(shard);
}

void StoreRejection::renewalSeen(Instant at)
{
    m_renewalSeenAt = at;
}

std::optional<int> StoreRejection::shardToHandOver(Instant now) const
{
    if (!m_settings.handOver)
        return {};
    for (const auto &[shard, it] : m_rejected) {
        const bool isLasting = now - it.since >= m_settings.handOverAfter;
        const bool servesOthers = m_renewalSeenAt && *m_renewalSeenAt > it.since;
        if (isLasting && it.count >= m_settings.minRejections && servesOthers)
            return shard;
    }
    return {};
}

void StoreRejection::handedOver(Instant now)
{
    m_rejected.clear();
    m_handedOverAt = now;
}

bool StoreRejection::mayClaim(Instant now) const
{
    return !m_handedOverAt || now - *m_handedOverAt >= m_settings.stayAwayFor;
}

} // namespace savorywick::steps
