// The part of Coordinator that charges tasks with the crashes of workers, as CrashJudge finds them.

#include "savorywick/steps/coordinator.h"

#include <utility>

namespace savorywick::steps {

namespace {

SchedulerEventKind eventFor(LifeVerdict verdict)
{
    switch (verdict) {
    case LifeVerdict::Crashed:
        return SchedulerEventKind::WorkerCrashed;
    case LifeVerdict::NotCrashed:
        return SchedulerEventKind::WorkerNotCrashed;
    case LifeVerdict::Unknown:
        return SchedulerEventKind::WorkerNotBack;
    }
    return SchedulerEventKind::WorkerNotBack;
}

} // namespace

// Notes that the worker's host has closed or refused a connection.
void Coordinator::noteConnectionClosed(Worker &worker, Instant now)
{
    if (!worker.closedAt)
        worker.closedAt = now;
}

// Notes that the life of the worker that the session is with has answered a renewal. Answers to
// other orders don't tell which life they are of.
void Coordinator::noteAnswered(Worker &worker, ClockReading now)
{
    const WorkerIncarnation &life = worker.session.incarnation();
    if (m_table.lostLife(life))
        settleLife({life, LifeVerdict::NotCrashed, "answered"}, now);
    worker.closedAt.reset();
    worker.lifeIsOver = false;
}

LifeObservation Coordinator::observationOf(const Worker &worker)
{
    return {worker.session.lastAnswerAt(), worker.closedAt, worker.info.draining};
}

// Returns the runs on the worker that it may have started, and of which it is not known yet how
// they count as ended.
std::vector<RunObservation> Coordinator::observedRunsOn(const Worker &worker) const
{
    std::vector<RunObservation> runs;
    for (const RunKey &key : m_runs.onWorker(worker.info.incarnation.workerId)) {
        const Run &run = *m_runs.find(key);
        if (run.phase != RunPhase::StartPending && !run.outcomeOfCrash)
            runs.push_back({key, run.startedAt, run.phase == RunPhase::Running, run.onProbation});
    }
    return runs;
}

// Records that the life of the worker that the session is with is over.
void Coordinator::endLife(Worker &worker, std::string_view why, ClockReading now)
{
    if (std::exchange(worker.lifeIsOver, true))
        return;
    const WorkerIncarnation life = worker.session.incarnation();
    const auto lost = m_table.lostLives().find(life);
    if (lost != m_table.lostLives().end())
        settleLife(m_crashJudge.inTime({life, LifeVerdict::Crashed, why}, lost->second, now.wallMs),
                   now);
    else if (m_crashJudge.hasCrashed(observationOf(worker), now.monotonic))
        judgeCrash(worker, why, now);
}

void Coordinator::noteRestart(const Worker &worker, const WorkerIncarnation &life, Instant now)
{
    const WorkerSession &session = worker.session;
    SchedulerEvent note{SchedulerEventKind::WorkerRestarted, {}, 0, life.workerId, "same-id",
                        now - session.lastAnswerAt()};
    note.value = static_cast<int>(session.leasesLeftInNextLife(now).count());
    note.lives = {session.incarnation().startedWallMs, life.startedWallMs};
    m_notes.push_back(std::move(note));
}

// Begins a session with another life of the worker under the same id, if it is another one.
void Coordinator::meetLife(Worker &worker, const WorkerIncarnation &life, ClockReading now)
{
    if (life == worker.session.incarnation())
        return;
    const bool startKnown = worker.session.incarnation().startedWallMs != 0;
    if (startKnown) { // Otherwise it may be the same life.
        endLife(worker, "restarted", now);
        noteRestart(worker, life, now.monotonic);
    }
    worker.closedAt.reset();
    worker.lifeIsOver = false;
}

// Ends the runs of a worker at whose address another one answers. They are over, whatever is left
// of their lease, and no order for them can take effect any more.
void Coordinator::meetOtherWorker(Worker &worker, ClockReading now)
{
    if (!worker.lifeIsOver)
        worker.session.raiseFence(now.monotonic); // A renewal confirms it at once.
    endLife(worker, "other-life", now);
    voidOrdersTo(worker.info.incarnation.workerId, now);
    for (const RunKey &key : m_runs.onWorker(worker.info.incarnation.workerId)) {
        if (m_runs.find(key)->phase != RunPhase::StartPending)
            endRun(key, RunOutcome::LeaseExpired, {}, now);
    }
}

// Decides how the runs that may be why the worker crashed count as ended.
void Coordinator::judgeCrash(const Worker &worker, std::string_view why, ClockReading now)
{
    ++m_counters.workersCrashed;
    noteWorker(SchedulerEventKind::WorkerCrashed, worker.info.incarnation.workerId, why,
               now.monotonic - worker.session.lastAnswerAt());
    for (const CrashSuspect &it :
         m_crashJudge.findSuspects(observationOf(worker), observedRunsOn(worker), now.monotonic)) {
        Run &run = *m_runs.find(it.run);
        run.outcomeOfCrash = it.isCause ? RunOutcome::CausedCrash : RunOutcome::WorkerCrashed;
        noteRun(SchedulerEventKind::RunSuspected, run, toString(*run.outcomeOfCrash),
                now.monotonic - run.startedAt);
    }
}

// Records the runs that may be why the worker crashed, if it did. Its lease is over and nothing
// proves what became of it. The record comes before those of the ends of the runs, so that their
// tasks are suspected before they are started again.
void Coordinator::recordLoss(const Worker &worker, ClockReading now)
{
    const LifeObservation observation = observationOf(worker);
    const WorkerIncarnation &life = worker.session.incarnation();
    const bool settled = worker.lifeIsOver || m_table.lostLives().contains(life);
    if (settled || !m_crashJudge.mayHaveCrashed(observation, now.monotonic))
        return;
    noteWorker(SchedulerEventKind::WorkerLost, life.workerId, "refused",
               now.monotonic - worker.session.lastAnswerAt());
    const Millis lostFor = now.monotonic - observation.lostAt();
    const auto suspects =
        m_crashJudge.findSuspects(observation, observedRunsOn(worker), now.monotonic);
    m_counters.workersLost += suspects.empty() ? 0 : 1;
    for (const CrashSuspect &it : suspects) {
        const Run &run = *m_runs.find(it.run);
        appendRecord(RunSuspected{
            it.run.task,
            {it.run.number, life, worker.info.address, it.isCause, now.wallMs - lostFor.count()}});
        noteRun(SchedulerEventKind::RunSuspected, run, it.isCause ? "may-be-cause" : "worker-lost",
                now.monotonic - run.startedAt);
    }
}

void Coordinator::settleLostLives(std::span<const WorkerInfo> allWorkers, ClockReading now)
{
    if (m_table.lostLives().empty())
        return;
    for (const LifeSettlement &it :
         m_crashJudge.settle(m_table.lostLives(), allWorkers, now.wallMs))
        settleLife(it, now);
}

// Records what became of a lost life, and ends the jobs whose tasks have crashed too many workers.
void Coordinator::settleLife(const LifeSettlement &settlement, ClockReading now)
{
    const LostLife lost = m_table.lostLife(settlement.life).value_or(LostLife{});
    std::map<std::string, TaskRef> openJobs;
    for (const TaskRef &it : lost.tasks) {
        const Job *job = m_table.find(it.job);
        if (job && !isFinal(job->state))
            openJobs.emplace(it.job, it);
    }
    const std::string &worker = settlement.life.workerId;
    m_counters.workersCrashed += settlement.verdict == LifeVerdict::Crashed ? 1 : 0;
    m_counters.workersNotCrashed += settlement.verdict == LifeVerdict::NotCrashed ? 1 : 0;
    noteWorker(eventFor(settlement.verdict), worker, settlement.why,
               Millis{now.wallMs - lost.lostWallMs});
    appendRecord(LifeSettled{settlement.life, settlement.verdict, now.wallMs});
    m_placementNeeded = true;
    updateHoldsOf(lost, now);
    for (const auto &[id, task] : openJobs) {
        const Job &job = *m_table.find(id);
        if (isFinal(job.state))
            concludeJob(job, task, job.findTask(task)->lastRunNumber, worker, now);
    }
}

// Holds the task back for as long as it may not be started, or lets it start.
void Coordinator::updateHold(const TaskRef &task, ClockReading now)
{
    const Job *job = m_table.find(task.job);
    const Task *state = job ? job->findTask(task) : nullptr;
    const bool mayStart = state && !isFinal(job->state) && !state->done;
    const Millis hold = mayStart ? m_crashJudge.holdTime(*state, now.wallMs) : Millis{0};
    if (hold > Millis{0}) {
        if (!m_heldTasks.contains(task))
            m_notes.push_back({SchedulerEventKind::TaskHeld, task, state->lastRunNumber,
                               state->suspectedRuns.back().worker.workerId, "unsettled", hold, 0});
        m_heldTasks.schedule(task, now.monotonic + hold);
    } else {
        m_heldTasks.cancel(task);
    }
    refreshStepOf(task, now);
}

void Coordinator::updateHoldsOf(const LostLife &life, ClockReading now)
{
    for (const TaskRef &it : life.tasks)
        updateHold(it, now);
}

// Lets the tasks start that were held back for long enough.
void Coordinator::releaseHeldTasks(ClockReading now)
{
    for (const TaskRef &it : m_heldTasks.takeDue(now.monotonic))
        refreshStepOf(it, now);
}

// Lets the task's step be ready if it has tasks to start now. A job that leaves starts nothing.
void Coordinator::refreshStepOf(const TaskRef &task, ClockReading now)
{
    const Job *job = m_table.find(task.job);
    if (job && !m_transfers.leavingTo(task.job))
        refreshStep(*job, task.stepRef(), now);
}

// Ends the probation of a run that has lasted.
void Coordinator::clearIfLasting(Worker &worker, Run &run)
{
    const bool lasting =
        worker.session.answeredRenewalSentAt() - run.startedAt > m_settings.crashes.crashWindow;
    if (!run.onProbation || !lasting)
        return;
    run.onProbation = false;
    worker.runSummaryStale = true;
    m_placementNeeded = true;
    appendRecord(TaskCleared{run.key.task});
    noteRun(SchedulerEventKind::RunCleared, run, "lasting",
            worker.session.answeredRenewalSentAt() - run.startedAt);
}

// Returns true if and only if a worker crashed under a run of the task, or may have, and the run
// may be why, and none has lasted since.
bool Coordinator::isSuspected(const TaskRef &task) const
{
    const Job *job = m_table.find(task.job);
    const Task *known = job ? job->findTask(task) : nullptr;
    return known && (known->crashes > 0 || !known->suspectedRuns.empty());
}

} // namespace savorywick::steps
