#pragma once

#include "savorywick/clock.h"
#include "savorywick/fairqueue.h"
#include "savorywick/heldroom.h"
#include "savorywick/hostledger.h"
#include "savorywick/internal/dueindex.h"
#include "savorywick/internal/jobtable.h"
#include "savorywick/job.h"
#include "savorywick/placement.h"
#include "savorywick/platform.h"
#include "savorywick/quarantine.h"
#include "savorywick/servicedocument.h"
#include "savorywick/sizelearner.h"
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

struct JobBookSettings
{
    WorkerLeaseSettings workers;
    Millis retryEvery{2'000}; // From a call to a worker that failed to its repetition.
    Millis retention{86'400'000}; // Final jobs and their keys are kept this long.
    Millis markEvery{30'000}; // The journal learns the time at least this often while it matters.
    int startsPerTick = 256;
    int forgetsPerTick = 256;
    int startTries = 5; // Refusals for want of a lease before an attempt is taken back.
    int checkpointTries = 3; // Before an eviction is given up.
    std::size_t failedAttempts = 10; // Before a job is given up, on whatever workers.
    QuarantineOptions quarantine;
};

enum class SubmitOutcome {
    Accepted,
    Repeated, // The key is known with the same body; the answer is that of the first.
    KeyReused, // The key is known with another body.
    IdReused, // The id belongs to another job.
    FitsNoWorker, // No listed worker is large enough, even when empty.
};

// Returns the outcome's name as it appears in answers and counters, such as "key-reused".
std::string_view toString(SubmitOutcome outcome);

struct SubmitResult
{
    SubmitOutcome outcome = SubmitOutcome::Accepted;
    std::string id; // Of the job that has the key; empty if refused.
    JobState state = JobState::Waiting;
    std::string reason; // Why it was refused.
};

// A worker that gets no new work, or only a probe.
struct WorkerSuspect
{
    std::string worker;
    std::string reason; // "quarantined", "probing" or "unreachable".
    Instant since; // As far as this owner knows.
};

// How often each thing happened since this owner took over.
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
    std::uint64_t lapsed = 0; // Attempts whose worker's lease ran out.
    std::uint64_t vanished = 0; // Attempts that their worker no longer knew.
    std::uint64_t restarts = 0; // Attempts whose worker restarted.
    std::uint64_t quarantines = 0; // Workers that were found to fail whatever they start.
};

// The runs and watchers of one shard, and the workers that it has a slice of.
//
// Every decision applies in memory at once and appends records to `records`. The user appends them
// to the shard's Journal, also if there are none, and holds back the answer to the caller and the
// effects taken at the same time until that ticket has landed. If the journal is fenced, drop the
// book. Renewals need not wait, see waitsForCommit(). Every effect but ThrottleTask must be
// answered by its reply function, as failed or unknown if no answer came; right before it is sent
// ask wanted() again, and drop it if it is not. While LeaseKeeper::mayAct() is false call no
// tick(), send no effect and answer no caller; the workers' replies are taken in at all times.
//
// Attempt n+1 is placed only after attempt n is confirmed stopped, its worker restarted, or the
// worker's lease surely lapsed. Not thread-safe.
//
// Example:
//   JobBook::Records records;
//   const SubmitResult result = book.submit(spec, clock.now(), records);
//   book.tick(clock.now(), records);
//   const Ticket ticket = journal.append(records);
//   hold(ticket, result, book.takeEffects());
class JobBook
{
public:
    using Records = std::vector<std::string>;

    // `placement` and `cost` choose among the workers that are usable; without them the tightest
    // fit is taken. The book does not own them; they must outlive it.
    // With `sizes` a run is booked at its declared size or the learned one, whichever is larger.
    explicit JobBook(const JobBookSettings &settings, const Placement *placement = nullptr,
                     const HostCost *cost = nullptr, const SizeLearner *sizes = nullptr);

