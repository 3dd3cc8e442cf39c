// The part of Coordinator that decides which tasks start next and on which workers.

#include "savorywick/steps/coordinator.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;

} // namespace

bool Coordinator::isUsable(const Worker &worker, Instant now) const
{
    if (!worker.everListed || worker.info.draining || !worker.session.responsive())
        return false;
    if (worker.unlistedSince && now - *worker.unlistedSince > m_settings.unlistedGracePeriod)
        return false;
    if (now < worker.blockedUntil)
        return false;
    const std::string &id = worker.info.life.id;
    switch (m_quarantine.standing(id, now)) {
    case WorkerStanding::Open:
    case WorkerStanding::ProbeDue: // startRun() limits it to one task.
        return true;
    case WorkerStanding::Quarantined:
    case WorkerStanding::Probing:
        return false;
    }
    return false;
}

std::vector<CandidateWorker> Coordinator::candidateWorkers(Instant now) const
{
    std::vector<CandidateWorker> candidates;
    for (const auto &[id, worker] : m_workers) {
        if (!isUsable(worker, now))
            continue;
        CandidateWorker candidate{&worker.info, worker.info.capacity, 0, {}};
        candidate.available -= m_runs.booked(id);
        const int unusedMilliCores = m_runs.standingCores(id) / fullPercent
            * (fullPercent - m_settings.longRunningUsagePercent);
        candidate.idleMilliCores =
            candidate.available.milliCores + unusedMilliCores - m_runs.fillInCores(id);
        addInterferenceState(id, candidate, now);
        candidates.push_back(candidate);
    }
    return candidates;
}

// Returns the indexes of the step's tasks that are neither done nor placed.
std::vector<int> Coordinator::tasksToStart(const StepRef &ref) const
{
    std::vector<int> indexes;
    const Job *job = m_table.find(ref.job);
    const auto it = job->occurrences.find(ref.occurrence);
    const int count = job->spec.steps[ref.step].count;
    for (int i = 0; i < count; ++i) {
        if (it == job->occurrences.end()) {
            indexes.push_back(i);
            continue;
        }
        const Task &task = it->second.steps[ref.step].tasks[i];
        if (!task.done && task.runs.empty())
            indexes.push_back(i);
    }
    return indexes;
}

std::vector<ReadyStep> Coordinator::sortedReadySteps(Now now) const
{
    std::vector<ReadyStep> steps;
    for (const auto &[ref, since] : m_readySteps) {
        const Job *job = m_table.find(ref.job);
        ReadyStep step;
        step.ref = ref;
        step.job = job;
        step.spec = &job->spec.steps[ref.step];
        step.longRunning = step.spec->standing;
        step.occurrenceStarted = job->occurrences.contains(ref.occurrence);
        step.relativeDeadline = relativeDeadlineOf(job->spec);
        step.lateness = Millis{now.wallMs - job->dueWallMs(ref.occurrence)} - step.relativeDeadline;
        step.starved = step.longRunning && now.at - since >= m_settings.longRunningMaxWait;
        // Of long-running steps the one that has waited longest comes first.
        step.laxity = step.longRunning
            ? since - now.at
            : Millis{0} - step.lateness - criticalPathLengths(job->spec.steps)[ref.step];
        steps.push_back(step);
    }
    std::sort(steps.begin(), steps.end(), comesBefore);
    return steps;
}

PlacementConstraints Coordinator::constraintsFor(const StepRef &ref) const
{
    PlacementConstraints constraints;
    constraints.service = m_table.find(ref.job)->spec.policy.service;
    for (const RunKey &key : m_runs.ofStep(ref)) {
        const Run &run = *m_runs.find(key);
        ++constraints.tasksPerWorker[run.worker];
        const auto it = m_workers.find(run.worker);
        if (it != m_workers.end())
            constraints.currentRack = it->second.info.rack;
    }
    constraints.avoidedWorkers = m_quarantine.workersFailed(ref.job);
    constraints.headroomEstimator = &m_headroomEstimator;
    return constraints;
}

