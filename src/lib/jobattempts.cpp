// The part of JobBook that deals with attempts and their workers.

#include "savorywick/jobbook.h"

#include <set>
#include <utility>

namespace savorywick {

using internal::JobRecord;
using internal::RecordKind;

namespace {

std::string causesOf(const std::vector<TaskFailure> &failures)
{
    std::string text;
    for (const TaskFailure &it : failures)
        text += (text.empty() ? "" : "; ") + it.worker + ": " + it.cause;
    return text;
}

} // namespace

void JobBook::setWorkers(std::span<const HostInfo> workers, Instant)
{
    std::set<std::string> listed;
    for (const HostInfo &host : workers) {
        listed.insert(host.id);
        m_ledger.setHost(host);
        m_quarantine.addWorker(host.id);
    }
    for (const std::string &id : m_ledger.hosts()) {
        if (listed.contains(id))
            continue;
        m_ledger.removeHost(id);
        m_quarantine.removeWorker(id);
    }
    std::erase_if(m_unansweredSince, [&](const auto &it) {
        return !listed.contains(it.first) && !m_byWorker.contains(it.first);
    });
}

void JobBook::beginAttempt(const Job &job, Instant now)
{
    const std::string &id = job.spec.id;
    m_byWorker[job.worker].insert(id);
    m_attempts[id] = {Step::Start, false, now, 0, {}};
    m_calls.insert(id);
}

void JobBook::endAttempt(const Job &job, Instant now)
{
    const std::string &id = job.spec.id;
    m_ledger.release(job.worker, id);
    m_queue.finished(id, now);
    m_attempts.erase(id);
    m_calls.erase(id);
    const auto it = m_byWorker.find(job.worker);
    it->second.erase(id);
    if (it->second.empty())
        m_byWorker.erase(it);
}

const Job *JobBook::current(const std::string &id, int attempt) const
{
    const Job *job = find(id);
    const bool is = job != nullptr && isOnWorker(job->state) && job->attempt == attempt;
    return is ? job : nullptr;
}

void JobBook::setStep(const std::string &id, Step step, Instant now)
{
    Attempt &a = m_attempts.at(id);
    a.step = step;
    a.calling = false;
    a.tries = 0;
    a.nextCall = now;
    if (step == Step::Run) {
        m_calls.erase(id);
        return;
    }
    m_calls.insert(id);
    call(id, now);
}

void JobBook::call(const std::string &id, Instant)
{
    const Job &job = *find(id);
    Attempt &a = m_attempts.at(id);
    a.calling = true;
    ++a.tries;
    if (a.step == Step::Start)
        m_effects.emplace_back(StartTask{id, job.attempt, job.worker, job.incarnation,
                                         job.spec.demand, job.spec.expected, job.checkpoint,
                                         job.spec.payload});
    else if (a.step == Step::Checkpoint)
        m_effects.emplace_back(CheckpointTask{id, job.attempt, job.worker});
    else
        m_effects.emplace_back(StopTask{id, job.attempt, job.worker});
}

void JobBook::callFailed(const std::string &id, Instant now)
{
    Attempt &a = m_attempts.at(id);
    a.calling = false;
    a.nextCall = now + m_settings.retryEvery;
}

void JobBook::repeatCalls(Instant now)
{
    for (const std::string &id : m_calls) {
        const Attempt &a = m_attempts.at(id);
        const bool ready = a.step != Step::Start || m_leases.usable(find(id)->worker, now);
        if (ready && !a.calling && now >= a.nextCall)
            call(id, now);
    }
}

bool JobBook::wanted(const Effect &effect) const
{
    if (const auto *start = std::get_if<StartTask>(&effect)) {
        const Job *job = current(start->job, start->attempt);
        return job != nullptr && m_attempts.at(start->job).step == Step::Start;
    }
    if (const auto *stop = std::get_if<StopTask>(&effect)) {
        const Job *job = current(stop->job, stop->attempt);
        return job == nullptr || job->worker != stop->worker
            || m_attempts.at(stop->job).step == Step::Stop;
    }
    if (const auto *checkpoint = std::get_if<CheckpointTask>(&effect)) {
        const Job *job = current(checkpoint->job, checkpoint->attempt);
        return job != nullptr && m_attempts.at(checkpoint->job).step == Step::Checkpoint;
    }
    if (const auto *throttle = std::get_if<ThrottleTask>(&effect))
        return current(throttle->job, throttle->attempt) != nullptr;
    return true;
}

void JobBook::confirmRunning(const std::string &id, Instant now)
{
    Attempt &a = m_attempts.at(id);
    if (!a.confirmedAt)
        a.confirmedAt = now;
    if (a.step == Step::Start)
        setStep(id, Step::Run, now);
}

void JobBook::startReply(const std::string &id, int attempt, const StartReply &reply, Instant now,
                         Records &records)
{
    const Job *job = current(id, attempt);
    if (job == nullptr)
        return;
    Attempt &a = m_attempts.at(id);
    const bool starting = a.step == Step::Start;
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
        freeAttempt(id, "worker restarted", now, records);
        break;
    case StartOutcome::StaleAttempt:
        freeAttempt(id, "worker refuses the attempt", now, records);
        break;
    case StartOutcome::NoRoom:
        // An earlier copy of the call may still be on its way, so the worker must refuse it first.
        if (starting)
            setStep(id, Step::Stop, now);
        break;
    case StartOutcome::NoLease:
        if (starting && a.tries >= m_settings.startTries)
            setStep(id, Step::Stop, now);
        else if (starting)
            callFailed(id, now);
        break;
    case StartOutcome::StaleEpoch:
    case StartOutcome::Unknown:
        if (starting)
            callFailed(id, now);
        break;
    }
}

