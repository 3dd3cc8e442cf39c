#pragma once

#include "savorywick/clock.h"

#include <cstdint>

namespace savorywick {

// Decides when a stopping entry goes on to the next phase, so that it has ended before the platform
// kills it at the end of the grace period.
//
// The signal and each timer are handled late by the lag of the event loop. The grace period counts
// from the time at which the signal came, and a phase ends early if its next check would be too
// late. On a prompt loop the times are fixed parts of the grace period. It is pure and not
// thread-safe.
//
// Example:
//   StopTimes times(gracePeriod, clock.now(), loopLag);
//   ...
//   times.observeLag(loopLag);
//   if (times.mustLeave(clock.now()))
//       loop.stop();
class StopTimes
{
public:
    // `lag` is how late the event loop handled the signal at `now`.
    StopTimes(Millis gracePeriod, Instant now, Millis lag);

    // Takes in the present lag of the event loop. The highest one counts.
    void observeLag(Millis lag);

    // Returns when the signal came.
    Instant startedAt() const { return m_startedAt; }
    // Returns by when all requests that were read must have a response.
    Instant answersDueAt() const;
    // Returns true if and only if the session must end, whatever is open.
    bool mustEndSession(Instant now) const;
    // Returns true if and only if the loop must stop, whatever is open.
    bool mustLeave(Instant now) const;

private:
    bool wouldMiss(std::int64_t percent, Instant now) const;

    Millis m_gracePeriod;
    Instant m_startedAt;
    Millis m_highestLag;
};

} // namespace savorywick
