#pragma once

#include "savorywick/clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// One counter as a snapshot shows it, such as {"refused", "queue-full", 12}.
struct CounterValue
{
    std::string group;
    std::string name;
    std::uint64_t count = 0;
};

// The latencies recorded under one name since the start. Quantiles are estimates.
struct LatencyValue
{
    std::string name;
    std::uint64_t count = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double maxMs = 0;
};

struct MetricsSnapshot
{
    std::vector<CounterValue> counters; // In order of group and name.
    std::vector<LatencyValue> latencies; // In order of name.
};

// Estimates the quantiles of a stream of latencies in constant memory. Thread-safe.
class LatencyRecorder
{
public:
    LatencyRecorder();
    ~LatencyRecorder();

    void record(Millis latency);
    // Returns the estimates so far; all zero if nothing was recorded.
    LatencyValue value(std::string_view name) const;

private:
    struct Accumulator;
    mutable std::mutex m_mutex;
    std::unique_ptr<Accumulator> m_accumulator;
};

// The counters and latencies of one entry. Thread-safe; what it hands out lives as long as it.
//
// Example:
//   Metrics metrics;
//   metrics.counter("refused", "queue-full").fetch_add(1);
//   metrics.latency("urgent quotes").record(Millis{12});
class Metrics
{
public:
    using Counter = std::atomic<std::uint64_t>;

    // Returns the counter of that name, created at zero. Keep the reference on a hot path.
    Counter &counter(std::string_view group, std::string_view name);
    // Returns the recorder of that name, created empty. Keep the reference on a hot path.
    LatencyRecorder &latency(std::string_view name);

    MetricsSnapshot snapshot() const;

private:
    using CounterKey = std::pair<std::string, std::string>;
    mutable std::mutex m_mutex;
    std::map<CounterKey, Counter> m_counters;
    std::map<std::string, LatencyRecorder, std::less<>> m_latencies;
};

// Counts by a typed reason: one counter a value of the enum, each shown even at zero.
//
// `Reason` needs a toString(Reason) found by its namespace. Thread-safe.
//
// Example:
//   ReasonCounters<RefusalReason> refused(metrics, "refused", allRefusalReasons);
//   refused.add(RefusalReason::QueueFull);
template<typename Reason>
class ReasonCounters
{
public:
    ReasonCounters(Metrics &metrics, std::string_view group, std::span<const Reason> all)
    {
        for (const Reason it : all)
            m_counters.emplace(it, &metrics.counter(group, toString(it)));
    }

    // Adds one to `reason`, which must be one of the constructor's.
    void add(Reason reason) { m_counters.at(reason)->fetch_add(1, std::memory_order_relaxed); }

private:
    std::map<Reason, Metrics::Counter *> m_counters;
};

} // namespace savorywick
