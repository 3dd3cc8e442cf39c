// The part of Coordinator that tells workers that have crashed from those that are silent, and
// finds the runs that may be why.

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <utility>

namespace savorywick::steps {

// Notes what a call that got no answer shows of the worker.
void Coordinator::noteUnanswered(Worker &worker, CommandOutcome outcome, bool connectionClosed,
                                 Instant now)
{
    const bool unanswered = outcome == CommandOutcome::Unknown || connectionClosed;
    if (!unanswered)
        return;
    worker.lastCallClosed = connectionClosed;
    if (connectionClosed && !worker.closedAt)
        worker.closedAt = now;
}

// Notes that the life of the worker that the session is with has answered a renewal. Answers to
// other orders don't tell which life they are of.
void Coordinator::noteAnswered(Worker &worker, Instant now)
{
    const auto node = m_crashedLives.extract(worker.session.incarnation());
    if (!node.empty())
        noteWorker(SchedulerEventKind::WorkerNotCrashed, worker.info.incarnation.workerId,
                   "answered", now - node.mapped());
    forgetSilence(worker);
}

// Forgets what calls without an answer have shown of the worker's life.
void Coordinator::forgetSilence(Worker &worker)
{
    worker.closedAt.reset();
    worker.lastCallClosed = false;
    worker.lifeIsOver = false;
}

// Returns true if the worker, whose life is over, answered until shortly before its end and did not
// leave.
bool Coordinator::hasCrashed(const Worker &worker, Instant now) const
{
    const Millis silence = worker.closedAt.value_or(now) - worker.session.lastAnswerAt();
    return !worker.info.draining && silence <= m_settings.maxSilenceBeforeCrash;
}

// Records that the life of the worker that the session is with is over.
void Coordinator::endLife(Worker &worker, std::string_view why, ClockReading now)
{
    if (std::exchange(worker.lifeIsOver, true))
        return;
    if (hasCrashed(worker, now.monotonic))
        judgeCrash(worker, why, now);
}

// Begins a session with another life of the worker under the same id, if it is another one.
void Coordinator::meetLife(Worker &worker, const WorkerIncarnation &life, ClockReading now)
{
    if (life == worker.session.incarnation())
        return;
    const bool startKnown = worker.session.incarnation().startedWallMs != 0;
    if (startKnown) // Otherwise it may be the same life.
        endLife(worker, "restarted", now);
    forgetSilence(worker);
}

// Ends the runs of a worker at whose address another one answers. They are over, whatever is left
// of their lease, and no order for them can take effect any more.
void Coordinator::meetOtherWorker(Worker &worker, ClockReading now)
{
    if (!worker.lifeIsOver)
        worker.session.raiseFence(now.monotonic); // A renewal confirms it at once.
    endLife(worker, "other-life", now);
    for (const RunKey &key : m_runs.onWorker(worker.info.incarnation.workerId)) {
        if (m_runs.find(key)->phase != RunPhase::StartPending)
            endRun(key, RunOutcome::LeaseExpired, {}, now);
    }
}

// Returns the runs that the worker had started within `window` before it was lost.
std::vector<RunKey> Coordinator::runsStartedWithin(const Worker &worker, Millis window) const
{
    const Instant lostAt = worker.closedAt.value_or(worker.session.lastAnswerAt());
    std::vector<RunKey> runs = m_runs.onWorker(worker.info.incarnation.workerId);
    std::erase_if(runs, [&](const RunKey &key) {
        const Run &run = *m_runs.find(key);
        return run.phase == RunPhase::StartPending || lostAt - run.startedAt > window;
    });
    return runs;
}

// Decides how the runs that may be why the worker crashed count as ended. What was started at the
// last moment is the likely cause; where that is not certain, all that were started lately may be.
void Coordinator::judgeCrash(const Worker &worker, std::string_view why, ClockReading now)
{
    ++m_counters.workersCrashed;
    m_crashedLives[worker.session.incarnation()] = now.monotonic;
    noteWorker(SchedulerEventKind::WorkerCrashed, worker.info.incarnation.workerId, why,
               now.monotonic - worker.session.lastAnswerAt());
    const std::vector<RunKey> suspects = runsStartedWithin(worker, m_settings.crashWindow);
    if (suspects.empty())
        m_unexplainedCrashAt = now.monotonic;
    std::vector<RunKey> causes = runsStartedWithin(worker, m_settings.promptCrashWindow);
    if (causes.empty())
        causes = suspects;
    const bool certain = areCertainCause(causes, now.monotonic);
    for (const RunKey &key : suspects) {
        Run &run = *m_runs.find(key);
        const bool isCause =
            certain && std::find(causes.begin(), causes.end(), key) != causes.end();
        run.outcomeOfCrash = isCause ? RunOutcome::CausedCrash : RunOutcome::WorkerCrashed;
        noteRun(SchedulerEventKind::RunSuspected, run, toString(*run.outcomeOfCrash),
                now.monotonic - run.startedAt);
    }
}

// Returns true if it is certain enough that a run of these crashed their worker, and of which job
// it is. A run that the worker has not confirmed may never have started there.
bool Coordinator::areCertainCause(std::span<const RunKey> causes, Instant now) const
{
    if (causes.empty())
        return false;
    const Run &first = *m_runs.find(causes.front());
    const bool ofOneJob = std::all_of(causes.begin(), causes.end(), [&](const RunKey &it) {
        return it.task.job == first.key.task.job;
    });
    const bool confirmed = std::all_of(causes.begin(), causes.end(), [&](const RunKey &it) {
        return m_runs.find(it)->phase == RunPhase::Running;
    });
    const bool othersCrash =
        m_unexplainedCrashAt && now - *m_unexplainedCrashAt < m_settings.unexplainedCrashMemory;
    return ofOneJob && confirmed && (first.onProbation || !othersCrash);
}

// Ends the probation of a run that has lasted.
void Coordinator::clearIfLasting(Worker &worker, Run &run)
{
    const bool lasting =
        worker.session.answeredRenewalSentAt() - run.startedAt > m_settings.crashWindow;
    if (!run.onProbation || !lasting)
        return;
    run.onProbation = false;
    worker.runSummaryStale = true;
    m_placementNeeded = true;
    appendRecord(TaskCleared{run.key.task});
    noteRun(SchedulerEventKind::RunCleared, run, "lasting",
            worker.session.answeredRenewalSentAt() - run.startedAt);
}

// Returns true if and only if a worker crashed under a run of the task, which may be why, and none
// has lasted since.
bool Coordinator::isSuspected(const TaskRef &task) const
{
    const Job *job = m_table.find(task.job);
    const Task *known = job ? job->findTask(task) : nullptr;
    return known && known->crashes > 0;
}

} // namespace savorywick::steps
