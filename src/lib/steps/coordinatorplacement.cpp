// The part of Coordinator that decides which tasks start next and on which workers.

#include "savorywick/steps/coordinator.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;
constexpr int lowSpeedPercent = 15; // Of best-effort tasks that do harm at full speed.

} // namespace

// Returns true if and only if tasks wait for a worker.
bool Coordinator::hasTasksToPlace() const
{
    return !m_readySteps.empty() || m_unansweredStarts.hasWaiting();
}

// Returns when the next placement pass is to be made if steps wait.
Instant Coordinator::placementAt() const
{
    return m_placementNeeded ? m_nextPlacementAt : m_placementDueAt;
}

// Returns true if and only if the worker is listed, answers and may be given a start now, whatever
// the quarantine says of it.
bool Coordinator::isReachable(const Worker &worker, Instant now) const
{
    return mayBeGivenStarts(worker, now) && now >= worker.blockedUntil;
}

// Returns the same of a worker, whatever became of the last starts.
bool Coordinator::mayBeGivenStarts(const Worker &worker, Instant now) const
{
    if (!worker.everListed || worker.info.draining || !worker.session.responsive())
        return false;
    if (worker.lifeIsOver || !mayStartInZoneOf(worker, now))
        return false;
    return !worker.unlistedSince || now - *worker.unlistedSince <= m_settings.unlistedGracePeriod;
}

bool Coordinator::isUsable(const Worker &worker, Instant now) const
{
    return isReachable(worker, now) && isOutOfQuarantine(worker, now);
}

bool Coordinator::isOutOfQuarantine(const Worker &worker, Instant now) const
{
    const std::string &id = worker.info.incarnation.workerId;
    switch (m_quarantine.availability(id, now)) {
    case WorkerAvailability::Available:
    case WorkerAvailability::ProbeDue: // startRun() limits it to one task.
        return true;
    case WorkerAvailability::Quarantined:
    case WorkerAvailability::Probing:
        return false;
    }
    return false;
}

Coordinator::PassNeeds Coordinator::needsOf(std::span<const ReadyStep> steps, Instant now) const
{
    PassNeeds needs;
    for (const ReadyStep &it : steps) {
        const int milliCores = it.spec->demand.milliCores;
        needs.images = needs.images || (it.spec->longRunning && it.spec->latencyTarget > Millis{0});
        if (it.spec->bestEffort)
            needs.bestEffortMilliCores =
                std::min(milliCores, needs.bestEffortMilliCores.value_or(milliCores));
        needs.besideMisses = needs.besideMisses
            || (it.spec->bestEffort && now - it.since >= m_settings.startBesideMissesAfter);
    }
    return needs;
}

void Coordinator::summarizeRuns(Worker &worker) const
{
    const std::string &id = worker.info.incarnation.workerId;
    RunSummary &summary = worker.runSummary;
    summary.available = availableOn(worker);
    const int unusedMilliCores = m_runs.longRunningMilliCores(id) / fullPercent
        * (fullPercent - m_settings.longRunningUsagePercent);
    summary.idleMilliCores =
        summary.available.milliCores + unusedMilliCores - m_runs.bestEffortMilliCores(id);
    const std::vector<RunKey> keys = m_runs.onWorker(id);
    summary.plannedLoads = plannedBestEffortLoads(keys);
    summary.criticalRuns.clear();
    std::set<std::string_view> images;
    summary.runCount = static_cast<int>(keys.size());
    summary.latestStartAt = {};
    summary.hasProbation = false;
    for (const RunKey &key : keys) {
        const Run &run = *m_runs.find(key);
        summary.latestStartAt = std::max(summary.latestStartAt, run.startedAt);
        summary.hasProbation = summary.hasProbation || run.onProbation;
        if (run.longRunning && run.latencyTarget != Millis{0}) {
            summary.criticalRuns.push_back({key.task.job, run.image});
            images.insert(run.image);
        }
    }
    summary.criticalImages.clear();
    for (const std::string_view image : images)
        summary.criticalImages.append(image).append(1, '\n');
    worker.runSummaryStale = false;
}

