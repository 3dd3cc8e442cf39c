#include "net/eventloopmonitor.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace savorywick {

EventLoopMonitor::EventLoopMonitor(EventLoop &loop, const Clock &clock)
    : m_loop(loop)
    , m_clock(clock)
{ }

EventLoopMonitor::~EventLoopMonitor()
{
    m_loop.cancel(m_timer);
}

void EventLoopMonitor::start()
{
    scheduleProbe();
}

void EventLoopMonitor::scheduleProbe()
{
    m_probeDueAt = m_clock.now() + probeInterval;
    m_timer = m_loop.runAfter(probeInterval, [this] { recordProbe(); });
}

void EventLoopMonitor::recordProbe()
{
    const Instant now = m_clock.now();
    // A timer may fire a millisecond early by a clock that rounds.
    m_lastLag = std::max(Millis{0}, now - *m_probeDueAt);
    m_lags.record(m_lastLag);
    m_maxLag = std::max(m_maxLag, m_lastLag);
    m_maxUnloggedLag = std::max(m_maxUnloggedLag, m_lastLag);
    logIfLate(now);
    scheduleProbe();
}

void EventLoopMonitor::logIfLate(Instant now)
{
    if (m_maxUnloggedLag <= lateThreshold)
        return;
    if (m_loggedAt && now - *m_loggedAt < logInterval)
        return;
    m_loggedAt = now;
    logWarning(
        "event-loop-late",
        {{"lagMs", m_lastLag.count()}, {"maxLagMs", std::exchange(m_maxUnloggedLag, {}).count()}});
}

Millis EventLoopMonitor::lag() const
{
    if (!m_probeDueAt)
        return {};
    return std::max(m_lastLag, m_clock.now() - *m_probeDueAt);
}

Millis EventLoopMonitor::takeMaxLag()
{
    return std::max(lag(), std::exchange(m_maxLag, {}));
}

} // namespace savorywick
