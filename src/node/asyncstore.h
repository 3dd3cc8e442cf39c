#pragma once

#include "savorywick/platform.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorywick {

// The platform's table service, as Table, for one thread that must not block.
//
// All rows that one transaction names must belong to one shard, or be rows of entries. Callbacks
// run on the event loop, never before the call has returned, and each exactly once.
class AsyncTable
{
public:
    using Committed = std::function<void(const CommitResult &)>;
    // Given nothing if the service did not answer.
    using RowsRead = std::function<void(const std::optional<std::vector<Row>> &)>;

    virtual ~AsyncTable() = default;

    virtual void commit(const Transaction &transaction, Committed done) = 0;
    // Reads one row a key, in the order of `keys`.
    virtual void read(const std::vector<std::string> &keys, RowsRead done) = 0;
    // Reads at most `limit` rows whose keys start with `prefix` and sort after `after`, by key.
    virtual void scan(const std::string &prefix, const std::string &after, std::size_t limit,
                      RowsRead done) = 0;
};

// The platform's object store, as ObjectStore, for one thread that must not block.
class AsyncObjectStore
{
public:
    using Done = std::function<void(bool stored)>;
    // Given nothing if the object is absent or the store did not answer.
    using Fetched = std::function<void(const std::optional<std::string> &)>;

    virtual ~AsyncObjectStore() = default;

    virtual void put(const std::string &name, const std::string &bytes, Done done) = 0;
    virtual void fetch(const std::string &name, Fetched done) = 0;
    virtual void remove(const std::string &name) = 0;
};

} // namespace savorywick
