#pragma once

#include "savorywick/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace savorywick {

// Latency histogram with fixed, cumulative buckets.
//
// Use it for metrics that a monitoring system aggregates: because the bounds are fixed, histograms
// of several processes can be added up. To estimate quantiles of a single process, use
// LatencyRecorder. Not thread-safe.
//
// Example:
//   LatencyHistogram histogram;
//   histogram.record(Millis{12});
//   histogram.cumulativeCount(2); // Latencies of 25 ms or less: 1.
class LatencyHistogram
{
public:
    // Inclusive upper bounds of the buckets in milliseconds, ascending. A latency above the last
    // bound is counted by count() and sum() alone.
    static constexpr std::array<std::int64_t, 12> bucketBoundsMs{
        5, 10, 25, 50, 100, 250, 500, 1'000, 2'500, 5'000, 10'000, 25'000};

    // Adds one latency, which must not be negative.
    void record(Millis latency);

    // Returns the number of recorded latencies of at most bucketBoundsMs[bucket]. Throws
    // std::out_of_range if there is no such bucket.
    std::uint64_t cumulativeCount(std::size_t bucket) const
    {
        return m_cumulativeCounts.at(bucket);
    }
    // Returns the number of recorded latencies.
    std::uint64_t count() const { return m_count; }
    // Returns the sum of the recorded latencies.
    Millis sum() const { return m_sum; }

private:
    std::array<std::uint64_t, bucketBoundsMs.size()> m_cumulativeCounts{};
    std::uint64_t m_count = 0;
    Millis m_sum;
};

} // namespace savorywick
