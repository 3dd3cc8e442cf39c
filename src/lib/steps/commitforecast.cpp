#include "savorywick/steps/commitforecast.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

// The weights of a new sample, one part in this many. Half makes the mean follow a store that has
// become slow, or fast again, within a few commits.
constexpr std::int64_t meanSmoothing = 2;
constexpr std::int64_t deviationSmoothing = 4;
constexpr std::int64_t deviationsAboveMean = 2;

Millis distance(Millis a, Millis b)
{
    return std::max(a - b, b - a);
}

} // namespace

void CommitForecast::commitSent(Instant now)
{
    if (!m_sentAt)
        m_sentAt = now;
}

void CommitForecast::attemptUnanswered()
{
    m_unanswered = true;
}

void CommitForecast::commitSucceeded(Instant now)
{
    m_unanswered = false;
    if (!m_sentAt)
        return;
    const Millis taken = now - *m_sentAt;
    m_sentAt.reset();
    const bool isFirst = !m_measuredAt || now - *m_measuredAt > m_settings.maxSampleAge;
    m_measuredAt = now;
    if (isFirst) {
        m_meanLatency = taken;
        m_meanDeviation = {};
        return;
    }
    const Millis deviation = distance(taken, m_meanLatency);
    m_meanDeviation = (m_meanDeviation * (deviationSmoothing - 1) + deviation) / deviationSmoothing;
    m_meanLatency = (m_meanLatency * (meanSmoothing - 1) + taken) / meanSmoothing;
}

void CommitForecast::commitEnded()
{
    m_sentAt.reset();
    m_unanswered = false;
}

Millis CommitForecast::measuredLatency(Instant now) const
{
    if (!m_measuredAt || now - *m_measuredAt > m_settings.maxSampleAge)
        return {};
    return m_meanLatency + m_meanDeviation * deviationsAboveMean;
}

Millis CommitForecast::timeInFlight(Instant now, Millis ownDelay) const
{
    return m_sentAt ? std::max(now - *m_sentAt - ownDelay, Millis{0}) : Millis{0};
}

Millis CommitForecast::expectedLatency(Instant now, Millis ownDelay) const
{
    return std::max(measuredLatency(now), timeInFlight(now, ownDelay));
}

// The change waits for the commit in flight, then for its own.
Instant CommitForecast::durableAt(Instant now, Millis ownDelay) const
{
    const Millis inFlight = timeInFlight(now, ownDelay);
    const Millis rest = m_sentAt ? std::max(measuredLatency(now) - inFlight, Millis{0}) : Millis{0};
    return now + rest + expectedLatency(now, ownDelay);
}

bool CommitForecast::mayAccept(std::optional<Instant> answerDueAt, Instant now,
                               Millis ownDelay) const
{
    if (!m_settings.useCallerTime || !answerDueAt || m_unanswered)
        return timeInFlight(now, ownDelay) <= m_settings.slowCommitThreshold;
    return durableAt(now, ownDelay) <= *answerDueAt;
}

} // namespace savorywick::steps
