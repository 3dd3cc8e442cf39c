#include "node/loadreporter.h"

#include "core/processusage.h"

#include <utility>

namespace savorywick {

LoadReporter::LoadReporter(EventLoop &loop, const Clock &clock, Listener listener)
    : m_loop(loop)
    , m_monitor(loop, clock)
    , m_listener(std::move(listener))
{ }

LoadReporter::~LoadReporter()
{
    m_loop.cancel(m_timer);
}

void LoadReporter::start()
{
    m_monitor.start();
    m_reportedProcessorTime = processUsage().processorTime;
    m_timer = m_loop.runAfter(reportInterval, [this] { report(); });
}

void LoadReporter::report()
{
    const Millis processorTime = processUsage().processorTime;
    const Millis inInterval = processorTime - std::exchange(m_reportedProcessorTime, processorTime);
    m_listener(inInterval, m_monitor.takeMaxLag());
    m_timer = m_loop.runAfter(reportInterval, [this] { report(); });
}

void LoadReporter::writeMetrics(PrometheusWriter &out) const
{
    const ProcessUsage usage = processUsage();
    out.writeCounter("process_cpu_ms_total",
                     static_cast<std::uint64_t>(usage.processorTime.count()));
    out.writeGauge("process_peak_memory_bytes", usage.peakMemoryBytes);
    out.writeHistogram("event_loop_lag_ms", m_monitor.lags());
}

} // namespace savorywick
