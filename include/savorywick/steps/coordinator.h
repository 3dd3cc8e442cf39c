#pragma once

#include "savorywick/internal/coordinatedworker.h"
#include "savorywick/internal/uncommitted.h"
#include "savorywick/journal.h"
#include "savorywick/quarantine.h"
#include "savorywick/steps/besteffortlimit.h"
#include "savorywick/steps/clockreading.h"
#include "savorywick/steps/coordinatorcounters.h"
#include "savorywick/steps/coordinatorsettings.h"
#include "savorywick/steps/crashjudge.h"
#include "savorywick/steps/duequeue.h"
#include "savorywick/steps/durationestimator.h"
#include "savorywick/steps/earlierleases.h"
#include "savorywick/steps/evacuatedzones.h"
#include "savorywick/steps/jobadmission.h"
#include "savorywick/steps/jobtable.h"
#include "savorywick/steps/jobtransfers.h"
#include "savorywick/steps/latencyheadroom.h"
#include "savorywick/steps/longrunninggaps.h"
#include "savorywick/steps/placement.h"
#include "savorywick/steps/preemption.h"
#include "savorywick/steps/relaxedstarts.h"
#include "savorywick/steps/runtable.h"
#include "savorywick/steps/schedulerevent.h"
#include "savorywick/steps/stragglerdetector.h"
#include "savorywick/steps/unansweredstarts.h"
#include "savorywick/steps/unplaceablesteps.h"
#include "savorywick/steps/workercommands.h"
#include "savorywick/steps/workersession.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorywick::steps {

// The result of Coordinator::submit().
enum class SubmitResult {
    Accepted,
    Repeated, // A job with the same id is known; the submission has no effect.
    Cancelled, // Its caller has cancelled it already: it is known, and never starts.
};

// Schedules the jobs of one shard: decides which tasks start where, what the workers are ordered to
// do, and what the reports of the workers mean for the jobs. The shard's owner uses one for as long
// as it owns the shard.
//
// It does no I/O. Every decision applies in memory at once and produces records, which the user
// appends to the shard's Journal. Orders and job states that rest on a record are held back until
// that record is durable, so that a later owner never contradicts them:
//
//   coordinator.submit(spec, now);
//   coordinator.recordsAppended(journal.append(coordinator.takeRecords()));
//   ...
//   coordinator.recordsDurable(journal.durableLsn());
//   for (const WorkerCommand &it : coordinator.takeOrders(now))
//       send(it);
//
// Every RenewLeaseCommand and StartRunCommand must be answered by its handle function, with the
// outcome Unknown if the worker did not answer; a StopRunCommand without an answer is only repeated
// later. While the shard's lease is in doubt call takeRenewals() instead of takeOrders(). Not
// thread-safe.
class Coordinator
{
public:
    // `epoch` is the shard's epoch; fences of this owner are derived from it and are higher than
    // those of all earlier owners. `ownedSince` is when the shard was taken.
    Coordinator(std::uint64_t epoch, Instant ownedSince, const CoordinatorSettings &settings);

    // Applies a record of the journal. Call it for all records in order, before takeOver().
    void restore(const Record &record) { m_table.apply(record); }
    // Sets by when the leases of earlier owners are over, if that is known, on the store's clock
    // and on this process's. Call it before takeOver().
    void setEarlierLeasesEnd(std::int64_t endMs, Instant at) { m_earlierLeases.setEnd(endMs, at); }
    // Sets the store's clock, on which the ends of leases are recorded for later owners. It must
    // outlive the coordinator. Without one, later owners wait for the longest leases.
    void setStoreClock(const StoreClock *clock) { m_earlierLeases.setStoreClock(clock); }
    // Starts to act on the restored state. Must be called once, before all functions below.
    void takeOver(ClockReading now);
    // Returns the state as journal records that restore() accepts.
    std::vector<std::string> snapshot() const;

