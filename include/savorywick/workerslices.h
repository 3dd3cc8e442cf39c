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

// The key of the row whose version grows whenever a slice changes.
inline constexpr std::string_view sliceIndexKey = "slices";
// The prefix of the slices' rows.
inline constexpr std::string_view slicePrefix = "slice/";

// Returns the key of a shard's slice, such as "slice/0007".
std::string sliceKey(int shard);
// Returns the workers that a slice's row names; an absent row names none.
// Throws Error(InvalidInput) if the row holds something else.
std::set<std::string> parseSliceRow(const Row &row);

// How many live workers of each size every shard has: the value of the index row.
//
// Use it to choose the shard of a new run, so that no run goes where no worker could hold it.
class SliceSummary
{
public:
    // Returns the summary in the index row; an absent row gives one without workers.
    // Throws Error(InvalidInput) if the row holds something else.
    static SliceSummary parse(const Row &index);

    // Counts a live worker of a shard.
    void add(int shard, const Resources &size);
    // Returns the value to write.
    std::string toValue() const;

    // Returns true if and only if no worker is known.
    bool isEmpty() const { return m_counts.empty(); }
    // Returns a shard with a worker that could hold `need` if it were empty, each with a chance
    // in proportion to such workers; nothing if there is none. `draw` is a random number.
    std::optional<int> choose(const Resources &need, std::uint64_t draw) const;

    bool operator==(const SliceSummary &) const = default;

private:
    std::map<int, std::map<Resources, int>> m_counts; // By shard and size.
};

// Decides which worker belongs to which shard, once for each worker, through rows of the table.
//
// A worker keeps its shard whatever other workers come and go, so that one owner alone books it.
// Slices are kept even: a new worker goes to the shard that has the fewest of its size. Every
// change is conditioned on the index row, so two deciders can't give one worker to two shards.
// Use one object in the process that decides; the owners of shards only read their slices.
// Not thread-safe.
//
// Example:
//   slices.observe(indexRow, table.scan(slicePrefix, "", 1'000));
//   if (const auto t = slices.assign(membership.list(), clock.now()))
//       table.commit(*t); // Whatever the outcome, observe again before the next assign().
class WorkerSlices
{
public:
    // A worker that was not listed for `forgetAfter` loses its shard. It must be much longer than
    // a worker's lease.
    WorkerSlices(int shards, Millis forgetAfter);

    // Returns true if and only if the slices must be read again, given the index row.
    bool isStale(const Row &index) const;
    // Takes in the index row and, read after it, all rows of slices.
    void observe(const Row &index, std::span<const Row> rows);

    // Returns the transaction that gives each listed worker a shard and forgets those long gone;
    // nothing if there is nothing to do.
    std::optional<Transaction> assign(std::span<const HostInfo> hosts, Instant now);

    // Returns the workers of a shard as last observed.
    const std::set<std::string> &slice(int shard) const;

private:
    std::vector<std::string> longGone(const std::set<std::string> &listed, Instant now);

    Millis m_forgetAfter;
    bool m_observed = false;
    std::uint64_t m_indexVersion = 0;
    SliceSummary m_summary;
    std::vector<std::set<std::string>> m_slices; // By shard.
    std::vector<std::uint64_t> m_versions; // By shard.
    std::map<std::string, Instant> m_missingSince;
};

} // namespace savorywick
