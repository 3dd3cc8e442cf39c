#include "entry/shardengine.h"

#include "savorywick/errors.h"

namespace savorywick {

namespace {

// The first character of a journal record tells whose it is.
constexpr char claimTag = 'c';
constexpr char jobTag = 'j';
constexpr std::size_t claimsForgottenPerTick = 256;

JobView viewOf(const Job &job)
{
    return {job.spec.id, job.spec.service, job.spec.team, job.isWatcher, job.state,
            job.attempt, job.result,       job.worker,    job.failures};
}

} // namespace

ShardEngine::ShardEngine(const OwnedShard &owned, const ShardEngineSettings &settings, Instant now)
    : m_settings(settings)
    , m_journal(owned, settings.journal)
    , m_claims(settings.claims, now)
    , m_control(settings.control)
    , m_jobs(settings.jobs, &m_placement, &m_control.cost(), &m_control.demandEstimator())
{ }

void ShardEngine::restore(const std::string &snapshot, const std::vector<std::string> &records,
                          Instant now)
{
    const auto split = snapshot.find('\n');
    if (split != std::string::npos) {
        m_claims = IdempotencyRegistry::restore(std::string_view(snapshot).substr(0, split),
                                                m_settings.claims, now);
        m_jobs.restore(snapshot.substr(split + 1));
    }
    for (const std::string &it : records) {
        if (it.starts_with(claimTag))
            m_claims.apply(std::string_view(it).substr(1), now);
        else
            m_jobs.apply(it.substr(1));
    }
    std::vector<std::string> taken;
    m_claims.takeOver(now, taken);
    hold(taken, claimTag, nullptr);
    m_jobs.takeOver(now);
}

void ShardEngine::openClaim(const KeyedRequest &request, const ReplySlotPtr<ClaimReply> &slot,
                            Instant now)
{
    if (const auto refusal = refusalOf(now)) {
        slot->give({*refusal, {}});
        return;
    }
    std::vector<std::string> records;
    const IdempotencyResult decision = m_claims.open(request, now, records);
    hold(records, claimTag, [this, slot, decision, request](bool landed, Instant at) {
        const ShardRefusal refusal = landed ? ShardRefusal::None : ShardRefusal::Lost;
        const bool taken = slot->give({refusal, decision});
        // Nobody waits any more, so it is never sent: the key is free again.
        if (landed && !taken && decision.outcome == IdempotencyOutcome::Granted)
            releaseClaim({request.service, request.key}, at);
    });
}

void ShardEngine::finishClaim(const IdempotencyKey &key, const StoredResponse &answer, Instant now)
{
    std::vector<std::string> records;
    m_claims.finish(key.service, key.key, answer, now, records);
    hold(records, claimTag, nullptr);
}

void ShardEngine::releaseClaim(const IdempotencyKey &key, Instant now)
{
    std::vector<std::string> records;
    m_claims.release(key.service, key.key, now, records);
    hold(records, claimTag, nullptr);
}

void ShardEngine::markClaimUnknown(const IdempotencyKey &key, Instant now)
{
    std::vector<std::string> records;
    m_claims.markUnknown(key.service, key.key, now, records);
    hold(records, claimTag, nullptr);
}

void ShardEngine::submit(const JobSpec &spec, const ReplySlotPtr<SubmitReply> &slot, Instant now)
{
    if (const auto refusal = refusalOf(now)) {
        slot->give({*refusal, {}});
        return;
    }
    JobScheduler::Records records;
    const SubmitResult result = m_jobs.submit(spec, now, records);
    m_jobs.tick(now, records);
    hold(records, jobTag, [slot, result](bool landed, Instant) {
        slot->give({landed ? ShardRefusal::None : ShardRefusal::Lost, result});
    });
}

void ShardEngine::watch(const WatcherSpec &spec, const ReplySlotPtr<SubmitReply> &slot, Instant now)
{
    if (const auto refusal = refusalOf(now)) {
        slot->give({*refusal, {}});
        return;
    }
    JobScheduler::Records records;
    const SubmitResult result = m_jobs.watch(spec, now, records);
    hold(records, jobTag, [slot, result](bool landed, Instant) {
        slot->give({landed ? ShardRefusal::None : ShardRefusal::Lost, result});
    });
}

void ShardEngine::cancel(const std::string &id, const ReplySlotPtr<JobReply> &slot, Instant now)
{
    if (const auto refusal = refusalOf(now)) {
        slot->give({*refusal, {}});
        return;
    }
    JobScheduler::Records records;
    m_jobs.cancel(id, now, records);
    JobReply reply;
    if (const Job *job = m_jobs.find(id))
        reply.job = viewOf(*job);
    hold(records, jobTag, [slot, reply](bool landed, Instant) {
        slot->give({landed ? ShardRefusal::None : ShardRefusal::Lost, reply.job});
    });
}

void ShardEngine::query(const std::string &id, const ReplySlotPtr<JobReply> &slot)
{
    JobReply reply;
    if (const Job *job = m_jobs.find(id))
        reply.job = viewOf(*job);
    hold({}, jobTag, [slot, reply](bool landed, Instant) {
        slot->give({landed ? ShardRefusal::None : ShardRefusal::Lost, reply.job});
    });
}

void ShardEngine::liveWork(const std::string &service, const ReplySlotPtr<LiveWorkReply> &slot)
{
    const std::vector<LiveWork> work = m_jobs.liveWork(service);
    hold({}, jobTag, [slot, work](bool landed, Instant) {
        slot->give({landed ? ShardRefusal::None : ShardRefusal::Lost, work});
    });
}

ShardReport ShardEngine::report(Instant now)
{
    ShardReport report;
    report.shard = shard();
    report.epoch = epoch();
    for (const JobState it :
         {JobState::Waiting, JobState::Placed, JobState::Evicting, JobState::Cancelling,
          JobState::Watching, JobState::Finished, JobState::Failed, JobState::Cancelled})
        report.byState[it] = m_jobs.count(it);
    report.counters = m_jobs.counters();
    report.claims = m_claims.counts();
    report.oldest = m_jobs.oldestWaiting(now);
    if (report.oldest.item)
        report.oldestWaited = now - report.oldest.item->waitingSince;
    report.pendingRecords = m_journal.pendingRecords();
    report.storeDown = storeInTrouble(now);
    const AllocationTable &ledger = m_jobs.ledger();
    for (const std::string &it : ledger.hosts())
        report.hosts.push_back({it, ledger.capacity(it), ledger.allocated(it)});
    for (const WorkerSuspect &it : m_jobs.suspects(now))
        report.suspects.push_back({it.worker, it.reason, now - it.since});
    return report;
}

void ShardEngine::settle(const JobScheduler::Records &records)
{
    hold(records, jobTag, nullptr);
}

void ShardEngine::objectPut(bool stored)
{
    m_putting = false;
    if (stored)
        m_journal.markSnapshotStored();
}

void ShardEngine::release()
{
    m_releasing = true;
    m_journal.release();
}

void ShardEngine::tick(Instant now)
{
    if (m_over || m_releasing)
        return;
    JobScheduler::Records records;
    m_jobs.tick(now, records);
    hold(records, jobTag, nullptr);
    std::vector<std::string> expired;
    m_claims.expire(now, claimsForgottenPerTick, expired);
    hold(expired, claimTag, nullptr);
}

void ShardEngine::commitEnded(const CommitResult &result, Instant now)
{
    m_commitSentAt.reset();
    // A conflict is an answer too: the store works.
    m_trouble =
        result.outcome == CommitOutcome::Unavailable || result.outcome == CommitOutcome::Unknown;
    takeEvent(m_journal.handleCommitResult(result, now), now);
}

void ShardEngine::rowRead(const Row &row, Instant now)
{
    m_readingBack = false;
    takeEvent(m_journal.handleReadBack(row, now), now);
}

ShardActions ShardEngine::pump(Instant now)
{
    ShardActions actions;
    answerHeld(m_journal.durableLsn(), now);
    if (!m_over) {
        actions.commit = m_journal.nextCommit(now);
        if (actions.commit)
            m_commitSentAt = now;
        actions.readBack = m_journal.needsReadBack() && !m_readingBack;
        m_readingBack = m_readingBack || actions.readBack;
        if (m_journal.snapshotDue())
            m_journal.beginSnapshot(m_claims.snapshot(now) + "\n" + m_jobs.snapshot());
        if (!m_putting)
            actions.putObject = m_journal.snapshotToStore();
        m_putting = m_putting || actions.putObject.has_value();
        actions.removeObject = m_journal.takeObsoleteObject();
    }
    for (WorkerCall &it : m_ready) {
        if (m_over || !m_jobs.isStillValid(it))
            continue;
        if (const auto *start = std::get_if<StartTask>(&it))
            m_control.recordStart(*start, m_jobs, now);
        actions.effects.push_back(std::move(it));
    }
    m_ready.clear();
    actions.over = m_over;
    return actions;
}

bool ShardEngine::storeInTrouble(Instant now) const
{
    return m_trouble || (m_commitSentAt && now - *m_commitSentAt > m_settings.slowCommit);
}

std::optional<ShardRefusal> ShardEngine::refusalOf(Instant now) const
{
    if (m_over || m_releasing)
        return ShardRefusal::NotOwner;
    if (storeInTrouble(now))
        return ShardRefusal::StoreDown;
    return std::nullopt;
}

void ShardEngine::hold(const JobScheduler::Records &records, char tag, Held action)
{
    if (m_over || m_releasing) {
        m_jobs.takeCalls();
        if (action)
            action(false, Instant{});
        return;
    }
    std::vector<std::string> tagged;
    tagged.reserve(records.size());
    for (const std::string &it : records)
        tagged.push_back(tag + it);
    const LogSequenceNumber ticket = m_journal.append(tagged);
    std::vector<WorkerCall> effects;
    for (WorkerCall &it : m_jobs.takeCalls())
        (waitsForCommit(it) ? effects : m_ready).push_back(std::move(it));
    if (!effects.empty()) {
        m_held.emplace(ticket, [this, effects](bool landed, Instant) {
            if (landed)
                m_ready.insert(m_ready.end(), effects.begin(), effects.end());
        });
    }
    if (action)
        m_held.emplace(ticket, std::move(action));
}

void ShardEngine::takeEvent(const JournalStatus &event, Instant now)
{
    answerHeld(event.durableLsn, now);
    if (!event.fenced && !event.released)
        return;
    m_over = true;
    dropHeld(now);
}

void ShardEngine::answerHeld(LogSequenceNumber landed, Instant now)
{
    // An action may hold another one, so each is taken out before it runs.
    while (!m_held.empty() && m_held.begin()->first <= landed) {
        const Held action = std::move(m_held.begin()->second);
        m_held.erase(m_held.begin());
        action(true, now);
    }
}

void ShardEngine::dropHeld(Instant now)
{
    auto held = std::move(m_held);
    m_held.clear();
    for (auto &it : held)
        it.second(false, now);
}

} // namespace savorywick