    // Returns whether a job that is not known is to be accepted. submit() accepts it in any case.
    JobAdmissionDecision decideAdmission(const JobSpec &spec, ClockReading now);
    // Accepts the job unless one with the same id is known. One that was cancelled before is
    // cancelled at once.
    SubmitResult submit(const JobSpec &spec, ClockReading now);
    // Returns what was left or handed over to other shards. Once a job's delegation is durable its
    // callers must be sent there. Jobs that are known are handed over by handOver() only.
    JobTransfers &transfers() { return m_transfers; }
    const JobTransfers &transfers() const { return m_transfers; }
    // Returns the workers that have not answered for `minSilence`, unless they are most of them:
    // then it is rather this owner that is cut off.
    std::set<std::string> silentWorkers(Millis minSilence, ClockReading now) const;
    // Returns the jobs without runs that have steps which wait for a worker for at least `minWait`.
    std::vector<WaitingJob> waitingJobs(Millis minWait, ClockReading now) const;
    // Begins to hand the job over to another shard if it has no runs and has not ended; nothing of
    // it is started here any more. Returns true if and only if it did.
    bool handOver(const std::string &job, int shard, ClockReading now);
    // Forgets the job if this is its latest hand-over, at which the other shard has taken it now.
    // Returns true if and only if it did.
    bool confirmHandover(const std::string &job, int handovers, ClockReading now);
    // Takes the job over from another shard. A repetition has no effect.
    void takeJob(const JobTransfer &transfer, ClockReading now);
    // Cancels the job and requests its runs to stop; has no effect if the job has ended. Returns
    // false if the job is unknown.
    bool cancel(const std::string &job, ClockReading now);
    // Records that the caller cancelled a job of the queue that is not known here, so that it is
    // cancelled as soon as it is accepted. The caller may be told so once the record is durable.
    // Returns false, and records nothing, if there are too many such jobs of the queue.
    bool rememberCancellation(const std::string &job, const std::string &queue, ClockReading now);
    // Returns the job's state as of the latest durable record, or nothing if it is unknown.
    std::optional<JobState> durableState(std::string_view job) const;
    // Returns how many jobs of the queue are durably accepted, have not ended, and have no task
    // that is known to have started. A start is known once a worker has confirmed it or reported
    // its end; a new owner may count a job until a worker reports it.
    int pendingJobCount(std::string_view queue) const;
    // Returns the sum of pendingJobCount() over all queues.
    int pendingJobCount() const;

    // Replaces the list of the shard's workers. Runs are moved off workers that are draining.
    void setWorkers(std::span<const WorkerInfo> workers, ClockReading now);
    // Settles what became of lost workers that may have crashed, as far as the list of all shards'
    // workers tells: another worker may be at the address. Call it now and then while
    // jobTable().lostLives() has some.
    void settleLostLives(std::span<const WorkerInfo> allWorkers, ClockReading now);
    // Replaces what is known of evacuated zones. If the settings have a bound for evacuations,
    // nothing is started before the first call, nor while the latest zones are out of date.
    void setEvacuatedZones(const EvacuatedZones &zones, ClockReading now);
    // Returns true if and only if there are workers, apart from those that leave or have left, and
    // all of them are in evacuated zones.
    bool areAllWorkersEvacuated() const;
    // Apply the worker's reply to an order that takeOrders() or takeRenewals() returned. Replies
    // may come late; those to orders for an earlier life of the worker don't affect its next one.
    void handleRenewReply(const RenewLeaseCommand &order, const RenewLeaseReply &reply,
                          ClockReading now);
    void handleStartReply(const StartRunCommand &order, const CommandReply &reply,
                          ClockReading now);
    void handleStopReply(const StopRunCommand &order, const CommandReply &reply, ClockReading now);

    // Ends the runs of workers whose lease has lapsed, stops stalled runs, opens occurrences that
    // are due, forgets ended jobs after their retention, and places ready steps.
    void tick(ClockReading now);
    // Returns when tick() and takeOrders() should be called next if no other event comes earlier.
    Instant wakeAt(Instant now);
    // Returns when takeOrders() or takeRenewals() should be called next if tick() is not called
    // meanwhile.
    Instant ordersDueAt(Instant now);

