#pragma once

#include "shardsimulation.h"

#include <algorithm>
#include <string>

// The member functions of ShardSimulation that play the workers.
namespace savorywick::steps::testing {

// Returns true if and only if the worker accepts the order's fence; a lower fence than the
// highest seen is rejected.
inline bool ShardSimulation::acceptFence(SimulatedWorker &worker, const CommandTarget &target)
{
    if (target.fence < worker.fence)
        return false;
    worker.fence = target.fence;
    return true;
}

inline RenewLeaseReply ShardSimulation::execute(const RenewLeaseCommand &order)
{
    SimulatedWorker &worker = findWorker(order.target.worker.workerId);
    if (!worker.up)
        return {};
    if (order.target.worker != worker.info.incarnation)
        return {CommandOutcome::WrongIncarnation, {}};
    if (!acceptFence(worker, order.target))
        return {CommandOutcome::Fenced, {}};
    for (const RunEndReport &it : worker.unacknowledgedEnds) {
        if (it.endNumber <= order.ackedEndNumber && it.endNumber > worker.lapsedEndNumber)
            recordAcknowledgedEnd(it);
    }
    std::erase_if(worker.unacknowledgedEnds,
                  [&](const RunEndReport &it) { return it.endNumber <= order.ackedEndNumber; });
    if (order.leaseUntilClockMs)
        worker.leaseExpiryMs = std::max(worker.leaseExpiryMs, *order.leaseUntilClockMs);
    RenewLeaseReply reply{CommandOutcome::Done, {}};
    reply.report.clockMs = worker.clockMs(m_now);
    reply.report.startedWallMs = worker.info.incarnation.startedWallMs;
    for (const auto &it : worker.runs)
        reply.report.running.push_back({it.task, it.run, "", it.longRunning ? 100 : 50, {}});
    reply.report.ended = worker.unacknowledgedEnds;
    return reply;
}

// Notes an end that the owner has acknowledged, which it may do only once the end is durable.
inline void ShardSimulation::recordAcknowledgedEnd(const RunEndReport &end)
{
    TaskGroundTruth &truth = m_groundTruth[end.task];
    logEvent(toString(end.task) + " run " + std::to_string(end.run) + " acknowledged as "
             + std::string(toString(end.outcome)));
    truth.doneAcknowledged = truth.doneAcknowledged || end.outcome == RunOutcome::Done;
    truth.failuresAcknowledged += end.outcome == RunOutcome::Failed ? 1 : 0;
}

inline CommandReply ShardSimulation::execute(const StartRunCommand &order)
{
    SimulatedWorker &worker = findWorker(order.target.worker.workerId);
    if (!worker.up)
        return {};
    if (order.target.worker != worker.info.incarnation)
        return {CommandOutcome::WrongIncarnation, {}};
    if (!acceptFence(worker, order.target))
        return {CommandOutcome::Fenced, worker.clockMs(m_now)};
    for (const auto &it : worker.runs) {
        if (it.task == order.task && it.run == order.run)
            return {CommandOutcome::Done, worker.clockMs(m_now)};
    }
    const auto ended = worker.highestEndedRun.find(order.task);
    if (ended != worker.highestEndedRun.end() && ended->second >= order.run)
        return {CommandOutcome::StaleRun, worker.clockMs(m_now)};
    if (order.leaseUntilClockMs <= worker.clockMs(m_now))
        return {CommandOutcome::TooLate, worker.clockMs(m_now)};
    worker.leaseExpiryMs = std::max(worker.leaseExpiryMs, order.leaseUntilClockMs);
    startRun(worker, order);
    return {CommandOutcome::Done, worker.clockMs(m_now)};
}

// Starts a run, which is to fail in one of 15 cases, and checks that it may start now.
inline void ShardSimulation::startRun(SimulatedWorker &worker, const StartRunCommand &order)
{
    ++m_startCount;
    m_startedJobs.insert(order.task.job);
    const JobSpec &job = m_specs.at(order.task.job);
    const StepSpec &spec = job.steps[order.task.step];
    TaskGroundTruth &truth = m_groundTruth[order.task];
    const std::string name = toString(order.task) + " run " + std::to_string(order.run);
    logEvent(name + " starts on " + worker.info.incarnation.workerId + " fence "
             + std::to_string(order.target.fence));
    require(truth.liveRuns == 0, name + " runs beside another run");
    require(spec.longRunning || !truth.doneAcknowledged,
            name + " starts after its end was acknowledged");
    require(spec.longRunning || truth.failuresAcknowledged < job.policy.maxAttempts,
            name + " starts after its last attempt");
    for (const int predecessor : spec.dependsOn) {
        for (int i = 0; i < job.steps[predecessor].taskCount; ++i)
            require(
                m_completedTasks.contains({order.task.job, order.task.occurrence, predecessor, i}),
                name + " starts before its predecessors are done");
    }
    require(now().wallMs >= dueWallMs(job, order.task.occurrence), name + " starts early");
    ++truth.liveRuns;
    const bool fails = randomBelow(15) == 0;
    const Millis duration{100 + randomBelow(1'500)};
    worker.runs.push_back(
        {order.task, order.run, m_now + (spec.longRunning ? longRunningDuration() : duration),
         fails ? RunOutcome::Failed : RunOutcome::Done, spec.demand, spec.longRunning});
    int tasksOfStep = 0;
    ResourceVector used;
    for (const auto &it : worker.runs) {
        used += it.demand;
        tasksOfStep += it.task.stepRef() == order.task.stepRef() ? 1 : 0;
    }
    require(used.fitsIn(worker.info.capacity),
            worker.info.incarnation.workerId + " exceeds its capacity");
    require(spec.maxTasksPerWorker == 0 || tasksOfStep <= spec.maxTasksPerWorker,
            name + " exceeds maxTasksPerWorker");
}

// Returns for how long a long-running task runs: it ends by itself only while faults are
// injected.
inline Millis ShardSimulation::longRunningDuration()
{
    return Millis{m_faults ? 1'000 + randomBelow(20'000) : 3'600'000};
}

inline std::int64_t ShardSimulation::dueWallMs(const JobSpec &job, int occurrence)
{
    return job.schedule.occurrenceCount == 0
        ? 0
        : job.schedule.firstDueWallMs + job.schedule.interval.count() * occurrence;
}

inline CommandReply ShardSimulation::execute(const StopRunCommand &order)
{
    SimulatedWorker &worker = findWorker(order.target.worker.workerId);
    if (!worker.up)
        return {};
    if (order.target.worker != worker.info.incarnation)
        return {CommandOutcome::WrongIncarnation, {}};
    if (!acceptFence(worker, order.target))
        return {CommandOutcome::Fenced, worker.clockMs(m_now)};
    for (auto &it : worker.runs) {
        if (it.task == order.task && it.run == order.run && it.endsAt > m_now) {
            it.endsAt = m_now + Millis{randomBelow(200)};
            it.outcome = RunOutcome::Stopped;
        }
    }
    return {CommandOutcome::Done, worker.clockMs(m_now)};
}

inline CommandReply ShardSimulation::execute(const ThrottleRunCommand &)
{
    return {CommandOutcome::Done, {}};
}

// Ends the worker's runs whose time has come, or all of them if the lease has lapsed.
inline void ShardSimulation::advanceWorker(SimulatedWorker &worker)
{
    if (!worker.up)
        return;
    const bool lapsed = worker.clockMs(m_now) > worker.leaseExpiryMs;
    if (lapsed)
        worker.lapsedEndNumber = worker.lastEndNumber;
    for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        if (!lapsed && it->endsAt > m_now) {
            ++it;
            continue;
        }
        const RunOutcome outcome = lapsed ? RunOutcome::LeaseExpired : it->outcome;
        worker.unacknowledgedEnds.push_back(
            {++worker.lastEndNumber, it->task, it->run, outcome, ""});
        logEvent(toString(it->task) + " run " + std::to_string(it->run) + " ends on "
                 + worker.info.incarnation.workerId + " as " + std::string(toString(outcome)));
        worker.highestEndedRun[it->task] = std::max(worker.highestEndedRun[it->task], it->run);
        --m_groundTruth[it->task].liveRuns;
        if (outcome == RunOutcome::Done)
            m_completedTasks.insert(it->task);
        it = worker.runs.erase(it);
    }
}

} // namespace savorywick::steps::testing
