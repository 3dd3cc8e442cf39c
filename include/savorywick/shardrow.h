#pragma once

#include "savorywick/platform.h"

#include <cstdint>
#include <string>

namespace savorywick {

// The table's row `shard/NNNN`: the owner of the shard and the state of its journal.
//
// The fields are stored under their own names.
struct ShardRow
{
    std::string owner; // Session of the owning entry; empty if the shard has no owner.
    std::string peer; // Address at which other entries reach the owner, such as "127.0.0.1:8090".
    std::uint64_t epoch = 0; // Grows by one with every claim of the shard.
    std::uint64_t head = 0; // Number of the last journal segment; 0 if there is none.
    std::uint64_t snapshot = 0; // Number of the last segment that the snapshot covers.
    std::uint64_t first = 1; // Number of the lowest segment that may still be in the table.
    std::string object; // Name of the snapshot in the object store; empty if there is none.
    std::string commit; // Id of the last commit, so that its writer recognizes it.
    // When every lease on workers of the shard is over that any owner has granted, on the store's
    // clock in milliseconds; 0 if it is not known.
    std::int64_t leasesEndMs = 0;
};

// A shard that this process has claimed, with its row as the claim wrote it.
struct OwnedShard
{
    int shard = 0;
    ShardRow row;
    std::uint64_t version = 0; // The row's version in the table.
};

// Returns the key of a shard's row, such as "shard/0007".
std::string shardKey(int shard);
// Returns the shard whose row has this key, or -1 if it is not the key of a shard's row.
int parseShardKey(const std::string &key);
// Returns the key of an entry's row. `session` must be unique to one run of one entry process.
std::string entryKey(const std::string &session);

// Returns the fields of a shard's row. An absent row gives a shard of epoch 0 without an owner.
// Throws Error(InvalidInput) if the row's value is no JSON object.
ShardRow parseShardRow(const Row &row);
// Returns the JSON text to store for `row`.
std::string serializeShardRow(const ShardRow &row);

} // namespace savorywick
