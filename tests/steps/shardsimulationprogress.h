#pragma once

#include "shardsimulation.h"

// The member functions of ShardSimulation that check that jobs make progress.
namespace savorywick::steps::testing {

// Returns when everything that could run must do so, counted from the end of the faults. What the
// owner believes to run on a worker that is gone ends with the lease, which lasts longest by the
// slowest clock. A renewal that was under way at the end of the faults must fail or be answered
// first, and the next one be sent.
inline Millis ShardSimulation::calmBound() const
{
    const CoordinatorSettings settings = ownerSettings();
    const WorkerSessionSettings &sessions = settings.workerSessions;
    constexpr int fullPercent = 100;
    const Millis longestLease = (sessions.maxLeaseTerm + sessions.expiryMargin) * fullPercent
        / sessions.minClockRatePercent;
    return longestLease + sessions.maxRenewalWait + replyTimeout + sessions.retryDelay;
}

inline void ShardSimulation::verifyProgressInCalm()
{
    constexpr Millis checkedTime{25'000};
    constexpr int maxBroken = 2; // Of the four workers.
    m_faults = false;
    const int broken = randomBelow(maxBroken + 1);
    for (int i = 0; i < static_cast<int>(m_workers.size()); ++i) {
        SimulatedWorker &worker = m_workers[i];
        if (i >= broken) {
            repair(worker);
            continue;
        }
        worker.lostCallsPercent = 0; // A link that goes on losing calls is no calm.
        worker.entryStays = randomBelow(2) == 0;
        if (worker.info.draining || (worker.up && randomBelow(4) == 0))
            crash(worker);
        else if (worker.up && worker.startBehaviour == StartBehaviour::Accepts)
            worker.startBehaviour = static_cast<StartBehaviour>(randomBelow(5));
    }
    logEvent(" * calm begins with " + std::to_string(broken) + " broken workers");
    m_calmSince = m_now;
    m_idleSince.clear();
    while (m_now - *m_calmSince < checkedTime)
        advanceOnce();
    m_calmSince.reset();
}

// Returns true if and only if the worker is sound and takes tasks of the step.
inline bool ShardSimulation::isUsable(const SimulatedWorker &worker, const StepSpec &spec) const
{
    const std::vector<std::string> &labels = worker.info.labels;
    const bool suits = spec.neededLabel.empty()
        || std::find(labels.begin(), labels.end(), spec.neededLabel) != labels.end();
    return suits && worker.up && !worker.partitioned && worker.lostCallsPercent == 0
        && worker.startBehaviour == StartBehaviour::Accepts && !worker.info.draining && worker.entry
        && worker.entry->incarnation == worker.info.incarnation;
}

// Returns how many more tasks of the step the worker has room for.
inline int ShardSimulation::freeSlots(const SimulatedWorker &worker, const StepRef &step) const
{
    const StepSpec &spec = m_specs.at(step.job).steps[step.step];
    ResourceVector available = worker.info.capacity;
    available -= worker.booked();
    if (!isUsable(worker, spec) || !spec.demand.fitsIn(available))
        return 0;
    const int slots = std::min(available.milliCores / std::max(1, spec.demand.milliCores),
                               available.memoryMb / std::max(1, spec.demand.memoryMb));
    if (spec.maxTasksPerWorker == 0)
        return slots;
    const auto present = std::count_if(
        worker.runs.begin(), worker.runs.end(),
        [&](const SimulatedWorker::SimulatedRun &it) { return it.task.stepRef() == step; });
    return std::min(slots, std::max(0, spec.maxTasksPerWorker - static_cast<int>(present)));
}

// Returns true if and only if sound workers have room for a task of the step, or a whole gang,
// twice over, and less than half of their capacity is in use.
inline bool ShardSimulation::hasRoomTwice(const StepRef &step) const
{
    int slots = 0;
    std::int64_t booked = 0;
    std::int64_t capacity = 0;
    for (const SimulatedWorker &it : m_workers) {
        booked += it.booked().milliCores;
        capacity += isUsable(it, {}) ? it.info.capacity.milliCores : 0;
        slots += freeSlots(it, step);
    }
    const StepSpec &spec = m_specs.at(step.job).steps[step.step];
    return booked * 2 < capacity && slots >= 2 * (spec.gang ? spec.taskCount : 1);
}

// Returns true if and only if the step's predecessors are done and it is not.
inline bool ShardSimulation::isStepsTurn(const JobSpec &job, int occurrence, int step) const
{
    const auto isDone = [&](int s) {
        for (int i = 0; i < job.steps[s].taskCount; ++i) {
            if (!m_completedTasks.contains({job.id, occurrence, s, i}))
                return false;
        }
        return true;
    };
    const std::vector<int> &predecessors = job.steps[step].dependsOn;
    return !isDone(step) && std::all_of(predecessors.begin(), predecessors.end(), isDone);
}

// Checks that no job has nothing running for long, and no long-running task does not run for long,
// although it could.
inline void ShardSimulation::checkProgress()
{
    for (const std::string &id : m_accepted) {
        const Job *job = m_owner->jobTable().find(id);
        if (!job || isFinal(job->state))
            continue;
        for (int k = 0; k < job->occurrenceCount(); ++k) {
            if (trueWallMs() >= dueWallMs(job->spec, k) + maxWallSkewMs)
                checkOccurrence(job->spec, k);
        }
    }
}

inline void ShardSimulation::checkOccurrence(const JobSpec &job, int occurrence)
{
    const std::string name = job.id + "." + std::to_string(occurrence);
    const StepSpec &first = job.steps.front();
    if (first.longRunning) {
        for (int i = 0; i < first.taskCount; ++i)
            checkIdleTime(name + ".0." + std::to_string(i),
                          m_groundTruth[{job.id, occurrence, 0, i}].liveRuns == 0
                              && hasRoomTwice({job.id, occurrence, 0}));
        return;
    }
    bool couldRun = false;
    bool runs = false;
    for (int s = 0; s < static_cast<int>(job.steps.size()); ++s) {
        const StepSpec &spec = job.steps[s];
        for (int i = 0; i < spec.taskCount; ++i)
            runs = runs || m_groundTruth[{job.id, occurrence, s, i}].liveRuns > 0;
        couldRun =
            couldRun || (isStepsTurn(job, occurrence, s) && hasRoomTwice({job.id, occurrence, s}));
    }
    checkIdleTime(name, couldRun && !runs);
}

inline void ShardSimulation::checkIdleTime(const std::string &name, bool idle)
{
    if (!idle) {
        m_idleSince.erase(name);
        return;
    }
    const Instant since = m_idleSince.try_emplace(name, m_now).first->second;
    require(m_now < *m_calmSince + calmBound() || m_now - since <= maxIdleTime,
            name + " could run and does not since " + std::to_string(since.count()) + ", now "
                + std::to_string(m_now.count()) + ", calm since "
                + std::to_string(m_calmSince->count()));
}

} // namespace savorywick::steps::testing
