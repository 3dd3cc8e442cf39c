// The part of Coordinator that tracks workers and processes their replies and the ends of runs.

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;

} // namespace

Coordinator::Worker &Coordinator::findOrAddWorker(const WorkerInfo &info, ClockReading now)
{
    const std::string &id = info.incarnation.workerId;
    const auto it = m_workers.find(id);
    if (it != m_workers.end()) {
        Worker &known = it->second;
        if (known.info == info)
            return known;
        // The list lags behind: it may still show a life that is over.
        const WorkerIncarnation latest = std::max(info.incarnation, known.session.incarnation());
        meetLife(known, latest, now); // Before `info` tells of the new life.
        known.info = info;
        known.info.incarnation = latest;
        known.session.update(latest, info.address, now.monotonic);
        it->second.runSummaryStale = true;
        markStale(it->second);
        return it->second;
    }
    m_quarantine.addWorker(id);
    Worker worker{info, makeSession(info.incarnation, info.address), {}};
    Worker &added = m_workers.emplace(id, std::move(worker)).first->second;
    markStale(added);
    return added;
}

void Coordinator::setWorkers(std::span<const WorkerInfo> workers, ClockReading now)
{
    std::set<std::string_view> listed;
    for (const WorkerInfo &info : workers) {
        listed.insert(info.incarnation.workerId);
        Worker &worker = findOrAddWorker(info, now);
        if (std::exchange(worker.unlistedSince, {}))
            markStale(worker);
        worker.everListed = true;
        if (info.draining)
            evacuate(worker);
    }
    for (auto &[id, worker] : m_workers) {
        if (listed.contains(id) || worker.unlistedSince)
            continue;
        worker.unlistedSince = now.monotonic;
        markStale(worker);
    }
    m_placementNeeded = true;
}

// Adds a run that an earlier owner recorded. The worker's next report tells whether it exists.
void Coordinator::adoptRun(const Job &job, const TaskRef &task, const ActiveRun &active)
{
    Run run =
        makeRun({task, active.number}, job.spec.steps[task.step], active.worker, m_ownedSince);
    run.phase = RunPhase::Unconfirmed;
    run.confirmationRecorded = active.confirmed;
    run.startUnanswered = !active.confirmed;
    if (active.inheritedLeasesEndMs != 0)
        run.inheritedLeasesEndAt = m_earlierLeases.endOfRecorded(active.inheritedLeasesEndMs);
    run.onProbation = isSuspected(task);
    if (run.longRunning)
        m_longRunningGaps.noteAdopted(task, m_ownedSince);
    trackStraggler(m_runs.add(std::move(run)), {m_ownedSince});
    const std::string &id = active.worker.workerId;
    if (!m_workers.contains(id)) {
        // The platform has not listed the worker yet. If it never does, the run ends when the
        // worker's lease lapses or another life of it is met at its address.
        const std::string address = m_table.workerAddress(id);
        Worker worker{{.incarnation = active.worker, .address = address},
                      makeSession(active.worker, address),
                      m_ownedSince};
        m_quarantine.addWorker(id);
        m_workers.emplace(id, std::move(worker));
    }
    noteKnownLife(m_workers.at(id).session, *m_runs.find({task, active.number}));
    noteRunsChanged(id);
}

void Coordinator::handleRenewReply(const RenewLeaseCommand &order, const RenewLeaseReply &reply,
                                   ClockReading now)
{
    const auto it = m_workers.find(order.target.worker.workerId);
    if (it == m_workers.end() || it->second.session.incarnation() != order.target.worker)
        return;
    Worker &worker = it->second;
    markStale(worker);
    const std::string &id = worker.info.incarnation.workerId;
    const bool wasResponsive = worker.session.responsive();
    const Millis silence = now.monotonic - worker.session.lastAnswerAt();
    if (reply.outcome != CommandOutcome::Done) {
        if (reply.connectionClosed)
            noteConnectionClosed(worker, now.monotonic);
        if (wasResponsive)
            noteWorker(SchedulerEventKind::WorkerUnresponsive, id, toString(reply.outcome),
                       silence);
        worker.session.renewalFailed(now.monotonic);
        recordSilence(worker, now.monotonic);
        worker.avoidedUntil =
            std::max(worker.avoidedUntil, now.monotonic + m_settings.workerAvoidance);
        if (reply.outcome == CommandOutcome::Fenced)
            worker.session.raiseFence(now.monotonic);
        if (reply.outcome == CommandOutcome::WrongIncarnation)
            meetOtherWorker(worker, now);
        return;
    }
    if (!worker.session.renewalAnswered(reply.report, now.monotonic)) {
        const WorkerIncarnation life{id, reply.report.startedWallMs};
        meetLife(worker, life, now);
        worker.info.incarnation = life;
        worker.session.update(life, worker.info.address, now.monotonic);
        return;
    }
    noteAnswered(worker, now);
    recordAnswer(id);
    if (!wasResponsive)
        excuseSilence(id, silence, now.monotonic);
    if (!wasResponsive && worker.session.responsive())
        noteWorker(SchedulerEventKind::WorkerRecovered, id, "answered", silence);
    processEndReports(worker, reply.report, now);
    const std::vector<RunningReport> unknownRuns = processRunningReports(worker, reply.report, now);
    endMissingRuns(worker, reply.report, now);
    settleUnknownRuns(worker, unknownRuns, now);
    controlInterference(worker, now);
    m_placementNeeded = true;
}

