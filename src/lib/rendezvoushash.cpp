#include "rendezvoushash.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace savorywick {

namespace {

// The hashes must stay the same in all versions that run at the same time, or two entries would
// compute different owners of a slot.
std::uint64_t hashOf(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

std::uint64_t hashOfSlot(std::uint64_t instanceHash, int slot)
{
    const auto number = static_cast<std::uint64_t>(slot);
    return XXH3_64bits_withSeed(&number, sizeof number, instanceHash);
}

std::uint64_t rendezvousWeight(std::uint64_t entryHash, std::uint64_t slotHash)
{
    return XXH3_64bits_withSeed(&entryHash, sizeof entryHash, slotHash);
}

// Returns the key of a zone. It includes the region, since two regions may use the same zone name.
std::string zoneKey(std::string_view region, std::string_view zone)
{
    std::string key(region);
    key += '\n';
    key += zone;
    return key;
}

} // namespace

RendezvousHash::RendezvousHash(std::span<const EntryInfo> entries, SlotLocality locality)
    : m_entries(entries)
    , m_locality(locality)
{
    for (std::size_t n = 0; n < entries.size(); ++n) {
        const EntryInfo &entry = entries[n];
        const Candidate candidate{n, hashOf(entry.id)};
        m_all.push_back(candidate);
        m_byRegion[entry.region].push_back(candidate);
        m_byZone[zoneKey(entry.region, entry.availabilityZone)].push_back(candidate);
    }
}

std::optional<std::size_t> RendezvousHash::ownerOf(const InstanceInfo &instance, int slot) const
{
    const EntryGroup &group = nearestGroup(instance);
    if (group.empty())
        return std::nullopt;
    const std::uint64_t slotHash = hashOfSlot(hashOf(instance.id), slot);
    const auto first =
        std::min_element(group.begin(), group.end(), [&](const Candidate &a, const Candidate &b) {
            return ranksBefore(a, b, slotHash);
        });
    return first->index;
}

std::vector<bool> RendezvousHash::ownedSlots(std::string_view id,
                                             const InstanceInfo &instance) const
{
    std::vector<bool> result(static_cast<std::size_t>(std::max(0, instance.slots)));
    const EntryGroup &group = nearestGroup(instance);
    const auto self = std::find_if(group.begin(), group.end(), [&](const Candidate &it) {
        return m_entries[it.index].id == id;
    });
    if (self == group.end())
        return result;
    const std::uint64_t instanceHash = hashOf(instance.id);
    for (std::size_t slot = 0; slot < result.size(); ++slot) {
        const std::uint64_t slotHash = hashOfSlot(instanceHash, static_cast<int>(slot));
        result[slot] = std::none_of(group.begin(), group.end(), [&](const Candidate &it) {
            return ranksBefore(it, *self, slotHash);
        });
    }
    return result;
}

const RendezvousHash::EntryGroup &RendezvousHash::nearestGroup(const InstanceInfo &instance) const
{
    if (m_locality == SlotLocality::SameZone) {
        const auto it = m_byZone.find(zoneKey(instance.region, instance.availabilityZone));
        if (it != m_byZone.end())
            return it->second;
    }
    if (m_locality != SlotLocality::Anywhere) {
        const auto it = m_byRegion.find(instance.region);
        if (it != m_byRegion.end())
            return it->second;
    }
    return m_all;
}

bool RendezvousHash::ranksBefore(const Candidate &a, const Candidate &b,
                                 std::uint64_t slotHash) const
{
    const std::uint64_t weightOfA = rendezvousWeight(a.hash, slotHash);
    const std::uint64_t weightOfB = rendezvousWeight(b.hash, slotHash);
    if (weightOfA != weightOfB)
        return weightOfA > weightOfB;
    return m_entries[a.index].id < m_entries[b.index].id;
}

} // namespace savorywick
