#include "savorywick/ownerpreference.h"

#include <algorithm>
#include <tuple>

namespace savorywick {

namespace {

// Orders capacities so that one that clearly exceeds another comes later.
bool isSmaller(const StrongerEntry &a, const StrongerEntry &b)
{
    return std::tie(a.capacity.milliCores, a.capacity.linkKbps)
        < std::tie(b.capacity.milliCores, b.capacity.linkKbps);
}

// Returns the length of a chain of ever stronger entries, beginning with the weakest.
int countClasses(std::vector<StrongerEntry> entries)
{
    std::sort(entries.begin(), entries.end(), isSmaller);
    int classes = 0;
    EntryCapacity last;
    for (const StrongerEntry &it : entries) {
        if (classes > 0 && !clearlyExceeds(it.capacity, last))
            continue;
        ++classes;
        last = it.capacity;
    }
    return classes;
}

} // namespace

void OwnerPreference::observeShard(int shard, bool isOwnerless, Instant now)
{
    if (isOwnerless)
        m_ownerlessSince.try_emplace(shard, now);
    else
        m_ownerlessSince.erase(shard);
}

bool OwnerPreference::isPreferred(const StrongerEntry &it, Instant now) const
{
    const auto until = m_notPreferredUntil.find(it.session);
    return until == m_notPreferredUntil.end() || now >= until->second;
}

std::optional<ClaimDeferral>
OwnerPreference::deferral(int shard, std::span<const StrongerEntry> stronger, Instant now) const
{
    const auto since = m_ownerlessSince.find(shard);
    if (since == m_ownerlessSince.end() || now - since->second >= m_settings.maxDeferral)
        return {};
    std::vector<StrongerEntry> preferred;
    std::copy_if(stronger.begin(), stronger.end(), std::back_inserter(preferred),
                 [&](const StrongerEntry &it) { return isPreferred(it, now); });
    const Millis wait =
        std::min(m_settings.deferralPerClass * countClasses(preferred), m_settings.maxDeferral);
    if (now - since->second >= wait)
        return {};
    const auto strongest = std::max_element(preferred.begin(), preferred.end(), isSmaller);
    return ClaimDeferral{shard, strongest->session, strongest->capacity, since->second,
                         since->second + wait};
}

void OwnerPreference::noteClaim(int shard, std::span<const StrongerEntry> stronger, Instant now)
{
    PassedOver passed{{}, now};
    const auto since = m_ownerlessSince.find(shard);
    for (const StrongerEntry &it : stronger) {
        // An entry that came later did not have the whole time.
        if (since != m_ownerlessSince.end() && it.steadySince <= since->second)
            passed.sessions.push_back(it.session);
    }
    m_passedOver[shard] = std::move(passed);
}

void OwnerPreference::noteClaimCommitted(int shard)
{
    const auto passed = m_passedOver.extract(shard);
    if (passed.empty())
        return;
    const Instant at = passed.mapped().at;
    std::erase_if(m_notPreferredUntil, [&](const auto &it) { return it.second <= at; });
    for (const std::string &session : passed.mapped().sessions)
        m_notPreferredUntil[session] = at + m_settings.handoverInterval;
}

std::optional<ShardHandover>
OwnerPreference::handover(int shard, std::span<const StrongerEntry> stronger, Instant now)
{
    if (auto pending = pendingHandover(shard))
        return pending;
    if (m_lastHandoverAt && now - *m_lastHandoverAt < m_settings.handoverInterval)
        return {};
    std::optional<StrongerEntry> strongest;
    for (const StrongerEntry &it : stronger) {
        const bool isSteady = now - it.steadySince >= m_settings.steadyBeforeHandover;
        if (isSteady && isPreferred(it, now) && (!strongest || isSmaller(*strongest, it)))
            strongest = it;
    }
    if (!strongest)
        return {};
    m_lastHandoverAt = now;
    m_handover = ShardHandover{shard, strongest->session, strongest->capacity, now};
    return m_handover;
}

std::optional<ShardHandover> OwnerPreference::pendingHandover(int shard) const
{
    return m_handover && m_handover->shard == shard ? m_handover : std::nullopt;
}

void OwnerPreference::noteReleased(int shard)
{
    if (m_handover && m_handover->shard == shard)
        m_handover.reset();
}

} // namespace savorywick
