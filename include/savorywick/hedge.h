#pragma once

#include "savorywick/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace savorywick {

// When an attempt counts as slow enough to be hedged.
struct HedgeSettings
{
    double quantile = 0.95; // Attempts slower than this quantile of the latencies are hedged.
    std::uint32_t minSamples = 100; // Latencies to record before the first hedge.
    std::uint32_t samplesPerDecay = 10'000; // Samples after which all weights are halved.
    Millis minDelay{2}; // Lower bound of the delay before a hedge.
};

// Estimates, from the latencies of a request class, when to hedge an attempt that takes long.
//
// Use one for each request class of a service, and RetryBudget::decideHedge() to decide whether the
// hedge is sent. Memory is fixed: a histogram with buckets of 1 ms below 16 ms and, from there on,
// eight buckets for each power of two. The counts decay, so that recent latencies weigh most.
//
// Not thread-safe.
//
// Example:
//   HedgeDelayEstimator estimator({});
//   estimator.recordLatency(Millis{12});
//   if (const auto delay = estimator.delay())
//       scheduleHedge(*delay);
class HedgeDelayEstimator
{
public:
    explicit HedgeDelayEstimator(HedgeSettings settings);

    // Records the latency of an answered attempt.
    void recordLatency(Millis latency);
    // Returns the time from the start of an attempt to its hedge, or nothing before
    // `HedgeSettings::minSamples` latencies are recorded.
    std::optional<Millis> delay() const;
    // Returns the upper bound of the bucket that holds the quantile `q`, which must be in [0, 1].
    // Returns 0 without samples.
    Millis latencyQuantile(double q) const;

private:
    static constexpr std::size_t bucketCount = 256;

    static std::size_t bucketOf(std::int64_t ms);
    static std::int64_t bucketUpperBound(std::size_t bucket);
    void decay();

    HedgeSettings m_settings;
    std::array<std::uint32_t, bucketCount> m_counts{};
    std::uint32_t m_samples = 0;
    std::uint32_t m_samplesSinceDecay = 0;
};

} // namespace savorywick
