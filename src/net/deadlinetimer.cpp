#include "net/deadlinetimer.h"

#include <utility>

namespace savorywick {

DeadlineTimer::DeadlineTimer(EventLoop &loop)
    : m_loop(loop)
{ }

DeadlineTimer::~DeadlineTimer()
{
    m_loop.cancel(m_timer);
}

DeadlineTimer::Handle DeadlineTimer::add(Millis delay, EventLoop::Callback callback)
{
    const auto at = Clock::now() + std::chrono::milliseconds(delay.count());
    const Handle deadline = m_deadlines.emplace(at, std::move(callback));
    if (at < m_armedFor)
        arm();
    return deadline;
}

void DeadlineTimer::remove(Handle deadline)
{
    m_deadlines.erase(deadline);
}

void DeadlineTimer::arm()
{
    m_loop.cancel(m_timer);
    m_armedFor = m_deadlines.begin()->first;
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(m_armedFor - Clock::now());
    m_timer = m_loop.runAfter(Millis{delay.count()}, [this] { fire(); });
}

void DeadlineTimer::fire()
{
    const auto now = Clock::now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const EventLoop::Callback callback = std::move(m_deadlines.begin()->second);
        m_deadlines.erase(m_deadlines.begin());
        callback();
    }
    m_armedFor = Clock::time_point::max();
    if (!m_deadlines.empty())
        arm();
}

} // namespace savorywick
