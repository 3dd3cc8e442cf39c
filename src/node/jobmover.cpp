#include "node/jobmover.h"

#include "core/log.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace savorywick {

namespace {

// Returns how many tasks have a state that would have to be sent.
int taskCountOf(const steps::Job &job)
{
    int count = 0;
    for (const auto &[k, occurrence] : job.occurrences) {
        for (const steps::Step &it : occurrence.steps)
            count += static_cast<int>(it.tasks.size());
    }
    return count;
}

} // namespace

JobMover::JobMover(int ownShard, const JobMoverSettings &settings, const steps::ShardFit *fit,
                   Send send, Taken taken)
    : m_ownShard(ownShard)
    , m_settings(settings)
    , m_fit(fit)
    , m_send(std::move(send))
    , m_taken(std::move(taken))
{ }

void JobMover::chooseJobs(steps::Coordinator &coordinator, steps::ClockReading now)
{
    if (!m_fit || m_fit->shardCount() <= 1 || now.monotonic < m_nextLookAt)
        return;
    m_nextLookAt = now.monotonic + m_settings.interval;
    std::vector<steps::WaitingJob> waiting = coordinator.waitingJobs(m_settings.minWait, now);
    const auto next = std::upper_bound(
        waiting.begin(), waiting.end(), m_lastLookedAt,
        [](const std::string &job, const steps::WaitingJob &it) { return job < it.job; });
    std::rotate(waiting.begin(), next, waiting.end());
    const std::set<std::string> silent = coordinator.silentWorkers(m_settings.minSilence, now);
    int looksLeft = m_settings.maxJobsPerLook;
    for (const steps::WaitingJob &it : waiting) {
        const steps::Job &job = *coordinator.jobTable().find(it.job);
        const steps::JobSpec &spec = job.spec;
        if (m_fit->suits(spec, it.steps, m_ownShard, silent)
            || taskCountOf(job) > m_settings.maxTasks)
            continue;
        if (looksLeft-- == 0)
            return;
        m_lastLookedAt = it.job;
        const auto shard = m_fit->betterShard(spec, it.steps, m_ownShard, silent);
        if (!shard || !coordinator.handOver(it.job, *shard, now))
            continue;
        m_leaving[it.job] = {.isAppended = false, .sendAt = now.monotonic};
        logInfo("job-leaves", {{"requestId", it.job}, {"shard", m_ownShard}, {"to", *shard}});
    }
}

void JobMover::recordsAppended(LogSequenceNumber lsn)
{
    for (auto &[job, it] : m_leaving) {
        if (!std::exchange(it.isAppended, true))
            it.lsn = lsn;
    }
}

void JobMover::sendJobs(const steps::Coordinator &coordinator, LogSequenceNumber durableLsn,
                        Instant now)
{
    std::erase_if(m_leaving, [&](const auto &it) {
        return !coordinator.transfers().leaving().contains(it.first);
    });
    const std::set<std::string> jobs = coordinator.transfers().leaving(); // Replies change them.
    for (const std::string &job : jobs) {
        Leaving &it = m_leaving[job];
        if (!it.isAppended || it.lsn > durableLsn || now < it.sendAt)
            continue;
        it.retryAt = now + m_settings.retryInterval;
        it.sendAt = it.retryAt + m_settings.attemptTimeout;
        const steps::JobTransfers &transfers = coordinator.transfers();
        steps::JobTransfer transfer = transfers.transferOf(job);
        const int handovers = transfer.handovers;
        m_send(*transfers.leavingTo(job), TakeJob{std::move(transfer)}, m_settings.attemptTimeout,
               [this, job, handovers](const ShardReply &reply) {
                   handleReply(job, handovers, reply);
               });
    }
}

void JobMover::handleReply(const std::string &job, int handovers, const ShardReply &reply)
{
    if (reply.outcome == ShardOutcome::Ok)
        return m_taken(job, handovers);
    logInfo("job-not-taken", {{"requestId", job}, {"why", toString(reply.outcome)}});
    if (const auto it = m_leaving.find(job); it != m_leaving.end())
        it->second.sendAt = it->second.retryAt;
}

} // namespace savorywick
