#pragma once

#include "savorywick/clock.h"

namespace savorywick {

// The limits of a WorkPacer.
struct WorkPacerSettings
{
    int pausePerWork = 3; // The pause after a piece of work, in multiples of the time it took.
    Millis maxPause{500};
};

// Bounds the share of an event loop's time that a recurring piece of work takes, however long each
// piece takes: by default to a quarter. The rest is left for messages.
//
// Use it for work that many events ask for and that serves all of them at once. On an idle loop the
// pieces are short, and so are the pauses. It is pure and not thread-safe.
//
// Example:
//   if (pacer.mayBegin(clock.now())) {
//       const Instant beganAt = clock.now();
//       work();
//       pacer.recordWork(beganAt, clock.now());
//   } else {
//       workAt(pacer.nextBeginAt());
//   }
class WorkPacer
{
public:
    explicit WorkPacer(const WorkPacerSettings &settings)
        : m_settings(settings)
    { }

    // Returns true if and only if the next piece may begin now.
    bool mayBegin(Instant now) const { return now >= m_nextBeginAt; }
    // Returns when the next piece may begin.
    Instant nextBeginAt() const { return m_nextBeginAt; }
    // Records a piece of work.
    void recordWork(Instant beganAt, Instant endedAt);

private:
    const WorkPacerSettings m_settings;
    Instant m_nextBeginAt;
};

} // namespace savorywick