    // Returns the records produced since the last call, in order. Append them to the journal and
    // pass the number that Journal::append() returns to recordsAppended(), even if there are none.
    std::vector<std::string> takeRecords();
    bool hasRecords() const { return !m_records.empty(); }
    // Reports the log sequence number that Journal::append() returned for the records that
    // takeRecords() returned last.
    void recordsAppended(LogSequenceNumber lsn);
    // Reports that all records up to `lsn` are durable; releases what rests on them.
    void recordsDurable(LogSequenceNumber lsn);
    // Returns the orders to send now.
    std::vector<WorkerCommand> takeOrders(ClockReading now);
    // Lets every lease that is granted from now on expire by `latestEnd`. An owner that has lost
    // touch with the store may have a successor already, which takes all earlier leases for over
    // by then.
    void limitLeases(Instant latestEnd) { m_latestLeaseEnd = latestEnd; }
    // Returns only the renewals among the orders to send now. They rest on no record, so they may
    // be sent while the shard's lease is in doubt; running tasks then keep their leases, up to the
    // limit set by limitLeases().
    std::vector<WorkerCommand> takeRenewals(ClockReading now);

    // Returns the decisions made since the last call, for the log.
    std::vector<SchedulerEvent> takeNotes();

    // Returns the time that was passed to the constructor.
    Instant ownedSince() const { return m_ownedSince; }
    const JobTable &jobTable() const { return m_table; }
    const CoordinatorCounters &counters() const { return m_counters; }
    const RunTable &runs() const { return m_runs; }
    const JobAdmission &admission() const { return m_admission; }
    const LongRunningGaps &longRunningGaps() const { return m_longRunningGaps; }
    // Returns how many steps have tasks that wait for a worker and may start.
    std::size_t readyStepCount() const { return m_readySteps.size(); }
    // Returns the number of known workers, including unlisted ones that may still have runs.
    std::size_t workerCount() const { return m_workers.size(); }

private:
    using Worker = CoordinatedWorker;
    // A placement pass in progress.
    struct PlacementPass
    {
        std::vector<CandidateWorker> workers;
        UnplaceableSteps unplaceable;
        UnplaceableSteps unplaceableSlowly; // Also not at low speed.
        UnplaceableSteps unplaceableBesideMisses; // Nor beside runs that miss their targets.
        bool hasProbation = false; // Some worker has a run on probation.
    };
    // What placement passes need, of the steps that they place, to know of the workers.
    struct PassNeeds
    {
        bool images = false; // Of the latency-critical runs.
        // The least that a best-effort task requests; nothing if there are no such tasks.
        std::optional<int> bestEffortMilliCores;
        bool besideMisses = false; // Some may start beside runs that miss their targets.
    };
    // Records, and orders and job states that depend on them (coordinator.cpp).
    void appendRecord(const Record &record);
    void publishWhenDurable(const std::string &job);
    void publishState(const UncommittedState &update);
    void adjustPendingCount(const DurableJob &job, int delta);
    void noteConfirmedStart(const std::string &job);
    void openDueOccurrences(const Job &job, ClockReading now);
    void closeSteps(const std::string &job);
    void concludeJob(const Job &job, const TaskRef &task, int run, const std::string &worker,
                     ClockReading now);
    void refreshOccurrence(const Job &job, int occurrence, ClockReading now);
    void refreshStep(const Job &job, const StepRef &ref, ClockReading now);
    void stopJobRuns(const Job &job, std::string_view why);
    void noteRun(SchedulerEventKind kind, const Run &run, std::string_view why, Millis age,
                 int value = 0);
    void noteWorker(SchedulerEventKind kind, const std::string &worker, std::string_view why,
                    Millis age);
    void forgetExpiredJobs(ClockReading now);

