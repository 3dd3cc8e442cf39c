#pragma once

#include "core/latencyhistogram.h"
#include "net/eventloop.h"
#include "node/asyncstore.h"
#include "node/asyncworkerclient.h"
#include "node/jobdealer.h"
#include "node/jobmover.h"
#include "node/overloadgate.h"
#include "node/shardload.h"
#include "node/shardrequest.h"
#include "node/workpacer.h"
#include "savorywick/clock.h"
#include "savorywick/journal.h"
#include "savorywick/steps/commitforecast.h"
#include "savorywick/steps/coordinator.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace savorywick {

// The settings of a ShardRunner.
struct ShardRunnerSettings
{
    JournalSettings journal;
    steps::CoordinatorSettings coordinator;
    OverloadGateSettings overload;
    WorkPacerSettings passes;
    // When a slow store keeps a new change from being durable in time. The delay by the loop's own
    // lag is left out of account.
    steps::CommitForecastSettings commitForecast;
    JobMoverSettings jobMover;
    // How far ahead of a commit the shard's row promises that all leases on workers are over. The
    // longer, the longer runs outlast an outage of the store, and the longer a new owner waits
    // until it may start again what ran on workers that were lost with the owner before.
    Millis leaseLimitAhead{7'800};
    Millis restoreRetryDelay{150}; // The delay before a failed read is retried.
    // The delay before a snapshot that was not stored is sent again. It is long, since a snapshot
    // is large and not urgent.
    Millis snapshotRetryDelay{5'000};
    std::size_t segmentsPerScan = 200;
};

// Latency histograms over all shards of an entry.
struct ShardLatencies
{
    LatencyHistogram commit; // From sending a commit until it is known to have taken effect.
    LatencyHistogram submitCommit; // From a submission's receipt until it is durable.
    LatencyHistogram submitFirstStart; // From a job's due time to the placement of its first run.
    LatencyHistogram restore; // From acquiring a shard until it is restored.
};

// The objects that a ShardRunner works with. All of them must outlive it.
struct ShardRunnerDependencies
{
    EventLoop &loop;
    const Clock &clock;
    AsyncTable &table;
    AsyncObjectStore &objects;
    AsyncWorkerClient &workers;
    ShardLatencies &latencies;
    // Returns until when this entry may act as owner unless its lease is renewed before.
    std::function<Instant()> leaseValidUntil;
    std::function<void(int shard)> ended; // Called once, when the shard is lost or released.
    std::function<Millis()> loopLag; // Returns how late the loop runs what is due now.
    // If set, returns the list of all shards' workers. It tells what became of workers that were
    // lost, which may be back under ids of another shard.
    std::function<std::span<const steps::WorkerInfo>()> allWorkers = {};
    // If set, called when the store has rejected a commit without effect, or has answered it.
    std::function<void(int shard, bool rejected)> commitEnded = {};
    // If both are set, jobs are moved to shards whose workers suit them: the shards' workers, and
    // what sends a request to the owner of a shard.
    const steps::ShardFit *shardFit = nullptr;
    JobMover::Send sendToShard = {};
};

// Runs one owned shard on an event loop: restores its state from the store, then carries out the
// decisions of its Coordinator.
//
// Create one as a shared_ptr for each shard that the entry acquires. A reply to a request that
// changes state is sent when the change is durable. While the event loop is far behind, new jobs
// are refused and all else is served. Not thread-safe.
//
// Example:
//   runner->open();
//   runner->handle(SubmitJob{spec}, [](const ShardReply &it) { respond(it); });
class ShardRunner : public std::enable_shared_from_this<ShardRunner>
{
public:
    ShardRunner(const OwnedShard &owned, const ShardRunnerSettings &settings,
                ShardRunnerDependencies dependencies);

    // Begins to restore the shard's state. Call it once.
    void open();
    // Handles a request and passes the reply to `onReply`. Replies NotOwner until the state is
    // restored and once the shard is being released.
    void handle(const ShardRequest &request, ShardReplyCallback onReply);
    // Replaces the list of the shard's workers.
    void setWorkers(std::vector<steps::WorkerInfo> workers);
    // Sets the processors of the workers of each shard, in thousandths of a core. New jobs of
    // long-running tasks are shared out by them.
    void setShardCapacities(std::vector<std::int64_t> milliCores);
    // Sets which availability zones are evacuated.
    void setEvacuatedZones(const steps::EvacuatedZones &zones);
    // Releases the shard when all pending changes are durable. No new work is accepted meanwhile.
    void release();
    // Drops the shard immediately. Pending requests get an Undecided reply.
    void drop();

    // Returns the shard's number.
    int shard() const { return m_owned.shard; }
    // Returns true if and only if the shard's state has been restored.
    bool isRestored() const { return m_restored; }
    // Returns the shard's present backlog and the work since the last call.
    ShardLoad takeLoad();
    // Returns the shard's decision logic, for reading its counters.
    const steps::Coordinator &coordinator() const { return m_coordinator; }

private:
    struct PendingReply
    {
        LogSequenceNumber lsn = 0;
        Instant receivedAt;
        bool isSubmit = false;
        ShardReply reply;
        ShardReplyCallback callback;
    };

    steps::ClockReading now() const;
    bool hasValidLease() const;
    void readSnapshot();
    void readSegments();
    void retryRestoreLater(std::string_view what, void (ShardRunner::*step)());
    void retryLater(void (ShardRunner::*step)());
    void finishRestore();
    Millis takeInEarlierLeases();

    void scheduleProcessing();
    void process();
    void tick();
    void settleLostLives(steps::ClockReading currentTime);
    void logDecisions();
    void finishHandover(const std::string &job, int handovers);
    void appendRecords();
    void commitNext();
    void measureCommit(Instant sentAt, CommitOutcome outcome);
    void readBack();
    void handleJournalEvent(const JournalStatus &event);
    void sendDurableReplies(LogSequenceNumber durableLsn);
    bool needsLeaseLimit() const;
    void raiseLeaseLimit();
    Instant latestLeaseEnd() const;
    void sendOrders();
    void sendOrder(const steps::WorkerCommand &order);
    void storeSnapshot();
    void finishUpload(bool stored);
    void logSnapshot(bool stored, std::size_t bytes, Instant sentAt) const;
    void removeOldSnapshot();
    void scheduleWakeUp();
    bool storeUnhealthy(const ShardRequest &request) const;
    Millis ownCommitDelay() const;
    void observeLag();
    void end();

    const OwnedShard m_owned;
    const ShardRunnerSettings m_settings;
    ShardRunnerDependencies m_dependencies;
    JournalReader m_reader;
    std::size_t m_restoredSnapshotBytes = 0;
    Journal m_journal;
    steps::Coordinator m_coordinator;
    JobDealer m_dealer;
    JobMover m_mover;
    OverloadGate m_overloadGate;
    WorkPacer m_passPacer;
    bool m_passDue = false; // A pass was asked for and put off.
    std::vector<steps::WorkerInfo> m_workers;
    steps::EvacuatedZones m_evacuatedZones;
    std::deque<PendingReply> m_pendingReplies; // In the order of their `lsn`.
    bool m_restored = false;
    bool m_ended = false;
    bool m_processingScheduled = false;
    bool m_readingBack = false;
    bool m_storingSnapshot = false; // One is being sent, or waits to be sent again.
    bool m_lastCommitUnavailable = false; // The store rejected the last commit without effect.
    steps::CommitForecast m_commitForecast;
    ShardLoad m_load; // Since takeLoad() was called last, without the backlog.
    LogSequenceNumber m_reportedLsn = 0; // The durable one when takeLoad() was called last.
    Instant m_nextSettlingAt; // The earliest time of the next settleLostLives().
    std::optional<Instant> m_wakeUpAt;
    EventLoop::TimerId m_wakeUpTimer = 0;
};

} // namespace savorywick