    // Accepts a run once a key. Refuses what no listed worker could hold; accepts it if no worker
    // is known. Throws Error(InvalidInput) if id, service or key is empty.
    SubmitResult submit(const JobSpec &spec, Instant now, Records &records);
    // Accepts a watcher once a key. It fires at once if its run in this shard has ended.
    SubmitResult watch(const WatcherSpec &spec, Instant now, Records &records);
    // Cancels a run or watcher. Returns its state then, or nothing if it is unknown. `Cancelling`
    // becomes `Cancelled` once its attempt is surely not running.
    std::optional<JobState> cancel(const std::string &id, Instant now, Records &records);
    // Begins to move a running attempt elsewhere. Returns false if it is not known to be running.
    bool evict(const std::string &id, Instant now, Records &records);
    // Slows a running attempt. Returns false if it is not known to be running.
    bool throttle(const std::string &id, int percent);

    // Changes what a placed run has booked. Returns false, and changes nothing, if its host has no
    // room for that or the run is on no worker.
    bool rebook(const std::string &id, const Resources &need);
    // Limits the cores that further placements may bring a worker to.
    void setAllowance(const std::string &worker, int cores)
    {
        m_ledger.setAllowance(worker, cores);
    }

    // Returns the runs that watchers wait for and that this shard does not know.
    std::vector<std::string> awaitedRuns() const;
    // Tells that a run of another shard has ended in `state`.
    void runEnded(const std::string &run, JobState state, Instant now, Records &records);

    // Sets a team's share of the workers and its quota.
    void setTeam(std::string_view team, const TeamShare &share) { m_queue.setTeam(team, share); }
    // Takes in the shard's slice of the workers. A worker that is no longer listed gets no new
    // work; its attempts stay until they are known to be gone.
    void setWorkers(std::span<const HostInfo> workers, Instant now);
    void leaseReply(const std::string &worker, const LeaseReport &report, Instant now,
                    Records &records);
    void leaseFailed(const std::string &worker, Instant now);
    void startReply(const std::string &job, int attempt, const StartReply &reply, Instant now,
                    Records &records);
    // `stopped` says that the worker confirmed it.
    void stopReply(const StopTask &call, bool stopped, Instant now, Records &records);
    // `checkpoint` is nothing if none was made.
    void checkpointReply(const std::string &job, int attempt,
                         const std::optional<std::string> &checkpoint, Instant now,
                         Records &records);

    // Does what time brings: renewals, lapses, watchers, retries, placements, retention.
    void tick(Instant now, Records &records);
    // Returns the effects since the last call, in order.
    std::vector<Effect> takeEffects();
    // Returns true if and only if the effect still follows from the state.
    bool wanted(const Effect &effect) const;

    // Takes in a record of the journal, in order, before takeOver().
    // Throws Error(InvalidInput) if it does not follow from the state.
    void apply(const std::string &record);
    // Begins to act on what was restored and applied, also if that is nothing. Call it once, before
    // any other function that takes an instant. Assumes that the last owner renewed every worker's
    // lease up to `now`.
    void takeOver(Instant now);
    // Returns the durable state, the same for equal states.
    std::string snapshot() const { return m_table.snapshot(); }
    // Replaces the durable state, before takeOver().
    void restore(const std::string &snapshot) { m_table.restore(snapshot); }

    // Returns a run or watcher, or nothing if it is unknown. The pointer holds until the next call
    // that changes the book.
    const Job *find(const std::string &id) const { return m_table.find(id); }
    std::size_t count(JobState state) const { return m_table.count(state); }
    std::size_t size() const { return m_table.jobs().size(); }
    // Returns the unfinished runs and watchers of a service, by class. Looks at every job.
    std::vector<LiveWork> liveWork(std::string_view service) const;
    // Returns the workers in quarantine, and those that were silent for longer than a renewal takes
    // to be sent again and may not be used.
    std::vector<WorkerSuspect> suspects(Instant now) const;
    // Returns the run that has waited longest and why.
    OldestWaiting oldestWaiting(Instant now) const;
    const HostLedger &ledger() const { return m_ledger; }
    const Quarantine &quarantine() const { return m_quarantine; }
    const JobCounters &counters() const { return m_counters; }

private:
    enum class Step { Start, Run, Checkpoint, Stop };
    // What this owner knows of an attempt beyond the journal.
    struct Attempt
    {
        Step step = Step::Start;
        bool calling = false; // The step's call is in flight.
        Instant nextCall; // When to repeat it otherwise.
        int tries = 0;
        std::optional<Instant> confirmedAt; // When it was first known to run.
    };
    class BookFit;