    // Orders to workers (coordinatororders.cpp).
    ResourceVector availableOn(const Worker &worker) const;
    bool fitsStill(const Worker &worker, const Run &run) const;
    void addStartOrders(std::vector<WorkerCommand> &orders, ClockReading now);
    void addStopOrders(std::vector<WorkerCommand> &orders, ClockReading now);

    // Workers and their runs (coordinatorworkers.cpp).
    Worker &findOrAddWorker(const WorkerInfo &info, ClockReading now);
    void processEndReports(Worker &worker, const WorkerReport &report, ClockReading now);
    std::vector<RunningReport> processRunningReports(Worker &worker, const WorkerReport &report,
                                                     ClockReading now);
    void settleUnknownRuns(Worker &worker, std::span<const RunningReport> reports,
                           ClockReading now);
    void stopUnknownRun(Worker &worker, const RunningReport &report);
    void endMissingRuns(Worker &worker, const WorkerReport &report, ClockReading now);
    void excuseUnlistedRuns(const Worker &worker, const WorkerReport &report, ClockReading now);
    void adoptRun(const Job &job, const TaskRef &task, const ActiveRun &active);
    void endRun(const RunKey &key, RunOutcome how, const std::string &checkpoint, ClockReading now);
    Instant lastAnsweredAt(const Run &run) const;
    void updateQuarantine(const Run &run, RunOutcome how, ClockReading now);
    void recordFailure(const Run &run, std::string_view why, ClockReading now);
    void stopGangMembers(const RunKey &key);
    void stopDuplicateRuns(const TaskRef &task);
    void requestStop(const RunKey &key, std::string_view why);
    void markStale(Worker &worker);
    void noteRunsChanged(const std::string &workerId);
    void refreshDueTimes();
    void evacuate(const Worker &worker);
    const StepSpec *findStepSpec(const TaskRef &task) const;

    // Leases of this owner and of earlier ones (coordinatorleases.cpp).
    WorkerSession makeSession(const WorkerIncarnation &life, const std::string &address) const;
    void noteKnownLife(WorkerSession &session, const Run &run);
    void recordConfirmation(const Worker &worker, Run &run, Instant now);
    void recordSilence(const Worker &worker, Instant now);
    void recordAnswer(const std::string &worker);
    LeaseBound leaseBoundOf(const Run &run) const;
    void noteLeaseEnd(const Run &run, Instant now);
    Instant nextLeaseEnd(const Worker &worker) const;
    void expireWorkers(ClockReading now);
    void endLapsedRuns(const std::string &id, ClockReading now);

    // Runs that make no progress (coordinatorstalls.cpp).
    std::optional<Instant> stalledAt(const Run &run) const;
    void scheduleStallCheck(const Run &run);
    void excuseSilence(const std::string &worker, Millis silence, Instant now);
    void stopStalledRuns(ClockReading now);

    // Durations of tasks, learned from runs (coordinatordurations.cpp).
    bool isOnPreferredRack(const TaskRef &task, const WorkerInfo &worker) const;
    void noteStartConditions(Run &run, const WorkerInfo &worker, Instant now) const;
    void observeDuration(const Run &run, RunOutcome how, Instant now);
    Millis expectedCriticalPath(const Job &job, int step, Instant now) const;

    // Second runs of tasks that take too long (coordinatorstragglers.cpp).
    void trackStraggler(const Run &run, ClockReading now);
    void settleStraggler(const Run &run, RunOutcome how);
    bool isDone(const TaskRef &task) const;
    bool mayDuplicate(const Run &run) const;
    bool hasCompetitors(const ReadyStep &step, const PlacementPass &pass) const;
    std::vector<RunningTask> tasksToDuplicate(ClockReading now);
    void startDuplicates(ClockReading now);
    void startDuplicate(const RunningTask &straggler, const ReadyStep &step, PlacementPass &pass,
                        ClockReading now);
    void stopRunsOfDoneTasks();