// Ends the runs that the worker reports as ended since its last report.
void Coordinator::processEndReports(Worker &worker, const WorkerReport &report, ClockReading now)
{
    std::int64_t highest = worker.session.appliedEnds();
    for (const RunEndReport &end : report.ended) {
        if (end.endNumber <= worker.session.appliedEnds())
            continue;
        highest = std::max(highest, end.endNumber);
        const RunKey key{end.task, end.run};
        const Run *run = m_runs.find(key);
        if (!run || run->workerId != worker.info.incarnation.workerId) {
            ++m_counters.endsOfUnknownRuns;
            continue;
        }
        noteConfirmedStart(key.task.job);
        m_runs.find(key)->startUnanswered = false;
        endRun(key, end.outcome, end.checkpoint, now);
    }
    if (highest == worker.session.appliedEnds())
        return;
    worker.session.recordAppliedEnds(highest);
    m_uncommittedAcks.push_back({0, worker.session.incarnation(), highest});
}

// Confirms the runs that the worker reports as running and updates their progress. Returns those
// that are not known to be there.
std::vector<RunningReport>
Coordinator::processRunningReports(Worker &worker, const WorkerReport &report, ClockReading now)
{
    std::vector<RunningReport> unknown;
    for (const RunningReport &it : report.running) {
        const RunKey key{it.task, it.run};
        Run *run = m_runs.find(key);
        if (!run || run->workerId != worker.info.incarnation.workerId) {
            unknown.push_back(it);
            continue;
        }
        run->startUnanswered = false;
        if (run->incarnation != worker.session.incarnation())
            m_runs.setIncarnation(key, worker.session.incarnation());
        run->outcomeOfCrash.reset();
        clearIfLasting(worker, *run);
        if (run->longRunning)
            recordConfirmation(worker, *run, now.monotonic);
        const bool wasRunning = run->phase == RunPhase::Running;
        if (!wasRunning) {
            if (run->startFence == 0)
                ++m_counters.runsAdopted;
            noteRun(SchedulerEventKind::RunConfirmed, *run,
                    run->startFence == 0 ? "adopted" : "listed", now.monotonic - run->startedAt,
                    it.progressPercent);
            run->phase = RunPhase::Running;
            run->confirmedAt = now.monotonic;
            noteConfirmedStart(key.task.job);
            endStartBackoff(worker);
        }
        if (!it.checkpoint.empty() && it.checkpoint != run->checkpoint) {
            run->checkpoint = it.checkpoint;
            run->checkpointedAt = now.monotonic;
        }
        if (it.progressPercent != run->progressPercent)
            run->lastProgressAt = now.monotonic;
        // Long-running tasks don't end by themselves: getting to work counts as their success.
        if (run->longRunning && it.progressPercent == fullPercent
            && run->progressPercent < fullPercent)
            m_quarantine.recordSuccess(key.task.job, run->workerId, now.monotonic);
        const bool fellBehind = it.progressPercent < run->progressPercent;
        run->progressPercent = it.progressPercent;
        run->measurement = it.measurement;
        if (!wasRunning)
            orderStartSpeed(worker, *run, now);
        if (!wasRunning || fellBehind)
            scheduleStallCheck(*run);
        if (!wasRunning && worker.info.draining)
            evacuate(worker);
    }
    return unknown;
}

// Takes over those of the runs that are late starts of tasks without another run, and stops the
// others. Call it when the runs have ended that the worker is known not to have any more.
void Coordinator::settleUnknownRuns(Worker &worker, std::span<const RunningReport> reports,
                                    ClockReading now)
{
    const ResourceVector strays = std::exchange(worker.allocatedToStrays, {});
    for (const RunningReport &it : reports) {
        if (!adoptLateRun(worker, it, now))
            stopUnknownRun(worker, it);
    }
    worker.runSummaryStale = worker.runSummaryStale || strays != worker.allocatedToStrays;
}

