#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// A row of the table service. `version` grows with every write of the row; 0 says it is absent.
struct Row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

// Demands that a row is at `version` when the transaction commits; 0 demands that it is absent.
struct Condition
{
    std::string key;
    std::uint64_t version = 0;
};

// Sets a row, or deletes it if `value` is empty.
struct Write
{
    std::string key;
    std::optional<std::string> value;
};

// All writes take effect together, if and only if every condition holds.
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

enum class CommitOutcome {
    Committed, // All writes took effect.
    Conflict, // A condition did not hold; nothing took effect.
    Unavailable, // The service was surely not reached, or said that it did nothing.
    Unknown, // The reply was lost; read back before deciding anything.
};

struct CommitResult
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    // The version that every row written by the transaction now has; set only when committed.
    std::uint64_t version = 0;
};

// The platform's transactional table service.
//
// Implement it over whatever store the platform has; everything that must be agreed or kept goes
// through it. Calls may block; implementations must be safe to call from any thread.
//
// Example (create a row if and only if it is absent):
//   const auto r = table.commit({{{"owner/7", 0}}, {{"owner/7", "entry-a"}}});
class Table
{
public:
    virtual ~Table() = default;

    // Returns how the transaction ended. Never throws for a store that is down or slow.
    virtual CommitResult commit(const Transaction &transaction) = 0;

    // Returns one row a key, in the order of `keys`, all read at one moment.
    // Throws Error(Unavailable) if the service does not answer.
    virtual std::vector<Row> read(std::span<const std::string> keys) = 0;

    // Returns at most `limit` rows whose keys start with `prefix` and sort after `after`, by key.
    // Throws Error(Unavailable) if the service does not answer.
    virtual std::vector<Row> scan(std::string_view prefix, std::string_view after,
                                  std::size_t limit) = 0;
};

// The platform's object store, for snapshots and checkpoints: whole values by name.
//
// Safe to call from any thread. Every call throws Error(Unavailable) if the store does not answer.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    // Stores `bytes` under `name`, replacing what was there.
    virtual void put(std::string_view name, std::string_view bytes) = 0;
    // Returns the bytes under `name`, or nothing if there are none.
    virtual std::optional<std::string> fetch(std::string_view name) = 0;
    // Removes `name`; removing what is absent is no error.
    virtual void remove(std::string_view name) = 0;
};

enum class HostRole { Upstream, Worker, Entry };
enum class HostState { Live, Leaving };

// What the membership list says of one host. The list lags behind the truth.
struct HostInfo
{
    std::string id;
    HostRole role = HostRole::Upstream;
    HostState state = HostState::Live;
    std::string address; // IP number and port, such as "127.0.0.1:8080".
    std::string availabilityZone;
    std::string region;
    std::string rack;
    std::string service; // Upstreams: the service that the instance belongs to.
    int slots = 0; // Upstreams: requests it serves at once.
    int connections = 0; // Upstreams: connections it accepts.
    int cores = 0; // Workers: processors.
    int memoryMb = 0; // Workers: memory in MiB.
    int accelerators = 0; // Workers: accelerators.
};

// The platform's lagging list of live and leaving hosts.
//
// Safe to call from any thread.
class Membership
{
public:
    virtual ~Membership() = default;

    // Returns every listed host. Throws Error(Unavailable) if the list can't be had.
    virtual std::vector<HostInfo> list() = 0;
};

} // namespace savorywick
