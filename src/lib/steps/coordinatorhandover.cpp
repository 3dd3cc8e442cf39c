// The part of Coordinator that hands jobs over to other shards and takes them from there.

#include "savorywick/steps/coordinator.h"

#include <algorithm>

namespace savorywick::steps {

std::set<std::string> Coordinator::silentWorkers(Millis minSilence, ClockReading now) const
{
    std::set<std::string> silent;
    for (const auto &[id, worker] : m_workers) {
        const bool isSilent = now.monotonic - worker.session.lastAnswerAt() >= minSilence;
        if (!worker.session.responsive() && isSilent)
            silent.insert(id);
    }
    return silent.size() * 2 > m_workers.size() ? std::set<std::string>() : silent;
}

std::vector<WaitingJob> Coordinator::waitingJobs(Millis minWait, ClockReading now) const
{
    std::vector<WaitingJob> waiting;
    for (const auto &[ref, since] : m_readySteps) {
        if (m_unansweredStarts.concerns(ref.job))
            continue; // One of its tasks may run on a worker of this shard yet.
        if (now.monotonic - since < minWait * m_transfers.patienceFactor(ref.job))
            continue;
        const bool sameJob = !waiting.empty() && waiting.back().job == ref.job;
        if (!sameJob && !m_runs.ofJob(ref.job).empty())
            continue;
        if (!sameJob)
            waiting.push_back({ref.job, {}});
        std::vector<int> &steps = waiting.back().steps;
        if (const auto it = std::lower_bound(steps.begin(), steps.end(), ref.step);
            it == steps.end() || *it != ref.step)
            steps.insert(it, ref.step);
    }
    return waiting;
}

bool Coordinator::handOver(const std::string &job, int shard, ClockReading now)
{
    const Job *known = m_table.find(job);
    if (!known || isFinal(known->state) || m_transfers.leavingTo(job) || !m_runs.ofJob(job).empty()
        || m_unansweredStarts.concerns(job))
        return false;
    m_transfers.begin(job, shard);
    openDueOccurrences(*known, now);
    return true;
}

bool Coordinator::confirmHandover(const std::string &job, int handovers, ClockReading now)
{
    // It may have come back and left again meanwhile.
    if (!m_transfers.leavingTo(job) || m_table.handovers().find(job)->second.count != handovers)
        return false;
    ++m_counters.jobsHandedOver;
    m_transfers.confirm(job, now.wallMs);
    m_quarantine.removeJob(job);
    m_headroomEstimator.forgetJob(job);
    publishWhenDurable(job);
    return true;
}

void Coordinator::takeJob(const JobTransfer &transfer, ClockReading now)
{
    if (m_transfers.hasTaken(transfer.job, transfer.handovers))
        return;
    ++m_counters.jobsTaken;
    const bool cancelled = m_table.earlyCancellations().contains(transfer.job);
    closeSteps(transfer.job);
    m_transfers.take(transfer);
    publishWhenDurable(transfer.job);
    for (const auto &[life, lost] : m_table.lostLives())
        updateHoldsOf(lost, now);
    openDueOccurrences(*m_table.find(transfer.job), now);
    if (cancelled)
        cancel(transfer.job, now);
}

} // namespace savorywick::steps
