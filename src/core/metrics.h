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

// The value of one counter in a snapshot, such as {"refused", "queue-full", 12}.
struct CounterValue
{
    std::string group;
    std::string name;
    std::uint64_t count = 0;
};

// A summary of the latencies recorded under one name since the process started. Up to nine samples
// the quantiles are exact, above that they are estimates.
struct LatencySummary
{
    std::string name;
    std::uint64_t count = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double maxMs = 0;
};

// The values of all metrics at one time.
struct MetricsSnapshot
{
    std::vector<CounterValue> counters; // Sorted by group, then name.
    std::vector<LatencySummary> latencies; // Sorted by name.
};

// Estimates the quantiles of a stream of latencies in constant memory, with the P-square algorithm.
//
// Use it to report the latencies of one process. Its summaries can't be added up across processes;
// use LatencyHistogram for that. Thread-safe.
//
// Example:
//   LatencyRecorder recorder;
//   recorder.record(Millis{12});
//   const double p99Ms = recorder.summary("urgent quotes").p99Ms;
class LatencyRecorder
{
public:
    LatencyRecorder();
    ~LatencyRecorder();

    // Adds one latency.
    void record(Millis latency);
    // Returns the summary of all latencies so far under `name`; all zero if nothing was recorded.
    LatencySummary summary(std::string_view name) const;

private:
    struct Accumulator;
    mutable std::mutex m_mutex;
    std::unique_ptr<Accumulator> m_accumulator;
};

// Registry of the counters and latency recorders of one entry.
//
// Use it to create metrics by name and to read all of them in one snapshot. The references that it
// returns stay valid for as long as the registry exists. Thread-safe.
//
// Example:
//   Metrics metrics;
//   metrics.counter("refused", "queue-full").fetch_add(1);
//   metrics.latencyRecorder("urgent quotes").record(Millis{12});
class MetricsRegistry
{
public:
    using Counter = std::atomic<std::uint64_t>;

    // Returns the counter `name` of `group`, created at zero if it is new. Takes a lock: on a hot
    // path, keep the reference.
    Counter &counter(std::string_view group, std::string_view name);
    // Returns the recorder `name`, created empty if it is new. Takes a lock: on a hot path, keep
    // the reference.
    LatencyRecorder &latencyRecorder(std::string_view name);

    // Returns the current values. Counters and recorders that change meanwhile are read one after
    // another, not all at one instant.
    MetricsSnapshot snapshot() const;

private:
    using CounterKey = std::pair<std::string, std::string>;
    mutable std::mutex m_mutex;
    std::map<CounterKey, Counter> m_counters;
    std::map<std::string, LatencyRecorder, std::less<>> m_latencies;
};

// A group of counters, one for each value of an enum.
//
// Use it to count refusals, retries and the like by their reason. All counters are created by the
// constructor, so that a snapshot shows a reason that never occurred as zero. `Reason` needs a
// function toString(Reason) in its own namespace. The registry must outlive the group. Thread-safe.
//
// Example:
//   ReasonCounters<RefusalReason> refusals(metrics, "refused", allRefusalReasons);
//   refusals.add(RefusalReason::QueueFull);
template<typename Reason>
class ReasonCounters
{
public:
    // Creates a counter in `group` for each reason in `all`, named by toString().
    ReasonCounters(MetricsRegistry &metrics, std::string_view group, std::span<const Reason> all)
    {
        for (const Reason it : all)
            m_counters.emplace(it, &metrics.counter(group, toString(it)));
    }

    // Adds one to the counter of `reason`. Throws std::out_of_range if the constructor wasn't given
    // it.
    void add(Reason reason) { m_counters.at(reason)->fetch_add(1, std::memory_order_relaxed); }

private:
    std::map<Reason, MetricsRegistry::Counter *> m_counters;
};

} // namespace savorywick
