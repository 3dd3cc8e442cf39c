#pragma once

#include "core/latencyhistogram.h"
#include "net/eventloop.h"
#include "node/asyncstore.h"
#include "node/shardrequest.h"
#include "node/workerlink.h"
#include "savorywick/clock.h"
#include "savorywick/journal.h"
#include "savorywick/steps/coordinator.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace savorywick {

struct ShardRunnerSettings
{
    JournalSettings journal;
    steps::CoordinatorSettings coordinator;
    Millis slowCommit{700}; // A commit in flight for longer means that the store is in trouble.
    Millis restoreRetry{150}; // From a read that failed to the next.
    std::size_t segmentsPerRead = 200;
};

// How long steps on the way of a job took, over all shards of an entry.
struct ShardTimes
{
    LatencyHistogram submitCommit; // From a submission to its being durable.
    LatencyHistogram submitFirstStart; // From a job's being due to its first run's placement.
    LatencyHistogram restore; // From taking a shard to acting for it.
};

// What a runner needs around it. All references must outlive it.
struct ShardRunnerParts
{
    EventLoop &loop;
    const Clock &clock;
    AsyncTable &table;
    AsyncObjectStore &objects;
    WorkerLink &workers;
    ShardTimes &times;
    std::function<bool()> mayAct; // Whether this entry's session is surely alive.
    std::function<void(int shard)> over; // Called once when the shard is lost or released.
};

// One owned shard on an event loop: restores it, then carries out what its Coordinator decides.
//
// Callers are answered once all that the answer rests on is durable. Not thread-safe.
//
// Example:
//   runner->open();
//   runner->handle(SubmitJob{spec}, [](const ShardAnswer &a) { reply(a); });
class ShardRunner : public std::enable_shared_from_this<ShardRunner>
{
public:
    ShardRunner(const OwnedShard &owned, const ShardRunnerSettings &settings,
                ShardRunnerParts parts);

    // Begins to restore the shard's state. Call it once.
    void open();
    // Answers a request; NotOwner until the state is restored.
    void handle(const ShardRequest &request, ShardAnswered answered);
    // Takes in the list of the shard's workers.
    void setWorkers(std::vector<steps::WorkerInfo> workers);
    // Gives the shard up once all that was begun is durable; begins nothing more.
    void release();
    // Drops the shard at once; requests that wait are answered Undecided.
    void drop();

    int shard() const { return m_owned.shard; }
    bool restored() const { return m_restored; }
    const steps::Coordinator &coordinator() const { return m_coordinator; }

private:
    struct Waiting
    {
        LogSequenceNumber ticket = 0;
        Instant since;
        bool submits = false;
        ShardAnswer answer;
        ShardAnswered answered;
    };

    steps::ClockReading now() const;
    void readSnapshot();
    void readSegments();
    void retryLater(void (ShardRunner::*step)());
    void finishRestore();

    void schedulePump();
    void pump();
    void appendRecords();
    void commitNext();
    void readBack();
    void takeEvent(const JournalStatus &event);
    void answerDurable(LogSequenceNumber landed);
    void sendOrders();
    void send(const steps::WorkerCommand &order);
    void storeSnapshot();
    void removeOldSnapshot();
    void scheduleWake();
    bool storeInTrouble() const;
    void end();

    const OwnedShard m_owned;
    const ShardRunnerSettings m_settings;
    ShardRunnerParts m_parts;
    JournalReader m_reader;
    Journal m_journal;
    steps::Coordinator m_coordinator;
    std::vector<steps::WorkerInfo> m_workers;
    std::deque<Waiting> m_waiting; // By ticket.
    bool m_restored = false;
    bool m_over = false;
    bool m_pumpPosted = false;
    bool m_readingBack = false;
    bool m_putting = false;
    bool m_storeRefuses = false; // The last commit had no effect, for the store's own reasons.
    std::optional<Instant> m_commitSentAt;
    std::optional<Instant> m_wakeAt;
    EventLoop::TimerId m_wakeTimer = 0;
};

} // namespace savorywick
