#include "savorywick/quarantine.h"

#include <algorithm>

namespace savorywick {

Quarantine::Quarantine(const QuarantineOptions &options)
    : m_options(options)
{ }

void Quarantine::addWorker(std::string_view worker)
{
    if (!m_workers.contains(worker))
        m_workers.emplace(std::string(worker), Worker{});
}

void Quarantine::removeWorker(std::string_view worker)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return;
    m_quarantinedCount -= it->second.quarantined ? 1 : 0;
    m_workers.erase(it);
}

bool Quarantine::isTrusted(const Worker &worker, std::string_view job, Instant now) const
{
    return !worker.quarantined && worker.hasSucceeded && worker.lastSucceededJob != job
        && now - worker.lastSuccess <= m_options.failureWindow;
}

bool Quarantine::shouldGiveUp(const Job &job, std::string_view id, Instant now) const
{
    int trustedWorkers = 0;
    int countedWorkers = 0;
    for (const auto &[name, failure] : job.failuresByWorker) {
        const auto it = m_workers.find(name);
        const bool quarantined = it != m_workers.end() && it->second.quarantined;
        countedWorkers += quarantined ? 0 : 1;
        trustedWorkers += it != m_workers.end() && isTrusted(it->second, id, now) ? 1 : 0;
    }
    return trustedWorkers >= m_options.jobFailureThreshold
        || countedWorkers >= 2 * m_options.jobFailureThreshold;
}

bool Quarantine::shouldQuarantine(Worker &worker, Instant now) const
{
    if (worker.quarantined)
        return false;
    std::erase_if(worker.failedJobs,
                  [&](const auto &entry) { return now - entry.second > m_options.failureWindow; });
    if (static_cast<int>(worker.failedJobs.size()) < m_options.workerFailureThreshold)
        return false;
    const auto knownWorkers = static_cast<int>(m_workers.size());
    const int limit = std::max(knownWorkers * m_options.maxQuarantinedPercent / 100, 1);
    return m_quarantinedCount < limit;
}

void Quarantine::beginQuarantine(Worker &worker, Instant now)
{
    worker.quarantined = true;
    worker.quarantinedAt = now;
    worker.probing = false;
    worker.lastTriedAt = now;
    worker.probeDelay = m_options.initialProbeDelay;
    worker.nextProbeAt = now + worker.probeDelay;
    ++m_quarantinedCount;
}

void Quarantine::release(Worker &worker)
{
    worker.quarantined = false;
    worker.probing = false;
    worker.failedJobs.clear();
    --m_quarantinedCount;
}

// A job that has failed on another trusted worker is likely to be at fault itself, so that its
// failure on `worker` is no evidence against that worker.
bool Quarantine::failedOnAnotherTrustedWorker(const Job &job, std::string_view id,
                                              std::string_view worker, Instant now) const
{
    return std::any_of(
        job.failuresByWorker.begin(), job.failuresByWorker.end(), [&](const auto &entry) {
            const auto it = m_workers.find(entry.first);
            return entry.first != worker && it != m_workers.end() && isTrusted(it->second, id, now);
        });
}

// Removes the failures of a job at fault from the evidence against the workers on which it failed.
// Returns the workers that are released because too little other evidence is left.
std::vector<std::string> Quarantine::discardFailuresOf(std::string_view job)
{
    std::vector<std::string> released;
    for (const auto &[name, failure] : m_jobs.find(job)->second.failuresByWorker) {
        const auto it = m_workers.find(name);
        if (it == m_workers.end())
            continue;
        Worker &worker = it->second;
        const auto entry = worker.failedJobs.find(job);
        if (entry == worker.failedJobs.end())
            continue;
        worker.failedJobs.erase(entry);
        const bool enoughEvidence =
            static_cast<int>(worker.failedJobs.size()) >= m_options.workerFailureThreshold;
        if (!worker.quarantined || enoughEvidence)
            continue;
        release(worker);
        released.push_back(name);
    }
    return released;
}

