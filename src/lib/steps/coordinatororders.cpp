// The part of Coordinator that decides which orders to send to workers, and when.

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savorywick::steps {

std::vector<WorkerCommand> Coordinator::takeOrders(ClockReading now)
{
    std::vector<WorkerCommand> orders = std::exchange(m_immediateOrders, {});
    addStartOrders(orders, now);
    addStopOrders(orders, now);
    std::vector<WorkerCommand> renewals = takeRenewals(now);
    orders.insert(orders.end(), std::make_move_iterator(renewals.begin()),
                  std::make_move_iterator(renewals.end()));
    return orders;
}

// Returns the worker's capacity less what is booked, which is negative if the capacity has shrunk.
// A run that is being stopped stays booked until its end.
ResourceVector Coordinator::availableOn(const Worker &worker) const
{
    ResourceVector available = worker.info.capacity;
    available -= m_runs.allocated(worker.info.incarnation.workerId);
    available -= worker.allocatedToStrays;
    return available;
}

// Returns true if and only if the worker has room for the run, which is booked there. Its capacity
// may have shrunk since the run was placed.
bool Coordinator::fitsStill(const Worker &worker, const Run &run) const
{
    const ResourceVector available = availableOn(worker);
    const ResourceVector &needs = run.allocated;
    return (needs.milliCores == 0 || available.milliCores >= 0)
        && (needs.memoryMb == 0 || available.memoryMb >= 0)
        && (needs.accelerators == 0 || available.accelerators >= 0);
}

void Coordinator::addStartOrders(std::vector<WorkerCommand> &orders, ClockReading now)
{
    for (const RunKey &key : std::exchange(m_durableStarts, {})) {
        Run *run = m_runs.find(key);
        if (!run || run->phase != RunPhase::StartPending)
            continue;
        const auto it = m_workers.find(run->workerId);
        const Job *job = m_table.find(key.task.job);
        const bool mayStart = job && !isFinal(job->state) && !run->stopRequested
            && it != m_workers.end() && it->second.session.incarnation() == run->incarnation
            && it->second.session.responsive() && !it->second.lifeIsOver
            && !m_earlierLeases.withholds(run->workerId) && !it->second.info.draining
            && fitsStill(it->second, *run);
        const bool zoneAllows = !mayStart || mayStartInZoneOf(it->second, now.monotonic);
        m_counters.startsWithheld += zoneAllows ? 0 : 1;
        if (!mayStart || !zoneAllows) {
            endRun(key, RunOutcome::NeverStarted, {}, now);
            continue;
        }
        WorkerSession &session = it->second.session;
        run->phase = RunPhase::StartSent;
        run->startFence = session.fence();
        run->startUnanswered = true;
        run->startedAt = now.monotonic;
        run->lastProgressAt = now.monotonic;
        ++it->second.startsInFlight;
        StartRunCommand order{session.target(),
                              key.task,
                              key.number,
                              job->spec.payload,
                              job->findTask(key.task)->checkpoint,
                              session.grantStartLease(now.monotonic, m_latestLeaseEnd)};
        if (m_unansweredStarts.workerFor(key.task))
            order.answerTimeout = m_settings.repeatedStartTimeout;
        orders.emplace_back(std::move(order));
        markStale(it->second);
    }
}

void Coordinator::addStopOrders(std::vector<WorkerCommand> &orders, ClockReading now)
{
    for (const RunKey &key : m_runs.runsToStop()) {
        ++m_counters.runsExamined;
        Run *run = m_runs.find(key);
        const bool due =
            !run->stopSentAt || now.monotonic - *run->stopSentAt >= m_settings.stopResendInterval;
        const auto it = m_workers.find(run->workerId);
        if (run->phase != RunPhase::Running || !due || it == m_workers.end())
            continue;
        run->stopSentAt = now.monotonic;
        orders.emplace_back(StopRunCommand{it->second.session.target(), key.task, key.number});
    }
}

std::vector<WorkerCommand> Coordinator::takeRenewals(ClockReading now)
{
    std::vector<WorkerCommand> renewals;
    refreshDueTimes();
    for (const std::string &id : m_renewals.takeDue(now.monotonic)) {
        ++m_counters.workersExamined;
        Worker &worker = m_workers.at(id);
        markStale(worker);
        Millis wait = needsMonitoring(worker) ? m_settings.monitoredRenewalWait
                                              : m_settings.workerSessions.maxRenewalWait;
        if (worker.startsInFlight > 0) // One that gets no reply is settled by the next renewal.
            wait = Millis{0};
        const auto latestEnd =
            m_earlierLeases.withholds(id) ? std::optional(now.monotonic) : m_latestLeaseEnd;
        if (auto renewal =
                worker.session.nextRenewal(m_runs.hasRunsOn(id), wait, now.monotonic, latestEnd))
            renewals.emplace_back(std::move(*renewal));
    }
    return renewals;
}

Instant Coordinator::wakeAt(Instant now)
{
    const Instant at = ordersDueAt(now);
    if (!hasTasksToPlace())
        return at;
    // A pass is overdue only while tick() is not called.
    const bool overdue = placementAt() <= now;
    return std::min(at, overdue ? now + m_settings.placementInterval : placementAt());
}

Instant Coordinator::ordersDueAt(Instant now)
{
    // Bounds the delay of lapsed leases, stalled runs, due occurrences and repeated stop orders.
    constexpr Millis maxTickInterval{500};
    refreshDueTimes();
    const Instant at = now + maxTickInterval;
    return std::min(at, m_renewals.nextAt().value_or(at));
}

} // namespace savorywick::steps
