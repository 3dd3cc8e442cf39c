// JobScheduler: workers' leases and the reports that come with their renewal.

#include "savorywick/jobscheduler.h"

#include <algorithm>
#include <set>

namespace savorywick {

void JobScheduler::renewLeases(Instant now)
{
    for (const std::string &worker : m_allocations.hosts()) {
        if (!m_leases.isRenewalDue(worker, now))
            continue;
        m_leases.recordRenewalSent(worker, now);
        m_unansweredSince.try_emplace(worker, now);
        m_pendingCalls.emplace_back(
            RenewLease{worker, m_leases.incarnation(worker), m_settings.workerLeases.term});
    }
}

void JobScheduler::expireWorkerLeases(Instant now, Records &records)
{
    for (const std::string &worker : m_allocations.hosts()) {
        if (m_leases.hasLapsed(worker, now))
            expireWorkerLease(worker, now, records);
    }
}

void JobScheduler::expireWorkerLease(const std::string &worker, Instant now, Records &records)
{
    m_leases.forget(worker);
    const auto it = m_jobsByWorker.find(worker);
    if (it == m_jobsByWorker.end())
        return;
    const std::set<std::string> jobs = it->second;
    for (const std::string &id : jobs) {
        ++m_counters.lapsed;
        releaseAttempt(id, "lease lapsed", now, records);
    }
}

std::vector<WorkerSuspect> JobScheduler::suspects(Instant now) const
{
    std::vector<WorkerSuspect> result;
    for (const std::string &worker : m_allocations.hosts()) {
        const auto silent = m_unansweredSince.find(worker);
        const bool isSilent = silent != m_unansweredSince.end()
            && now - silent->second > m_settings.workerLeases.renewalInterval;
        if (isSilent && !m_leases.isUsable(worker, now))
            result.push_back({worker, "unreachable", silent->second});
        const auto quarantined = m_quarantine.quarantinedAt(worker);
        if (!quarantined)
            continue;
        const bool probing = m_quarantine.availability(worker, now) == WorkerAvailability::Probing;
        result.push_back({worker, probing ? "probing" : "quarantined", *quarantined});
    }
    return result;
}

void JobScheduler::handleLeaseFailure(const std::string &worker, Instant)
{
    m_leases.recordRenewalFailure(worker);
}

void JobScheduler::handleLeaseReply(const std::string &worker, const LeaseReply &report,
                                    Instant now, Records &records)
{
    if (!m_leases.recordRenewalReply(worker, report.incarnation))
        return;
    m_unansweredSince.erase(worker);
    releaseOldIncarnations(worker, report.incarnation, now, records);
    std::set<std::string> reported;
    for (const TaskReport &task : report.tasks) {
        handleTaskReport(task, worker, now, records);
        reported.insert(task.job);
    }
    stopVanishedAttempts(worker, reported, now);
}

void JobScheduler::releaseOldIncarnations(const std::string &worker, const std::string &incarnation,
                                          Instant now, Records &records)
{
    const auto it = m_jobsByWorker.find(worker);
    if (it == m_jobsByWorker.end())
        return;
    const std::set<std::string> jobs = it->second;
    for (const std::string &id : jobs) {
        if (find(id)->incarnation == incarnation)
            continue;
        ++m_counters.restarts;
        releaseAttempt(id, "worker restarted", now, records);
    }
}

void JobScheduler::handleTaskReport(const TaskReport &task, const std::string &worker, Instant now,
                                    Records &records)
{
    const Job *job = findActiveAttempt(task.job, task.attempt);
    if (job == nullptr || job->worker != worker) {
        // The attempt was superseded or its job is unknown, so it must not keep running.
        if (task.state == TaskState::Running)
            m_pendingCalls.emplace_back(StopTask{task.job, task.attempt, worker});
        return;
    }
    switch (task.state) {
    case TaskState::Running:
        confirmRunning(task.job, now);
        break;
    case TaskState::Finished:
        finishAttempt(*job, task.result, now, records);
        break;
    case TaskState::Failed:
        failAttempt(*job, task.result, now, records);
        break;
    }
}

void JobScheduler::stopVanishedAttempts(const std::string &worker,
                                        const std::set<std::string> &reported, Instant now)
{
    const auto it = m_jobsByWorker.find(worker);
    const auto renewalSentAt = m_leases.grantedRenewalSentAt(worker);
    if (it == m_jobsByWorker.end() || !renewalSentAt)
        return;
    for (const std::string &id : it->second) {
        const Attempt &active = m_attempts.at(id);
        // An attempt that was not known to be running when the renewal was sent may not have been
        // started before the worker made the report.
        const bool wasRunning = active.runningSince && *active.runningSince < *renewalSentAt;
        if (!wasRunning || active.phase == Phase::Stop || reported.contains(id))
            continue;
        ++m_counters.vanished;
        setPhase(id, Phase::Stop, now);
    }
}

} // namespace savorywick
