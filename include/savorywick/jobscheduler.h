#pragma once

#include "savorywick/allocationtable.h"
#include "savorywick/clock.h"
#include "savorywick/demandestimator.h"
#include "savorywick/fairqueue.h"
#include "savorywick/hostreservation.h"
#include "savorywick/internal/jobtable.h"
#include "savorywick/internal/timerqueue.h"
#include "savorywick/job.h"
#include "savorywick/placement.h"
#include "savorywick/platform.h"
#include "savorywick/quarantine.h"
#include "savorywick/servicedocument.h"
#include "savorywick/workercalls.h"
#include "savorywick/workerlease.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorywick {

struct JobSchedulerSettings
{
    WorkerLeaseSettings workerLeases;
    Millis callRetryInterval{2'000}; // The delay from a failed call to a worker to its retry.
    Millis retention{86'400'000}; // How long jobs in a final state and their keys are kept.
    // The longest interval between journal records while watchers wait for a delay or runs wait for
    // a worker. A takeover resumes shard time from the latest record.
    Millis timeRecordInterval{30'000};
    int maxPlacementsPerTick = 256; // Bounds the runs that one tick() places.
    int maxDeletionsPerTick = 256; // Bounds the final jobs that one tick() deletes.
    // The calls made to start an attempt on a worker that refuses them for lack of a lease. After
    // that the attempt is stopped there, so that the run can be placed again.
    int maxStartCalls = 5;
    // A worker that refused a start for lack of room or of a lease is given no new work for this
    // time.
    Millis refusalBackoff{2'000};
    int maxCheckpointCalls = 3; // The calls for one checkpoint before the eviction is abandoned.
    std::size_t maxFailedAttempts = 10; // A run is given up after this many, on any workers.
    QuarantineOptions quarantine;
};

enum class SubmitOutcome {
    Accepted,
    Repeated, // The key was used with the same body, class and team; the job is the existing one.
    KeyReused, // The key was used with another body, class or team.
    IdReused, // The id belongs to a job with another key.
    FitsNoWorker, // The demand exceeds the capacity of every listed worker.
};

// Returns the outcome's name as it appears in answers and counters, such as "key-reused".
std::string_view toString(SubmitOutcome outcome);

struct SubmitResult
{
    SubmitOutcome outcome = SubmitOutcome::Accepted;
    std::string id; // The job that has the key; empty if the submission was refused.
    JobState state = JobState::Waiting;
    std::string reason; // A sentence that tells why the submission was refused; empty otherwise.
};

// A worker that is given no new work, or a single task as a probe.
struct WorkerSuspect
{
    std::string worker;
    std::string reason; // "quarantined", "probing" or "unreachable".
    Instant since; // When the present owner of the shard first observed it.
};

// Counts events since the present owner took the shard over.
struct JobCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t repeated = 0;
    std::uint64_t refused = 0;
    std::uint64_t placed = 0;
    std::uint64_t finished = 0;
    std::uint64_t failedAttempts = 0;
    std::uint64_t givenUp = 0;
    std::uint64_t evictions = 0;
    std::uint64_t abandonedEvictions = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t lapsed = 0; // Attempts lost since their worker's lease had lapsed.
    std::uint64_t vanished = 0; // Running attempts that their worker no longer reported.
    std::uint64_t restarts = 0; // Attempts lost since their worker had restarted.
    std::uint64_t quarantines = 0; // Times that a worker was put into quarantine.
};

// Schedules the runs and watchers of one shard on the shard's slice of the workers.
//
// Use one object for each owned shard, together with the shard's Journal. It decides only: it is
// given requests, workers' replies and the time, and emits journal records and calls to workers.
//
// A decision changes the memory at once and adds its records to `records`. The user appends these
// to the journal, also if there are none, and withholds the answer to the client and the calls
// that were taken at the same time until Journal::durableLsn() has reached the log sequence number
// that the append returned. If the journal is fenced, the user destroys the scheduler. Lease
// renewals need not wait, see waitsForCommit().
//
// Every call but ThrottleTask must be answered by the matching handle function; if no reply came,
// as failed or unknown. Right before a call is sent, isStillValid() must be asked again, and the
// call be dropped if it is not. While ShardLeaseManager::holdsLease() is false, the user must not
// call tick(), send calls or answer clients; workers' replies are handled at all times.
//
// A job has at most one running attempt: attempt n+1 is placed only after attempt n is confirmed
// stopped, its worker has restarted, or the worker's lease is certain to have lapsed.
//
// Shard time counts the milliseconds for which the shard had an owner, as far as the journal
// recorded them. Journal records carry it, since an Instant means nothing to another process.
//
// Not thread-safe.
//
// Example:
//   JobScheduler::Records records;
//   const SubmitResult result = scheduler.submit(spec, clock.now(), records);
//   scheduler.tick(clock.now(), records);
//   const LogSequenceNumber lsn = journal.append(records);
//   answerWhenDurable(lsn, result, scheduler.takeCalls());
class JobScheduler
{
public:
    using Records = std::vector<std::string>;

    // Creates a scheduler without jobs or workers. `placement` and `cost` choose among the usable
    // workers; without a placement the worker with the tightest fit is chosen. With
    // `demandEstimator`, a run is allocated its declared or its learned demand, whichever is
    // larger. The pointers may be null; the scheduler does not own the objects, which must outlive
    // it.
    explicit JobScheduler(const JobSchedulerSettings &settings,
                          const Placement *placement = nullptr, const HostCost *cost = nullptr,
                          const DemandEstimator *demandEstimator = nullptr);

    // Submits a run. A repetition of its idempotency key returns the job that has the key. Refuses
    // a run that exceeds the capacity of every listed worker; if no worker is listed, accepts it.
    // Throws Error(InvalidInput) if id, service or key is empty or the demand is negative.
    SubmitResult submit(const JobSpec &spec, Instant now, Records &records);
    // Submits a watcher, with idempotency as for submit(). It fires at once if the run that it
    // awaits is in this shard and has ended. Throws Error(InvalidInput) if id, service or key is
    // empty.
    SubmitResult watch(const WatcherSpec &spec, Instant now, Records &records);
    // Cancels a run or watcher. Returns its state afterwards, or nothing if the id is unknown. A
    // `Cancelling` run becomes `Cancelled` once its attempt is certain not to run.
    std::optional<JobState> cancel(const std::string &id, Instant now, Records &records);
    // Starts to move a run to another worker: checkpoints its attempt, stops it and resumes the run
    // from there. A run that is not checkpointable starts over. Returns false if no attempt is
    // known to be running or one is being moved already.
    bool evict(const std::string &id, Instant now, Records &records);
    // Limits a running attempt to `percent` of its full speed. Returns false if no attempt is known
    // to be running or it is being moved.
    bool throttle(const std::string &id, int percent);

    // Changes the resources that a placed run reserves on its worker. Returns false and changes
    // nothing if the worker lacks the capacity or the run is on no worker.
    bool updateReservation(const std::string &id, const Resources &demand);
    // Limits the cores that may be reserved on a worker in total when a further run is placed
    // there. Present reservations stay.
    void setCoreLimit(const std::string &worker, int cores)
    {
        m_allocations.setCoreLimit(worker, cores);
    }

    // Returns the awaited runs that are unknown in this shard and may belong to other shards.
    std::vector<std::string> awaitedRemoteRuns() const;
    // Fires the watchers of `run`, which has ended in `state`. Must be called for the ended runs of
    // other shards that awaitedRemoteRuns() returned; runs of this shard are handled internally.
    void handleRunEnd(const std::string &run, JobState state, Instant now, Records &records);

    // Sets a team's share of the workers and its quota.
    void setTeam(std::string_view team, const TeamShare &share) { m_queue.setTeam(team, share); }
    // Replaces the list of the shard's workers and their capacities. A worker that is no longer
    // listed gets no new work; its attempts stay until they are certain not to run.
    void setWorkers(std::span<const HostInfo> workers, Instant now);
    // Handles the reply to a RenewLease call. Starts are confirmed and ends recorded as the reply
    // reports them; reported attempts that are not current are stopped.
    void handleLeaseReply(const std::string &worker, const LeaseReply &report, Instant now,
                          Records &records);
    // Handles a RenewLease call that got no reply.
    void handleLeaseFailure(const std::string &worker, Instant now);
    // Handles the reply to a StartTask call; StartOutcome::Unknown if there was none.
    void handleStartReply(const std::string &job, int attempt, const StartReply &reply, Instant now,
                          Records &records);
    // Handles the end of a StopTask call. `stopped` is true if and only if the worker confirmed it.
    void handleStopReply(const StopTask &call, bool stopped, Instant now, Records &records);
    // Handles the end of a CheckpointTask call. `checkpoint` is empty if none was made.
    void handleCheckpointReply(const std::string &job, int attempt,
                               const std::optional<std::string> &checkpoint, Instant now,
                               Records &records);

    // Does everything that is due at `now`: lease renewals and lapses, watchers, retries of calls,
    // placements, and the deletion of final jobs after their retention.
    void tick(Instant now, Records &records);
    // Returns the calls decided since the last invocation, in order.
    std::vector<WorkerCall> takeCalls();
    // Returns true if and only if the call still follows from the present state.
    bool isStillValid(const WorkerCall &effect) const;

    // Replays a journal record. Records must be applied in order, before takeOver().
    // Throws Error(InvalidInput) if the record cannot follow the present state.
    void apply(const std::string &record);
    // Starts to act on the restored and replayed state, which may be empty. Must be called once,
    // before any other function that takes an instant. Assumes that the previous owner may have
    // renewed every worker's lease up to `now`.
    void takeOver(Instant now);
    // Returns the durable state as text; equal states give equal texts.
    std::string snapshot() const { return m_table.snapshot(); }
    // Replaces the durable state by what snapshot() returned. Must be called before apply() and
    // takeOver(). Throws Error(InvalidInput) if the text is no complete snapshot.
    void restore(const std::string &snapshot) { m_table.restore(snapshot); }

    // Returns a run or watcher, or null if the id is unknown. The pointer is valid until the next
    // call of a function that is not const.
    const Job *find(const std::string &id) const { return m_table.find(id); }
    // Returns the number of jobs in `state`.
    std::size_t count(JobState state) const { return m_table.count(state); }
    // Returns the number of all jobs.
    std::size_t size() const { return m_table.jobs().size(); }
    // Returns the unfinished runs and watchers of a service, by class. Takes time in proportion to
    // all jobs.
    std::vector<LiveWork> liveWork(std::string_view service) const;
    // Returns the quarantined workers and the unreachable ones: those that are not usable and have
    // left renewals unanswered for longer than the renewal interval.
    std::vector<WorkerSuspect> suspects(Instant now) const;
    // Returns the run that has waited longest for a worker, and the reason.
    OldestWaiting oldestWaiting(Instant now) const;
    // Returns the workers' capacities and the resources that are allocated on them.
    const AllocationTable &ledger() const { return m_allocations; }
    // Returns which workers are in quarantine.
    const Quarantine &quarantine() const { return m_quarantine; }
    // Returns the event counts since takeOver().
    const JobCounters &counters() const { return m_counters; }

private:
    // What is being done about an attempt. All phases but `Run` need a call to the worker.
    enum class Phase { Start, Run, Checkpoint, Stop };
    // The part of an attempt's state that is not in the journal.
    struct Attempt
    {
        Phase phase = Phase::Start;
        bool callInFlight = false;
        Instant nextCallAt; // When to retry the phase's call if none is in flight.
        int calls = 0; // Calls made in this phase.
        std::optional<Instant> runningSince; // When it was first known to be running.
    };
    class WorkerFitTest;

    Resources demandOf(const Job &job) const;
    Millis shardTime(Instant now) const;
    Instant toInstant(Millis at) const;
    void applyAndRecord(internal::JobRecord record, Instant now, Records &records);
    void recordTransition(internal::RecordKind kind, const std::string &id, const std::string &text,
                          Instant now, Records &records);
    void exitState(const Job &job, JobState before, Instant now);
    void enterState(const Job &job, Instant now);
    void beginAttempt(const Job &job, Instant now);
    void endAttempt(const Job &job, Instant now);
    std::optional<SubmitResult> checkForDuplicate(const JobSpec &spec);
    SubmitResult reject(SubmitOutcome outcome, std::string reason);
    void accept(internal::JobRecord record, Instant now, Records &records);
    void completeInterruptedTransitions(Instant now, Records &records);

    const Job *findActiveAttempt(const std::string &id, int attempt) const;
    void setPhase(const std::string &id, Phase phase, Instant now);
    void withdrawStart(const Job &job, Instant now);
    void issueCall(const std::string &id, Instant now);
    void scheduleRetry(const std::string &id, Instant now);
    void confirmRunning(const std::string &id, Instant now);
    bool recordFailure(const Job &job, const AttemptFailure &failure, Instant now);
    void giveUp(const Job &job, Instant now, Records &records);
    void finishAttempt(const Job &job, const std::string &result, Instant now, Records &records);
    void failAttempt(const Job &job, const std::string &cause, Instant now, Records &records);
    void releaseAttempt(const std::string &id, const char *proof, Instant now, Records &records);
    void handleTaskReport(const TaskReport &task, const std::string &worker, Instant now,
                          Records &records);
    void releaseOldIncarnations(const std::string &worker, const std::string &incarnation,
                                Instant now, Records &records);
    void stopVanishedAttempts(const std::string &worker, const std::set<std::string> &reported,
                              Instant now);

    void renewLeases(Instant now);
    void expireWorkerLease(const std::string &worker, Instant now, Records &records);
    void expireWorkerLeases(Instant now, Records &records);
    void fireTimedWatchers(Instant now, Records &records);
    void retryCalls(Instant now);
    void placeWaitingRuns(Instant now, Records &records);
    void placeRun(const std::string &id, const std::string &worker, Instant now, Records &records);
    bool acceptsNewWork(const std::string &worker, Instant now) const;
    void deleteExpiredJobs(Instant now, Records &records);
    void recordTime(Instant now, Records &records);

    JobSchedulerSettings m_settings;
    internal::JobTable m_table;
    WorkerLeases m_leases;
    AllocationTable m_allocations;
    FairQueue m_queue;
    HostReservation m_hostReservation;
    Quarantine m_quarantine;
    BestFitPlacement m_defaultPlacement;
    const Placement *m_placement;
    const HostCost *m_cost;
    const DemandEstimator *m_demandEstimator;
    JobCounters m_counters;

    Instant m_shardTimeOrigin; // The instant at which shard time is 0.
    std::unordered_map<std::string, Attempt> m_attempts;
    std::set<std::string> m_attemptsToCall; // Jobs whose attempt is in a phase that needs a call.
    std::map<std::string, std::set<std::string>> m_jobsByWorker;
    std::map<std::string, std::set<std::string>, std::less<>> m_watchersByRun;
    internal::TimerQueue m_timedWatchers; // Watchers by the shard time at which they fire.
    internal::TimerQueue m_retentionExpiries; // Final jobs by the end of their retention.
    // True from takeOver() to the first tick(): a crash may have lost the records that follow from
    // the last one in the journal.
    bool m_mayHaveInterruptedTransitions = false;
    // Runs that had failed too often when they were taken over.
    std::vector<std::string> m_jobsToGiveUp;
    std::vector<WorkerCall> m_pendingCalls;
    // When the earliest unanswered renewal was sent, by worker.
    std::map<std::string, Instant> m_unansweredSince;
    std::map<std::string, Instant> m_blockedUntil; // By worker that refused a start.
};

} // namespace savorywick
