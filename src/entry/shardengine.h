#pragma once

#include "entry/replyslot.h"
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

// Why a shard could not take a request.
enum class ShardRefusal {
    None,
    NotOwner, // This entry does not own the shard, or may not act now.
    StoreDown, // The table service does not take commits now; nothing was begun.
    Lost, // The shard was lost before the request was durable.
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

// A run or watcher as a caller may see it.
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
    std::optional<JobView> job; // Nothing if it is unknown.
};

// The unfinished work of one service in a shard.
struct LiveWorkReply
{
    ShardRefusal refusal = ShardRefusal::None;
    std::vector<LiveWork> work;
};

// What one shard tells the operators' report.
struct ShardReport
{
    int shard = 0;
    std::uint64_t epoch = 0;
    std::map<JobState, std::size_t> byState;
    JobCounters counters;
    IdempotencyCounts claims;
    OldestWaiting oldest;
    Millis oldestWaited{0};
    std::size_t pendingRecords = 0;
    bool storeDown = false;
    struct HostUse
    {
        std::string host;
        Resources capacity;
        Resources booked;
    };
    std::vector<HostUse> hosts;
    struct Suspect
    {
        std::string host;
        std::string reason;
        Millis lasted;
    };
    std::vector<Suspect> suspects;
};

// What the actor around the engine must do next.
struct ShardActions
{
    std::optional<Transaction> commit;
    bool readBack = false; // Read the shard's row and call rowRead().
    std::optional<SnapshotObject> putObject;
    std::optional<std::string> removeObject;
    std::vector<WorkerCall> effects; // Calls to workers; their records are durable.
    bool over = false; // The shard is lost or released; drop the engine.
};

struct ShardEngineSettings
{
    JournalSettings journal;
    IdempotencySettings claims;
    JobSchedulerSettings jobs;
    BatchControllerSettings control;
    Millis slowCommit{500}; // A commit in flight for longer counts as trouble with the store.
};

// One owned shard: its journal, its claims and its jobs, and what is held back until it is durable.
//
// The actor around it feeds it requests and replies and carries out pump(). Every reply goes out
// only when all that it rests on has landed in the journal. Not thread-safe.
//
// Example:
//   engine.submit(spec, slot, clock.now());
//   const ShardActions actions = engine.pump(clock.now());
class ShardEngine
{
public:
    ShardEngine(const OwnedShard &owned, const ShardEngineSettings &settings, Instant now);

    // Rebuilds the state from the snapshot (empty if there is none) and the records behind it.
    void restore(const std::string &snapshot, const std::vector<std::string> &records, Instant now);

    void openClaim(const KeyedRequest &request, const ReplySlotPtr<ClaimReply> &slot, Instant now);
    void finishClaim(const IdempotencyKey &key, const StoredResponse &answer, Instant now);
    void releaseClaim(const IdempotencyKey &key, Instant now);
    void markClaimUnknown(const IdempotencyKey &key, Instant now);

    void submit(const JobSpec &spec, const ReplySlotPtr<SubmitReply> &slot, Instant now);
    void watch(const WatcherSpec &spec, const ReplySlotPtr<SubmitReply> &slot, Instant now);
    void cancel(const std::string &id, const ReplySlotPtr<JobReply> &slot, Instant now);
    void query(const std::string &id, const ReplySlotPtr<JobReply> &slot);
    // Answers once all that the count rests on is durable, so that only the shard's owner can.
    void liveWork(const std::string &service, const ReplySlotPtr<LiveWorkReply> &slot);
    ShardReport report(Instant now);

    // Gives the workers' side of the shard: for the replies to effects and the list of workers.
    // Call settle() after each change made through it, with the records that it appended.
    JobScheduler &jobs() { return m_jobs; }
    BatchController &control() { return m_control; }
    void settle(const JobScheduler::Records &records);
    void tick(Instant now);

    void commitEnded(const CommitResult &result, Instant now);
    void rowRead(const Row &row, Instant now);
    // Reports how the put of pump()'s object ended.
    void objectPut(bool stored);
    // Gives the shard up once all that was begun is durable; takes nothing more.
    void release();

    // Returns what to do now. At most one commit and one object is in flight at a time.
    ShardActions pump(Instant now);

    int shard() const { return m_journal.shard(); }
    std::uint64_t epoch() const { return m_journal.epoch(); }

private:
    using Held = std::function<void(bool landed, Instant now)>;

    bool storeInTrouble(Instant now) const;
    std::optional<ShardRefusal> refusalOf(Instant now) const;
    void hold(const JobScheduler::Records &records, char tag, Held action);
    void takeEvent(const JournalStatus &event, Instant now);
    void answerHeld(LogSequenceNumber landed, Instant now);
    void dropHeld(Instant now);

    ShardEngineSettings m_settings;
    Journal m_journal;
    IdempotencyRegistry m_claims;
    SpreadPlacement m_placement;
    BatchController m_control;
    JobScheduler m_jobs;
    std::multimap<LogSequenceNumber, Held> m_held;
    std::vector<WorkerCall> m_ready; // Effects whose records have landed.
    std::optional<Instant> m_commitSentAt;
    bool m_trouble = false;
    bool m_readingBack = false;
    bool m_putting = false;
    bool m_releasing = false;
    bool m_over = false;
};

} // namespace savorywick
