#pragma once

#include "savorywick/platform.h"

#include <cstdint>
#include <string>

namespace savorywick {

// What the table's row `shard/NNNN` says: who owns the shard and how far its journal has come.
struct ShardRow
{
    std::string owner; // Session of the owning entry; empty if the shard is free.
    std::string peer; // The owner's address for other entries, such as "127.0.0.1:8090".
    std::uint64_t epoch = 0; // Grows by one with every owner.
    std::uint64_t head = 0; // Sequence of the last journal segment; 0 if there is none.
    std::uint64_t snapshot = 0; // Sequence up to which the snapshot covers the journal.
    std::uint64_t first = 1; // Lowest segment that may still be in the table.
    std::string object; // Name of the snapshot in the object store; empty if there is none.
    std::string commit; // Id of the last commit, by which its writer knows it again.
};

// A shard that this process has taken, with the row as it was written.
struct OwnedShard
{
    int shard = 0;
    ShardRow row;
    std::uint64_t version = 0; // The row's version in the table.
};

// Returns the key of a shard's row, such as "shard/0007".
std::string shardKey(int shard);
// Returns the shard that a key like "shard/0007" names, or -1 if it names none.
int shardOfKey(const std::string &key);
// Returns the key of an entry's row. `session` must be unique to one run of one process.
std::string entryKey(const std::string &session);

// Returns the row's fields; an absent row gives a free shard of epoch 0.
// Throws Error(InvalidInput) if the value is no shard row.
ShardRow parseShardRow(const Row &row);
// Returns the value to write for `row`.
std::string toValue(const ShardRow &row);

} // namespace savorywick
