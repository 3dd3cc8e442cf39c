#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// A row of the table service. `version` grows with every write of the row; an absent row has 0.
struct Row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

// Requires a row to have this version when the transaction commits; 0 requires it to be absent.
struct Condition
{
    std::string key;
    std::uint64_t version = 0;
};

// Sets a row to `value`, or deletes the row if `value` is not set.
struct Write
{
    std::string key;
    std::optional<std::string> value;
};

// A conditional write of several rows: all the writes take effect together if every condition
// holds, and none does otherwise.
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

// How a commit ended, as far as the caller can know.
enum class CommitOutcome {
    Committed, // All writes took effect.
    Conflict, // A condition did not hold; nothing took effect.
    Unavailable, // Nothing took effect: the service was not reached, or said that it did nothing.
    Unknown, // The reply was lost; the writes may have taken effect. Read the rows back first.
};

// The result of Table::commit().
struct CommitResult
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    // The version that every row written by the transaction has now; set only if Committed.
    std::uint64_t version = 0;
};

// The platform's transactional table service, with compare-and-set on the versions of rows.
//
// Implement it over the store that the platform has. All state that entries must agree on or that
// must outlive them goes through it. Calls may block; implementations must be safe to call from any
// thread.
//
// Example (create a row if and only if it is absent):
//   const auto r = table.commit({{{"owner/7", 0}}, {{"owner/7", "entry-a"}}});
class Table
{
public:
    virtual ~Table() = default;

    // Commits the transaction and returns how that ended. A store that is down or slow is reported
    // by the result and never by an exception.
    virtual CommitResult commit(const Transaction &transaction) = 0;

    // Returns one row for each key, in the order of `keys`, all from one consistent snapshot.
    // Throws Error(Unavailable) if the service does not answer.
    virtual std::vector<Row> read(std::span<const std::string> keys) = 0;

    // Returns the first `limit` rows whose keys start with `prefix` and sort after `after`, ordered
    // by key.
    // Throws Error(Unavailable) if the service does not answer.
    virtual std::vector<Row> scan(std::string_view prefix, std::string_view after,
                                  std::size_t limit) = 0;
};

// The platform's object store, which keeps whole values by name, for snapshots and checkpoints.
//
// Implement it over the store that the platform has. Calls may block; implementations must be safe
// to call from any thread. Every call throws Error(Unavailable) if the store does not answer.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    // Stores `bytes` under `name`, replacing the object of that name if there is one.
    virtual void put(std::string_view name, std::string_view bytes) = 0;
    // Returns the bytes stored under `name`, or nothing if there is no such object.
    virtual std::optional<std::string> fetch(std::string_view name) = 0;
    // Removes the object `name`. It is no error if there is none.
    virtual void remove(std::string_view name) = 0;
};

// What a host does for the scheduler.
enum class HostRole { Upstream, Worker, Entry };
// Whether a host serves or is being taken out of service, according to the membership list.
enum class HostState { Live, Leaving };

// The entry of one host in the membership list, which lags behind the real state of the hosts.
struct HostInfo
{
    std::string id;
    HostRole role = HostRole::Upstream;
    HostState state = HostState::Live;
    std::string address; // IP address and port, such as "127.0.0.1:8080".
    std::string availabilityZone;
    std::string region;
    std::string rack;
    std::string service; // Upstreams only: the service that the instance belongs to.
    int slots = 0; // Upstreams only: number of requests served at once.
    int connections = 0; // Upstreams only: number of connections accepted.
    int cores = 0; // Workers only: number of processor cores.
    int memoryMb = 0; // Workers only: memory in MiB.
    int accelerators = 0; // Workers only: number of accelerators.
};

// The platform's list of live and leaving hosts, which lags behind their real state.
//
// Implement it over the platform's inventory of hosts. Calls may block; implementations must be
// safe to call from any thread.
class Membership
{
public:
    virtual ~Membership() = default;

    // Returns every listed host. Throws Error(Unavailable) if the list can't be read.
    virtual std::vector<HostInfo> list() = 0;
};

} // namespace savorywick
