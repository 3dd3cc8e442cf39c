// The part of Coordinator that tells workers that have crashed from those that are silent, and
// finds the runs that may be why.

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <utility>

namespace savorywick::steps {

// Notes what a call that got no answer shows of the worker. One that was silent at any time since
// it last answered may have been cut off, and is not known to have crashed.
void Coordinator::noteUnanswered(Worker &worker, CommandOutcome outcome, bool connectionClosed,
                                 Instant now)
{
    const bool unanswered = outcome == CommandOutcome::Unknown || connectionClosed;
    if (!unanswered || worker.contact == Contact::Silent)
        return;
    if (worker.contact == Contact::Answers)
        worker.contactLostAt = now;
    worker.contact = connectionClosed ? Contact::ConnectionsClosed : Contact::Silent;
}

// Records that the life of the worker that the session is with is over.
void Coordinator::endLife(Worker &worker, std::string_view why, ClockReading now)
{
    if (std::exchange(worker.lifeIsOver, true))
        return;
    const bool crashed = worker.contact != Contact::Silent && !worker.info.draining;
    if (crashed)
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
    worker.lifeIsOver = false;
    worker.contact = Contact::Answers;
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

// Returns the runs that may be why the worker crashed: those that it had started lately.
std::vector<RunKey> Coordinator::suspectsOf(const Worker &worker) const
{
    const Instant lostAt =
        worker.contact == Contact::Answers ? worker.session.lastAnswerAt() : worker.contactLostAt;
    std::vector<RunKey> suspects = m_runs.onWorker(worker.info.incarnation.workerId);
    std::erase_if(suspects, [&](const RunKey &key) {
        const Run &run = *m_runs.find(key);
        return run.phase == RunPhase::StartPending
            || lostAt - run.startedAt > m_settings.crashWindow;
    });
    return suspects;
}

// Decides how the runs that may be why the worker crashed count as ended. Those on probation were
// started where nothing else could be the cause, so they come before all others.
void Coordinator::judgeCrash(const Worker &worker, std::string_view why, ClockReading now)
{
    ++m_counters.workersCrashed;
    noteWorker(SchedulerEventKind::WorkerCrashed, worker.info.incarnation.workerId, why,
               now.monotonic - worker.session.lastAnswerAt());
    const std::vector<RunKey> suspects = suspectsOf(worker);
    if (suspects.empty())
        m_unexplainedCrashAt = now.monotonic;
    std::vector<RunKey> blamed = suspects;
    std::erase_if(blamed, [&](const RunKey &it) { return !m_runs.find(it)->onProbation; });
    if (blamed.empty())
        blamed = suspects;
    const bool chance = mayBeChance(blamed, now.monotonic);
    for (const RunKey &key : suspects) {
        Run &run = *m_runs.find(key);
        const bool isBlamed = std::find(blamed.begin(), blamed.end(), key) != blamed.end();
        run.outcomeOfCrash =
            isBlamed && !chance ? RunOutcome::CausedCrash : RunOutcome::WorkerCrashed;
        noteRun(SchedulerEventKind::RunSuspected, run, toString(*run.outcomeOfCrash),
                now.monotonic - run.startedAt);
    }
}

// Returns true if it is not certain enough that the job of these runs crashed their worker.
bool Coordinator::mayBeChance(std::span<const RunKey> blamed, Instant now) const
{
    if (blamed.empty())
        return true;
    const bool oneJob = std::all_of(blamed.begin(), blamed.end(), [&](const RunKey &it) {
        return it.task.job == blamed.front().task.job;
    });
    const bool othersCrash =
        m_unexplainedCrashAt && now - *m_unexplainedCrashAt < m_settings.unexplainedCrashMemory;
    return !oneJob || (othersCrash && !m_runs.find(blamed.front())->onProbation);
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

// Returns true if and only if a worker crashed under the task's latest run, which may be why.
bool Coordinator::isSuspected(const TaskRef &task) const
{
    const Job *job = m_table.find(task.job);
    const Task *known = job ? job->findTask(task) : nullptr;
    return known && known->suspected;
}

} // namespace savorywick::steps