QuarantineDecision Quarantine::recordFailure(std::string_view job, std::string_view worker,
                                             std::string_view cause, Instant now)
{
    addWorker(worker);
    Worker &w = m_workers.find(worker)->second;
    Job &j = m_jobs[std::string(job)];
    QuarantineDecision verdict;
    if (w.quarantined) {
        w.lastTriedAt = now;
        if (w.probing) {
            w.probing = false;
            w.probeDelay = std::min(w.probeDelay * 2, m_options.maxProbeDelay);
            w.nextProbeAt = now + w.probeDelay;
        }
        return verdict;
    }
    j.failuresByWorker.insert_or_assign(
        std::string(worker), FailureRecord{std::string(worker), std::string(cause), now});
    if (j.givenUp)
        return verdict;
    if (shouldGiveUp(j, job, now)) {
        j.givenUp = true;
        verdict.giveUpJob = true;
        verdict.releasedWorkers = discardFailuresOf(job);
        return verdict;
    }
    // No further job is recorded beyond twice the threshold, so that memory stays bounded.
    const bool full = static_cast<int>(w.failedJobs.size()) >= 2 * m_options.workerFailureThreshold;
    if (!full && !failedOnAnotherTrustedWorker(j, job, worker, now))
        w.failedJobs.insert_or_assign(std::string(job), now);
    if (shouldQuarantine(w, now)) {
        beginQuarantine(w, now);
        verdict.quarantineWorker = true;
    }
    return verdict;
}

bool Quarantine::recordSuccess(std::string_view job, std::string_view worker, Instant now)
{
    addWorker(worker);
    Worker &w = m_workers.find(worker)->second;
    w.hasSucceeded = true;
    w.lastSuccess = now;
    w.lastSucceededJob = job;
    w.failedJobs.clear();
    if (!w.quarantined)
        return false;
    release(w);
    return true;
}

void Quarantine::removeJob(std::string_view job)
{
    const auto it = m_jobs.find(job);
    if (it != m_jobs.end())
        m_jobs.erase(it);
}

WorkerAvailability Quarantine::availability(std::string_view worker, Instant now) const
{
    if (m_quarantinedCount == 0)
        return WorkerAvailability::Available;
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || !it->second.quarantined)
        return WorkerAvailability::Available;
    if (now >= it->second.nextProbeAt)
        return WorkerAvailability::ProbeDue;
    return it->second.probing ? WorkerAvailability::Probing : WorkerAvailability::Quarantined;
}

bool Quarantine::hasRested(std::string_view worker, Millis rest, Instant now) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.quarantined && now - it->second.lastTriedAt >= rest;
}

void Quarantine::hastenProbe(std::string_view worker, Instant now)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || !it->second.quarantined)
        return;
    it->second.lastTriedAt = now;
    if (!it->second.probing)
        it->second.nextProbeAt = std::min(it->second.nextProbeAt, now);
}

bool Quarantine::beginProbe(std::string_view worker, Instant now)
{
    if (availability(worker, now) != WorkerAvailability::ProbeDue)
        return false;
    Worker &w = m_workers.find(worker)->second;
    w.probing = true;
    w.lastTriedAt = now;
    w.nextProbeAt = now + m_options.probeTimeout;
    return true;
}

void Quarantine::abandonProbe(std::string_view worker, Instant now)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || !it->second.probing)
        return;
    it->second.probing = false;
    it->second.nextProbeAt = now;
}

std::vector<FailureRecord> Quarantine::failures(std::string_view job) const
{
    std::vector<FailureRecord> records;
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return records;
    for (const auto &[name, failure] : it->second.failuresByWorker)
        records.push_back(failure);
    std::stable_sort(records.begin(), records.end(),
                     [](const auto &a, const auto &b) { return a.failedAt < b.failedAt; });
    return records;
}

std::vector<std::string> Quarantine::failedWorkers(std::string_view job) const
{
    std::vector<std::string> names;
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return names;
    for (const auto &[name, failure] : it->second.failuresByWorker)
        names.push_back(name);
    return names;
}

std::optional<Instant> Quarantine::quarantinedAt(std::string_view worker) const
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || !it->second.quarantined)
        return std::nullopt;
    return it->second.quarantinedAt;
}

std::vector<std::string> Quarantine::quarantinedWorkers() const
{
    std::vector<std::string> names;
    for (const auto &[name, worker] : m_workers) {
        if (worker.quarantined)
            names.push_back(name);
    }
    return names;
}

} // namespace savorywick
