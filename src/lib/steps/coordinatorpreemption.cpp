// The part of Coordinator that stops runs of lower priorities for steps that would otherwise miss
// their deadlines, and places those steps in the room that this makes.

#include "savorywick/steps/coordinator.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;
constexpr int maxStepsPerPlanning = 32; // Bounds the time that one planning takes.

// Returns the delay that the deadline of the run's job still allows, by the caller's estimates.
Millis laxityOf(const Job &job, const Run &run, Millis remainingWork, std::int64_t wallMs)
{
    const TaskRef &task = run.key.task;
    const Millis path = criticalPathLengths(job.spec.steps)[task.step];
    const Millis pathAfterRun = path - run.estimatedDuration;
    const Millis untilDeadline =
        Millis{job.dueWallMs(task.occurrence) - wallMs} + relativeDeadlineOf(job.spec);
    return untilDeadline - pathAfterRun - remainingWork;
}

} // namespace

// Returns what the preemption of the run for a step of this priority would cost, or nothing if the
// run must not be preempted.
std::optional<PreemptibleRun> Coordinator::preemptibleRun(const Run &run, int priority,
                                                          ClockReading now) const
{
    const Job *job = m_table.find(run.key.task.job);
    if (!job || job->spec.policy.priority <= priority || run.phase != RunPhase::Running
        || run.stopRequested)
        return {};
    const StepSpec &spec = job->spec.steps[run.key.task.step];
    // Probes and runs on probation are there to learn from their ends.
    if (!spec.checkpointing || spec.longRunning || spec.gang || run.isProbe || run.onProbation)
        return {};
    PreemptibleRun found{run.key, job->spec.policy.priority, run.allocated, {}, {}, {}, {}};
    const Instant savedAt = std::max(run.startedAt, run.checkpointedAt);
    found.lostWork = (now.monotonic - savedAt) * run.speedPercent / fullPercent;
    found.remainingWork = run.estimatedDuration * (fullPercent - run.progressPercent) / fullPercent;
    found.laxity = laxityOf(*job, run, found.remainingWork, now.wallMs);
    found.age = now.monotonic - run.startedAt;
    return found;
}

// Returns the workers of the pass with the runs that may be preempted for steps of this priority.
std::vector<PreemptionWorker> Coordinator::preemptionWorkers(PlacementPass &pass, int priority,
                                                             ClockReading now) const
{
    std::vector<PreemptionWorker> workers;
    workers.reserve(pass.workers.size());
    for (CandidateWorker &candidate : pass.workers) {
        PreemptionWorker worker{&candidate, {}};
        for (const RunKey &key : m_runs.onWorker(candidate.info->incarnation.workerId)) {
            if (auto run = preemptibleRun(*m_runs.find(key), priority, now))
                worker.runs.push_back(std::move(*run));
        }
        workers.push_back(std::move(worker));
    }
    return workers;
}

// Stops runs for urgent steps that the pass has found no room for. Call it after all steps were
// tried: steps of a higher priority come first among the urgent ones. A step is passed over if a
// like one of the same or a higher priority found no plan, unless its job has failed on workers.
void Coordinator::preemptForUrgentSteps(std::span<const ReadyStep> steps, PlacementPass &pass,
                                        ClockReading now)
{
    if (!m_preemption.mayPlan(now.monotonic))
        return;
    std::vector<PreemptionWorker> workers;
    UnplaceableSteps withoutPlan;
    int plansLeft = m_settings.preemption.maxPlansPerInterval;
    int stepsLeft = maxStepsPerPlanning;
    for (const ReadyStep &step : steps) {
        const std::string &service = step.job->spec.policy.service;
        if (!m_preemption.isUrgent(step) || !m_readySteps.contains(step.ref)
            || withoutPlan.covers(*step.spec, service, 0))
            continue;
        if (workers.empty())
            workers = preemptionWorkers(pass, step.job->spec.policy.priority, now);
        m_preemption.notePlanning(now.monotonic);
        const bool avoidsWorkers = !m_quarantine.failedWorkers(step.ref.job).empty();
        if (!preemptFor(step, workers, plansLeft, now) && !avoidsWorkers)
            withoutPlan.add(*step.spec, service, 0);
        if (plansLeft == 0 || --stepsLeft == 0)
            return;
    }
}