// Returns the worker as the pass sees it. Its latency-critical runs are left out where the pass has
// no use for them.
CandidateWorker Coordinator::candidateOf(Worker &worker, const PassNeeds &needs, Instant now)
{
    if (worker.runSummaryStale)
        summarizeRuns(worker);
    const RunSummary &summary = worker.runSummary;
    CandidateWorker candidate{&worker.info, summary.available, summary.idleMilliCores, {}};
    candidate.runCount = summary.runCount;
    candidate.hasNewRuns = now - summary.latestStartAt <= m_settings.crashes.crashWindow;
    candidate.avoided = now < worker.avoidedUntil;
    candidate.acceptsBestEffort = acceptsBestEffort(worker, now);
    const bool fitsBestEffort = (candidate.acceptsBestEffort || needs.besideMisses)
        && needs.bestEffortMilliCores && hasIdleProcessors(candidate, *needs.bestEffortMilliCores);
    if (fitsBestEffort || needs.images)
        addInterferenceState(worker, candidate, now);
    if (fitsBestEffort)
        applyBestEffortLimit(worker, candidate, *needs.bestEffortMilliCores, now);
    candidate.hasProbation = summary.hasProbation;
    withholdCapacity(candidate, now);
    return candidate;
}

// Returns the workers that may be given tasks.
std::vector<CandidateWorker> Coordinator::candidateWorkers(const PassNeeds &needs, Instant now)
{
    std::vector<CandidateWorker> candidates;
    candidates.reserve(m_workers.size());
    for (auto &[id, worker] : m_workers) {
        if (isUsable(worker, now))
            candidates.push_back(candidateOf(worker, needs, now));
    }
    m_counters.workersExamined += m_workers.size();
    return candidates;
}

// Returns the indexes of the step's tasks that are neither done nor placed, and that may start on
// any worker, or are of a gang.
std::vector<int> Coordinator::tasksToStart(const StepRef &ref) const
{
    std::vector<int> indexes;
    const Job *job = m_table.find(ref.job);
    const auto it = job->occurrences.find(ref.occurrence);
    const StepSpec &spec = job->spec.steps[ref.step];
    for (int i = 0; i < spec.taskCount; ++i) {
        const bool held =
            !m_heldTasks.empty() && m_heldTasks.contains({ref.job, ref.occurrence, ref.step, i});
        if (held && spec.gang) // All members start together.
            return {};
        if (held
            || (!spec.gang && m_unansweredStarts.workerFor({ref.job, ref.occurrence, ref.step, i})))
            continue;
        if (it == job->occurrences.end()) {
            indexes.push_back(i);
            continue;
        }
        const Task &task = it->second.steps[ref.step].tasks[i];
        if (!task.done && task.activeRuns.empty())
            indexes.push_back(i);
    }
    return indexes;
}

std::vector<ReadyStep> Coordinator::sortedReadySteps(ClockReading now) const
{
    std::vector<ReadyStep> steps;
    for (const auto &[ref, since] : m_readySteps) {
        const Job *job = m_table.find(ref.job);
        ReadyStep step;
        step.ref = ref;
        step.job = job;
        step.spec = &job->spec.steps[ref.step];
        step.preempted = m_preemption.isPreempted(ref, now.monotonic);
        step.longRunning = step.spec->longRunning;
        step.since = since;
        step.occurrenceStarted = job->occurrences.contains(ref.occurrence);
        step.relativeDeadline = relativeDeadlineOf(job->spec);
        step.minLaxityToBegin =
            step.relativeDeadline * m_settings.minBestEffortLaxityPercent / fullPercent;
        step.lateness = Millis{now.wallMs - job->dueWallMs(ref.occurrence)} - step.relativeDeadline;
        step.starved = step.longRunning && now.monotonic - since >= m_settings.longRunningMaxWait;
        // Of long-running steps the one that has waited longest comes first.
        step.laxity = step.longRunning
            ? since - now.monotonic
            : Millis{0} - step.lateness - expectedCriticalPath(*job, ref.step, now.monotonic);
        steps.push_back(step);
    }
    std::sort(steps.begin(), steps.end(), comesBefore);
    return steps;
}

PlacementConstraints Coordinator::constraintsFor(const StepRef &ref, Instant now) const
{
    PlacementConstraints constraints;
    constraints.service = m_table.find(ref.job)->spec.policy.service;
    for (const RunKey &key : m_runs.ofStep(ref)) {
        const Run &run = *m_runs.find(key);
        ++constraints.tasksPerWorker[run.workerId];
        const auto it = m_workers.find(run.workerId);
        if (it != m_workers.end())
            constraints.currentRack = it->second.info.rack;
    }
    constraints.avoidedWorkers = m_quarantine.failedWorkers(ref.job);
    constraints.avoidedImages = m_bestEffortLimit.avoidedImages(ref, now);
    constraints.headroomEstimator = &m_headroomEstimator;
    constraints.mayJoinSuspects = now - readySince(ref, now) >= m_settings.maxIsolationWait;
    return constraints;
}

