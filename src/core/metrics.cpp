#include "core/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>

namespace savorywick {

namespace {

namespace accumulators = boost::accumulators;
using Statistics = accumulators::stats<accumulators::tag::count, accumulators::tag::max,
                                       accumulators::tag::extended_p_square>;
using AccumulatorSet = accumulators::accumulator_set<double, Statistics>;

constexpr std::array<double, 3> quantileProbabilities{0.5, 0.99, 0.999};

// The P-square estimator has 2n + 3 markers for n quantiles, and its estimates mean nothing until
// each marker holds a sample. Up to this many samples, quantiles are computed exactly.
constexpr std::size_t maxExactSamples = 2 * quantileProbabilities.size() + 3;

} // namespace

struct LatencyRecorder::Accumulator
{
    AccumulatorSet statistics{accumulators::tag::extended_p_square::probabilities =
                                  quantileProbabilities};
    std::vector<double> firstSamples; // At most maxExactSamples, in order of arrival.

    // Returns the quantile of quantileProbabilities[i]; at least one sample must have been added.
    double quantile(std::size_t i) const
    {
        if (accumulators::count(statistics) > firstSamples.size())
            return accumulators::extended_p_square(statistics)[static_cast<std::ptrdiff_t>(i)];
        std::vector<double> sorted = firstSamples;
        std::sort(sorted.begin(), sorted.end());
        const double rank = quantileProbabilities[i] * static_cast<double>(sorted.size());
        return sorted[std::min(static_cast<std::size_t>(rank), sorted.size() - 1)];
    }
};

LatencyRecorder::LatencyRecorder()
    : m_accumulator(std::make_unique<Accumulator>())
{
    m_accumulator->firstSamples.reserve(maxExactSamples);
}

LatencyRecorder::~LatencyRecorder() = default;

void LatencyRecorder::record(Millis latency)
{
    const auto ms = static_cast<double>(latency.count());
    const std::lock_guard lock(m_mutex);
    m_accumulator->statistics(ms);
    if (m_accumulator->firstSamples.size() < maxExactSamples)
        m_accumulator->firstSamples.push_back(ms);
}

LatencySummary LatencyRecorder::summary(std::string_view name) const
{
    const std::lock_guard lock(m_mutex);
    LatencySummary summary;
    summary.name = name;
    summary.count = accumulators::count(m_accumulator->statistics);
    if (summary.count == 0)
        return summary;
    summary.p50Ms = m_accumulator->quantile(0);
    summary.p99Ms = m_accumulator->quantile(1);
    summary.p999Ms = m_accumulator->quantile(2);
    summary.maxMs = accumulators::max(m_accumulator->statistics);
    return summary;
}

MetricsRegistry::Counter &MetricsRegistry::counter(std::string_view group, std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    return m_counters[{std::string(group), std::string(name)}];
}

LatencyRecorder &MetricsRegistry::latencyRecorder(std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_latencies.find(name);
    if (it != m_latencies.end())
        return it->second;
    return m_latencies[std::string(name)];
}

MetricsSnapshot MetricsRegistry::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    MetricsSnapshot snapshot;
    for (const auto &[key, counter] : m_counters)
        snapshot.counters.push_back({key.first, key.second, counter.load()});
    for (const auto &[name, recorder] : m_latencies)
        snapshot.latencies.push_back(recorder.summary(name));
    return snapshot;
}

} // namespace savorywick
