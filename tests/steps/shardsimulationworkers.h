#pragma once

#include "stepworld.h"

#include <algorithm>
#include <string>

// The member functions of ShardSimulation that play the workers.
namespace savorywick::steps::testing {

// Returns true if and only if the worker accepts the order's fence; a lower fence than the
// highest seen is rejected.
inline bool ShardSimulation::acceptFence(SimulatedWorker &worker, const OrderTarget &target)
{
    if (target.fence < worker.fence)
        return false;
    worker.fence = target.fence;
    return true;
}

inline RenewReply ShardSimulation::execute(const RenewOrder &order)
{
    SimulatedWorker &worker = findWorker(order.target.worker.id);
    if (!worker.up)
        return {};
    if (order.target.worker != worker.info.life)
        return {OrderOutcome::OtherLife, {}};
    if (!acceptFence(worker, order.target))
        return {OrderOutcome::Fenced, {}};
    for (const EndReport &it : worker.unacknowledgedEnds) {
        if (it.number <= order.seenEnds && it.number > worker.lapsedEndNumber)
            recordAcknowledgedEnd(it);
    }
    std::erase_if(worker.unacknowledgedEnds,
                  [&](const EndReport &it) { return it.number <= order.seenEnds; });
    if (order.untilClockMs)
        worker.leaseExpiryMs = std::max(worker.leaseExpiryMs, *order.untilClockMs);
    RenewReply reply{OrderOutcome::Done, {}};
    reply.report.clockMs = worker.clockMs(m_now);
    reply.report.bornWallMs = worker.info.life.bornWallMs;
    for (const auto &it : worker.runs)
        reply.report.running.push_back({it.task, it.run, "", it.longRunning ? 100 : 50, {}});
    reply.report.ended = worker.unacknowledgedEnds;
    return reply;
}

// Notes an end that the owner has acknowledged, which it may do only once the end is durable.
inline void ShardSimulation::recordAcknowledgedEnd(const EndReport &end)
{
    TaskGroundTruth &truth = m_groundTruth[end.task];
    logEvent(toString(end.task) + " run " + std::to_string(end.run) + " acknowledged as "
             + std::string(toString(end.how)));
    truth.doneAcknowledged = truth.doneAcknowledged || end.how == RunEnd::Done;
    truth.failuresAcknowledged += end.how == RunEnd::Failed ? 1 : 0;
}

inline OrderReply ShardSimulation::execute(const StartOrder &order)
{
    SimulatedWorker &worker = findWorker(order.target.worker.id);
    if (!worker.up)
        return {};
    if (order.target.worker != worker.info.life)
        return {OrderOutcome::OtherLife, {}};
    if (!acceptFence(worker, order.target))
        return {OrderOutcome::Fenced, worker.clockMs(m_now)};
    for (const auto &it : worker.runs) {
        if (it.task == order.task && it.run == order.run)
            return {OrderOutcome::Done, worker.clockMs(m_now)};
    }
    const auto ended = worker.highestEndedRun.find(order.task);
    if (ended != worker.highestEndedRun.end() && ended->second >= order.run)
        return {OrderOutcome::OldRun, worker.clockMs(m_now)};
    if (order.untilClockMs <= worker.clockMs(m_now))
        return {OrderOutcome::TooLate, worker.clockMs(m_now)};
    worker.leaseExpiryMs = std::max(worker.leaseExpiryMs, order.untilClockMs);
    startRun(worker, order);
    return {OrderOutcome::Done, worker.clockMs(m_now)};
}

// Starts a run that fails at times, and checks that it is permitted now.
inline void ShardSimulation::startRun(SimulatedWorker &worker, const StartOrder &order)
{
    ++m_startCount;
    const JobSpec &job = m_specs.at(order.task.job);
    const StepSpec &spec = job.steps[order.task.step];
    TaskGroundTruth &truth = m_groundTruth[order.task];
    const std::string name = toString(order.task) + " run " + std::to_string(order.run);
    logEvent(name + " starts on " + worker.info.life.id + " fence "
             + std::to_string(order.target.fence));
    require(truth.liveRuns == 0, name + " runs tasksOfStep another run");
    require(spec.standing || !truth.doneAcknowledged,
            name + " starts after its end was acknowledged");
    require(spec.standing || truth.failuresAcknowledged < job.policy.maxAttempts,
            name + " starts after its last attempt");
    for (const int predecessor : spec.after) {
        for (int i = 0; i < job.steps[predecessor].count; ++i)
            require(
                m_completedTasks.contains({order.task.job, order.task.occurrence, predecessor, i}),
                name + " starts predecessor its predecessors are done");
    }
    require(now().wallMs >= dueWallMs(job, order.task.occurrence), name + " starts early");
    ++truth.liveRuns;
    const bool fails = randomBelow(15) == 0;
    const Millis duration{100 + randomBelow(1'500)};
    worker.runs.push_back({order.task, order.run,
                           m_now + (spec.standing ? longRunningDuration() : duration),
                           fails ? RunEnd::Failed : RunEnd::Done, spec.demand, spec.standing});
    int tasksOfStep = 0;
    Demand used;
    for (const auto &it : worker.runs) {
        used += it.demand;
        tasksOfStep += it.task.stepRef() == order.task.stepRef() ? 1 : 0;
    }
    require(used.fitsIn(worker.info.capacity), worker.info.life.id + " exceeds its capacity");
    require(spec.maxPerWorker == 0 || tasksOfStep <= spec.maxPerWorker,
            name + " exceeds maxPerWorker");
}

// Returns for how long a long-running task runs: it ends by itself only while faults are
// injected.
inline Millis ShardSimulation::longRunningDuration()
{
    return Millis{m_faults ? 1'000 + randomBelow(20'000) : 3'600'000};
}

inline std::int64_t ShardSimulation::dueWallMs(const JobSpec &job, int occurrence)
{
    return job.schedule.count == 0
        ? 0
        : job.schedule.firstWallMs + job.schedule.interval.count() * occurrence;
}

inline OrderReply ShardSimulation::execute(const StopOrder &order)
{
    SimulatedWorker &worker = findWorker(order.target.worker.id);
    if (!worker.up)
        return {};
    if (order.target.worker != worker.info.life)
        return {OrderOutcome::OtherLife, {}};
    if (!acceptFence(worker, order.target))
        return {OrderOutcome::Fenced, worker.clockMs(m_now)};
    for (auto &it : worker.runs) {
        if (it.task == order.task && it.run == order.run && it.endsAt > m_now) {
            it.endsAt = m_now + Millis{randomBelow(200)};
            it.how = RunEnd::Stopped;
        }
    }
    return {OrderOutcome::Done, worker.clockMs(m_now)};
}

inline OrderReply ShardSimulation::execute(const PaceOrder &)
{
    return {OrderOutcome::Done, {}};
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
        const RunEnd how = lapsed ? RunEnd::Lapsed : it->how;
        worker.unacknowledgedEnds.push_back({++worker.lastEndNumber, it->task, it->run, how, ""});
        logEvent(toString(it->task) + " run " + std::to_string(it->run) + " ends on "
                 + worker.info.life.id + " as " + std::string(toString(how)));
        worker.highestEndedRun[it->task] = std::max(worker.highestEndedRun[it->task], it->run);
        --m_groundTruth[it->task].liveRuns;
        if (how == RunEnd::Done)
            m_completedTasks.insert(it->task);
        it = worker.runs.erase(it);
    }
}

} // namespace savorywick::steps::testing
