// The part of Coordinator that deals with start orders that got no answer: which worker the next
// run of their task goes to, and what becomes of one that is executed late.

#include "savorywick/steps/coordinator.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;

} // namespace

// Takes in that an earlier owner recorded an unanswered start.
void Coordinator::restoreUnansweredStart(const TaskRef &task, const Task &state)
{
    if (!state.unansweredStart || state.done)
        return;
    const UnansweredStart &start = *state.unansweredStart;
    const auto sentAt =
        start.sentMs == 0 ? std::optional<Instant>() : m_earlierLeases.endOfRecorded(start.sentMs);
    const Instant at = sentAt.value_or(m_ownedSince);
    m_unansweredStarts.noteUnanswered(task, start.workerId, at,
                                      at + m_settings.maxWaitForSilentWorker);
    if (!state.activeRuns.empty())
        m_unansweredStarts.notePlaced(task);
}

// Decides where the next run of the task of a run that has ended may go.
void Coordinator::settleStart(const Run &run, RunOutcome how, ClockReading now)
{
    const TaskRef &task = run.key.task;
    if (!isFoundGone(how))
        return m_unansweredStarts.settle(task);
    if (run.startUnanswered)
        return noteUnansweredStart(run, now);
    if (run.phase != RunPhase::Running)
        return m_unansweredStarts.noteWithdrawn(task);
    const Instant seenAt = lastAnsweredAt(run);
    m_unansweredStarts.noteLost(task, seenAt, seenAt + m_settings.maxWaitForCrashedWorker);
}

// Records that the run's worker may execute the start yet, so that the next run must go there.
// Second runs of tasks that allow duplicates do no harm.
void Coordinator::noteUnansweredStart(const Run &run, ClockReading now)
{
    const TaskRef &task = run.key.task;
    const Job *job = m_table.find(task.job);
    if (isFinal(job->state) || job->spec.steps[task.step].allowDuplicates)
        return;
    const Millis age = now.monotonic - run.startedAt;
    if (leavesStartsUnanswered(run.workerId)) {
        m_unansweredStarts.settle(task);
        return noteRun(SchedulerEventKind::TaskReleased, run, "no-answer-again", age);
    }
    m_unansweredStarts.noteUnanswered(task, run.workerId, run.startedAt, waitsUntil(run));
    const std::int64_t sentMs = m_earlierLeases.storeTimeOf(run.startedAt).value_or(0);
    appendRecord(StartUnanswered{task, {run.key.number, run.workerId, sentMs}});
    noteRun(SchedulerEventKind::TaskAwaitsWorker, run, "no-answer", age);
}

// Returns true if and only if the worker is up, as far as is known, and has failed to start runs
// again after the first time.
bool Coordinator::leavesStartsUnanswered(const std::string &workerId) const
{
    const auto it = m_workers.find(workerId);
    return it != m_workers.end() && !it->second.closedAt && it->second.failedStarts > 1;
}

// Returns until when the task of the run, whose start got no answer, waits for its worker.
Instant Coordinator::waitsUntil(const Run &run) const
{
    const Instant patience = run.startedAt + m_settings.maxWaitForSilentWorker;
    const auto worker = m_workers.find(run.workerId);
    if (worker == m_workers.end() || !worker->second.closedAt)
        return patience;
    const Instant seenAt = std::min(worker->second.session.lastAnswerAt(), run.startedAt);
    return std::max(patience, seenAt + m_settings.maxWaitForCrashedWorker);
}

// Takes all orders to the worker for void, since its id is not met at its address any more.
void Coordinator::voidOrdersTo(const std::string &workerId, ClockReading now)
{
    for (const RunKey &key : m_runs.onWorker(workerId))
        m_runs.find(key)->startUnanswered = false;
    for (const WaitingTask &it : m_unansweredStarts.settleWorker(workerId))
        reopen(it, "other-life", now);
}

// Lets the tasks start anywhere that have waited for their workers for long enough, or whose orders
// are void.
void Coordinator::releaseWaitingTasks(ClockReading now)
{
    for (const WaitingTask &it : m_unansweredStarts.takeReleased(now.monotonic))
        reopen(it, "waited", now);
}

// Lets the task have its turn on any worker, as if it had waited for one all the time.
void Coordinator::reopen(const WaitingTask &waiting, std::string_view why, ClockReading now)
{
    if (!m_runs.ofTask(waiting.task).empty())
        return;
    m_notes.push_back({SchedulerEventKind::TaskReleased, waiting.task, 0, waiting.worker, why,
                       now.monotonic - waiting.since, 0});
    refreshStepOf(waiting.task, now);
    const auto it = m_readySteps.find(waiting.task.stepRef());
    if (it != m_readySteps.end())
        it->second = std::min(it->second, waiting.since);
}

