// The part of Coordinator that processes the replies to start and stop orders.

#include "savorywick/steps/coordinator.h"

#include <algorithm>

namespace savorywick::steps {

// Records the worker's clock, if the reply tells it. Returns false if the clock tells that the
// reply does not come from the life that the session is with, or may not.
bool Coordinator::recordClock(Worker &worker, const CommandReply &reply, ClockReading now)
{
    if (!reply.clockMs || reply.outcome == CommandOutcome::WrongIncarnation)
        return true;
    markStale(worker);
    return worker.session.recordClock(*reply.clockMs, now.monotonic);
}

void Coordinator::handleStartReply(const StartRunCommand &order, const CommandReply &reply,
                                   ClockReading now)
{
    ++m_counters.startReplies[reply.outcome];
    const auto worker = m_workers.find(order.target.worker.workerId);
    if (worker != m_workers.end() && worker->second.startsInFlight > 0)
        --worker->second.startsInFlight;
    if (worker != m_workers.end()) {
        worker->second.session.startReplied(reply.clockMs, now.monotonic);
        markStale(worker->second);
    }
    const bool sameLife = worker != m_workers.end()
        && worker->second.session.incarnation() == order.target.worker
        && recordClock(worker->second, reply, now);
    if (sameLife && reply.connectionClosed)
        noteConnectionClosed(worker->second, now.monotonic);
    const RunKey key{order.task, order.run};
    Run *run = m_runs.find(key);
    if (run && reply.outcome != CommandOutcome::Unknown)
        run->startUnanswered = false;
    if (!run || run->phase != RunPhase::StartSent)
        return;
    if (sameLife && reply.outcome == CommandOutcome::Done)
        endStartBackoff(worker->second);
    else if (sameLife)
        noteFailedStart(worker->second, *run, now.monotonic);
    switch (reply.outcome) {
    case CommandOutcome::Done:
        noteConfirmedStart(key.task.job);
        if (!sameLife)
            return markStartUnknown(key, now); // Either life may have it; the next report tells.
        run->phase = RunPhase::Running;
        run->confirmedAt = now.monotonic;
        run->lastProgressAt = now.monotonic;
        orderStartSpeed(worker->second, *run, now);
        if (worker->second.info.draining)
            evacuate(worker->second);
        return scheduleStallCheck(*run);
    case CommandOutcome::Unknown:
    case CommandOutcome::StaleRun: // This run or a later one has ended there; the next report
                                   // tells.
        return markStartUnknown(key, now);
    case CommandOutcome::NoRoom:
    case CommandOutcome::TooLate:
    case CommandOutcome::Fenced:
    case CommandOutcome::WrongIncarnation:
    case CommandOutcome::Rejected:
    case CommandOutcome::NotSent:
        noteRun(SchedulerEventKind::StartRefused, *run, toString(reply.outcome),
                now.monotonic - run->startedAt);
        if (sameLife && reply.outcome == CommandOutcome::NotSent)
            worker->second.session.markUnresponsive();
        if (reply.outcome != CommandOutcome::NotSent)
            m_unansweredStarts.settle(key.task); // It won't take the task.
        endRun(key, RunOutcome::NeverStarted, {}, now);
        if (sameLife && reply.outcome == CommandOutcome::WrongIncarnation)
            meetOtherWorker(worker->second, now);
        return;
    }
}

void Coordinator::handleStopReply(const StopRunCommand &order, const CommandReply &reply,
                                  ClockReading now)
{
    const auto worker = m_workers.find(order.target.worker.workerId);
    if (worker == m_workers.end() || worker->second.session.incarnation() != order.target.worker)
        return;
    recordClock(worker->second, reply, now);
    if (reply.connectionClosed)
        noteConnectionClosed(worker->second, now.monotonic);
    if (reply.outcome == CommandOutcome::WrongIncarnation)
        return meetOtherWorker(worker->second, now);
    Run *run = m_runs.find({order.task, order.run});
    if (!run || reply.outcome == CommandOutcome::Done)
        return;
    noteRun(SchedulerEventKind::StopFailed, *run, toString(reply.outcome),
            now.monotonic - run->startedAt);
    run->stopSentAt = now.monotonic - m_settings.stopResendInterval + m_settings.stopRetryDelay;
}

// Holds it against the worker that it did not start the run. Starts that were under way when one
// failed count as one with it.
void Coordinator::noteFailedStart(Worker &worker, const Run &run, Instant now)
{
    if (run.startedAt <= worker.lastFailedStartAt)
        return;
    constexpr int maxDoublings = 10;
    const int factor = 1 << std::min(worker.failedStarts, maxDoublings);
    ++worker.failedStarts;
    worker.lastFailedStartAt = now;
    worker.blockedUntil =
        now + std::min(m_settings.startRetryDelay * factor, m_settings.maxStartRetryDelay);
    worker.avoidedUntil =
        now + std::min(m_settings.workerAvoidance * factor, m_settings.maxWorkerAvoidance);
}

void Coordinator::endStartBackoff(Worker &worker)
{
    worker.failedStarts = 0;
    worker.blockedUntil = {};
    worker.avoidedUntil = {};
}

// Handles a start order that may or may not have taken effect. The fence is raised, so that the
// next answered renewal voids the order and its report tells whether the worker has the run.
void Coordinator::markStartUnknown(const RunKey &key, ClockReading now)
{
    Run *run = m_runs.find(key);
    run->phase = RunPhase::Unconfirmed;
    noteRun(SchedulerEventKind::RunUnconfirmed, *run, "no-answer", now.monotonic - run->startedAt);
    const auto worker = m_workers.find(run->workerId);
    if (worker != m_workers.end() && worker->second.session.fence() == run->startFence) {
        worker->second.session.raiseFence(now.monotonic);
        markStale(worker->second);
    }
}

} // namespace savorywick::steps
