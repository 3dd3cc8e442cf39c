#include "savorywick/jobbook.h"

#include "jobfit.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <utility>

namespace savorywick {

using internal::JobRecord;
using internal::RecordKind;

namespace {

void checkSpec(const JobSpec &spec)
{
    if (spec.id.empty() || spec.service.empty() || spec.key.empty())
        throw Error(ErrorKind::InvalidInput, "a job lacks its id, service or idempotency key",
                    "set all three");
    if (!spec.demand.isValid())
        throw Error(ErrorKind::InvalidInput, "job '" + spec.id + "' demands less than nothing",
                    "demand 0 or more of cores, memory and accelerators");
}

JobSpec specOf(const WatcherSpec &watcher)
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
    , m_placement(placement != nullptr ? placement : &m_tightest)
    , m_cost(cost)
    , m_sizes(sizes)
{ }

SubmitResult JobBook::submit(const JobSpec &spec, Instant now, Records &records)
{
    checkSpec(spec);
    if (auto result = known(spec))
        return *result;
    const HostFit fit = m_ledger.fitsAnyHost(spec.demand);
    if (fit.verdict == FitVerdict::TooLarge)
        return refuse(SubmitOutcome::FitsNoWorker, fit.reason);
    JobRecord r;
    r.kind = RecordKind::Submit;
    r.spec = spec;
    accept(std::move(r), now, records);
    return {SubmitOutcome::Accepted, spec.id, JobState::Waiting, {}};
}

SubmitResult JobBook::watch(const WatcherSpec &watcher, Instant now, Records &records)
{
    const JobSpec spec = specOf(watcher);
    checkSpec(spec);
    if (auto result = known(spec))
        return *result;
    JobRecord r;
    r.kind = RecordKind::Watch;
    r.spec = spec;
    r.untilRun = watcher.untilRun;
    r.after = watcher.after;
    accept(std::move(r), now, records);
    const Job *run = find(watcher.untilRun);
    if (run != nullptr && isFinal(run->state))
        runEnded(watcher.untilRun, run->state, now, records);
    return {SubmitOutcome::Accepted, spec.id, find(spec.id)->state, {}};
}

std::optional<SubmitResult> JobBook::known(const JobSpec &spec)
{
    if (const Job *job = m_table.findByKey(spec.service, spec.key)) {
        const bool same = job->spec.bodyHash == spec.bodyHash && job->spec.runClass == spec.runClass
            && job->spec.team == spec.team;
        if (!same)
            return refuse(SubmitOutcome::KeyReused,
                          "key '" + spec.key + "' was used with another body, class or team");
        ++m_counters.repeated;
        return SubmitResult{SubmitOutcome::Repeated, job->spec.id, job->state, {}};
    }
    if (find(spec.id) != nullptr)
        return refuse(SubmitOutcome::IdReused, "id '" + spec.id + "' belongs to another job");
    return {};
}

SubmitResult JobBook::refuse(SubmitOutcome outcome, std::string reason)
{
    ++m_counters.refused;
    return {outcome, {}, JobState::Failed, std::move(reason)};
}

void JobBook::accept(JobRecord r, Instant now, Records &records)
{
    r.id = r.spec.id;
    record(std::move(r), now, records);
    ++m_counters.accepted;
}

std::optional<JobState> JobBook::cancel(const std::string &id, Instant now, Records &records)
{
    const Job *job = find(id);
    if (job == nullptr)
        return {};
    if (isFinal(job->state) || job->state == JobState::Cancelling)
        return job->state;
    recordFor(RecordKind::Cancel, id, {}, now, records);
    ++m_counters.cancelled;
    if (job->state == JobState::Cancelling)
        setStep(id, Step::Stop, now);
    return job->state;
}

std::vector<std::string> JobBook::awaitedRuns() const
{
    std::vector<std::string> all;
    for (const auto &[run, watchers] : m_awaiting) {
        if (find(run) == nullptr)
            all.push_back(run);
    }
    return all;
}

void JobBook::runEnded(const std::string &run, JobState state, Instant now, Records &records)
{
    const auto it = m_awaiting.find(run);
    if (it == m_awaiting.end())
        return;
    const std::set<std::string> watchers = it->second;
    for (const std::string &id : watchers)
        recordFor(RecordKind::Fire, id, std::string(toString(state)), now, records);
}

void JobBook::fireWatchers(Instant now, Records &records)
{
    while (m_timers.isDue(bookTime(now))) {
        const std::string id = m_timers.first();
        recordFor(RecordKind::Fire, id, "time", now, records);
    }
}

void JobBook::recordFor(RecordKind kind, const std::string &id, const std::string &text,
                        Instant now, Records &records)
{
    JobRecord r;
    r.kind = kind;
    r.id = id;
    r.text = text;
    const Job *job = find(id);
    if (job != nullptr && isOnWorker(job->state))
        r.attempt = job->attempt;
    record(std::move(r), now, records);
}

void JobBook::record(JobRecord r, Instant now, Records &records)
{
    const Job *job = find(r.id);
    const bool known = job != nullptr;
    const JobState before = known ? job->state : JobState::Waiting;
    r.at = bookTime(now);
    m_table.apply(r);
    records.push_back(internal::encode(r));
    job = find(r.id);
    if (job == nullptr)
        return;
    if (known)
        leave(*job, before, now);
    if (!known || !isOnWorker(before) || !isOnWorker(job->state))
        enter(*job, now);
    if (isFinal(job->state) && !job->watcher)
        runEnded(job->spec.id, job->state, now, records);
}

void JobBook::leave(const Job &job, JobState before, Instant now)
{
    const std::string &id = job.spec.id;
    if (isOnWorker(before) && !isOnWorker(job.state))
        endAttempt(job, now);
    if (before == JobState::Waiting && job.state != JobState::Placed)
        m_queue.remove(id);
    if (before != JobState::Watching)
        return;
    m_timers.remove(job.submittedAt + job.after, id);
    const auto it = m_awaiting.find(job.untilRun);
    if (it == m_awaiting.end())
        return;
    it->second.erase(id);
    if (it->second.empty())
        m_awaiting.erase(it);
}

void JobBook::enter(const Job &job, Instant now)
{
    const std::string &id = job.spec.id;
    if (isFinal(job.state)) {
        m_done.add(job.changedAt + m_settings.retention, id);
        m_quarantine.forgetJob(id);
    } else if (isOnWorker(job.state))
        beginAttempt(job, now);
    else if (job.state == JobState::Waiting)
        m_queue.push(internal::waitingItem(job, instantOf(job.submittedAt)), now);
    else if (job.untilRun.empty())
        m_timers.add(job.submittedAt + job.after, id);
    else
        m_awaiting[job.untilRun].insert(id);
}

void JobBook::apply(const std::string &record)
{
    m_table.apply(internal::decodeRecord(record));
}

void JobBook::takeOver(Instant now)
{
    m_origin = now - m_table.lastAt();
    m_mustSettle = true;
    for (const auto &[id, job] : m_table.jobs()) {
        enter(job, now);
        for (const TaskFailure &failure : job.failures) {
            if (!isFinal(job.state) && noteFailure(job, failure, now))
                m_hopeless.push_back(id);
        }
        if (!isOnWorker(job.state))
            continue;
        m_ledger.restore(job.worker, id, job.spec.demand);
        m_queue.restoreStarted(internal::waitingItem(job, instantOf(job.submittedAt)), now);
        m_leases.assumeRenewed(job.worker, now);
        if (job.state != JobState::Placed)
            m_attempts[id].step = Step::Stop;
    }
}

void JobBook::settleEnds(Instant now, Records &records)
{
    // Segments are bounded, so a crash may have kept the end of a run without what followed.
    if (!std::exchange(m_mustSettle, false))
        return;
    std::vector<std::string> ended;
    for (const auto &[run, watchers] : m_awaiting) {
        const Job *job = find(run);
        if (job != nullptr && isFinal(job->state))
            ended.push_back(run);
    }
    for (const std::string &run : ended)
        runEnded(run, find(run)->state, now, records);
    for (const std::string &id : std::exchange(m_hopeless, {}))
        giveUp(*find(id), now, records);
}

void JobBook::tick(Instant now, Records &records)
{
    settleEnds(now, records);
    expireWorkers(now, records);
    renewLeases(now);
    fireWatchers(now, records);
    repeatCalls(now);
    placeWaiting(now, records);
    forgetOld(now, records);
    markTime(now, records);
}

void JobBook::forgetOld(Instant now, Records &records)
{
    for (int n = 0; n < m_settings.forgetsPerTick && m_done.isDue(bookTime(now)); ++n) {
        const std::string id = m_done.first();
        m_done.remove(find(id)->changedAt + m_settings.retention, id);
        recordFor(RecordKind::Forget, id, {}, now, records);
    }
}

void JobBook::markTime(Instant now, Records &records)
{
    // After a takeover the shard's time goes on from its last record: never early, and late by
    // no more than the time without an owner and one interval.
    const bool matters = !m_timers.empty() || m_queue.waitingCount() > 0;
    if (matters && bookTime(now) - m_table.lastAt() >= m_settings.markEvery)
        record({}, now, records);
}

Millis JobBook::bookTime(Instant now) const
{
    return std::max(m_table.lastAt(), now - m_origin);
}

Instant JobBook::instantOf(Millis at) const
{
    return m_origin + at;
}

std::vector<Effect> JobBook::takeEffects()
{
    return std::exchange(m_effects, {});
}

} // namespace savorywick
