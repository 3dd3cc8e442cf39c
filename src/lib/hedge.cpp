#include "savorywick/hedge.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace savorywick {

namespace {

// Latencies below 16 ms have a bucket of 1 ms each. Above, each power of two is split into eight
// buckets, so that a quantile is at most an eighth above the true value.
constexpr unsigned subBucketBits = 3;
constexpr std::uint64_t linearLimit = 2U << subBucketBits;

} // namespace

HedgeDelayEstimator::HedgeDelayEstimator(HedgeSettings settings)
    : m_settings(settings)
{ }

void HedgeDelayEstimator::recordLatency(Millis latency)
{
    ++m_counts[bucketOf(latency.count())];
    ++m_samples;
    if (++m_samplesSinceDecay >= m_settings.samplesPerDecay)
        decay();
}

std::optional<Millis> HedgeDelayEstimator::delay() const
{
    if (m_samples < std::max(1U, m_settings.minSamples))
        return std::nullopt;
    return std::max(m_settings.minDelay, latencyQuantile(m_settings.quantile));
}

Millis HedgeDelayEstimator::latencyQuantile(double q) const
{
    const double rank = std::ceil(q * m_samples);
    double seen = 0;
    for (std::size_t n = 0; n < bucketCount; ++n) {
        seen += m_counts[n];
        if (m_counts[n] > 0 && seen >= rank)
            return Millis{bucketUpperBound(n)};
    }
    return Millis{0};
}

std::size_t HedgeDelayEstimator::bucketOf(std::int64_t ms)
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(0, ms));
    if (value < linearLimit)
        return static_cast<std::size_t>(value);
    const auto shift = static_cast<unsigned>(std::bit_width(value)) - subBucketBits - 1;
    const std::size_t bucket = (static_cast<std::size_t>(shift) << subBucketBits)
        + static_cast<std::size_t>(value >> shift);
    return std::min(bucket, bucketCount - 1);
}

std::int64_t HedgeDelayEstimator::bucketUpperBound(std::size_t bucket)
{
    if (bucket < linearLimit)
        return static_cast<std::int64_t>(bucket);
    const std::size_t shift = (bucket >> subBucketBits) - 1;
    const std::size_t subBucket = bucket - (shift << subBucketBits);
    return static_cast<std::int64_t>(((subBucket + 1) << shift) - 1);
}

void HedgeDelayEstimator::decay()
{
    m_samplesSinceDecay = 0;
    m_samples = 0;
    for (std::uint32_t &count : m_counts) {
        count /= 2;
        m_samples += count;
    }
}

} // namespace savorywick
