// The part of JobBook that deals with the workers' leases and reports.

#include "savorywick/jobbook.h"

#include <algorithm>
#include <set>

namespace savorywick {

void JobBook::renewLeases(Instant now)
{
    for (const std::string &worker : m_ledger.hosts()) {
        if (!m_leases.due(worker, now))
            continue;
        m_leases.sent(worker, now);
        m_unansweredSince.try_emplace(worker, now);
        m_effects.emplace_back(
            RenewLease{worker, m_leases.incarnation(worker), m_settings.workers.term});
    }
}

void JobBook::expireWorkers(Instant now, Records &records)
{
    for (const std::string &worker : m_ledger.hosts()) {
        if (m_leases.lapsed(worker, now))
            expireWorker(worker, now, records);
    }
}

void JobBook::expireWorker(const std::string &worker, Instant now, Records &records)
{
    m_leases.forget(worker);
    const auto it = m_byWorker.find(worker);
    if (it == m_byWorker.end())
        return;
    const std::set<std::string> jobs = it->second;
    for (const std::string &id : jobs) {
        ++m_counters.lapsed;
        freeAttempt(id, "lease lapsed", now, records);
    }
}

std::vector<WorkerSuspect> JobBook::suspects(Instant now) const
{
    std::vector<WorkerSuspect> result;
    for (const std::string &worker : m_ledger.hosts()) {
        const auto silent = m_unansweredSince.find(worker);
        const bool isSilent = silent != m_unansweredSince.end()
            && now - silent->second > m_settings.workers.renewEvery;
        if (isSilent && !m_leases.usable(worker, now))
            result.push_back({worker, "unreachable", silent->second});
        const auto quarantined = m_quarantine.quarantinedAt(worker);
        if (!quarantined)
            continue;
        const bool probing = m_quarantine.standing(worker, now) == WorkerStanding::Probing;
        result.push_back({worker, probing ? "probing" : "quarantined", *quarantined});
    }
    return result;
}

void JobBook::leaseFailed(const std::string &worker, Instant)
{
    m_leases.failed(worker);
}

void JobBook::leaseReply(const std::string &worker, const LeaseReport &report, Instant now,
                         Records &records)
{
    if (!m_leases.confirmed(worker, report.incarnation))
        return;
    m_unansweredSince.erase(worker);
    freeOldIncarnations(worker, report.incarnation, now, records);
    std::set<std::string> reported;
    for (const TaskReport &task : report.tasks) {
        takeReport(task, worker, now, records);
        reported.insert(task.job);
    }
    stopVanished(worker, reported, now);
}

void JobBook::freeOldIncarnations(const std::string &worker, const std::string &incarnation,
                                  Instant now, Records &records)
{
    const auto it = m_byWorker.find(worker);
    if (it == m_byWorker.end())
        return;
    const std::set<std::string> jobs = it->second;
    for (const std::string &id : jobs) {
        if (find(id)->incarnation == incarnation)
            continue;
        ++m_counters.restarts;
        freeAttempt(id, "worker restarted", now, records);
    }
}

void JobBook::takeReport(const TaskReport &task, const std::string &worker, Instant now,
                         Records &records)
{
    const Job *job = current(task.job, task.attempt);
    if (job == nullptr || job->worker != worker) {
        if (task.state == TaskState::Running)
            m_effects.emplace_back(StopTask{task.job, task.attempt, worker});
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

void JobBook::stopVanished(const std::string &worker, const std::set<std::string> &reported,
                           Instant now)
{
    const auto it = m_byWorker.find(worker);
    const auto asked = m_leases.provedAt(worker);
    if (it == m_byWorker.end() || !asked)
        return;
    for (const std::string &id : it->second) {
        const Attempt &a = m_attempts.at(id);
        // An attempt that was not known to run when the worker was asked may just be starting.
        const bool ran = a.confirmedAt && *a.confirmedAt < *asked;
        if (!ran || a.step == Step::Stop || reported.contains(id))
            continue;
        ++m_counters.vanished;
        setStep(id, Step::Stop, now);
    }
}

} // namespace savorywick