// Returns since when the step has had tasks to start; `now` if it has none.
Instant Coordinator::readySince(const StepRef &ref, Instant now) const
{
    const auto it = m_readySteps.find(ref);
    return it == m_readySteps.end() ? now : it->second;
}

void Coordinator::placeReadySteps(ClockReading now)
{
    m_placementNeeded = false;
    m_placementDueAt = now.monotonic + m_settings.maxPlacementInterval;
    if (!hasTasksToPlace())
        return;
    placeUnansweredTasks(now);
    std::vector<ReadyStep> steps = sortedReadySteps(now);
    if (static_cast<int>(steps.size()) > m_settings.maxStepsPerPass)
        steps.resize(m_settings.maxStepsPerPass);
    PlacementPass pass{candidateWorkers(needsOf(steps, now.monotonic), now.monotonic), {}, {}};
    pass.hasProbation = std::any_of(pass.workers.begin(), pass.workers.end(),
                                    [](const CandidateWorker &it) { return it.hasProbation; });
    placeReservedSteps(steps, pass, now);
    for (const ReadyStep &step : steps) {
        const bool allPlaced =
            step.spec->gang ? placeGang(step, pass, now) : placeStep(step, pass, now);
        if (allPlaced)
            m_readySteps.erase(step.ref);
        else if (mayStartSlowly(step.ref, *step.spec, now.monotonic - step.since))
            startOneSlowly(step, pass, now);
        else
            tryQuarantinedWorkers(step, pass, now);
    }
    preemptForUrgentSteps(steps, pass, now);
    if (hasTasksToPlace())
        m_nextPlacementAt = now.monotonic + m_settings.placementInterval;
}

// Returns true if and only if best-effort tasks of a step that has waited for this time may leave
// latency-critical runs less than the usual headroom.
bool Coordinator::mayRelaxHeadroom(const StepSpec &spec, Millis waited) const
{
    return spec.bestEffort && !spec.gang && waited >= m_settings.relaxHeadroomAfter
        && m_relaxedStarts.allowsMore(m_workers.size());
}

// Returns true if and only if one task of the step, which can't start at full speed, may start at
// low speed: nothing of its occurrence of the job runs.
bool Coordinator::mayStartSlowly(const StepRef &ref, const StepSpec &spec, Millis waited) const
{
    if (!spec.bestEffort || spec.gang || waited < m_settings.startSlowlyAfter
        || !m_relaxedStarts.allowsMore(m_workers.size()))
        return false;
    const std::vector<RunKey> keys = m_runs.ofJob(ref.job);
    return std::none_of(keys.begin(), keys.end(),
                        [&](const RunKey &it) { return it.task.occurrence == ref.occurrence; });
}

PlacementConstraints Coordinator::slowStartConstraintsFor(const StepRef &ref, Instant now) const
{
    PlacementConstraints constraints = constraintsFor(ref, now);
    constraints.minHeadroom = m_settings.relaxedMinHeadroom;
    constraints.bestEffortSpeedPercent = lowSpeedPercent;
    const Millis waited = now - m_readySteps.at(ref);
    constraints.besideMisses = waited >= m_settings.startBesideMissesAfter;
    return constraints;
}

// Starts as many of the step's tasks as there are workers for, with less headroom than usual if it
// may. Returns true if and only if all are started.
bool Coordinator::placeStep(const ReadyStep &step, PlacementPass &pass, ClockReading now)
{
    const bool mayRelax = mayRelaxHeadroom(*step.spec, now.monotonic - step.since);
    // A second search of all workers is worth its time only where few may be started so.
    if (mayRelax && !m_relaxedStarts.isLimited())
        return placeStepAt(step, m_settings.relaxedMinHeadroom, pass, now);
    return placeStepAt(step, m_settings.minHeadroom, pass, now)
        || (mayRelax && placeStepAt(step, m_settings.relaxedMinHeadroom, pass, now));
}

