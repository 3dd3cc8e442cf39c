#pragma once

#include "core/prometheuswriter.h"
#include "net/eventloop.h"
#include "net/eventloopmonitor.h"
#include "savorywick/clock.h"

#include <functional>

namespace savorywick {

// Reports what the process uses and how far behind its event loop is, each `reportInterval`.
//
// Use one per process. Not thread-safe.
//
// Example:
//   LoadReporter reporter(loop, clock, [&](Millis processorTime, Millis maxLag) {
//       logShardLoad(shard, runner.takeLoad(), processorTime, maxLag);
//   });
//   reporter.start();
class LoadReporter
{
public:
    // Takes the processor time and the highest event loop lag of the interval.
    using Listener = std::function<void(Millis processorTime, Millis maxLag)>;

    static constexpr Millis reportInterval{1'000};

    // All references must outlive this object.
    LoadReporter(EventLoop &loop, const Clock &clock, Listener listener);
    ~LoadReporter();
    LoadReporter(const LoadReporter &) = delete;
    LoadReporter &operator=(const LoadReporter &) = delete;

    // Begins to measure and to report. Call it once.
    void start();
    // Returns the present lag of the event loop.
    Millis lag() const { return m_monitor.lag(); }
    // Writes the metrics of the process and of its event loop.
    void writeMetrics(PrometheusWriter &out) const;

private:
    void report();

    EventLoop &m_loop;
    EventLoopMonitor m_monitor;
    Listener m_listener;
    EventLoop::TimerId m_timer = 0;
    Millis m_reportedProcessorTime;
};

} // namespace savorywick
