#include "savorywick/hedge.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace savorywick {

namespace {

// Values below 16 have a bucket each; above, each power of two is split in eight.
constexpr unsigned subBits = 3;
constexpr std::uint64_t linearLimit = 2U << subBits;

} // namespace

HedgeTimer::HedgeTimer(HedgeSettings settings)
    : m_settings(settings)
{ }

void HedgeTimer::learn(Millis latency)
{
    ++m_counts[bucketOf(latency.count())];
    ++m_samples;
    if (++m_sinceHalving >= m_settings.samplesPerHalving)
        halve();
}

std::optional<Millis> HedgeTimer::delay() const
{
    if (m_samples < std::max(1U, m_settings.fewestSamples))
        return std::nullopt;
    return std::max(m_settings.shortestDelay, quantile(m_settings.quantile));
}

Millis HedgeTimer::quantile(double part) const
{
    const double wanted = std::ceil(part * m_samples);
    double seen = 0;
    for (std::size_t n = 0; n < bucketCount; ++n) {
        seen += m_counts[n];
        if (m_counts[n] > 0 && seen >= wanted)
            return Millis{upperEdge(n)};
    }
    return Millis{0};
}

std::size_t HedgeTimer::bucketOf(std::int64_t ms)
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(0, ms));
    if (value < linearLimit)
        return static_cast<std::size_t>(value);
    const auto shift = static_cast<unsigned>(std::bit_width(value)) - subBits - 1;
    const std::size_t bucket =
        (static_cast<std::size_t>(shift) << subBits) + static_cast<std::size_t>(value >> shift);
    return std::min(bucket, bucketCount - 1);
}

std::int64_t HedgeTimer::upperEdge(std::size_t bucket)
{
    if (bucket < linearLimit)
        return static_cast<std::int64_t>(bucket);
    const std::size_t shift = (bucket >> subBits) - 1;
    const std::size_t sub = bucket - (shift << subBits);
    return static_cast<std::int64_t>(((sub + 1) << shift) - 1);
}

void HedgeTimer::halve()
{
    m_sinceHalving = 0;
    m_samples = 0;
    for (std::uint32_t &count : m_counts) {
        count /= 2;
        m_samples += count;
    }
}

} // namespace savorywick
