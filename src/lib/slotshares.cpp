#include "savorywick/slotshares.h"

#include "slotowners.h"

#include <algorithm>

namespace savorywick {

namespace {

constexpr std::int64_t percent = 100;
constexpr std::int64_t clockRateMarginPercent = 2; // Between the clocks of two processes.
constexpr Millis peerWordLifetime{1'000}; // What a peer said of its free slots goes stale.

// The finalizer of SplitMix64: spreads every bit of `n` over the result.
std::uint64_t mix(std::uint64_t n)
{
    n += 0x9e3779b97f4a7c15U;
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
    return n ^ (n >> 31U);
}

} // namespace

std::optional<std::size_t> slotOwner(const InstanceInfo &instance, int slot,
                                     std::span<const EntryInfo> entries, ShareLocality locality)
{
    return SlotOwners(entries, locality).ownerOf(instance, slot);
}

SlotShares::SlotShares(SlotSharesSettings settings)
    : m_settings(std::move(settings))
{ }

// A former owner may act on a list that is `longestListAge` old, and as long again until it hears
// from us that ours is longer; then its last attempt must end.
Millis SlotShares::handover() const
{
    const Millis span = m_settings.longestListAge * 2 + m_settings.longestAttempt;
    return span * (percent + clockRateMarginPercent) / percent + Millis{1};
}

void SlotShares::update(std::span<const EntryInfo> entries, std::span<const InstanceInfo> instances,
                        Instant takenAt, Instant now)
{
    // Whoever did not trust its list for a while may have missed that its slots had other owners.
    const bool keepsOwnership = trusted(now);
    std::unordered_map<std::string_view, const Share *> before;
    for (const Share &share : m_shares)
        before.emplace(share.info.id, &share);

    const SlotOwners owners(entries, m_settings.locality);
    std::vector<Share> shares;
    shares.reserve(instances.size());
    int slots = 0;
    for (const InstanceInfo &info : instances) {
        const auto it = before.find(info.id);
        const Share *old = keepsOwnership && it != before.end() ? it->second : nullptr;
        shares.push_back({info, ownership(owners.slotsOf(m_settings.self, info), old, now)});
        slots += info.slots;
    }
    m_shares = std::move(shares);
    m_slotsPerEntry = entries.empty() ? 0 : slots / static_cast<int>(entries.size());
    updatePeers(entries);
    m_listTakenAt = takenAt;
}

std::vector<std::optional<Instant>> SlotShares::ownership(const std::vector<bool> &owned,
                                                          const Share *before, Instant now)
{
    std::vector<std::optional<Instant>> result(owned.size());
    for (std::size_t slot = 0; slot < owned.size(); ++slot) {
        if (!owned[slot])
            continue;
        const bool hadIt = before && slot < before->ownedSince.size() && before->ownedSince[slot];
        result[slot] = hadIt ? before->ownedSince[slot] : now;
    }
    return result;
}

void SlotShares::updatePeers(std::span<const EntryInfo> entries)
{
    std::unordered_map<std::string, Peer> before;
    for (Peer &peer : m_peers)
        before.emplace(peer.info.id, std::move(peer));
    m_peers.clear();
    for (const EntryInfo &entry : entries) {
        if (entry.id == m_settings.self) {
            m_region = entry.region;
            continue;
        }
        Peer &peer = before[entry.id];
        peer.info = entry;
        m_peers.push_back(peer);
    }
}

bool SlotShares::trusted(Instant now) const
{
    return m_listTakenAt && now - *m_listTakenAt <= m_settings.longestListAge;
}

int SlotShares::usableOf(const Share &share, Instant now) const
{
    return static_cast<int>(std::count_if(
        share.ownedSince.begin(), share.ownedSince.end(),
        [&](const std::optional<Instant> &since) { return since && now - *since >= handover(); }));
}

std::vector<InstanceInfo> SlotShares::usable(Instant now) const
{
    std::vector<InstanceInfo> result;
    if (!trusted(now))
        return result;
    for (const Share &share : m_shares) {
        const int slots = usableOf(share, now);
        if (slots == 0)
            continue;
        result.push_back(share.info);
        result.back().slots = slots;
    }
    return result;
}

int SlotShares::usableSlots(Instant now) const
{
    if (!trusted(now))
        return 0;
    int slots = 0;
    for (const Share &share : m_shares)
        slots += usableOf(share, now);
    return slots;
}

std::optional<Instant> SlotShares::nextChange(Instant now) const
{
    if (!trusted(now))
        return std::nullopt;
    Instant next = *m_listTakenAt + m_settings.longestListAge + Millis{1};
    for (const Share &share : m_shares) {
        for (const auto &since : share.ownedSince) {
            if (since && *since + handover() > now)
                next = std::min(next, *since + handover());
        }
    }
    return next;
}

std::optional<std::string> SlotShares::peerWithRoom(std::span<const std::string> excluded,
                                                    std::uint64_t draw, Instant now)
{
    std::vector<Peer *> candidates = peersWithRoom(excluded, true, now);
    if (candidates.empty())
        candidates = peersWithRoom(excluded, false, now);
    if (candidates.empty())
        return std::nullopt;
    Peer *first = candidates[draw % candidates.size()];
    Peer *second = candidates[mix(draw) % candidates.size()];
    Peer *best = expectedRoom(*second, now) > expectedRoom(*first, now) ? second : first;
    if (best->known)
        --best->freeSlots; // Ours is on its way there.
    return best->info.id;
}

std::vector<SlotShares::Peer *> SlotShares::peersWithRoom(std::span<const std::string> excluded,
                                                          bool sameRegion, Instant now)
{
    std::vector<Peer *> result;
    for (Peer &peer : m_peers) {
        const bool near = peer.info.region == m_region;
        const bool asked =
            std::find(excluded.begin(), excluded.end(), peer.info.id) != excluded.end();
        if (near == sameRegion && !asked && expectedRoom(peer, now) > 0)
            result.push_back(&peer);
    }
    return result;
}

void SlotShares::notePeer(std::string_view entry, int freeSlots, Instant now)
{
    for (Peer &peer : m_peers) {
        if (peer.info.id != entry)
            continue;
        peer.freeSlots = freeSlots;
        peer.known = true;
        peer.heardAt = now;
    }
}

int SlotShares::expectedRoom(const Peer &peer, Instant now) const
{
    const bool fresh = peer.known && now - peer.heardAt <= peerWordLifetime;
    return fresh ? peer.freeSlots : m_slotsPerEntry;
}

} // namespace savorywick