// Makes room for those tasks of the step that none is reserved for, as long as plans are left.
// Returns false if and only if there was no plan for one.
bool Coordinator::preemptFor(const ReadyStep &step, std::span<PreemptionWorker> workers,
                             int &plansLeft, ClockReading now)
{
    PlacementConstraints constraints = constraintsFor(step.ref, now.monotonic);
    for (const Reservation &it : m_preemption.reservations()) {
        if (it.step == step.ref)
            ++constraints.tasksPerWorker[it.worker];
    }
    const int waiting = static_cast<int>(tasksToStart(step.ref).size());
    for (int i = m_preemption.reservationCount(step.ref); i < waiting && plansLeft > 0; ++i) {
        if (!m_preemption.hasFreeReservation())
            return true;
        const auto plan = m_preemption.plan(step, constraints, workers, now.monotonic);
        if (!plan)
            return false;
        const std::string id = workers[plan->worker].candidate->info->incarnation.workerId;
        m_notes.push_back({SchedulerEventKind::PreemptionPlanned,
                           {step.ref.job, step.ref.occurrence, step.ref.step, 0},
                           0,
                           id,
                           toString(WaitReason::NoRoom),
                           step.laxity,
                           static_cast<int>(plan->runs.size())});
        for (const std::size_t index : plan->runs)
            requestStop(workers[plan->worker].runs[index].key, "preempted");
        m_counters.runsPreempted += plan->runs.size();
        m_preemption.apply(*plan, step, workers, now.monotonic);
        ++constraints.tasksPerWorker[id];
        --plansLeft;
    }
    return true;
}

// Places the steps that have reservations and whose room is free now, and withholds the other
// reserved room from the rest of the pass. Call it before any step is tried.
void Coordinator::placeReservedSteps(std::vector<ReadyStep> &steps, PlacementPass &pass,
                                     ClockReading now)
{
    m_preemption.expire(now.monotonic);
    for (const Reservation &it : m_preemption.takeReservations()) {
        const auto end = serveReservation(it, steps, pass, now);
        if (!end) {
            m_preemption.keep(it);
            continue;
        }
        ++m_counters.reservationsEnded[*end];
        m_notes.push_back({SchedulerEventKind::ReservationEnded,
                           {it.step.job, it.step.occurrence, it.step.step, 0},
                           0,
                           it.worker,
                           toString(*end),
                           now.monotonic - it.since,
                           0});
    }
}

// Returns how the reservation has ended, or nothing if it stays.
std::optional<ReservationEnd> Coordinator::serveReservation(const Reservation &reservation,
                                                            std::vector<ReadyStep> &steps,
                                                            PlacementPass &pass, ClockReading now)
{
    if (!m_readySteps.contains(reservation.step))
        return ReservationEnd::NotNeeded;
    if (now.monotonic > reservation.until)
        return ReservationEnd::Expired;
    CandidateWorker *worker = findWorker(pass.workers, reservation.worker);
    if (worker && reservation.demand.fitsIn(worker->available)
        && startReserved(reservation.step, steps, *worker, now))
        return ReservationEnd::Placed;
    if (worker)
        withhold(*worker, reservation.demand);
    return {};
}

// Starts a task of the step on the worker, if it may run there. Removes the step if it has no
// further tasks to start. Returns true if and only if the task was started.
bool Coordinator::startReserved(const StepRef &ref, std::vector<ReadyStep> &steps,
                                CandidateWorker &worker, ClockReading now)
{
    const auto step = std::find_if(steps.begin(), steps.end(),
                                   [&](const ReadyStep &it) { return it.ref == ref; });
    if (step == steps.end())
        return false;
    const int index = tasksToStart(ref).front();
    PlacementConstraints constraints = constraintsFor(ref, now.monotonic);
    constraints.onProbation = isSuspected({ref.job, ref.occurrence, ref.step, index});
    if (!chooseWorker(*step->spec, constraints, {&worker, 1}))
        return false;
    startTask(*step, index, worker, fullPercent, now);
    if (tasksToStart(ref).empty()) {
        m_readySteps.erase(ref);
        steps.erase(step);
    }
    return true;
}

} // namespace savorywick::steps