// Starts as many of the step's tasks as there are workers for that keep this headroom. Returns true
// if and only if all are started.
bool Coordinator::placeStepAt(const ReadyStep &step, double minHeadroom, PlacementPass &pass,
                              ClockReading now)
{
    if (pass.unplaceable.covers(*step.spec, step.job->spec.policy.service, minHeadroom))
        return false;
    PlacementConstraints constraints = constraintsFor(step.ref, now.monotonic);
    constraints.minHeadroom = minHeadroom;
    std::vector<int> indexes = tasksToStart(step.ref);
    const auto firstSuspect = std::stable_partition(indexes.begin(), indexes.end(), [&](int index) {
        return !isSuspected({step.ref.job, step.ref.occurrence, step.ref.step, index});
    });
    if (!placeTasks(step, {indexes.begin(), firstSuspect}, constraints, pass, now))
        return false;
    if (firstSuspect == indexes.end())
        return true;
    constraints = constraintsFor(step.ref, now.monotonic);
    constraints.minHeadroom = minHeadroom;
    constraints.onProbation = true;
    pass.hasProbation = true;
    return placeTasks(step, {firstSuspect, indexes.end()}, constraints, pass, now);
}

// Starts these tasks of the step. Returns true if and only if there were workers for all.
bool Coordinator::placeTasks(const ReadyStep &step, std::span<const int> indexes,
                             PlacementConstraints constraints, PlacementPass &pass,
                             ClockReading now)
{
    const bool relaxed = step.spec->bestEffort && constraints.minHeadroom < m_settings.minHeadroom;
    WorkerChooser chooser(*step.spec, constraints, pass.workers);
    for (const int index : indexes) {
        if (relaxed && !m_relaxedStarts.allowsMore(m_workers.size()))
            return false;
        const auto chosen = chooser.choose();
        if (!chosen) {
            // Otherwise steps that wait for longer may find a worker.
            if (constraints.mayJoinSuspects || !pass.hasProbation)
                pass.unplaceable.add(*step.spec, constraints.service, constraints.minHeadroom);
            return false;
        }
        CandidateWorker &worker = pass.workers[*chosen];
        const RunKey started = startTask(step, index, worker, fullPercent, now);
        if (relaxed)
            m_relaxedStarts.add(started);
        ++constraints.tasksPerWorker[worker.info->incarnation.workerId];
        constraints.currentRack = worker.info->rack;
        chooser.noteTask(*chosen);
    }
    return true;
}

// Starts one task of the step at low speed, if there is a worker for it.
void Coordinator::startOneSlowly(const ReadyStep &step, PlacementPass &pass, ClockReading now)
{
    const PlacementConstraints constraints = slowStartConstraintsFor(step.ref, now.monotonic);
    UnplaceableSteps &unplaceable =
        constraints.besideMisses ? pass.unplaceableBesideMisses : pass.unplaceableSlowly;
    if (unplaceable.covers(*step.spec, constraints.service, constraints.minHeadroom))
        return;
    const auto chosen = chooseWorker(*step.spec, constraints, pass.workers);
    if (!chosen)
        return unplaceable.add(*step.spec, constraints.service, constraints.minHeadroom);
    const RunKey started = startTask(step, tasksToStart(step.ref).front(), pass.workers[*chosen],
                                     lowSpeedPercent, now);
    m_runs.find(started)->besideMisses = constraints.besideMisses;
    m_relaxedStarts.add(started);
    forgetIfPlaced(step.ref);
}

// Tries one task of a step on a quarantined worker if no other worker could ever run it, or if it
// is long-running and no other worker has room: the probe that is due some time later would come
// too late for it.
void Coordinator::tryQuarantinedWorkers(const ReadyStep &step, const PlacementPass &pass,
                                        ClockReading now)
{
    const bool waitedLongEnough = now.monotonic - step.since >= m_settings.tryQuarantinedAfter;
    if (!waitedLongEnough || step.spec->gang || m_quarantine.quarantinedCount() == 0)
        return;
    const PlacementConstraints constraints = constraintsFor(step.ref, now.monotonic);
    // What fills other workers may last, so that room there is of no use to a long-running task.
    if (!step.longRunning && couldEverRun(*step.spec, constraints, pass.workers))
        return;
    std::vector<CandidateWorker> quarantined;
    for (const std::string &id : m_quarantine.quarantinedWorkers()) {
        const auto it = m_workers.find(id);
        if (it != m_workers.end() && mayTryQuarantined(id, step.longRunning, now.monotonic)
            && isReachable(it->second, now.monotonic))
            quarantined.push_back(candidateOf(it->second, {}, now.monotonic));
    }
    const auto chosen = chooseWorker(*step.spec, constraints, quarantined);
    if (!chosen)
        return;
    CandidateWorker &worker = quarantined[*chosen];
    m_quarantine.hastenProbe(worker.info->incarnation.workerId, now.monotonic);
    startTask(step, tasksToStart(step.ref).front(), worker, fullPercent, now);
    forgetIfPlaced(step.ref);
}

