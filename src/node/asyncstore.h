#pragma once

#include "savorywick/platform.h"
#include "savorywick/storeclock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorywick {

// Accesses the platform's table service without blocking; the asynchronous counterpart of Table.
//
// Implement it in a platform adapter. All rows of one transaction must belong to the same shard or
// be entry rows. Each callback runs exactly once, on the event loop, and never before the call that
// takes it has returned. Not thread-safe.
class AsyncTable
{
public:
    using CommitCallback = std::function<void(const CommitResult &)>;
    // Receives std::nullopt if the service did not answer.
    using ReadCallback = std::function<void(const std::optional<std::vector<Row>> &)>;

    virtual ~AsyncTable() = default;

    // Commits the transaction and passes its result to `done`.
    virtual void commit(const Transaction &transaction, CommitCallback done) = 0;
    // Reads one row for each key, in the order of `keys`.
    virtual void read(const std::vector<std::string> &keys, ReadCallback done) = 0;
    // Reads at most `limit` rows whose keys start with `prefix` and sort after `after`, in key
    // order.
    virtual void scan(const std::string &prefix, const std::string &after, std::size_t limit,
                      ReadCallback done) = 0;
    // Returns the service's clock, or nullptr if the service has none that all entries can read.
    virtual const StoreClock *storeClock() const { return nullptr; }
};

// Accesses the platform's object store without blocking; the asynchronous counterpart of
// ObjectStore.
//
// Implement it in a platform adapter. The rules for callbacks are those of AsyncTable. Not
// thread-safe.
class AsyncObjectStore
{
public:
    using PutCallback = std::function<void(bool stored)>;
    // Receives std::nullopt if the object does not exist or the store did not answer.
    using FetchCallback = std::function<void(const std::optional<std::string> &)>;

    virtual ~AsyncObjectStore() = default;

    // Stores an object. `done` receives true if and only if the store has confirmed it.
    virtual void put(const std::string &name, const std::string &bytes, PutCallback done) = 0;
    // Reads an object and passes its content to `done`.
    virtual void fetch(const std::string &name, FetchCallback done) = 0;
    // Deletes an object. The outcome is not reported.
    virtual void remove(const std::string &name) = 0;
};

} // namespace savorywick
