#pragma once

#include "savorywick/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace savorywick {

struct HedgeSettings
{
    double quantile = 0.95; // Attempts that take longer than this part of all are hedged.
    std::uint32_t fewestSamples = 100; // No hedges before so many latencies were learned.
    std::uint32_t samplesPerHalving = 10'000; // Older samples lose half their weight each time.
    Millis shortestDelay{2};
};

// Learns the latencies of a request class and says when to hedge an attempt that takes long.
//
// Use one for each request class of a service. The hedge itself is asked of RetryBudget::hedge().
// Memory is fixed: a histogram whose buckets grow by an eighth of a power of two.
//
// Not thread-safe.
//
// Example:
//   HedgeTimer timer({});
//   timer.learn(Millis{12});
//   if (const auto delay = timer.delay())
//       scheduleHedge(*delay);
class HedgeTimer
{
public:
    explicit HedgeTimer(HedgeSettings settings);

    // Takes in the latency of an answered attempt.
    void learn(Millis latency);
    // Returns how long after its start an attempt is hedged, or nothing while too little is known.
    std::optional<Millis> delay() const;
    // Returns the upper edge of the bucket that holds a quantile in [0, 1]; 0 without samples.
    Millis quantile(double part) const;

private:
    static constexpr std::size_t bucketCount = 256;

    static std::size_t bucketOf(std::int64_t ms);
    static std::int64_t upperEdge(std::size_t bucket);
    void halve();

    HedgeSettings m_settings;
    std::array<std::uint32_t, bucketCount> m_counts{};
    std::uint32_t m_samples = 0;
    std::uint32_t m_sinceHalving = 0;
};

} // namespace savorywick
