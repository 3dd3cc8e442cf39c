#pragma once

#include "savorywick/platform.h"

#include <cstdint>
#include <string>

namespace savorywick {

// What an entry's host offers to the owner of a shard. If both figures are 0, it is not known.
struct EntryCapacity
{
    std::int64_t milliCores = 0; // Thousandths of a processor core.
    std::int64_t linkKbps = 0; // Bandwidth of the network link, in kilobits per second.

    bool operator==(const EntryCapacity &) const = default;
};

// Returns true if and only if `a` offers clearly more than `b`: no figure is smaller, and one is
// larger by half at least. False if either is not known. Of entries that differ by less, none is
// preferred as owner.
bool clearlyExceeds(const EntryCapacity &a, const EntryCapacity &b);

// The fields of an entry's row that other entries use.
struct EntryRow
{
    std::string peer; // The address at which other entries reach it. May be empty.
    EntryCapacity capacity; // Not known if the row was written by an earlier version.
    bool draining = false; // It claims no shards any more.
    // Why the row can't be read; then no other field is set. Empty if it holds a JSON object.
    std::string error;
};

// Returns the fields in the text of an entry's row. A missing field or one of another type has its
// default value.
EntryRow parseEntryRow(std::string_view text);

// Returns the text of a JSON object with the peer address and, if it is known, the capacity, for
// ShardLeaseManager::setEntryFields().
std::string serializeEntryFields(const std::string &peer, const EntryCapacity &capacity);

} // namespace savorywick