    Resources needOf(const Job &job) const;
    Millis bookTime(Instant now) const;
    Instant instantOf(Millis at) const;
    void record(internal::JobRecord record, Instant now, Records &records);
    void recordFor(internal::RecordKind kind, const std::string &id, const std::string &text,
                   Instant now, Records &records);
    void leave(const Job &job, JobState before, Instant now);
    void enter(const Job &job, Instant now);
    void beginAttempt(const Job &job, Instant now);
    void endAttempt(const Job &job, Instant now);
    std::optional<SubmitResult> known(const JobSpec &spec);
    SubmitResult refuse(SubmitOutcome outcome, std::string reason);
    void accept(internal::JobRecord record, Instant now, Records &records);
    void settleEnds(Instant now, Records &records);

    const Job *current(const std::string &id, int attempt) const;
    void setStep(const std::string &id, Step step, Instant now);
    void call(const std::string &id, Instant now);
    void callFailed(const std::string &id, Instant now);
    void confirmRunning(const std::string &id, Instant now);
    bool noteFailure(const Job &job, const TaskFailure &failure, Instant now);
    void giveUp(const Job &job, Instant now, Records &records);
    void finishAttempt(const Job &job, const std::string &result, Instant now, Records &records);
    void failAttempt(const Job &job, const std::string &cause, Instant now, Records &records);
    void freeAttempt(const std::string &id, const char *proof, Instant now, Records &records);
    void takeReport(const TaskReport &task, const std::string &worker, Instant now,
                    Records &records);
    void freeOldIncarnations(const std::string &worker, const std::string &incarnation, Instant now,
                             Records &records);
    void stopVanished(const std::string &worker, const std::set<std::string> &reported,
                      Instant now);

    void renewLeases(Instant now);
    void expireWorker(const std::string &worker, Instant now, Records &records);
    void expireWorkers(Instant now, Records &records);
    void fireWatchers(Instant now, Records &records);
    void repeatCalls(Instant now);
    void placeWaiting(Instant now, Records &records);
    void place(const std::string &id, const std::string &worker, Instant now, Records &records);
    bool takesWork(const std::string &worker, Instant now) const;
    void forgetOld(Instant now, Records &records);
    void markTime(Instant now, Records &records);

    JobBookSettings m_settings;
    internal::JobTable m_table;
    WorkerLeases m_leases;
    HostLedger m_ledger;
    FairQueue m_queue;
    HeldRoom m_room;
    Quarantine m_quarantine;
    BestFitPlacement m_tightest;
    const Placement *m_placement;
    const HostCost *m_cost;
    const SizeLearner *m_sizes;
    JobCounters m_counters;

    Instant m_origin; // The instant of the shard's own time 0.
    std::unordered_map<std::string, Attempt> m_attempts;
    std::set<std::string> m_calls; // Attempts whose step needs a call.
    std::map<std::string, std::set<std::string>> m_byWorker;
    std::map<std::string, std::set<std::string>, std::less<>> m_awaiting; // Watchers by run.
    internal::DueIndex m_timers; // Watchers that wait for time.
    internal::DueIndex m_done; // Final jobs by the end of their retention.
    // A crash may have cut a batch between an end and what follows.
    bool m_mustSettle = false;
    std::vector<std::string> m_hopeless; // Runs that may be given up then.
    std::vector<Effect> m_effects;
    std::map<std::string, Instant> m_unansweredSince; // The first renewal without an answer.
};

} // namespace savorywick
