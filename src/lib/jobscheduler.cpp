#include "savorywick/jobscheduler.h"

#include "jobqueueitem.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <utility>

namespace savorywick {

using internal::JobRecord;
using internal::RecordKind;

namespace {

void validateSpec(const JobSpec &spec)
{
    if (spec.id.empty() || spec.service.empty() || spec.idempotencyKey.empty())
        throw Error(ErrorKind::InvalidInput, "a job has no id, no service or no idempotency key",
                    "set all three");
    if (!spec.demand.isValid())
        throw Error(ErrorKind::InvalidInput, "job '" + spec.id + "' has a negative demand",
                    "demand 0 or more of cores, memory and accelerators");
}

JobSpec toJobSpec(const WatcherSpec &watcher)
{
    JobSpec spec;
    spec.id = watcher.id;
    spec.service = watcher.service;
    spec.runClass = watcher.runClass;
    spec.team = watcher.team;
    spec.idempotencyKey = watcher.idempotencyKey;
    spec.bodyHash = watcher.bodyHash;
    spec.payload = watcher.payload;
    return spec;
}

} // namespace

std::string_view toString(SubmitOutcome outcome)
{
    switch (outcome) {
    case SubmitOutcome::Accepted:
        return "accepted";
    case SubmitOutcome::Repeated:
        return "repeated";
    case SubmitOutcome::KeyReused:
        return "key-reused";
    case SubmitOutcome::IdReused:
        return "id-reused";
    case SubmitOutcome::FitsNoWorker:
        return "fits-no-worker";
    }
    return "unnamed";
}

JobScheduler::JobScheduler(const JobSchedulerSettings &settings, const Placement *placement,
                           const HostCost *cost, const DemandEstimator *demandEstimator)
    : m_settings(settings)
    , m_leases(settings.workerLeases)
    , m_queue({})
    , m_quarantine(settings.quarantine)
    , m_placement(placement != nullptr ? placement : &m_defaultPlacement)
    , m_cost(cost)
    , m_demandEstimator(demandEstimator)
{ }

SubmitResult JobScheduler::submit(const JobSpec &spec, Instant now, Records &records)
{
    validateSpec(spec);
    if (auto result = checkForDuplicate(spec))
        return *result;
    const HostFit fit = m_allocations.fitsAnyHost(spec.demand);
    if (fit.status == HostFitStatus::TooLarge)
        return reject(SubmitOutcome::FitsNoWorker, fit.reason);
    JobRecord r;
    r.kind = RecordKind::Submit;
    r.spec = spec;
    accept(std::move(r), now, records);
    return {SubmitOutcome::Accepted, spec.id, JobState::Waiting, {}};
}

SubmitResult JobScheduler::watch(const WatcherSpec &watcher, Instant now, Records &records)
{
    const JobSpec spec = toJobSpec(watcher);
    validateSpec(spec);
    if (auto result = checkForDuplicate(spec))
        return *result;
    JobRecord r;
    r.kind = RecordKind::Watch;
    r.spec = spec;
    r.untilRun = watcher.untilRun;
    r.delay = watcher.delay;
    accept(std::move(r), now, records);
    const Job *run = find(watcher.untilRun);
    if (run != nullptr && isFinal(run->state))
        handleRunEnd(watcher.untilRun, run->state, now, records);
    return {SubmitOutcome::Accepted, spec.id, find(spec.id)->state, {}};
}

std::optional<SubmitResult> JobScheduler::checkForDuplicate(const JobSpec &spec)
{
    if (const Job *job = m_table.findByKey(spec.service, spec.idempotencyKey)) {
        const bool same = job->spec.bodyHash == spec.bodyHash && job->spec.runClass == spec.runClass
            && job->spec.team == spec.team;
        if (!same)
            return reject(SubmitOutcome::KeyReused,
                          "idempotency key '" + spec.idempotencyKey
                              + "' was used with another body, class or team");
        ++m_counters.repeated;
        return SubmitResult{SubmitOutcome::Repeated, job->spec.id, job->state, {}};
    }
    if (find(spec.id) != nullptr)
        return reject(SubmitOutcome::IdReused, "id '" + spec.id + "' belongs to another job");
    return {};
}

SubmitResult JobScheduler::reject(SubmitOutcome outcome, std::string reason)
{
    ++m_counters.refused;
    return {outcome, {}, JobState::Failed, std::move(reason)};
}

void JobScheduler::accept(JobRecord r, Instant now, Records &records)
{
    r.id = r.spec.id;
    applyAndRecord(std::move(r), now, records);
    ++m_counters.accepted;
}

std::optional<JobState> JobScheduler::cancel(const std::string &id, Instant now, Records &records)
{
    const Job *job = find(id);
    if (job == nullptr)
        return {};
    if (isFinal(job->state) || job->state == JobState::Cancelling)
        return job->state;
    recordTransition(RecordKind::Cancel, id, {}, now, records);
    ++m_counters.cancelled;
    if (job->state == JobState::Cancelling)
        setPhase(id, Phase::Stop, now);
    return job->state;
}

std::vector<std::string> JobScheduler::awaitedRemoteRuns() const
{
    std::vector<std::string> all;
    for (const auto &[run, watchers] : m_watchersByRun) {
        if (find(run) == nullptr)
            all.push_back(run);
    }
    return all;
}

void JobScheduler::handleRunEnd(const std::string &run, JobState state, Instant now,
                                Records &records)
{
    const auto it = m_watchersByRun.find(run);
    if (it == m_watchersByRun.end())
        return;
    const std::set<std::string> watchers = it->second;
    for (const std::string &id : watchers)
        recordTransition(RecordKind::Fire, id, std::string(toString(state)), now, records);
}

void JobScheduler::fireTimedWatchers(Instant now, Records &records)
{
    while (m_timedWatchers.isDue(shardTime(now))) {
        const std::string id = m_timedWatchers.firstId();
        recordTransition(RecordKind::Fire, id, "time", now, records);
    }
}

void JobScheduler::recordTransition(RecordKind kind, const std::string &id, const std::string &text,
                                    Instant now, Records &records)
{
    JobRecord r;
    r.kind = kind;
    r.id = id;
    r.text = text;
    const Job *job = find(id);
    if (job != nullptr && hasActiveAttempt(job->state))
        r.attempt = job->attempt;
    applyAndRecord(std::move(r), now, records);
}

void JobScheduler::applyAndRecord(JobRecord r, Instant now, Records &records)
{
    const Job *job = find(r.id);
    const bool known = job != nullptr;
    const JobState before = known ? job->state : JobState::Waiting;
    r.at = shardTime(now);
    m_table.apply(r);
    records.push_back(internal::encode(r));
    job = find(r.id);
    if (job == nullptr)
        return;
    if (known)
        exitState(*job, before, now);
    if (!known || !hasActiveAttempt(before) || !hasActiveAttempt(job->state))
        enterState(*job, now);
    if (isFinal(job->state) && !job->isWatcher)
        handleRunEnd(job->spec.id, job->state, now, records);
}

void JobScheduler::exitState(const Job &job, JobState before, Instant now)
{
    const std::string &id = job.spec.id;
    if (hasActiveAttempt(before) && !hasActiveAttempt(job.state))
        endAttempt(job, now);
    if (before == JobState::Waiting && job.state != JobState::Placed)
        m_queue.remove(id);
    if (before != JobState::Watching)
        return;
    m_timedWatchers.remove(job.submittedAt + job.delay, id);
    const auto it = m_watchersByRun.find(job.untilRun);
    if (it == m_watchersByRun.end())
        return;
    it->second.erase(id);
    if (it->second.empty())
        m_watchersByRun.erase(it);
}

void JobScheduler::enterState(const Job &job, Instant now)
{
    const std::string &id = job.spec.id;
    if (isFinal(job.state)) {
        m_retentionExpiries.add(job.stateChangedAt + m_settings.retention, id);
        m_quarantine.removeJob(id);
    } else if (hasActiveAttempt(job.state))
        beginAttempt(job, now);
    else if (job.state == JobState::Waiting)
        m_queue.push(internal::toQueueItem(job, toInstant(job.submittedAt)), now);
    else if (job.untilRun.empty())
        m_timedWatchers.add(job.submittedAt + job.delay, id);
    else
        m_watchersByRun[job.untilRun].insert(id);
}

void JobScheduler::apply(const std::string &record)
{
    m_table.apply(internal::decodeRecord(record));
}

void JobScheduler::takeOver(Instant now)
{
    m_shardTimeOrigin = now - m_table.lastRecordTime();
    m_mayHaveInterruptedTransitions = true;
    for (const auto &[id, job] : m_table.jobs()) {
        enterState(job, now);
        for (const AttemptFailure &failure : job.failures) {
            if (!isFinal(job.state) && recordFailure(job, failure, now))
                m_jobsToGiveUp.push_back(id);
        }
        if (!hasActiveAttempt(job.state))
            continue;
        m_allocations.restore(job.worker, id, job.spec.demand);
        m_queue.restoreStarted(internal::toQueueItem(job, toInstant(job.submittedAt)), now);
        m_leases.assumeRenewed(job.worker, now);
        if (job.state != JobState::Placed)
            m_attempts[id].phase = Phase::Stop;
    }
}

void JobScheduler::completeInterruptedTransitions(Instant now, Records &records)
{
    // A decision's records may span two journal segments, since segments are bounded in size. A
    // crash between their commits keeps the end or failure of a run without the records that follow
    // from it: the firing of its watchers, or giving it up.
    if (!std::exchange(m_mayHaveInterruptedTransitions, false))
        return;
    std::vector<std::string> ended;
    for (const auto &[run, watchers] : m_watchersByRun) {
        const Job *job = find(run);
        if (job != nullptr && isFinal(job->state))
            ended.push_back(run);
    }
    for (const std::string &run : ended)
        handleRunEnd(run, find(run)->state, now, records);
    for (const std::string &id : std::exchange(m_jobsToGiveUp, {}))
        giveUp(*find(id), now, records);
}

void JobScheduler::tick(Instant now, Records &records)
{
    completeInterruptedTransitions(now, records);
    expireWorkerLeases(now, records);
    renewLeases(now);
    fireTimedWatchers(now, records);
    retryCalls(now);
    placeWaitingRuns(now, records);
    deleteExpiredJobs(now, records);
    recordTime(now, records);
}

void JobScheduler::deleteExpiredJobs(Instant now, Records &records)
{
    for (int n = 0; n < m_settings.maxDeletionsPerTick && m_retentionExpiries.isDue(shardTime(now));
         ++n) {
        const std::string id = m_retentionExpiries.firstId();
        m_retentionExpiries.remove(find(id)->stateChangedAt + m_settings.retention, id);
        recordTransition(RecordKind::Forget, id, {}, now, records);
    }
}

void JobScheduler::recordTime(Instant now, Records &records)
{
    // After a takeover shard time continues from the latest record. So nothing happens early, and
    // at most the time without an owner and one interval late.
    const bool matters = !m_timedWatchers.empty() || m_queue.waitingCount() > 0;
    if (matters && shardTime(now) - m_table.lastRecordTime() >= m_settings.timeRecordInterval)
        applyAndRecord({}, now, records);
}

Millis JobScheduler::shardTime(Instant now) const
{
    return std::max(m_table.lastRecordTime(), now - m_shardTimeOrigin);
}

Instant JobScheduler::toInstant(Millis at) const
{
    return m_shardTimeOrigin + at;
}

std::vector<WorkerCall> JobScheduler::takeCalls()
{
    return std::exchange(m_pendingCalls, {});
}

} // namespace savorywick
