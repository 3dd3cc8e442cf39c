#pragma once

#include "entry/replychannel.h"
#include "savorywick/batchcontroller.h"
#include "savorywick/idempotency.h"
#include "savorywick/jobscheduler.h"
#include "savorywick/journal.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorywick {

// Why a shard did not accept a request.
enum class ShardRefusal {
    None,
    NotOwner, // This entry does not own the shard or has no valid lease.
    StoreUnavailable, // The table does not accept commits now; the request was not started.
    OwnershipLost, // Ownership ended before the request was durable; its outcome is unknown.
};

struct ClaimReply
{
    ShardRefusal refusal = ShardRefusal::None;
    IdempotencyResult decision;
};

struct SubmitReply
{
    ShardRefusal refusal = ShardRefusal::None;
    SubmitResult result;
};

// The state of a run or watcher as shown to clients.
struct JobView
{
    std::string id;
    std::string service;
    std::string team;
    bool watcher = false;
    JobState state = JobState::Waiting;
    int attempts = 0;
    std::string result;
    std::string worker;
    std::vector<AttemptFailure> failures;
};

struct JobReply
{
    ShardRefusal refusal = ShardRefusal::None;
    std::optional<JobView> job; // Empty if there is no job with the id.
};

// The unfinished runs and watchers of one service in a shard, by class.
struct LiveWorkReply
{
    ShardRefusal refusal = ShardRefusal::None;
    std::vector<LiveWork> work;
};

// One shard's part of the operators' report.
struct ShardReport
{
    int shard = 0;
    std::uint64_t epoch = 0;
    std::map<JobState, std::size_t> jobsByState;
    JobCounters counters;
    IdempotencyCounts claims;
    OldestWaiting oldestWaiting;
    Millis oldestWaitTime{0};
    std::size_t pendingRecords = 0;
    bool storeUnavailable = false;
    struct HostUsage
    {
        std::string host;
        Resources capacity;
        Resources allocated;
    };
    std::vector<HostUsage> hosts;
    struct SuspectedHost
    {
        std::string host;
        std::string reason;
        Millis suspectedFor;
    };
    std::vector<SuspectedHost> suspects;
};

// The actions that the owner of a ShardEngine must perform next.
struct ShardActions
{
    std::optional<Transaction> commit;
    bool readRow = false; // Read the shard's row and pass it to rowRead().
    std::optional<SnapshotObject> putObject;
    std::optional<std::string> removeObject;
    // The calls to send to workers. The records that these calls depend on are durable.
    std::vector<WorkerCall> workerCalls;
    bool ownershipEnded = false; // The shard was lost or released; destroy the engine.
};

struct ShardEngineSettings
{
    JournalSettings journal;
    IdempotencySettings claims;
    JobSchedulerSettings jobs;
    BatchControllerSettings control;
    // While a commit is in flight for longer than this, new requests get StoreUnavailable.
    Millis slowCommitThreshold{500};
};

// Implements one owned shard without I/O: its journal, its claims and its jobs.
//
// The caller passes in requests and the results of I/O, then performs the actions that
// takeActions() returns. A reply is sent and a task is started only once the journal records that
// they depend on are durable. Not thread-safe.
//
// Example:
//   engine.submitRun(spec, channel, clock.now());
//   const ShardActions actions = engine.takeActions(clock.now());
class ShardEngine
{
public:
    // Creates the engine of a shard that this entry has claimed. Call restore() next.
    ShardEngine(const OwnedShard &owned, const ShardEngineSettings &settings, Instant now);

    // Rebuilds the state from the snapshot (empty if there is none) and the records that were
    // written after it, in order. Claims that were open become unknown. Throws
    // Error(InvalidInput) for data that can't be read.
    void restore(const std::string &snapshot, const std::vector<std::string> &records, Instant now);

