#include "savorywick/slotassignment.h"

#include "rendezvoushash.h"

#include <algorithm>

namespace savorywick {

namespace {

constexpr std::int64_t percent = 100;
constexpr std::int64_t maxClockDriftPercent = 2; // Between the clock rates of two processes.
constexpr Millis peerReportMaxAge{1'000}; // An older report of free slots is ignored.

// Returns one step of the SplitMix64 generator, which spreads every bit of `n` over the result.
std::uint64_t splitMix64(std::uint64_t n)
{
    n += 0x9e3779b97f4a7c15U;
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
    return n ^ (n >> 31U);
}

} // namespace

std::optional<std::size_t> slotOwner(const InstanceInfo &instance, int slot,
                                     std::span<const EntryInfo> entries, SlotLocality locality)
{
    return RendezvousHash(entries, locality).ownerOf(instance, slot);
}

SlotAssignment::SlotAssignment(SlotAssignmentSettings settings)
    : m_settings(std::move(settings))
{ }

// A former owner may use a slot for up to `maxListAge` by its old list, and for as long again if
// its peers confirm that list, until it learns from this entry that there is a longer one. After
// that, its last attempt must end.
Millis SlotAssignment::handoverDelay() const
{
    const Millis delay = m_settings.maxListAge * 2 + m_settings.maxAttemptTime;
    return delay * (percent + maxClockDriftPercent) / percent + Millis{1};
}

void SlotAssignment::update(std::span<const EntryInfo> entries,
                            std::span<const InstanceInfo> instances, Instant asOf, Instant now)
{
    // While the list was stale, the slots may have had other owners that this entry does not know
    // of, so every handover starts anew.
    const bool listWasFresh = isListFresh(now);
    std::unordered_map<std::string_view, const OwnedSlots *> before;
    for (const OwnedSlots &owned : m_ownedSlots)
        before.emplace(owned.info.id, &owned);

    const RendezvousHash owners(entries, m_settings.locality);
    std::vector<OwnedSlots> ownedSlots;
    ownedSlots.reserve(instances.size());
    int totalSlots = 0;
    for (const InstanceInfo &info : instances) {
        const auto it = before.find(info.id);
        const OwnedSlots *old = listWasFresh && it != before.end() ? it->second : nullptr;
        ownedSlots.push_back(
            {info, ownershipTimes(owners.ownedSlots(m_settings.entryId, info), old, now)});
        totalSlots += info.slots;
    }
    m_ownedSlots = std::move(ownedSlots);
    m_meanSlotsPerEntry = entries.empty() ? 0 : totalSlots / static_cast<int>(entries.size());
    updatePeers(entries);
    m_listAsOf = asOf;
}

std::vector<std::optional<Instant>> SlotAssignment::ownershipTimes(const std::vector<bool> &owned,
                                                                   const OwnedSlots *before,
                                                                   Instant now)
{
    std::vector<std::optional<Instant>> result(owned.size());
    for (std::size_t slot = 0; slot < owned.size(); ++slot) {
        if (!owned[slot])
            continue;
        const bool wasOwned =
            before && slot < before->ownedSince.size() && before->ownedSince[slot];
        result[slot] = wasOwned ? before->ownedSince[slot] : now;
    }
    return result;
}

void SlotAssignment::updatePeers(std::span<const EntryInfo> entries)
{
    std::unordered_map<std::string, Peer> before;
    for (Peer &peer : m_peers)
        before.emplace(peer.info.id, std::move(peer));
    m_peers.clear();
    for (const EntryInfo &entry : entries) {
        if (entry.id == m_settings.entryId) {
            m_ownRegion = entry.region;
            continue;
        }
        Peer &peer = before[entry.id];
        peer.info = entry;
        m_peers.push_back(peer);
    }
}

bool SlotAssignment::isListFresh(Instant now) const
{
    return m_listAsOf && now - *m_listAsOf <= m_settings.maxListAge;
}

int SlotAssignment::usableSlotsOf(const OwnedSlots &owned, Instant now) const
{
    return static_cast<int>(std::count_if(owned.ownedSince.begin(), owned.ownedSince.end(),
                                          [&](const std::optional<Instant> &since) {
                                              return since && now - *since >= handoverDelay();
                                          }));
}

std::vector<InstanceInfo> SlotAssignment::usableInstances(Instant now) const
{
    std::vector<InstanceInfo> result;
    if (!isListFresh(now))
        return result;
    for (const OwnedSlots &owned : m_ownedSlots) {
        const int slots = usableSlotsOf(owned, now);
        if (slots == 0)
            continue;
        result.push_back(owned.info);
        result.back().slots = slots;
    }
    return result;
}

int SlotAssignment::usableSlots(Instant now) const
{
    if (!isListFresh(now))
        return 0;
    int slots = 0;
    for (const OwnedSlots &owned : m_ownedSlots)
        slots += usableSlotsOf(owned, now);
    return slots;
}

std::optional<Instant> SlotAssignment::nextChangeAt(Instant now) const
{
    if (!isListFresh(now))
        return std::nullopt;
    Instant next = *m_listAsOf + m_settings.maxListAge + Millis{1};
    for (const OwnedSlots &owned : m_ownedSlots) {
        for (const auto &since : owned.ownedSince) {
            if (since && *since + handoverDelay() > now)
                next = std::min(next, *since + handoverDelay());
        }
    }
    return next;
}

std::optional<std::string> SlotAssignment::pickPeer(std::span<const std::string> excluded,
                                                    std::uint64_t random, Instant now)
{
    std::vector<Peer *> candidates = peersWithFreeSlots(excluded, true, now);
    if (candidates.empty())
        candidates = peersWithFreeSlots(excluded, false, now);
    if (candidates.empty())
        return std::nullopt;
    Peer *first = candidates[random % candidates.size()];
    Peer *second = candidates[splitMix64(random) % candidates.size()];
    Peer *best = expectedFreeSlots(*second, now) > expectedFreeSlots(*first, now) ? second : first;
    if (best->reported)
        --best->freeSlots; // Until its next report, counts the request that is forwarded now.
    return best->info.id;
}

std::vector<SlotAssignment::Peer *>
SlotAssignment::peersWithFreeSlots(std::span<const std::string> excluded, bool sameRegion,
                                   Instant now)
{
    std::vector<Peer *> result;
    for (Peer &peer : m_peers) {
        const bool inOwnRegion = peer.info.region == m_ownRegion;
        const bool isExcluded =
            std::find(excluded.begin(), excluded.end(), peer.info.id) != excluded.end();
        if (inOwnRegion == sameRegion && !isExcluded && expectedFreeSlots(peer, now) > 0)
            result.push_back(&peer);
    }
    return result;
}

void SlotAssignment::recordPeerFreeSlots(std::string_view entry, int freeSlots, Instant now)
{
    for (Peer &peer : m_peers) {
        if (peer.info.id != entry)
            continue;
        peer.freeSlots = freeSlots;
        peer.reported = true;
        peer.reportedAt = now;
    }
}

int SlotAssignment::expectedFreeSlots(const Peer &peer, Instant now) const
{
    const bool fresh = peer.reported && now - peer.reportedAt <= peerReportMaxAge;
    return fresh ? peer.freeSlots : m_meanSlotsPerEntry;
}

} // namespace savorywick
