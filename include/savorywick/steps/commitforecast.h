#pragma once

#include "savorywick/clock.h"

#include <optional>

namespace savorywick::steps {

// How a CommitForecast measures commits.
struct CommitForecastSettings
{
    // Without a time by which the caller needs the answer, or once an attempt to commit has ended
    // without an answer, a commit in flight for longer marks the store as unhealthy.
    Millis slowCommitThreshold{700};
    // If false, the caller's time is ignored and only the threshold counts.
    bool useCallerTime = true;
    // A latency that was measured longer ago is ignored. Otherwise a shard that refuses everything
    // would commit nothing, measure nothing and never accept again.
    Millis maxSampleAge{2'000};
};

// Predicts when a change that is made now will be durable, and decides by that whether an owner may
// accept a request whose caller needs the answer at a known time.
//
// A slow store is not an unavailable one: a commit may take long as long as it ends in time for the
// caller. The prediction is the mean commit latency plus twice its mean deviation, at least as long
// as the commit in flight has taken, and what is left of that commit comes first. Use one for each
// shard. It is pure and not thread-safe.
//
// Example:
//   forecast.commitSent(clock.now());
//   ...
//   if (!forecast.mayAccept(answerDueAt, clock.now(), Millis{0}))
//       refuse(request);
class CommitForecast
{
public:
    explicit CommitForecast(const CommitForecastSettings &settings)
        : m_settings(settings)
    { }

    // Records that a commit is sent. One that is sent again keeps the time of its first attempt.
    void commitSent(Instant now);
    // Records that an attempt ended without an answer, so that its outcome is unknown.
    void attemptUnanswered();
    // Records that the commit in flight took effect. Its time is a new sample.
    void commitSucceeded(Instant now);
    // Records that the commit in flight ended in another way: it had no effect, or its time is not
    // known.
    void commitEnded();

    // Returns true if and only if a change that is made now is likely to be durable by
    // `answerDueAt`. `ownDelay` is how late this process may notice the end of a commit.
    bool mayAccept(std::optional<Instant> answerDueAt, Instant now, Millis ownDelay) const;
    // Returns how long the next commit is expected to take; zero if nothing is known.
    Millis expectedLatency(Instant now, Millis ownDelay) const;

private:
    Millis measuredLatency(Instant now) const;
    Millis timeInFlight(Instant now, Millis ownDelay) const;
    Instant durableAt(Instant now, Millis ownDelay) const;

    const CommitForecastSettings m_settings;
    std::optional<Instant> m_sentAt; // Of the commit in flight.
    bool m_unanswered = false; // The last attempt that ended had no answer.
    std::optional<Instant> m_measuredAt; // When the last commit succeeded.
    Millis m_meanLatency;
    Millis m_meanDeviation;
};

} // namespace savorywick::steps