    // Workers that crash, and the runs that may be why (coordinatorcrashes.cpp).
    static void noteConnectionClosed(Worker &worker, Instant now);
    void noteAnswered(Worker &worker, ClockReading now);
    static LifeObservation observationOf(const Worker &worker);
    std::vector<RunObservation> observedRunsOn(const Worker &worker) const;
    void endLife(Worker &worker, std::string_view why, ClockReading now);
    void noteRestart(const Worker &worker, const WorkerIncarnation &life, Instant now);
    void meetLife(Worker &worker, const WorkerIncarnation &life, ClockReading now);
    void meetOtherWorker(Worker &worker, ClockReading now);
    void judgeCrash(const Worker &worker, std::string_view why, ClockReading now);
    void recordLoss(const Worker &worker, ClockReading now);
    void settleLife(const LifeSettlement &settlement, ClockReading now);
    void updateHold(const TaskRef &task, ClockReading now);
    void updateHoldsOf(const LostLife &life, ClockReading now);
    void releaseHeldTasks(ClockReading now);
    void refreshStepOf(const TaskRef &task, ClockReading now);
    void clearIfLasting(Worker &worker, Run &run);
    bool isSuspected(const TaskRef &task) const;

    // Replies to start and stop orders (coordinatorreplies.cpp).
    bool recordClock(Worker &worker, const CommandReply &reply, ClockReading now);
    void noteFailedStart(Worker &worker, const Run &run, Instant now);
    static void endStartBackoff(Worker &worker);
    void markStartUnknown(const RunKey &key, ClockReading now);

    // Starts that got no answer, and may be executed late (coordinatorunanswered.cpp).
    void restoreUnansweredStart(const TaskRef &task, const Task &state);
    void settleStart(const Run &run, RunOutcome how, ClockReading now);
    void noteUnansweredStart(const Run &run, ClockReading now);
    bool leavesStartsUnanswered(const std::string &workerId) const;
    Instant waitsUntil(const Run &run) const;
    void voidOrdersTo(const std::string &workerId, ClockReading now);
    void releaseWaitingTasks(ClockReading now);
    void reopen(const WaitingTask &waiting, std::string_view why, ClockReading now);
    void placeUnansweredTasks(ClockReading now);
    void placeOnItsWorker(const WaitingTask &waiting, const Job &job, Worker &worker,
                          ClockReading now);
    bool takesNoMoreStarts(const Worker &worker, Instant now) const;
    bool mayRetryOn(const Worker &worker, const TaskRef &task, Instant now) const;
    bool adoptLateRun(Worker &worker, const RunningReport &report, ClockReading now);

    // Interference of best-effort with latency-critical runs (coordinatorinterference.cpp).
    void controlInterference(Worker &worker, ClockReading now);
    std::optional<std::vector<BestEffortLoad>> steadyBestEffortLoads(std::span<const RunKey> keys,
                                                                     ClockReading now) const;
    std::vector<BestEffortLoad> plannedBestEffortLoads(std::span<const RunKey> keys) const;
    double milliCoresInUse(std::span<const RunKey> keys) const;
    bool keepsHeadroom(std::span<const RunKey> keys, std::span<const BestEffortLoad> added) const;
    std::set<RunKey> runsToThrottle(std::span<const RunKey> keys, const Run &victim,
                                    double headroom) const;
    void throttleRuns(Worker &worker, std::span<const RunKey> keys,
                      const std::set<RunKey> &selected, ClockReading now);
    void restoreSpeed(Worker &worker, std::span<const RunKey> keys, std::optional<int> limit,
                      ClockReading now);
    std::optional<int> updateBestEffortLimit(Worker &worker, std::span<const RunKey> keys,
                                             std::optional<double> headroom, ClockReading now);
    void applyBestEffortLimit(const Worker &worker, CandidateWorker &candidate, int milliCores,
                              Instant now);
    std::set<RunKey> runsAboveLimit(std::span<const RunKey> keys, int limit) const;
    void stopForInterference(const Worker &worker, const RunKey &key, ClockReading now);
    void setSpeed(const Worker &worker, Run &run, int percent, std::string_view why,
                  ClockReading now);
    bool needsMonitoring(const Worker &worker) const;
    bool missesAlone(std::span<const RunKey> keys, Instant now) const;
    void addInterferenceState(const Worker &worker, CandidateWorker &candidate, Instant now) const;
    void accountForStart(CandidateWorker &candidate, const StepSpec &started,
                         const std::string &job, Instant now) const;
    void orderStartSpeed(const Worker &worker, Run &run, ClockReading now);

