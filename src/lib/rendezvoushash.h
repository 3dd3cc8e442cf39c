#pragma once

#include "savorywick/slotassignment.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorywick {

// Rendezvous hashing (highest random weight) of slots to the entries of one list. Use it to find
// the owners of many slots: the entries are hashed once and grouped by zone and region.
//
// The owner of a slot is the entry with the largest weight, a hash of the entry and the slot, among
// the entries that the locality allows. Keeps views into `entries`, which must outlive it.
//
// Thread-safe, since it doesn't change after construction.
//
// Example:
//   const RendezvousHash hash(entries, locality);
//   const auto owner = hash.ownerOf(instance, 0);
class RendezvousHash
{
public:
    RendezvousHash(std::span<const EntryInfo> entries, SlotLocality locality);

    // Returns the slot's owner as an index into the entries, or nothing if there are no entries.
    std::optional<std::size_t> ownerOf(const InstanceInfo &instance, int slot) const;

    // Returns for each slot of the instance whether the entry `id` owns it. The search for a slot
    // stops at the first entry that ranks before `id`, so that its expected cost is logarithmic in
    // the number of entries.
    std::vector<bool> ownedSlots(std::string_view id, const InstanceInfo &instance) const;

private:
    struct Candidate
    {
        std::size_t index = 0; // Position in the list of entries.
        std::uint64_t hash = 0;
    };
    using EntryGroup = std::vector<Candidate>;

    const EntryGroup &nearestGroup(const InstanceInfo &instance) const;
    bool ranksBefore(const Candidate &a, const Candidate &b, std::uint64_t slotHash) const;

    std::span<const EntryInfo> m_entries;
    SlotLocality m_locality;
    EntryGroup m_all;
    std::unordered_map<std::string_view, EntryGroup> m_byRegion;
    std::unordered_map<std::string, EntryGroup> m_byZone;
};

} // namespace savorywick
