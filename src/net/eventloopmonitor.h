#pragma once

#include "core/latencyhistogram.h"
#include "net/eventloop.h"
#include "savorywick/clock.h"

#include <optional>

namespace savorywick {

// Measures how late an event loop runs what is due: its lag.
//
// Use one for each event loop whose thread may be saturated or starved of processor time. A probe
// timer fires each `probeInterval`; how late it fires is the lag, which every other timer, message
// and posted callback shares. Not thread-safe.
//
// Example:
//   EventLoopMonitor monitor(loop, clock);
//   monitor.start();
//   ...
//   if (monitor.lag() > Millis{500})
//       refuse(request);
class EventLoopMonitor
{
public:
    static constexpr Millis probeInterval{100};
    static constexpr Millis lateThreshold{200}; // A higher lag is logged.
    static constexpr Millis logInterval{1'000}; // The shortest time between two such log lines.

    // All references must outlive this object.
    EventLoopMonitor(EventLoop &loop, const Clock &clock);
    ~EventLoopMonitor();
    EventLoopMonitor(const EventLoopMonitor &) = delete;
    EventLoopMonitor &operator=(const EventLoopMonitor &) = delete;

    // Begins to measure. Call it once.
    void start();
    // Returns the present lag: that of the last probe, or how late the next one is already if that
    // is more.
    Millis lag() const;
    // Returns the highest lag since the last call.
    Millis takeMaxLag();
    // Returns the lags of all probes.
    const LatencyHistogram &lags() const { return m_lags; }

private:
    void scheduleProbe();
    void recordProbe();
    void logIfLate(Instant now);

    EventLoop &m_loop;
    const Clock &m_clock;
    EventLoop::TimerId m_timer = 0;
    std::optional<Instant> m_probeDueAt; // Unset until start() is called.
    Millis m_lastLag;
    Millis m_maxLag;
    Millis m_maxUnloggedLag;
    std::optional<Instant> m_loggedAt;
    LatencyHistogram m_lags;
};

} // namespace savorywick