// Returns true if and only if a task may be tried on the quarantined worker out of turn. A failed
// run costs a long-running task little, but others wait for their turn on the worker as well, so
// they are tried there at intervals. A probe that has gone on for as long does no harm to them.
bool Coordinator::mayTryQuarantined(const std::string &id, bool longRunning, Instant now) const
{
    if (longRunning)
        return m_quarantine.hasRested(id, m_settings.tryQuarantinedAfter, now);
    return m_quarantine.availability(id, now) == WorkerAvailability::Quarantined;
}

// Removes the step from the ready ones if all of its tasks are placed.
void Coordinator::forgetIfPlaced(const StepRef &ref)
{
    if (tasksToStart(ref).empty())
        m_readySteps.erase(ref);
}

RunKey Coordinator::startTask(const ReadyStep &step, int index, CandidateWorker &worker,
                              int speedPercent, ClockReading now)
{
    const TaskRef task{step.ref.job, step.ref.occurrence, step.ref.step, index};
    const Task *known = step.job->findTask(task);
    const int run = (known ? known->lastRunNumber : 0) + 1;
    startRun(task, run, *step.spec, worker, now);
    m_runs.find({task, run})->speedPercent = speedPercent; // Ordered once the run is confirmed.
    return {task, run};
}

// Lets the step of a run that had no effect wait as if the run had not been placed.
void Coordinator::restoreTurn(const Run &run)
{
    const auto it = m_readySteps.find(run.key.task.stepRef());
    if (it != m_readySteps.end())
        it->second = std::min(it->second, run.stepReadySince);
}

void Coordinator::startRun(const TaskRef &task, int run, const StepSpec &spec,
                           CandidateWorker &worker, ClockReading now)
{
    const bool wasQueued = m_table.find(task.job)->state == JobState::Queued;
    const std::string &id = worker.info->incarnation.workerId;
    Worker &known = m_workers.at(id);
    const WorkerIncarnation life = known.session.incarnation();
    known.runSummaryStale = true;
    markStale(known);
    if (m_table.workerAddress(id) != known.info.address)
        appendRecord(WorkerAddress{id, known.info.address});
    appendRecord(RunStarted{task, run, life});
    if (wasQueued)
        publishWhenDurable(task.job);
    Run added = makeRun({task, run}, spec, life, now.monotonic);
    added.stepReadySince = readySince(task.stepRef(), now.monotonic);
    noteStartConditions(added, known.info, now.monotonic);
    ++worker.runCount;
    worker.hasNewRuns = true;
    worker.available -= added.allocated;
    worker.idleMilliCores -= spec.demand.milliCores;
    accountForStart(worker, spec, task.job, now.monotonic);
    const Millis waited{now.wallMs - m_table.find(task.job)->dueWallMs(task.occurrence)};
    if (wasQueued)
        noteRun(SchedulerEventKind::JobStarted, added, "first-run", waited);
    noteRun(SchedulerEventKind::RunPlaced, added, spec.bestEffort ? "fill-in" : "room", waited,
            worker.available.milliCores);
    if (const auto gap = m_longRunningGaps.noteStart(task, now.monotonic)) {
        noteRun(SchedulerEventKind::LongRunningRestarted, added, toString(gap->outcome),
                gap->total);
        m_notes.back().gap = gap;
    }
    added.isProbe = m_quarantine.beginProbe(id, now.monotonic);
    const bool isRetry = known.failedStarts > 0;
    if (isRetry)
        known.blockedUntil = now.monotonic + m_settings.maxStartRetryDelay;
    added.onProbation = isSuspected(task);
    worker.hasProbation = worker.hasProbation || added.onProbation;
    if (added.isProbe || isRetry)
        worker.closeToTasks(); // It is tried with this one task.
    trackStraggler(m_runs.add(std::move(added)), now);
    m_unansweredStarts.notePlaced(task);
    m_preemption.noteStart(task);
    m_uncommittedStarts.push_back({0, {task, run}});
    ++m_counters.runsStarted;
}

} // namespace savorywick::steps
