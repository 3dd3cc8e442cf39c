#include "entry/shardengine.h"

#include "savorywick/errors.h"

namespace savorywick {

namespace {

// The first character of a journal record names the component that it belongs to.
constexpr char claimTag = 'c';
constexpr char jobTag = 'j';
constexpr std::size_t maxClaimsExpiredPerTick = 256;

JobView toJobView(const Job &job)
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
    std::vector<std::string> takeOverRecords;
    m_claims.takeOver(now, takeOverRecords);
    deferUntilDurable(takeOverRecords, claimTag, nullptr);
    m_jobs.takeOver(now);
}

void ShardEngine::openClaim(const KeyedRequest &request, const ReplyChannelPtr<ClaimReply> &channel,
                            Instant now)
{
    if (const auto refusal = refusalAt(now)) {
        channel->send({*refusal, {}});
        return;
    }
    std::vector<std::string> records;
    const IdempotencyResult decision = m_claims.open(request, now, records);
    deferUntilDurable(
        records, claimTag, [this, channel, decision, request](bool durable, Instant at) {
            const ShardRefusal refusal = durable ? ShardRefusal::None : ShardRefusal::OwnershipLost;
            const bool delivered = channel->send({refusal, decision});
            // The request thread has timed out and will not send the request, so free the key.
            if (durable && !delivered && decision.outcome == IdempotencyOutcome::Granted)
                releaseClaim({request.service, request.key}, at);
        });
}

void ShardEngine::finishClaim(const IdempotencyKey &key, const StoredResponse &answer, Instant now)
{
    std::vector<std::string> records;
    m_claims.finish(key.service, key.key, answer, now, records);
    deferUntilDurable(records, claimTag, nullptr);
}

void ShardEngine::releaseClaim(const IdempotencyKey &key, Instant now)
{
    std::vector<std::string> records;
    m_claims.release(key.service, key.key, now, records);
    deferUntilDurable(records, claimTag, nullptr);
}

void ShardEngine::markClaimUnknown(const IdempotencyKey &key, Instant now)
{
    std::vector<std::string> records;
    m_claims.markUnknown(key.service, key.key, now, records);
    deferUntilDurable(records, claimTag, nullptr);
}

void ShardEngine::submitRun(const JobSpec &spec, const ReplyChannelPtr<SubmitReply> &channel,
                            Instant now)
{
    if (const auto refusal = refusalAt(now)) {
        channel->send({*refusal, {}});
        return;
    }
    JobScheduler::Records records;
    const SubmitResult result = m_jobs.submit(spec, now, records);
    m_jobs.tick(now, records);
    deferUntilDurable(records, jobTag, [channel, result](bool durable, Instant) {
        channel->send({durable ? ShardRefusal::None : ShardRefusal::OwnershipLost, result});
    });
}

void ShardEngine::submitWatcher(const WatcherSpec &spec,
                                const ReplyChannelPtr<SubmitReply> &channel, Instant now)
{
    if (const auto refusal = refusalAt(now)) {
        channel->send({*refusal, {}});
        return;
    }
    JobScheduler::Records records;
    const SubmitResult result = m_jobs.watch(spec, now, records);
    deferUntilDurable(records, jobTag, [channel, result](bool durable, Instant) {
        channel->send({durable ? ShardRefusal::None : ShardRefusal::OwnershipLost, result});
    });
}

void ShardEngine::cancel(const std::string &id, const ReplyChannelPtr<JobReply> &channel,
                         Instant now)
{
    if (const auto refusal = refusalAt(now)) {
        channel->send({*refusal, {}});
        return;
    }
    JobScheduler::Records records;
    m_jobs.cancel(id, now, records);
    JobReply reply;
    if (const Job *job = m_jobs.find(id))
        reply.job = toJobView(*job);
    deferUntilDurable(records, jobTag, [channel, reply](bool durable, Instant) {
        channel->send({durable ? ShardRefusal::None : ShardRefusal::OwnershipLost, reply.job});
    });
}

void ShardEngine::query(const std::string &id, const ReplyChannelPtr<JobReply> &channel)
{
    JobReply reply;
    if (const Job *job = m_jobs.find(id))
        reply.job = toJobView(*job);
    deferUntilDurable({}, jobTag, [channel, reply](bool durable, Instant) {
        channel->send({durable ? ShardRefusal::None : ShardRefusal::OwnershipLost, reply.job});
    });
}

void ShardEngine::liveWork(const std::string &service,
                           const ReplyChannelPtr<LiveWorkReply> &channel)
{
    const std::vector<LiveWork> work = m_jobs.liveWork(service);
    deferUntilDurable({}, jobTag, [channel, work](bool durable, Instant) {
        channel->send({durable ? ShardRefusal::None : ShardRefusal::OwnershipLost, work});
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
        report.jobsByState[it] = m_jobs.count(it);
    report.counters = m_jobs.counters();
    report.claims = m_claims.counts();
    report.oldestWaiting = m_jobs.oldestWaiting(now);
    if (report.oldestWaiting.item)
        report.oldestWaitTime = now - report.oldestWaiting.item->waitingSince;
    report.pendingRecords = m_journal.pendingRecords();
    report.storeUnavailable = isStoreDegraded(now);
    const AllocationTable &allocations = m_jobs.ledger();
    for (const std::string &it : allocations.hosts())
        report.hosts.push_back({it, allocations.capacity(it), allocations.allocated(it)});
    for (const WorkerSuspect &it : m_jobs.suspects(now))
        report.suspects.push_back({it.worker, it.reason, now - it.since});
    return report;
}

void ShardEngine::appendJobRecords(const JobScheduler::Records &records)
{
    deferUntilDurable(records, jobTag, nullptr);
}

void ShardEngine::objectPutFinished(bool stored)
{
    m_objectPutInFlight = false;
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
    if (m_ownershipEnded || m_releasing)
        return;
    JobScheduler::Records records;
    m_jobs.tick(now, records);
    deferUntilDurable(records, jobTag, nullptr);
    std::vector<std::string> expired;
    m_claims.expire(now, maxClaimsExpiredPerTick, expired);
    deferUntilDurable(expired, claimTag, nullptr);
}

void ShardEngine::commitFinished(const CommitResult &result, Instant now)
{
    m_commitSentAt.reset();
    // A conflict shows that the store works, so it does not count as a failure.
    m_lastCommitFailed =
        result.outcome == CommitOutcome::Unavailable || result.outcome == CommitOutcome::Unknown;
    handleJournalEvent(m_journal.handleCommitResult(result, now), now);
}

void ShardEngine::rowRead(const Row &row, Instant now)
{
    m_rowReadInFlight = false;
    handleJournalEvent(m_journal.handleReadBack(row, now), now);
}

ShardActions ShardEngine::takeActions(Instant now)
{
    ShardActions actions;
    runCallbacksUpTo(m_journal.durableLsn(), now);
    if (!m_ownershipEnded) {
        actions.commit = m_journal.nextCommit(now);
        if (actions.commit)
            m_commitSentAt = now;
        actions.readRow = m_journal.needsReadBack() && !m_rowReadInFlight;
        m_rowReadInFlight = m_rowReadInFlight || actions.readRow;
        if (m_journal.snapshotDue())
            m_journal.beginSnapshot(m_claims.snapshot(now) + "\n" + m_jobs.snapshot());
        if (!m_objectPutInFlight)
            actions.putObject = m_journal.snapshotToStore();
        m_objectPutInFlight = m_objectPutInFlight || actions.putObject.has_value();
        actions.removeObject = m_journal.takeObsoleteObject();
    }
    for (WorkerCall &it : m_sendableCalls) {
        if (m_ownershipEnded || !m_jobs.isStillValid(it))
            continue;
        if (const auto *start = std::get_if<StartTask>(&it))
            m_control.recordStart(*start, m_jobs, now);
        actions.workerCalls.push_back(std::move(it));
    }
    m_sendableCalls.clear();
    actions.ownershipEnded = m_ownershipEnded;
    return actions;
}

bool ShardEngine::isStoreDegraded(Instant now) const
{
    return m_lastCommitFailed
        || (m_commitSentAt && now - *m_commitSentAt > m_settings.slowCommitThreshold);
}

std::optional<ShardRefusal> ShardEngine::refusalAt(Instant now) const
{
    if (m_ownershipEnded || m_releasing)
        return ShardRefusal::NotOwner;
    if (isStoreDegraded(now))
        return ShardRefusal::StoreUnavailable;
    return std::nullopt;
}

void ShardEngine::deferUntilDurable(const JobScheduler::Records &records, char tag,
                                    DurabilityCallback callback)
{
    if (m_ownershipEnded || m_releasing) {
        m_jobs.takeCalls();
        if (callback)
            callback(false, Instant{});
        return;
    }
    std::vector<std::string> tagged;
    tagged.reserve(records.size());
    for (const std::string &it : records)
        tagged.push_back(tag + it);
    const LogSequenceNumber lsn = m_journal.append(tagged);
    std::vector<WorkerCall> heldCalls;
    for (WorkerCall &it : m_jobs.takeCalls())
        (waitsForCommit(it) ? heldCalls : m_sendableCalls).push_back(std::move(it));
    if (!heldCalls.empty()) {
        m_callbacks.emplace(lsn, [this, heldCalls](bool durable, Instant) {
            if (durable)
                m_sendableCalls.insert(m_sendableCalls.end(), heldCalls.begin(), heldCalls.end());
        });
    }
    if (callback)
        m_callbacks.emplace(lsn, std::move(callback));
}

void ShardEngine::handleJournalEvent(const JournalStatus &event, Instant now)
{
    runCallbacksUpTo(event.durableLsn, now);
    if (!event.fenced && !event.released)
        return;
    m_ownershipEnded = true;
    failCallbacks(now);
}

void ShardEngine::runCallbacksUpTo(LogSequenceNumber durable, Instant now)
{
    // A callback may add another one, so each is removed before it runs.
    while (!m_callbacks.empty() && m_callbacks.begin()->first <= durable) {
        const DurabilityCallback callback = std::move(m_callbacks.begin()->second);
        m_callbacks.erase(m_callbacks.begin());
        callback(true, now);
    }
}

void ShardEngine::failCallbacks(Instant now)
{
    auto callbacks = std::move(m_callbacks);
    m_callbacks.clear();
    for (auto &it : callbacks)
        it.second(false, now);
}

} // namespace savorywick