    // Claims an idempotency key and answers once the decision is durable. If nobody waits for the
    // answer any more, the key is released.
    void openClaim(const KeyedRequest &request, const ReplyChannelPtr<ClaimReply> &channel,
                   Instant now);
    // Report how the request that holds the claim of `key` ended: it has an answer, it surely did
    // not run, or it may have run.
    void finishClaim(const IdempotencyKey &key, const StoredResponse &answer, Instant now);
    void releaseClaim(const IdempotencyKey &key, Instant now);
    void markClaimUnknown(const IdempotencyKey &key, Instant now);

    // Apply a request and answer once the change is durable, or at once with a refusal.
    void submitRun(const JobSpec &spec, const ReplyChannelPtr<SubmitReply> &channel, Instant now);
    void submitWatcher(const WatcherSpec &spec, const ReplyChannelPtr<SubmitReply> &channel,
                       Instant now);
    void cancel(const std::string &id, const ReplyChannelPtr<JobReply> &channel, Instant now);
    // Answers with the state of a run or watcher once that state is durable.
    void query(const std::string &id, const ReplyChannelPtr<JobReply> &channel);
    // Counts the unfinished work of a service. The answer waits for the pending records to become
    // durable, so that a former owner can't answer.
    void liveWork(const std::string &service, const ReplyChannelPtr<LiveWorkReply> &channel);
    // Returns the shard's part of the operators' report, without waiting for durability.
    ShardReport report(Instant now);

    // Return the parts that handle workers' replies and the list of workers. After each change made
    // through them, pass the records that it produced to appendJobRecords().
    JobScheduler &jobs() { return m_jobs; }
    BatchController &control() { return m_control; }
    // Appends records of jobs() to the journal. Worker calls that must wait for a commit are held
    // until the records are durable.
    void appendJobRecords(const JobScheduler::Records &records);
    // Performs what is due by time, such as timeouts and the expiry of claims.
    void tick(Instant now);

    // Report the result of the commit and of the row read that takeActions() asked for.
    void commitFinished(const CommitResult &result, Instant now);
    void rowRead(const Row &row, Instant now);
    // Reports whether the object that takeActions() asked to put was stored.
    void objectPutFinished(bool stored);
    // Releases the shard once all that was accepted is durable. New requests get NotOwner.
    void release();

    // Returns the actions to perform now. At most one commit and one object put are in flight at a
    // time.
    ShardActions takeActions(Instant now);

    // Return the shard's number and the epoch of this ownership.
    int shard() const { return m_journal.shard(); }
    std::uint64_t epoch() const { return m_journal.epoch(); }

private:
    // Called with true once the records are durable, or with false once ownership has ended.
    using DurabilityCallback = std::function<void(bool durable, Instant now)>;

    bool isStoreDegraded(Instant now) const;
    std::optional<ShardRefusal> refusalAt(Instant now) const;
    // Appends `records` to the journal, each prefixed with `tag`, the letter of the component that
    // it belongs to. Holds `callback`, and those worker calls that must wait for a commit, until
    // these records and all earlier ones are durable.
    void deferUntilDurable(const JobScheduler::Records &records, char tag,
                           DurabilityCallback callback);
    void handleJournalEvent(const JournalStatus &event, Instant now);
    void runCallbacksUpTo(LogSequenceNumber durable, Instant now);
    void failCallbacks(Instant now);

    ShardEngineSettings m_settings;
    Journal m_journal;
    IdempotencyRegistry m_claims;
    SpreadPlacement m_placement;
    BatchController m_control;
    JobScheduler m_jobs;
    std::multimap<LogSequenceNumber, DurabilityCallback> m_callbacks;
    std::vector<WorkerCall> m_sendableCalls; // The next takeActions() returns them.
    std::optional<Instant> m_commitSentAt;
    bool m_lastCommitFailed = false;
    bool m_rowReadInFlight = false;
    bool m_objectPutInFlight = false;
    bool m_releasing = false;
    bool m_ownershipEnded = false;
};

} // namespace savorywick