    // Availability zones that operators have evacuated (coordinatorevacuation.cpp).
    void noteZoneChange(const ZoneChange &change);
    void voidStartsInFlight(std::string_view zone, Instant now);
    bool mayStartInZoneOf(const Worker &worker, Instant now) const;
    void withholdCapacity(CandidateWorker &candidate, Instant now) const;

    // Placement (coordinatorplacement.cpp).
    Instant placementAt() const;
    bool isUsable(const Worker &worker, Instant now) const;
    bool isReachable(const Worker &worker, Instant now) const;
    bool isOutOfQuarantine(const Worker &worker, Instant now) const;
    bool mayBeGivenStarts(const Worker &worker, Instant now) const;
    bool hasTasksToPlace() const;
    PassNeeds needsOf(std::span<const ReadyStep> steps, Instant now) const;
    void summarizeRuns(Worker &worker) const;
    bool acceptsBestEffort(const Worker &worker, Instant now) const;
    std::vector<CandidateWorker> candidateWorkers(const PassNeeds &needs, Instant now);
    std::vector<ReadyStep> sortedReadySteps(ClockReading now) const;
    void placeReadySteps(ClockReading now);
    bool mayRelaxHeadroom(const StepSpec &spec, Millis waited) const;
    bool mayStartSlowly(const StepRef &ref, const StepSpec &spec, Millis waited) const;
    PlacementConstraints slowStartConstraintsFor(const StepRef &ref, Instant now) const;
    CandidateWorker candidateOf(Worker &worker, const PassNeeds &needs, Instant now);
    void tryQuarantinedWorkers(const ReadyStep &step, const PlacementPass &pass, ClockReading now);
    bool mayTryQuarantined(const std::string &id, bool longRunning, Instant now) const;
    bool placeStep(const ReadyStep &step, PlacementPass &pass, ClockReading now);
    bool placeStepAt(const ReadyStep &step, double minHeadroom, PlacementPass &pass,
                     ClockReading now);
    bool placeTasks(const ReadyStep &step, std::span<const int> indexes,
                    PlacementConstraints constraints, PlacementPass &pass, ClockReading now);
    void startOneSlowly(const ReadyStep &step, PlacementPass &pass, ClockReading now);
    RunKey startTask(const ReadyStep &step, int index, CandidateWorker &worker, int speedPercent,
                     ClockReading now);
    void forgetIfPlaced(const StepRef &ref);
    void restoreTurn(const Run &run);
    void startRun(const TaskRef &task, int run, const StepSpec &spec, CandidateWorker &worker,
                  ClockReading now);
    std::vector<int> tasksToStart(const StepRef &ref) const;
    PlacementConstraints constraintsFor(const StepRef &ref, Instant now) const;
    Instant readySince(const StepRef &ref, Instant now) const;

    // Gangs (coordinatorgangs.cpp).
    std::size_t addWorkersOfGang(const ReadyStep &step, PlacementPass &pass, Instant now);
    bool placeGang(const ReadyStep &step, PlacementPass &pass, ClockReading now);
    std::vector<std::size_t> chooseForGang(const ReadyStep &step, PlacementConstraints constraints,
                                           std::vector<CandidateWorker> workers) const;

    // Notes on steps that wait (coordinatorwaits.cpp).
    std::vector<StepRef> nextStepsToNote(Instant now) const;
    void noteWaitingSteps(ClockReading now);