// Starts the tasks that must go to their workers, which have had room for them. Call it before
// others are placed.
void Coordinator::placeUnansweredTasks(ClockReading now)
{
    for (const WaitingTask &it : m_unansweredStarts.waiting()) {
        const Job *job = m_table.find(it.task.job);
        const Task *state = job ? job->findTask(it.task) : nullptr;
        const auto worker = m_workers.find(it.worker);
        const bool waits = state && !isFinal(job->state) && !m_transfers.leavingTo(it.task.job)
            && !state->done && state->activeRuns.empty() && !m_heldTasks.contains(it.task)
            && !job->spec.steps[it.task.step].gang; // Gangs are placed as a whole.
        if (!waits || worker == m_workers.end())
            continue;
        if (takesNoMoreStarts(worker->second, now.monotonic)) {
            m_unansweredStarts.settle(it.task);
            reopen(it, "worker-leaves", now);
        } else if (mayRetryOn(worker->second, it.task, now.monotonic)) {
            placeOnItsWorker(it, *job, worker->second, now);
        }
    }
}

// Returns true if and only if the worker leaves, or its zone is evacuated.
bool Coordinator::takesNoMoreStarts(const Worker &worker, Instant now) const
{
    return worker.info.draining || !mayStartInZoneOf(worker, now);
}

// Returns true if and only if the task may be started on the worker now. That the worker left its
// start unanswered does not delay the first try.
bool Coordinator::mayRetryOn(const Worker &worker, const TaskRef &task, Instant now) const
{
    const bool blocked = now < worker.blockedUntil && !m_unansweredStarts.isFirstRetry(task);
    return mayBeGivenStarts(worker, now) && !blocked && isOutOfQuarantine(worker, now);
}

// Starts the task on its worker, if it has room.
void Coordinator::placeOnItsWorker(const WaitingTask &waiting, const Job &job, Worker &worker,
                                   ClockReading now)
{
    const TaskRef &task = waiting.task;
    CandidateWorker candidate = candidateOf(worker, {}, now.monotonic);
    PlacementConstraints constraints = constraintsFor(task.stepRef(), now.monotonic);
    constraints.minHeadroom = m_settings.relaxedMinHeadroom;
    constraints.onProbation = isSuspected(task);
    constraints.mayJoinSuspects = now.monotonic - waiting.since >= m_settings.maxIsolationWait;
    const StepSpec &spec = job.spec.steps[task.step];
    ReadyStep step;
    step.ref = task.stepRef();
    step.job = &job;
    step.spec = &spec;
    if (chooseWorker(spec, constraints, {&candidate, 1}))
        startTask(step, task.index, candidate, fullPercent, now);
}

// Takes over a run that the worker reports and that is not known to be there, if it is a late start
// of a task that has no other run. Returns true if and only if it did.
bool Coordinator::adoptLateRun(Worker &worker, const RunningReport &report, ClockReading now)
{
    const Job *job = m_table.find(report.task.job);
    const Task *state = job ? job->findTask(report.task) : nullptr;
    if (!state || isFinal(job->state) || m_transfers.leavingTo(report.task.job) || state->done
        || report.run > state->lastRunNumber)
        return false;
    const StepSpec &spec = job->spec.steps[report.task.step];
    if (spec.gang || spec.allowDuplicates)
        return false;
    for (const RunKey &key : m_runs.ofTask(report.task)) {
        if (m_runs.find(key)->phase != RunPhase::StartPending)
            return false;
        endRun(key, RunOutcome::NeverStarted, {}, now);
    }
    ++m_counters.lateStartsAdopted;
    const WorkerIncarnation &life = worker.session.incarnation();
    appendRecord(RunStarted{report.task, report.run, life});
    Run run = makeRun({report.task, report.run}, spec, life, now.monotonic);
    run.phase = RunPhase::Running;
    run.startFence = worker.session.fence();
    run.confirmedAt = now.monotonic;
    run.checkpoint = report.checkpoint;
    run.progressPercent = report.progressPercent;
    run.onProbation = isSuspected(report.task);
    noteRun(SchedulerEventKind::RunConfirmed, run, "late-start", Millis{0}, report.progressPercent);
    if (run.longRunning)
        m_longRunningGaps.noteSeen(report.task);
    Run &added = m_runs.add(std::move(run));
    trackStraggler(added, now);
    scheduleStallCheck(added);
    m_unansweredStarts.notePlaced(report.task);
    noteRunsChanged(worker.info.incarnation.workerId);
    noteConfirmedStart(report.task.job);
    refreshStepOf(report.task, now);
    if (worker.info.draining)
        evacuate(worker);
    return true;
}

} // namespace savorywick::steps