void Coordinator::placeReadySteps(Now now)
{
    m_placementNeeded = false;
    if (m_readySteps.empty())
        return;
    std::vector<CandidateWorker> workers = candidateWorkers(now.at);
    std::vector<ReadyStep> steps = sortedReadySteps(now);
    if (static_cast<int>(steps.size()) > m_settings.maxStepsPerPass)
        steps.resize(m_settings.maxStepsPerPass);
    for (const ReadyStep &step : steps) {
        const bool allPlaced =
            step.spec->gang ? placeGang(step, workers, now) : placeStep(step, workers, now);
        if (allPlaced)
            m_readySteps.erase(step.ref);
    }
}

// Starts as many of the step's tasks as there are workers for. Returns true if and only if all are.
bool Coordinator::placeStep(const ReadyStep &step, std::vector<CandidateWorker> &workers, Now now)
{
    PlacementConstraints constraints = constraintsFor(step.ref);
    const bool relaxed = now.at - m_readySteps.at(step.ref) >= m_settings.relaxHeadroomAfter;
    constraints.minHeadroom = relaxed ? m_settings.relaxedMinHeadroom : m_settings.minHeadroom;
    for (const int index : tasksToStart(step.ref)) {
        const auto chosen = chooseWorker(*step.spec, constraints, workers);
        if (!chosen)
            return false;
        const TaskRef task{step.ref.job, step.ref.occurrence, step.ref.step, index};
        const Task *known = step.job->find(task);
        CandidateWorker &worker = workers[*chosen];
        startRun(task, (known ? known->lastRun : 0) + 1, *step.spec, worker, now);
        ++constraints.tasksPerWorker[worker.info->life.id];
        constraints.currentRack = worker.info->rack;
    }
    return true;
}

// Starts all tasks of the gang under one run number, or none. Returns true if and only if it did.
bool Coordinator::placeGang(const ReadyStep &step, std::vector<CandidateWorker> &workers, Now now)
{
    PlacementConstraints constraints = constraintsFor(step.ref);
    if (!constraints.tasksPerWorker.empty())
        return false; // Members of the previous run have not ended yet.
    std::vector<CandidateWorker> remaining = workers;
    std::vector<std::size_t> chosen;
    int run = 0;
    for (int i = 0; i < step.spec->count; ++i) {
        const auto it = chooseWorker(*step.spec, constraints, remaining);
        if (!it)
            return false;
        chosen.push_back(*it);
        remaining[*it].available -= bookingOf(*step.spec);
        ++constraints.tasksPerWorker[remaining[*it].info->life.id];
        constraints.currentRack = remaining[*it].info->rack;
        const Task *known = step.job->find({step.ref.job, step.ref.occurrence, step.ref.step, i});
        run = std::max(run, known ? known->lastRun : 0);
    }
    for (int i = 0; i < step.spec->count; ++i)
        startRun({step.ref.job, step.ref.occurrence, step.ref.step, i}, run + 1, *step.spec,
                 workers[chosen[i]], now);
    return true;
}

void Coordinator::startRun(const TaskRef &task, int run, const StepSpec &spec,
                           CandidateWorker &worker, Now now)
{
    const bool wasQueued = m_table.find(task.job)->state == JobState::Queued;
    const std::string &id = worker.info->life.id;
    const WorkerLife life = m_workers.at(id).session.life();
    appendRecord(RunStarted{task, run, life});
    if (wasQueued)
        publishWhenDurable(task.job);
    Run added = newRun({task, run}, spec, life, now.at);
    worker.available -= added.booked;
    worker.idleMilliCores -= spec.demand.milliCores;
    accountForStart(worker, spec, task.job, now.at);
    const Millis waited{now.wallMs - m_table.find(task.job)->dueWallMs(task.occurrence)};
    if (wasQueued)
        noteRun(NoteKind::JobStarted, added, "first-run", waited);
    noteRun(NoteKind::RunPlaced, added, spec.fillIn ? "fill-in" : "room", waited,
            worker.available.milliCores);
    m_runs.add(std::move(added));
    m_uncommittedStarts.push_back({0, {task, run}});
    if (m_quarantine.beginProbe(id, now.at))
        worker.available = {}; // The probe is this one task.
    ++m_counters.started;
}

} // namespace savorywick::steps
