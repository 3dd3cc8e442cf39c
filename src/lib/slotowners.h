#pragma once

#include "savorywick/slotshares.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorywick {

// The entries of one list, hashed once and grouped by place, to tell the owners of many slots.
//
// The owner of a slot is the entry of the nearest group with the largest hash of both. Keeps views
// into `entries`, which must outlive it.
class SlotOwners
{
public:
    SlotOwners(std::span<const EntryInfo> entries, ShareLocality locality);

    // Returns the slot's owner as an index into the entries; nothing if there are none.
    std::optional<std::size_t> ownerOf(const InstanceInfo &instance, int slot) const;

    // Returns for each slot of the instance whether the entry `id` owns it. Stops at the first
    // entry that precedes it, so that the cost of a slot grows with the logarithm of the entries.
    std::vector<bool> slotsOf(std::string_view id, const InstanceInfo &instance) const;

private:
    struct Candidate
    {
        std::size_t index = 0; // Into the entries.
        std::uint64_t hash = 0;
    };
    using Group = std::vector<Candidate>;

    const Group &nearest(const InstanceInfo &instance) const;
    bool precedes(const Candidate &a, const Candidate &b, std::uint64_t slotHash) const;

    std::span<const EntryInfo> m_entries;
    ShareLocality m_locality;
    Group m_all;
    std::unordered_map<std::string_view, Group> m_byRegion;
    std::unordered_map<std::string, Group> m_byZone;
};

} // namespace savorywick
