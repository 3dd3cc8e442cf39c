#include "node/stoptimes.h"

#include <algorithm>

namespace savorywick {

namespace {

// The parts of the grace period after which answers are due, the session ends and the loop stops
// with connections open if need be.
constexpr std::int64_t answersDuePercent = 65;
constexpr std::int64_t endSessionPercent = 85;
constexpr std::int64_t leavePercent = 95;
constexpr std::int64_t wholePercent = 100;

// The next check comes one lag later at least, and the lag varies. A process that was frozen once
// has a high lag for a moment; the limit leaves it time to answer what has arrived meanwhile.
constexpr std::int64_t lagsToNextCheck = 2;
constexpr std::int64_t maxAllowancePercent = 15;

Millis percentOf(Millis whole, std::int64_t percent)
{
    return Millis{whole.count() * percent / wholePercent};
}

} // namespace

StopTimes::StopTimes(Millis gracePeriod, Instant now, Millis lag)
    : m_gracePeriod(gracePeriod)
    , m_startedAt(now - lag)
    , m_highestLag(lag)
{ }

void StopTimes::observeLag(Millis lag)
{
    m_highestLag = std::max(m_highestLag, lag);
}

Instant StopTimes::answersDueAt() const
{
    return m_startedAt + percentOf(m_gracePeriod, answersDuePercent);
}

bool StopTimes::wouldMiss(std::int64_t percent, Instant now) const
{
    const Instant latest = m_startedAt + percentOf(m_gracePeriod, percent);
    const Millis allowance =
        std::min(m_highestLag * lagsToNextCheck, percentOf(m_gracePeriod, maxAllowancePercent));
    return now + allowance >= latest;
}

bool StopTimes::mustEndSession(Instant now) const
{
    return wouldMiss(endSessionPercent, now);
}

bool StopTimes::mustLeave(Instant now) const
{
    return wouldMiss(leavePercent, now);
}

} // namespace savorywick