void JobBook::stopReply(const StopTask &stop, bool stopped, Instant now, Records &records)
{
    const Job *job = current(stop.job, stop.attempt);
    if (job == nullptr || job->worker != stop.worker || m_attempts.at(stop.job).step != Step::Stop)
        return;
    if (stopped)
        freeAttempt(stop.job, "stopped", now, records);
    else
        callFailed(stop.job, now);
}

void JobBook::checkpointReply(const std::string &id, int attempt,
                              const std::optional<std::string> &checkpoint, Instant now,
                              Records &records)
{
    if (current(id, attempt) == nullptr || m_attempts.at(id).step != Step::Checkpoint)
        return;
    if (!checkpoint) {
        if (m_attempts.at(id).tries < m_settings.checkpointTries) {
            callFailed(id, now);
            return;
        }
        ++m_counters.abandonedEvictions;
        setStep(id, Step::Run, now);
        return;
    }
    JobRecord r;
    r.kind = RecordKind::Evict;
    r.id = id;
    r.attempt = attempt;
    r.checkpoint = *checkpoint;
    record(std::move(r), now, records);
    ++m_counters.evictions;
    setStep(id, Step::Stop, now);
}

bool JobBook::evict(const std::string &id, Instant now, Records &records)
{
    const Job *job = find(id);
    if (job == nullptr || job->state != JobState::Placed || m_attempts.at(id).step != Step::Run)
        return false;
    setStep(id, Step::Checkpoint, now);
    if (!job->spec.checkpointable) {
        m_effects.pop_back();
        checkpointReply(id, job->attempt, job->checkpoint, now, records);
    }
    return true;
}

bool JobBook::throttle(const std::string &id, int percent)
{
    const Job *job = find(id);
    if (job == nullptr || job->state != JobState::Placed || m_attempts.at(id).step != Step::Run)
        return false;
    m_effects.emplace_back(ThrottleTask{id, job->attempt, job->worker, percent});
    return true;
}

void JobBook::finishAttempt(const Job &job, const std::string &result, Instant now,
                            Records &records)
{
    const StopTask acknowledge{job.spec.id, job.attempt, job.worker};
    m_quarantine.succeeded(job.spec.id, job.worker, now);
    recordFor(RecordKind::End, job.spec.id, result, now, records);
    ++m_counters.finished;
    // Lets the worker forget the attempt.
    m_effects.emplace_back(acknowledge);
}

void JobBook::failAttempt(const Job &job, const std::string &cause, Instant now, Records &records)
{
    const StopTask acknowledge{job.spec.id, job.attempt, job.worker};
    JobRecord r;
    r.kind = RecordKind::Fail;
    r.id = job.spec.id;
    r.attempt = job.attempt;
    r.worker = job.worker;
    r.text = cause;
    record(std::move(r), now, records);
    ++m_counters.failedAttempts;
    m_effects.emplace_back(acknowledge);
    if (noteFailure(job, job.failures.back(), now))
        giveUp(job, now, records);
}

bool JobBook::noteFailure(const Job &job, const TaskFailure &failure, Instant now)
{
    const FailureVerdict verdict =
        m_quarantine.failed(job.spec.id, failure.worker, failure.cause, now);
    if (verdict.quarantineWorker)
        ++m_counters.quarantines;
    return verdict.giveUpJob || job.failures.size() >= m_settings.failedAttempts;
}

void JobBook::giveUp(const Job &job, Instant now, Records &records)
{
    if (job.state != JobState::Waiting)
        return;
    recordFor(RecordKind::GiveUp, job.spec.id, causesOf(job.failures), now, records);
    ++m_counters.givenUp;
}

void JobBook::freeAttempt(const std::string &id, const char *proof, Instant now, Records &records)
{
    recordFor(RecordKind::Free, id, proof, now, records);
}

} // namespace savorywick
