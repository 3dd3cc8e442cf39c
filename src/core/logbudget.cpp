#include "core/logbudget.h"

#include <utility>

namespace savorywick {

namespace {

constexpr Millis second{1'000};

} // namespace

LogBudget::LogBudget(LogLimits limits)
    : m_limits(limits)
{ }

bool LogBudget::take(LogWeight weight, Instant now)
{
    if (now - m_secondStart >= second) {
        m_secondStart = now;
        m_routineLines = 0;
        m_allLines = 0;
    }
    const bool routine = weight == LogWeight::Routine;
    if (m_allLines >= m_limits.allLines || (routine && m_routineLines >= m_limits.routineLines)) {
        ++(routine ? m_dropped.routine : m_dropped.notable);
        return false;
    }
    ++m_allLines;
    m_routineLines += routine ? 1 : 0;
    return true;
}

LogBudget::Dropped LogBudget::takeDropped()
{
    return std::exchange(m_dropped, {});
}

} // namespace savorywick
