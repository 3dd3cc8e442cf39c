// JobScheduler: the life cycle of attempts, and the calls to workers for them.

#include "savorywick/jobscheduler.h"

#include <set>
#include <utility>

namespace savorywick {

using internal::JobRecord;
using internal::RecordKind;

namespace {

std::string joinCauses(const std::vector<AttemptFailure> &failures)
{
    std::string text;
    for (const AttemptFailure &it : failures)
        text += (text.empty() ? "" : "; ") + it.worker + ": " + it.cause;
    return text;
}

} // namespace

void JobScheduler::setWorkers(std::span<const HostInfo> workers, Instant)
{
    std::set<std::string> listed;
    for (const HostInfo &host : workers) {
        listed.insert(host.id);
        m_allocations.setHost(host);
        m_quarantine.addWorker(host.id);
    }
    for (const std::string &id : m_allocations.hosts()) {
        if (listed.contains(id))
            continue;
        m_allocations.removeHost(id);
        m_quarantine.removeWorker(id);
        m_blockedUntil.erase(id);
    }
    std::erase_if(m_unansweredSince, [&](const auto &it) {
        return !listed.contains(it.first) && !m_jobsByWorker.contains(it.first);
    });
}

void JobScheduler::beginAttempt(const Job &job, Instant now)
{
    const std::string &id = job.spec.id;
    m_jobsByWorker[job.worker].insert(id);
    m_attempts[id] = {Phase::Start, false, now, 0, {}};
    m_attemptsToCall.insert(id);
}

void JobScheduler::endAttempt(const Job &job, Instant now)
{
    const std::string &id = job.spec.id;
    m_allocations.release(job.worker, id);
    m_queue.markFinished(id, now);
    m_attempts.erase(id);
    m_attemptsToCall.erase(id);
    const auto it = m_jobsByWorker.find(job.worker);
    it->second.erase(id);
    if (it->second.empty())
        m_jobsByWorker.erase(it);
}

const Job *JobScheduler::findActiveAttempt(const std::string &id, int attempt) const
{
    const Job *job = find(id);
    const bool isActive = job != nullptr && hasActiveAttempt(job->state) && job->attempt == attempt;
    return isActive ? job : nullptr;
}

void JobScheduler::setPhase(const std::string &id, Phase phase, Instant now)
{
    Attempt &active = m_attempts.at(id);
    active.phase = phase;
    active.callInFlight = false;
    active.calls = 0;
    active.nextCallAt = now;
    if (phase == Phase::Run) {
        m_attemptsToCall.erase(id);
        return;
    }
    m_attemptsToCall.insert(id);
    issueCall(id, now);
}

void JobScheduler::issueCall(const std::string &id, Instant)
{
    const Job &job = *find(id);
    Attempt &active = m_attempts.at(id);
    active.callInFlight = true;
    ++active.calls;
    if (active.phase == Phase::Start)
        m_pendingCalls.emplace_back(StartTask{id, job.attempt, job.worker, job.incarnation,
                                              job.spec.demand, job.spec.expectedDuration,
                                              job.checkpoint, job.spec.payload});
    else if (active.phase == Phase::Checkpoint)
        m_pendingCalls.emplace_back(CheckpointTask{id, job.attempt, job.worker});
    else
        m_pendingCalls.emplace_back(StopTask{id, job.attempt, job.worker});
}

void JobScheduler::scheduleRetry(const std::string &id, Instant now)
{
    Attempt &active = m_attempts.at(id);
    active.callInFlight = false;
    active.nextCallAt = now + m_settings.callRetryInterval;
}

void JobScheduler::retryCalls(Instant now)
{
    for (const std::string &id : m_attemptsToCall) {
        const Attempt &active = m_attempts.at(id);
        // A worker without a lease refuses starts, but not the other calls.
        const bool ready = active.phase != Phase::Start || m_leases.isUsable(find(id)->worker, now);
        if (ready && !active.callInFlight && now >= active.nextCallAt)
            issueCall(id, now);
    }
}

bool JobScheduler::isStillValid(const WorkerCall &effect) const
{
    if (const auto *start = std::get_if<StartTask>(&effect)) {
        const Job *job = findActiveAttempt(start->job, start->attempt);
        return job != nullptr && m_attempts.at(start->job).phase == Phase::Start;
    }
    if (const auto *stop = std::get_if<StopTask>(&effect)) {
        const Job *job = findActiveAttempt(stop->job, stop->attempt);
        return job == nullptr || job->worker != stop->worker
            || m_attempts.at(stop->job).phase == Phase::Stop;
    }
    if (const auto *checkpoint = std::get_if<CheckpointTask>(&effect)) {
        const Job *job = findActiveAttempt(checkpoint->job, checkpoint->attempt);
        return job != nullptr && m_attempts.at(checkpoint->job).phase == Phase::Checkpoint;
    }
    if (const auto *throttle = std::get_if<ThrottleTask>(&effect))
        return findActiveAttempt(throttle->job, throttle->attempt) != nullptr;
    return true;
}

void JobScheduler::confirmRunning(const std::string &id, Instant now)
{
    Attempt &active = m_attempts.at(id);
    if (!active.runningSince)
        active.runningSince = now;
    if (active.phase == Phase::Start)
        setPhase(id, Phase::Run, now);
}

void JobScheduler::handleStartReply(const std::string &id, int attempt, const StartReply &reply,
                                    Instant now, Records &records)
{
    const Job *job = findActiveAttempt(id, attempt);
    if (job == nullptr)
        return;
    Attempt &active = m_attempts.at(id);
    const bool starting = active.phase == Phase::Start;
    switch (reply.outcome) {
    case StartOutcome::Running:
        confirmRunning(id, now);
        break;
    case StartOutcome::Finished:
        finishAttempt(*job, reply.text, now, records);
        break;
    case StartOutcome::Failed:
        failAttempt(*job, reply.text, now, records);
        break;
    case StartOutcome::WrongIncarnation:
        ++m_counters.restarts;
        m_leases.recordRestart(job->worker);
        releaseAttempt(id, "worker restarted", now, records);
        break;
    case StartOutcome::StaleAttempt:
        releaseAttempt(id, "worker refuses the attempt", now, records);
        break;
    case StartOutcome::NoRoom:
        // An earlier copy of the call may still be under way and find room when it arrives. A stop
        // makes the worker refuse it, after which the run can be placed elsewhere.
        if (starting)
            withdrawStart(*job, now);
        break;
    case StartOutcome::NoLease:
        if (starting && active.calls >= m_settings.maxStartCalls)
            withdrawStart(*job, now);
        else if (starting)
            scheduleRetry(id, now);
        break;
    case StartOutcome::StaleEpoch:
    case StartOutcome::Unknown:
        if (starting)
            scheduleRetry(id, now);
        break;
    }
}

// Stops an attempt that its worker refuses to start, so that the run can be placed elsewhere.
void JobScheduler::withdrawStart(const Job &job, Instant now)
{
    m_blockedUntil[job.worker] = now + m_settings.refusalBackoff;
    setPhase(job.spec.id, Phase::Stop, now);
}

void JobScheduler::handleStopReply(const StopTask &stop, bool stopped, Instant now,
                                   Records &records)
{
    const Job *job = findActiveAttempt(stop.job, stop.attempt);
    if (job == nullptr || job->worker != stop.worker
        || m_attempts.at(stop.job).phase != Phase::Stop)
        return;
    if (stopped)
        releaseAttempt(stop.job, "stopped", now, records);
    else
        scheduleRetry(stop.job, now);
}

void JobScheduler::handleCheckpointReply(const std::string &id, int attempt,
                                         const std::optional<std::string> &checkpoint, Instant now,
                                         Records &records)
{
    if (findActiveAttempt(id, attempt) == nullptr || m_attempts.at(id).phase != Phase::Checkpoint)
        return;
    if (!checkpoint) {
        if (m_attempts.at(id).calls < m_settings.maxCheckpointCalls) {
            scheduleRetry(id, now);
            return;
        }
        ++m_counters.abandonedEvictions;
        setPhase(id, Phase::Run, now);
        return;
    }
    JobRecord r;
    r.kind = RecordKind::Evict;
    r.id = id;
    r.attempt = attempt;
    r.checkpoint = *checkpoint;
    applyAndRecord(std::move(r), now, records);
    ++m_counters.evictions;
    setPhase(id, Phase::Stop, now);
}

bool JobScheduler::evict(const std::string &id, Instant now, Records &records)
{
    const Job *job = find(id);
    if (job == nullptr || job->state != JobState::Placed || m_attempts.at(id).phase != Phase::Run)
        return false;
    setPhase(id, Phase::Checkpoint, now);
    if (!job->spec.checkpointable) {
        // No checkpoint can be made: drop the call that setPhase() has just added, and stop at
        // once.
        m_pendingCalls.pop_back();
        handleCheckpointReply(id, job->attempt, job->checkpoint, now, records);
    }
    return true;
}

bool JobScheduler::throttle(const std::string &id, int percent)
{
    const Job *job = find(id);
    if (job == nullptr || job->state != JobState::Placed || m_attempts.at(id).phase != Phase::Run)
        return false;
    m_pendingCalls.emplace_back(ThrottleTask{id, job->attempt, job->worker, percent});
    return true;
}

void JobScheduler::finishAttempt(const Job &job, const std::string &result, Instant now,
                                 Records &records)
{
    const StopTask acknowledge{job.spec.id, job.attempt, job.worker};
    m_quarantine.recordSuccess(job.spec.id, job.worker, now);
    recordTransition(RecordKind::End, job.spec.id, result, now, records);
    ++m_counters.finished;
    // A worker keeps a finished attempt until it is told to stop it.
    m_pendingCalls.emplace_back(acknowledge);
}

void JobScheduler::failAttempt(const Job &job, const std::string &cause, Instant now,
                               Records &records)
{
    const StopTask acknowledge{job.spec.id, job.attempt, job.worker};
    JobRecord r;
    r.kind = RecordKind::Fail;
    r.id = job.spec.id;
    r.attempt = job.attempt;
    r.worker = job.worker;
    r.text = cause;
    applyAndRecord(std::move(r), now, records);
    ++m_counters.failedAttempts;
    m_pendingCalls.emplace_back(acknowledge);
    if (recordFailure(job, job.failures.back(), now))
        giveUp(job, now, records);
}

bool JobScheduler::recordFailure(const Job &job, const AttemptFailure &failure, Instant now)
{
    const QuarantineDecision verdict =
        m_quarantine.recordFailure(job.spec.id, failure.worker, failure.cause, now);
    if (verdict.quarantineWorker)
        ++m_counters.quarantines;
    return verdict.giveUpJob || job.failures.size() >= m_settings.maxFailedAttempts;
}

void JobScheduler::giveUp(const Job &job, Instant now, Records &records)
{
    if (job.state != JobState::Waiting)
        return;
    recordTransition(RecordKind::GiveUp, job.spec.id, joinCauses(job.failures), now, records);
    ++m_counters.givenUp;
}

void JobScheduler::releaseAttempt(const std::string &id, const char *proof, Instant now,
                                  Records &records)
{
    recordTransition(RecordKind::Free, id, proof, now, records);
}

} // namespace savorywick