// Stops a run that is unknown here, such as one that was given up before its delayed start order
// took effect.
void Coordinator::stopUnknownRun(Worker &worker, const RunningReport &report)
{
    if (const StepSpec *spec = findStepSpec(report.task))
        worker.allocatedToStrays += allocationFor(*spec);
    m_immediateOrders.emplace_back(
        StopRunCommand{worker.session.target(), report.task, report.run});
}

// Ends the runs that are certainly gone: the report contains them neither as running nor as ended,
// and the worker either had them before the renewal was sent, or has seen a fence that voids their
// start orders. After a partial report none is: what it leaves out may have ended as done.
void Coordinator::endMissingRuns(Worker &worker, const WorkerReport &report, ClockReading now)
{
    if (report.isPartial)
        return excuseUnlistedRuns(worker, report, now);
    std::set<RunKey> running;
    for (const RunningReport &it : report.running)
        running.insert({it.task, it.run});
    for (const RunKey &key : m_runs.onWorker(worker.info.incarnation.workerId)) {
        const Run &run = *m_runs.find(key);
        if (run.phase == RunPhase::StartPending || running.contains(key))
            continue;
        const bool startIsVoid = run.startFence < worker.session.answeredFence();
        const bool hadRun = run.phase == RunPhase::Running
            && run.confirmedAt < worker.session.answeredRenewalSentAt();
        if (run.phase == RunPhase::Running ? hadRun : startIsVoid)
            endRun(key,
                   run.phase == RunPhase::Running ? RunOutcome::LeaseExpired
                                                  : RunOutcome::NeverStarted,
                   {}, now);
    }
}

// Lets no run count as stalled that the partial report leaves out, as it may have ended.
void Coordinator::excuseUnlistedRuns(const Worker &worker, const WorkerReport &report,
                                     ClockReading now)
{
    ++m_counters.partialReports;
    std::set<RunKey> running;
    for (const RunningReport &it : report.running)
        running.insert({it.task, it.run});
    for (const RunKey &key : m_runs.onWorker(worker.info.incarnation.workerId)) {
        if (!running.contains(key))
            m_runs.find(key)->lastProgressAt = now.monotonic;
    }
}

void Coordinator::endRun(const RunKey &key, RunOutcome how, const std::string &checkpoint,
                         ClockReading now)
{
    const Run *known = m_runs.find(key);
    if (!known)
        return;
    const Run run = *known;
    const bool foundGone = how == RunOutcome::LeaseExpired || how == RunOutcome::NeverStarted;
    if (foundGone)
        how = run.outcomeOfCrash.value_or(how);
    m_runs.remove(key);
    m_relaxedStarts.remove(key);
    m_stallChecks.cancel(key);
    m_preemption.noteEnd(key, now.monotonic);
    noteRunsChanged(run.workerId);
    m_placementNeeded = true;
    ++m_counters.runsEnded[how];
    noteRun(SchedulerEventKind::RunEnded, run, toString(how), now.monotonic - run.startedAt,
            run.progressPercent);
    updateQuarantine(run, how, now);
    observeDuration(run, how, now.monotonic);
    settleStraggler(run, how);
    const Job *job = m_table.find(key.task.job);
    if (!job)
        return;
    const JobState before = job->state;
    // A run that is only found to be gone reports no checkpoint at its end.
    const std::string &resumeFrom = checkpoint.empty() ? run.checkpoint : checkpoint;
    appendRecord(RunEnded{key.task, key.number, how, resumeFrom, now.wallMs});
    settleStart(run, how, now);
    if (job->state != before)
        return concludeJob(*job, key.task, key.number, run.workerId, now);
    if (run.longRunning)
        m_longRunningGaps.noteEnd(key.task, how, lastAnsweredAt(run), now.monotonic);
    if (how == RunOutcome::Done)
        stopDuplicateRuns(key.task);
    else if (job->spec.steps[key.task.step].gang)
        stopGangMembers(key);
    if (isSuspected(key.task))
        updateHold(key.task, now);
    if (!isFinal(job->state))
        refreshOccurrence(*job, key.task.occurrence, now);
    if (how == RunOutcome::NeverStarted)
        restoreTurn(run);
}

// Returns when the run's worker last answered, or when the run was started if that is later.
Instant Coordinator::lastAnsweredAt(const Run &run) const
{
    const auto worker = m_workers.find(run.workerId);
    return worker == m_workers.end()
        ? run.startedAt
        : std::max(run.startedAt, worker->second.session.lastAnswerAt());
}

