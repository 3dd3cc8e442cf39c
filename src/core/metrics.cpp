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

constexpr std::array<double, 3> probabilities{0.5, 0.99, 0.999};

// The estimator needs as many samples as it has markers before its quantiles mean anything.
constexpr std::size_t exactSamples = 2 * probabilities.size() + 3;

} // namespace

struct LatencyRecorder::Accumulator
{
    AccumulatorSet set{accumulators::tag::extended_p_square::probabilities = probabilities};
    std::vector<double> first; // The first samples, from which few of them are told exactly.

    // Returns the estimate for probabilities[i].
    double quantile(std::size_t i) const
    {
        if (accumulators::count(set) > first.size())
            return accumulators::extended_p_square(set)[static_cast<std::ptrdiff_t>(i)];
        std::vector<double> sorted = first;
        std::sort(sorted.begin(), sorted.end());
        const double rank = probabilities[i] * static_cast<double>(sorted.size());
        return sorted[std::min(static_cast<std::size_t>(rank), sorted.size() - 1)];
    }
};

LatencyRecorder::LatencyRecorder()
    : m_accumulator(std::make_unique<Accumulator>())
{
    m_accumulator->first.reserve(exactSamples);
}

LatencyRecorder::~LatencyRecorder() = default;

void LatencyRecorder::record(Millis latency)
{
    const auto ms = static_cast<double>(latency.count());
    const std::lock_guard lock(m_mutex);
    m_accumulator->set(ms);
    if (m_accumulator->first.size() < exactSamples)
        m_accumulator->first.push_back(ms);
}

LatencyValue LatencyRecorder::value(std::string_view name) const
{
    const std::lock_guard lock(m_mutex);
    LatencyValue value;
    value.name = name;
    value.count = accumulators::count(m_accumulator->set);
    if (value.count == 0)
        return value;
    value.p50Ms = m_accumulator->quantile(0);
    value.p99Ms = m_accumulator->quantile(1);
    value.p999Ms = m_accumulator->quantile(2);
    value.maxMs = accumulators::max(m_accumulator->set);
    return value;
}

Metrics::Counter &Metrics::counter(std::string_view group, std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    return m_counters[{std::string(group), std::string(name)}];
}

LatencyRecorder &Metrics::latency(std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_latencies.find(name);
    if (it != m_latencies.end())
        return it->second;
    return m_latencies[std::string(name)];
}

MetricsSnapshot Metrics::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    MetricsSnapshot snapshot;
    for (const auto &[key, counter] : m_counters)
        snapshot.counters.push_back({key.first, key.second, counter.load()});
    for (const auto &[name, recorder] : m_latencies)
        snapshot.latencies.push_back(recorder.value(name));
    return snapshot;
}

} // namespace savorywick
