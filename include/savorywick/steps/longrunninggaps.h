#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorywick::steps {

// How long a long-running task had no run, and on what it waited.
struct LongRunningGap
{
    // Since a worker last answered for its last run; since the takeover if none has answered this
    // owner for it.
    Millis total;
    // The part of `total` until this owner knew that the run was over, such as the rest of a lease.
    Millis untilKnown;
    // The other part: until a worker was chosen for the next run.
    Millis untilPlaced;
    RunOutcome outcome = RunOutcome::Done; // Of the last run.
    bool sinceTakeover = false; // `total` counts from the takeover: the gap may be longer.
    std::uint64_t epoch = 0; // Of this owner.
};

// Measures for how long long-running tasks have no run, for logs and metrics.
//
// Use one for each owner of a shard. A run of an earlier owner counts as missing from the takeover
// until a worker reports it. Not thread-safe.
//
// Example:
//   gaps.noteEnd(task, RunOutcome::LeaseExpired, lastAnswerAt, now);
//   ...
//   if (const auto gap = gaps.noteStart(task, now))
//       log(*gap);
class LongRunningGaps
{
public:
    explicit LongRunningGaps(std::uint64_t epoch)
        : m_epoch(epoch)
    { }

    // Notes that an earlier owner recorded a run of the task, of which nothing is known yet.
    void noteAdopted(const TaskRef &task, Instant takenOverAt);
    // Notes that a worker reports a run of the task.
    void noteSeen(const TaskRef &task);
    // Notes that the task's run was found to be over. Its worker last answered at `lastAnsweredAt`.
    void noteEnd(const TaskRef &task, RunOutcome outcome, Instant lastAnsweredAt, Instant now);
    // Notes that the task's next run was placed. Returns the gap, if the task had a run before.
    std::optional<LongRunningGap> noteStart(const TaskRef &task, Instant now);
    // Forgets the tasks of a job that has ended or left.
    void forgetJob(const std::string &job);

    // Returns for how long the task without a run that lost its last one first has had none, or 0.
    Millis longest(Instant now) const;

private:
    struct OpenGap
    {
        Instant since;
        std::optional<Instant> knownAt; // When its last run was known to be over.
        RunOutcome outcome = RunOutcome::Done;
        bool sinceTakeover = false;
    };

    std::uint64_t m_epoch;
    std::map<TaskRef, OpenGap> m_open;
};

} // namespace savorywick::steps