    // Preemption (coordinatorpreemption.cpp).
    std::optional<PreemptibleRun> preemptibleRun(const Run &run, int priority,
                                                 ClockReading now) const;
    std::vector<PreemptionWorker> preemptionWorkers(PlacementPass &pass, int priority,
                                                    ClockReading now) const;
    void preemptForUrgentSteps(std::span<const ReadyStep> steps, PlacementPass &pass,
                               ClockReading now);
    bool preemptFor(const ReadyStep &step, std::span<PreemptionWorker> workers, int &plansLeft,
                    ClockReading now);
    void placeReservedSteps(std::vector<ReadyStep> &steps, PlacementPass &pass, ClockReading now);
    std::optional<ReservationEnd> serveReservation(const Reservation &reservation,
                                                   std::vector<ReadyStep> &steps,
                                                   PlacementPass &pass, ClockReading now);
    bool startReserved(const StepRef &ref, std::vector<ReadyStep> &steps, CandidateWorker &worker,
                       ClockReading now);

    CoordinatorSettings m_settings;
    Fence m_firstFence; // Of a new session; above those of sessions that were forgotten.
    bool m_hasPredecessors; // The shard had owners before this one.
    Instant m_ownedSince;
    EarlierLeases m_earlierLeases;
    std::optional<Instant> m_latestLeaseEnd; // Of workers' leases that are granted from now on.
    JobTable m_table;
    JobTransfers m_transfers;
    RunTable m_runs;
    CrashJudge m_crashJudge;
    Quarantine m_quarantine;
    EvacuatedZones m_evacuatedZones;
    LatencyHeadroomEstimator m_headroomEstimator;
    RelaxedStarts m_relaxedStarts;
    BestEffortLimit m_bestEffortLimit;
    PreemptionPlanner m_preemption;
    DurationEstimator m_durations;
    StragglerDetector m_stragglers;
    JobAdmission m_admission;
    LongRunningGaps m_longRunningGaps;
    CoordinatorCounters m_counters;

    std::map<std::string, Worker, std::less<>> m_workers;
    // Workers that have changed since their times in the two queues after it were set.
    std::vector<Worker *> m_staleWorkers;
    DueQueue<std::string> m_renewals;
    DueQueue<std::string> m_leaseEnds; // Of workers that have runs or are unlisted.
    DueQueue<RunKey> m_stallChecks; // At or before the run would count as stalled.
    std::map<StepRef, Instant> m_readySteps; // Steps with tasks that may start, and since when.
    DueQueue<TaskRef> m_heldTasks; // They may not be started until then.
    UnansweredStarts m_unansweredStarts;
    // Of jobs with a schedule: the first occurrence that is not due yet.
    std::map<std::string, int> m_nextOccurrence;
    DueQueue<std::string> m_dueOccurrences; // The same jobs, by the wall-clock time of that one.
    std::set<std::pair<std::int64_t, std::string>> m_endedJobs; // Time of the end in ms, and id.

    std::vector<SchedulerEvent> m_notes;
    std::vector<std::string> m_records;
    LogSequenceNumber m_appended = 0;
    LogSequenceNumber m_durable = 0;
    // In the order of their records; those without a log sequence number are last.
    std::deque<UncommittedStart> m_uncommittedStarts;
    std::deque<UncommittedAck> m_uncommittedAcks;
    std::deque<UncommittedState> m_uncommittedStates;
    std::vector<RunKey> m_durableStarts; // Their orders are not sent yet.
    // Orders that depend on no record: speed changes, and stops of runs that no record mentions.
    std::vector<WorkerCommand> m_immediateOrders;
    std::unordered_map<std::string, DurableJob> m_durableJobs;
    std::map<std::string, int, std::less<>> m_pendingJobs; // Count of durable jobs by queue.
    bool m_placementNeeded = true;
    Instant m_nextPlacementAt; // The earliest time of the next placement pass.
    Instant m_placementDueAt; // The latest time of the next placement pass if steps wait.
    Instant m_nextWaitNotesAt; // The earliest time of the next StepWaiting events.
    StepRef m_lastNotedStep; // The last step that a StepWaiting event told of.
};

} // namespace savorywick::steps
