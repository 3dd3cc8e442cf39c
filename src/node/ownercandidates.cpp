#include "node/ownercandidates.h"

#include "core/hash.h"

#include <algorithm>
#include <tuple>

namespace savorywick {

namespace {

// A host of this strength, or a weaker one, waits for the whole delay.
constexpr std::int64_t weakMilliCores = 100;

Millis joinDelay(const OwnerCandidateSettings &settings, std::uint64_t peerHash,
                 const EntryCapacity &capacity)
{
    constexpr std::uint64_t parts = 1'000;
    const auto part = static_cast<std::int64_t>(peerHash % parts);
    const Millis spread = settings.maxSpreadDelay * part / parts;
    if (capacity.milliCores <= 0)
        return spread;
    return spread
        + settings.maxWeaknessDelay * weakMilliCores
        / std::max(capacity.milliCores, weakMilliCores);
}

} // namespace

OwnerCandidates::OwnerCandidates(const OwnerCandidateSettings &settings, std::string_view peer,
                                 const EntryCapacity &capacity, Instant startedAt)
    : m_settings(settings)
    , m_peerHash(stableHash(peer))
    , m_capacity(capacity)
    , m_mayJoinAt(startedAt + joinDelay(settings, m_peerHash, capacity))
{ }

// Returns true if and only if the other entry is preferred to this one.
bool OwnerCandidates::comesBefore(const EntryRow &other) const
{
    const std::uint64_t otherHash = stableHash(other.peer);
    return std::tie(other.capacity.milliCores, other.capacity.linkKbps, otherHash)
        > std::tie(m_capacity.milliCores, m_capacity.linkKbps, m_peerHash);
}

void OwnerCandidates::observe(std::span<const EntryRow> others, std::size_t shards, Instant now)
{
    const auto before = static_cast<std::size_t>(std::count_if(
        others.begin(), others.end(), [this](const EntryRow &it) { return comesBefore(it); }));
    const std::size_t wanted = m_settings.candidatesPerShard * shards + m_settings.spareCandidates;
    m_observed = true;
    m_needed = before < wanted;
    if (before < wanted + m_settings.surplusToLeave)
        m_surplusSince.reset();
    else if (!m_surplusSince)
        m_surplusSince = now;
}

bool OwnerCandidates::shouldJoin(Instant now) const
{
    return m_observed && m_needed && now >= m_mayJoinAt;
}

bool OwnerCandidates::shouldLeave(Instant now) const
{
    return m_surplusSince && now - *m_surplusSince >= m_settings.leaveAfter;
}

} // namespace savorywick
