#pragma once

#include "savorywick/clock.h"
#include "savorywick/platform.h"
#include "savorywick/resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace savorywick {

// The key of the index row, whose version grows with every change of a slice. A slice is the set of
// workers that are assigned to one shard; each slice has a row of its own.
inline constexpr std::string_view sliceIndexKey = "slices";
// The prefix of the keys of slice rows.
inline constexpr std::string_view slicePrefix = "slice/";

// Returns the key of the row of a shard's slice, such as "slice/0007".
std::string sliceKey(int shard);
// Returns the ids of the workers in a slice row, or an empty set if the row does not exist.
// Throws Error(InvalidInput) if the row does not hold a JSON array.
std::set<std::string> parseSliceRow(const Row &row);

// The number of live workers of each size in every shard, as stored in the index row.
//
// Use it to choose the shard of a new run, so that no run is sent to a shard without a worker that
// could hold it.
class ShardWorkerCounts
{
public:
    // Returns the summary in the index row, or one without workers if the row does not exist.
    // Throws Error(InvalidInput) if the row does not hold a JSON array.
    static ShardWorkerCounts parse(const Row &index);

    // Counts one live worker of `size` in `shard`.
    void addWorker(int shard, const Resources &size);
    // Returns the value of the index row.
    std::string toRowValue() const;

    // Returns true if and only if no shard has a live worker.
    bool isEmpty() const { return m_counts.empty(); }
    // Returns a shard with a worker that could hold `demand` if it were empty, or nothing if there
    // is none. The probability of a shard is proportional to the number of its workers that could.
    // `draw` is a random number.
    std::optional<int> chooseShard(const Resources &demand, std::uint64_t draw) const;

    bool operator==(const ShardWorkerCounts &) const = default;

private:
    std::map<int, std::map<Resources, int>> m_counts; // The key is the shard, then the size.
};

// Assigns each worker to one shard and keeps the assignment in rows of the table.
//
// Use one object in the process that makes the assignment; the owners of shards only read the slice
// rows. A worker stays with its shard whichever other workers join or leave, so that only one owner
// allocates its resources. The slices are balanced: a new worker goes to the shard with the fewest
// live workers of its size. Each transaction is conditioned on the version of the index row, so two
// processes that assign at the same time can't give one worker to two shards.
//
// Not thread-safe.
//
// Example:
//   slices.observe(indexRow, table.scan(slicePrefix, "", 1'000));
//   if (const auto t = slices.assign(membership.list(), clock.now()))
//       table.commit(*t); // Observe again before the next assign(), whatever the outcome.
class WorkerAssigner
{
public:
    // Creates an assigner for `shards` shards. A worker that has not been listed for `removalDelay`
    // is removed from its shard. The delay must be much longer than the term of a worker's lease.
    WorkerAssigner(int shards, Millis removalDelay);

    // Returns true if and only if the slice rows must be read again, given the current index row.
    bool isStale(const Row &index) const;
    // Replaces the known slices by those in `rows`, which must hold all slice rows and have been
    // read after `index`. Throws Error(InvalidInput) if a row does not hold a JSON array.
    void observe(const Row &index, std::span<const Row> rows);

    // Returns the transaction that assigns each listed live worker without a shard and removes the
    // workers whose removal delay has passed. Returns nothing if no row would change or before the
    // first observe().
    std::optional<Transaction> assign(std::span<const HostInfo> hosts, Instant now);

    // Returns the ids of the workers of a shard, as last observed.
    const std::set<std::string> &workersOf(int shard) const;

private:
    std::vector<std::string> updateMissing(const std::set<std::string> &listed, Instant now);

    Millis m_removalDelay;
    bool m_observed = false;
    std::uint64_t m_indexVersion = 0;
    ShardWorkerCounts m_summary;
    std::vector<std::set<std::string>> m_slices; // The index is the shard.
    std::vector<std::uint64_t> m_rowVersions; // The index is the shard; 0 without a row.
    std::map<std::string, Instant> m_missingSince;
};

} // namespace savorywick