void Coordinator::updateQuarantine(const Run &run, RunOutcome how, ClockReading now)
{
    if (how == RunOutcome::Failed && isDone(run.key.task)) // A duplicate that was to be stopped.
        how = RunOutcome::Stopped;
    if (how == RunOutcome::Done)
        m_quarantine.recordSuccess(run.key.task.job, run.workerId, now.monotonic);
    else if (how != RunOutcome::Failed && run.isProbe)
        m_quarantine.abandonProbe(run.workerId, now.monotonic);
    if (how == RunOutcome::Failed)
        recordFailure(run, "failures", now);
}

void Coordinator::recordFailure(const Run &run, std::string_view why, ClockReading now)
{
    const QuarantineDecision verdict =
        m_quarantine.recordFailure(run.key.task.job, run.workerId, why, now.monotonic);
    if (!verdict.quarantineWorker)
        return;
    ++m_counters.workersQuarantined;
    noteWorker(SchedulerEventKind::WorkerQuarantined, run.workerId, why, Millis{0});
}

// Stops the other members of the gang's run, which would wait in vain for the one that ended.
void Coordinator::stopGangMembers(const RunKey &key)
{
    for (const RunKey &it : m_runs.ofStep(key.task.stepRef())) {
        if (it.number == key.number)
            requestStop(it, "gang-broken");
    }
}

void Coordinator::stopDuplicateRuns(const TaskRef &task)
{
    for (const RunKey &it : m_runs.ofTask(task))
        requestStop(it, "copy-done");
}

void Coordinator::requestStop(const RunKey &key, std::string_view why)
{
    const Run *run = m_runs.find(key);
    if (!run || run->stopRequested)
        return;
    noteRun(SchedulerEventKind::StopRequested, *run, why, Millis{0}, run->progressPercent);
    m_runs.requestStop(key);
    noteRunsChanged(run->workerId);
}

// Notes that the times at which the worker is due may have changed. Call it at every change of the
// worker's session, of whether it has runs, or of whether it is listed.
void Coordinator::markStale(Worker &worker)
{
    if (!std::exchange(worker.dueTimesStale, true))
        m_staleWorkers.push_back(&worker);
}

// Notes that the runs on the worker, if it is known, have changed.
void Coordinator::noteRunsChanged(const std::string &workerId)
{
    const auto it = m_workers.find(workerId);
    if (it == m_workers.end())
        return;
    it->second.runSummaryStale = true;
    if (!m_runs.hasRunsOn(workerId))
        it->second.session.noteIdle();
    markStale(it->second);
}

// Sets when the workers that have changed are due in `m_renewals` and `m_leaseEnds`.
void Coordinator::refreshDueTimes()
{
    for (Worker *worker : std::exchange(m_staleWorkers, {})) {
        worker->dueTimesStale = false;
        const std::string &id = worker->info.incarnation.workerId;
        const bool hasRuns = m_runs.hasRunsOn(id);
        if (const auto renewalAt = worker->session.nextRenewalAt(hasRuns))
            m_renewals.schedule(id, *renewalAt);
        else
            m_renewals.cancel(id);
        if (hasRuns || worker->unlistedSince)
            m_leaseEnds.schedule(id, nextLeaseEnd(*worker));
        else
            m_leaseEnds.cancel(id);
    }
}

// Moves the runs that would not end before the worker leaves, if they lose little by moving: those
// that save checkpoints, and long-running ones.
void Coordinator::evacuate(const Worker &worker)
{
    for (const RunKey &key : m_runs.onWorker(worker.info.incarnation.workerId)) {
        const Run &run = *m_runs.find(key);
        const StepSpec *spec = findStepSpec(key.task);
        if (run.stopRequested || run.phase != RunPhase::Running || !spec)
            continue;
        const Millis remainingWork =
            run.estimatedDuration * (fullPercent - run.progressPercent) / fullPercent;
        const bool endsInTime = !run.longRunning && remainingWork < worker.info.minRemainingTime;
        if (endsInTime || !(spec->checkpointing || spec->longRunning))
            continue;
        ++m_counters.runsEvacuated;
        requestStop(key, "worker-leaves");
    }
}

const StepSpec *Coordinator::findStepSpec(const TaskRef &task) const
{
    const Job *job = m_table.find(task.job);
    if (!job || task.step < 0 || task.step >= static_cast<int>(job->spec.steps.size()))
        return nullptr;
    return &job->spec.steps[task.step];
}

} // namespace savorywick::steps
