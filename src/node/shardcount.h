#pragma once

#include "savorywick/clock.h"
#include "savorywick/platform.h"

#include <cstddef>
#include <optional>
#include <string>

namespace savorywick {

// What the number of shards depends on.
struct ShardCountSettings
{
    // One owner serves so many workers well. Fewer to a shard would split the room that wide steps
    // and long-running tasks need.
    std::size_t workersPerShard = 600;
    int maxShards = 32;
    // The list of workers is taken as complete once it has not grown for the first of these times,
    // or after the second.
    Millis settledAfter{1'000};
    Millis maxWait{8'000};
};

// Chooses how many shards a new deployment has, by the size of its fleet.
//
// Use it once, in the entry that owns the first shard, before any job is accepted. The number
// can't change later, since jobs and workers are dealt to the shards by hash. It is pure and not
// thread-safe.
//
// Example:
//   chooser.observe(workers.size(), clock.now());
//   if (const auto n = chooser.choose(clock.now()))
//       propose(*n);
class ShardCountChooser
{
public:
    explicit ShardCountChooser(const ShardCountSettings &settings)
        : m_settings(settings)
    { }

    // Takes in the number of listed workers.
    void observe(std::size_t workers, Instant now);
    // Returns the number of shards, or nothing while workers may still be missing from the list.
    std::optional<int> choose(Instant now) const;

private:
    const ShardCountSettings m_settings;
    std::size_t m_workers = 0;
    std::optional<Instant> m_observedSince;
    Instant m_grownAt;
};

// The key of the row that holds the number of shards.
inline constexpr const char *shardCountKey = "layout/shards";

// Returns the number in that row, or nothing if the row is absent. Throws Error(InvalidInput) if it
// holds no positive number.
std::optional<int> parseShardCount(const Row &row);
// Returns the transaction that creates the row, unless it exists.
Transaction shardCountTransaction(int shards);

} // namespace savorywick
