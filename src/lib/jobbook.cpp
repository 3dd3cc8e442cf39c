#include "savorywick/jobbook.h"

#include "jobfit.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <utility>

namespace savorywick {

using internal::JobRecord;
using internal::RecordKind;

namespace {

void validateSpec(const JobSpec &spec)
{
    if (spec.id.empty() || spec.service.empty() || spec.key.empty())
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
    spec.key = watcher.key;
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

JobBook::JobBook(const JobBookSettings &settings, const Placement *placement, const HostCost *cost,
                 const SizeLearner *sizes)
    : m_settings(settings)
    , m_leases(settings.workers)
    , m_queue({})
    , m_quarantine(settings.quarantine)
    , m_placement(placement != nullptr ? placement : &m_defaultPlacement)
    , m_cost(cost)
    , m_sizes(sizes)
{ }

SubmitResult JobBook::submit(const JobSpec &spec, Instant now, Records &records)
{
    validateSpec(spec);
    if (auto result = checkForDuplicate(spec))
        return *result;
    const HostFit fit = m_ledger.fitsAnyHost(spec.demand);
    if (fit.verdict == FitVerdict::TooLarge)
        return reject(SubmitOutcome::FitsNoWorker, fit.reason);
    JobRecord r;
    r.kind = RecordKind::Submit;
    r.spec = spec;
    accept(std::move(r), now, records);
    return {SubmitOutcome::Accepted, spec.id, JobState::Waiting, {}};
}

SubmitResult JobBook::watch(const WatcherSpec &watcher, Instant now, Records &records)
{
    const JobSpec spec = toJobSpec(watcher);
    validateSpec(spec);
    if (auto result = checkForDuplicate(spec))
        return *result;
    JobRecord r;
    r.kind = RecordKind::Watch;
    r.spec = spec;
    r.untilRun = watcher.untilRun;
    r.after = watcher.after;
    accept(std::move(r), now, records);
    const Job *run = find(watcher.untilRun);
    if (run != nullptr && isFinal(run->state))
        handleRunEnd(watcher.untilRun, run->state, now, records);
    return {SubmitOutcome::Accepted, spec.id, find(spec.id)->state, {}};
}

std::optional<SubmitResult> JobBook::checkForDuplicate(const JobSpec &spec)
{
    if (const Job *job = m_table.findByKey(spec.service, spec.key)) {
        const bool same = job->spec.bodyHash == spec.bodyHash && job->spec.runClass == spec.runClass
            && job->spec.team == spec.team;
        if (!same)
            return reject(SubmitOutcome::KeyReused,
                          "idempotency key '" + spec.key
                              + "' was used with another body, class or team");
        ++m_counters.repeated;
        return SubmitResult{SubmitOutcome::Repeated, job->spec.id, job->state, {}};
    }
    if (find(spec.id) != nullptr)
        return reject(SubmitOutcome::IdReused, "id '" + spec.id + "' belongs to another job");
    return {};
}

SubmitResult JobBook::reject(SubmitOutcome outcome, std::string reason)
{
    ++m_counters.refused;
    return {outcome, {}, JobState::Failed, std::move(reason)};
}

void JobBook::accept(JobRecord r, Instant now, Records &records)
{
    r.id = r.spec.id;
    applyAndRecord(std::move(r), now, records);
    ++m_counters.accepted;
}

std::optional<JobState> JobBook::cancel(const std::string &id, Instant now, Records &records)
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

std::vector<std::string> JobBook::awaitedRemoteRuns() const
{
    std::vector<std::string> all;
    for (const auto &[run, watchers] : m_watchersByRun) {
        if (find(run) == nullptr)
            all.push_back(run);
    }
    return all;
}

void JobBook::handleRunEnd(const std::string &run, JobState state, Instant now, Records &records)
{
    const auto it = m_watchersByRun.find(run);
    if (it == m_watchersByRun.end())
        return;
    const std::set<std::string> watchers = it->second;
    for (const std::string &id : watchers)
        recordTransition(RecordKind::Fire, id, std::string(toString(state)), now, records);
}

void JobBook::fireTimedWatchers(Instant now, Records &records)
{
    while (m_timedWatchers.isDue(shardTime(now))) {
        const std::string id = m_timedWatchers.first();
        recordTransition(RecordKind::Fire, id, "time", now, records);
    }
}

void JobBook::recordTransition(RecordKind kind, const std::string &id, const std::string &text,
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

void JobBook::applyAndRecord(JobRecord r, Instant now, Records &records)
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
    if (isFinal(job->state) && !job->watcher)
        handleRunEnd(job->spec.id, job->state, now, records);
}

void JobBook::exitState(const Job &job, JobState before, Instant now)
{
    const std::string &id = job.spec.id;
    if (hasActiveAttempt(before) && !hasActiveAttempt(job.state))
        endAttempt(job, now);
    if (before == JobState::Waiting && job.state != JobState::Placed)
        m_queue.remove(id);
    if (before != JobState::Watching)
        return;
    m_timedWatchers.remove(job.submittedAt + job.after, id);
    const auto it = m_watchersByRun.find(job.untilRun);
    if (it == m_watchersByRun.end())
        return;
    it->second.erase(id);
    if (it->second.empty())
        m_watchersByRun.erase(it);
}

void JobBook::enterState(const Job &job, Instant now)
{
    const std::string &id = job.spec.id;
    if (isFinal(job.state)) {
        m_retentionExpiries.add(job.stateChangedAt + m_settings.retention, id);
        m_quarantine.forgetJob(id);
    } else if (hasActiveAttempt(job.state))
        beginAttempt(job, now);
    else if (job.state == JobState::Waiting)
        m_queue.push(internal::toQueueItem(job, toInstant(job.submittedAt)), now);
    else if (job.untilRun.empty())
        m_timedWatchers.add(job.submittedAt + job.after, id);
    else
        m_watchersByRun[job.untilRun].insert(id);
}

void JobBook::apply(const std::string &record)
{
    m_table.apply(internal::decodeRecord(record));
}

void JobBook::takeOver(Instant now)
{
    m_shardTimeOrigin = now - m_table.lastRecordTime();
    m_mayHaveInterruptedTransitions = true;
    for (const auto &[id, job] : m_table.jobs()) {
        enterState(job, now);
        for (const TaskFailure &failure : job.failures) {
            if (!isFinal(job.state) && recordFailure(job, failure, now))
                m_jobsToGiveUp.push_back(id);
        }
        if (!hasActiveAttempt(job.state))
            continue;
        m_ledger.restore(job.worker, id, job.spec.demand);
        m_queue.restoreStarted(internal::toQueueItem(job, toInstant(job.submittedAt)), now);
        m_leases.assumeRenewed(job.worker, now);
        if (job.state != JobState::Placed)
            m_attempts[id].phase = Phase::Stop;
    }
}

void JobBook::completeInterruptedTransitions(Instant now, Records &records)
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

void JobBook::tick(Instant now, Records &records)
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

void JobBook::deleteExpiredJobs(Instant now, Records &records)
{
    for (int n = 0; n < m_settings.maxDeletionsPerTick && m_retentionExpiries.isDue(shardTime(now));
         ++n) {
        const std::string id = m_retentionExpiries.first();
        m_retentionExpiries.remove(find(id)->stateChangedAt + m_settings.retention, id);
        recordTransition(RecordKind::Forget, id, {}, now, records);
    }
}

void JobBook::recordTime(Instant now, Records &records)
{
    // After a takeover shard time continues from the latest record. So nothing happens early, and
    // at most the time without an owner and one interval late.
    const bool matters = !m_timedWatchers.empty() || m_queue.waitingCount() > 0;
    if (matters && shardTime(now) - m_table.lastRecordTime() >= m_settings.timeRecordInterval)
        applyAndRecord({}, now, records);
}

Millis JobBook::shardTime(Instant now) const
{
    return std::max(m_table.lastRecordTime(), now - m_shardTimeOrigin);
}

Instant JobBook::toInstant(Millis at) const
{
    return m_shardTimeOrigin + at;
}

std::vector<Effect> JobBook::takeEffects()
{
    return std::exchange(m_pendingCalls, {});
}

} // namespace savorywick
