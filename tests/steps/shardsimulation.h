#pragma once

#include "savorywick/steps/coordinator.h"

#include "simulatedworker.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace savorywick::steps::testing {

// Simulates a shard in virtual time: its owner's Coordinator, its journal and its workers. Use it
// to check that the Coordinator keeps its promises while owners are replaced, workers crash or
// become unreachable, orders are lost or late, and commits are slow.
//
// The workers follow the worker protocol, with all that it allows: they refuse starts or leave them
// unanswered, start again under the same id with a clock that begins at 0 or under a new one, stay
// listed when they are gone, and hold renewals. They check the promises from their side: a
// violation throws. A seed determines all random choices.
//
// Example:
//   ShardSimulation simulation(seed);
//   simulation.submit(spec);
//   simulation.advance(60, true);
//   simulation.verifyProgressInCalm(); // Some workers stay broken.
//   simulation.finishAndVerify();
class ShardSimulation
{
public:
    // Workers shorten leases to `maxLeaseTerm`; the default is what owners grant.
    explicit ShardSimulation(unsigned seed, int workers = 4, Millis maxLeaseTerm = Millis{6'000})
        : m_random(seed)
        , m_maxLeaseTerm(maxLeaseTerm)
    {
        for (int i = 0; i < workers; ++i)
            addWorker("w" + std::to_string(i));
        replaceOwner();
    }

    // Advances the simulation by some steps of 5 to 64 ms, with or without injected faults.
    void advance(int steps, bool faults)
    {
        m_faults = faults;
        if (faults)
            m_calmSince.reset();
        for (int i = 0; i < steps; ++i)
            advanceOnce();
    }

    // Returns the events of the job, and the faults, one a line and the earliest first.
    std::string historyOf(const std::string &job) const
    {
        std::string history;
        for (const std::string &it : m_history) {
            if (job == "all" || it.find(job + ".") != std::string::npos
                || it.find(" * ") != std::string::npos)
                history += it + "\n";
        }
        return history;
    }

    // Repairs all workers, lets the jobs finish without faults, and checks that no accepted job is
    // lost, that every job has ended, and that long-running jobs have all of their tasks running.
    void finishAndVerify()
    {
        for (SimulatedWorker &it : m_workers)
            repair(it);
        for (int round = 0; round < 40 && !allJobsSettled(); ++round)
            advance(200, false);
        for (const std::string &id : m_accepted) {
            const Job *job = m_owner->jobTable().find(id);
            require(job != nullptr, "acknowledged job " + id + " is lost");
            verifyCauseOfFailure(id);
            const bool longRunning = job->spec.steps.front().longRunning;
            if (longRunning && !isFinal(job->state))
                require(countLiveTasks(id) == job->spec.steps.front().taskCount,
                        id + " has not all of its tasks running");
            else
                require(isFinal(job->state),
                        "job " + id + " is still " + std::string(toString(job->state)));
        }
    }

    // Ends all faults but those of a worker or two, which stay broken, and checks for some time
    // that every accepted job that could run does: no later than calmBound() after the faults, no
    // job has nothing running, and no long-running task is not running, for longer than maxIdleTime
    // while there is room for it twice over and less than half of the capacity is in use.
    void verifyProgressInCalm();

    // Submits a job to the owner. It counts as accepted once its record is durable.
    void submit(const JobSpec &spec)
    {
        m_owner->submit(spec, now());
        m_specs.try_emplace(spec.id, spec);
        m_pendingSubmissions.push_back({0, spec.id});
        processOwnerOutput();
    }

    // Submits a job whose first task crashes each worker that starts it, a little later. The worker
    // is back after some seconds, at times under a new id.
    void submitCrashing(const JobSpec &spec)
    {
        m_crashingJobs.insert(spec.id);
        submit(spec);
    }

    // Lets workers tell of this many ends at a time, the earliest first.
    void limitListedEnds(std::size_t limit) { m_maxListedEnds = limit; }

    // Lets the shard's row promise with each commit that all leases are over after this time, as it
    // does where all owners can read the store's clock, and limits the leases by it.
    // It promises so at once: before the first promise owners grant full leases, which are longer
    // than a short `ahead`.
    void promiseLeaseEnds(Millis ahead)
    {
        m_leaseLimitAhead = ahead;
        raiseLeaseLimit();
    }

    // Lets workers crash and start again under their ids at once, so that orders that are sent
    // before that is noticed reach the next life.
    void restartWorkersAtOnce() { m_restartsAtOnce = true; }

    // Lets orders that are executed late reach whatever life of their worker has its id by then.
    void deliverLateOrdersToNextLives() { m_lateOrdersReachNextLives = true; }

    // Lets hosts that can't be reached refuse connections, in place of leaving calls unanswered.
    void refuseWhenCutOff() { m_cutsRefuse = true; }

    // Lets the capacity of workers shrink and grow while faults are injected.
    void changeCapacities() { m_changesCapacities = true; }

    // Checks that the job, if it has failed, has a task that failed too often, or under which two
    // workers crashed.
    void verifyCauseOfFailure(const std::string &id) const
    {
        const Job *job = m_owner->jobTable().find(id);
        if (!job || job->state != JobState::Failed)
            return;
        const bool hasCause =
            std::any_of(m_groundTruth.begin(), m_groundTruth.end(), [&](const auto &it) {
                const bool failed = it.second.failures >= job->spec.policy.maxAttempts;
                return it.first.job == id && (failed || it.second.crashes >= 2);
            });
        require(hasCause, "job " + id + " has failed without a cause");
    }

    // Returns true if and only if the job has failed.
    bool hasFailed(const std::string &id) const
    {
        const Job *job = m_owner->jobTable().find(id);
        return job && job->state == JobState::Failed;
    }

    void cancel(const std::string &id)
    {
        if (m_owner->cancel(id, now()))
            m_cancelled.insert(id);
        processOwnerOutput();
    }

    // Returns the virtual time.
    ClockReading now() const { return {m_now, trueWallMs() + m_wallSkewMs}; }
    Coordinator &owner() { return *m_owner; }
    // Returns how many owners have been replaced.
    int takeoverCount() const { return m_takeoverCount; }
    // Returns how many runs the workers have started.
    int startCount() const { return m_startCount; }
    // Returns how many accepted jobs that nobody cancelled have had no task start on a worker.
    int unstartedJobCount() const
    {
        return static_cast<int>(
            std::count_if(m_accepted.begin(), m_accepted.end(), [this](const std::string &id) {
                return !m_startedJobs.contains(id) && !m_cancelled.contains(id);
            }));
    }
    // Returns how many submitted jobs are durable.
    std::size_t acceptedCount() const { return m_accepted.size(); }
    // Returns a random number from 0 to `below` - 1.
    int randomBelow(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(m_random);
    }

    // Ends the owner's process. The next owner restores the durable records; what was not durable
    // and the replies on their way to the old owner are lost.
    void replaceOwner();

private:
    static constexpr std::int64_t wallOffset = 1'700'000'000'000; // From m_now to the time of day.
    static constexpr int maxWallSkewMs = 3'000; // Of an owner's time of day.
    static constexpr int fenceBitsBelowEpoch = 20;
    static constexpr Millis replyTimeout{500};
    // How long a worker that is gone stays listed, and one that has come back stays unlisted.
    static constexpr Millis maxListDelay{3'000};
    // For how long a start may still count on a capacity that has shrunk.
    static constexpr Millis capacityGrace{5'100};
    // How long a job may have nothing running, or a long-running task not run, although it could.
    static constexpr Millis maxIdleTime{3'000};

    struct ScheduledCall
    {
        Instant at;
        bool toOwner = false; // A reply, which is lost if the owner is replaced.
        std::function<void()> action;
    };
    struct PendingSubmission
    {
        LogSequenceNumber lsn = 0;
        std::string job;
    };

    CoordinatorSettings ownerSettings() const
    {
        CoordinatorSettings settings;
        settings.workerSessions.maxLeaseTerm = m_maxLeaseTerm;
        settings.quarantine.initialProbeDelay = Millis{4'000};
        settings.quarantine.maxProbeDelay = Millis{16'000};
        settings.quarantine.probeTimeout = Millis{10'000};
        settings.quarantine.failureWindow = Millis{60'000};
        settings.endedJobRetention = Millis{3'600'000};
        settings.durations.minWeight = 5; // Owners are replaced too often to learn more.
        settings.stragglers.shareOfRuns = 1;
        return settings;
    }

    void addWorker(const std::string &id)
    {
        SimulatedWorker worker;
        const std::string number = std::to_string(m_workers.size());
        worker.info.incarnation = {id, wallOffset};
        worker.info.service = "matching";
        worker.info.address = "10.0.0." + number + ":1";
        worker.info.rack = "r" + std::to_string(m_workers.size() % 2);
        worker.info.labels = {"a", worker.info.rack};
        worker.info.capacity = {16'000, 32'000, 0};
        worker.entry = worker.info;
        m_workers.push_back(worker);
    }

    std::vector<WorkerInfo> listedWorkers() const
    {
        std::vector<WorkerInfo> all;
        for (const SimulatedWorker &it : m_workers) {
            if (it.entry)
                all.push_back(*it.entry);
        }
        return all;
    }

    std::int64_t trueWallMs() const { return m_now.count() + wallOffset; }

    // Returns true if and only if every accepted job has ended or has all its long-running tasks
    // running.
    bool allJobsSettled() const
    {
        return std::all_of(m_accepted.begin(), m_accepted.end(), [this](const std::string &id) {
            const Job *job = m_owner->jobTable().find(id);
            if (!job || isFinal(job->state))
                return true;
            const StepSpec &first = job->spec.steps.front();
            return first.longRunning && countLiveTasks(id) == first.taskCount;
        });
    }

    int countLiveTasks(const std::string &job) const
    {
        int n = 0;
        for (const SimulatedWorker &worker : m_workers) {
            for (const auto &it : worker.runs)
                n += it.task.job == job ? 1 : 0;
        }
        return n;
    }

    // Adds an event to the history. Texts of faults begin with " * ", for historyOf().
    void logEvent(const std::string &text)
    {
        m_history.push_back(std::to_string(m_now.count()) + " " + text);
    }

    // Returns true in one of `oneIn` calls on average while faults are injected, otherwise false.
    bool faultOccurs(int oneIn) { return m_faults && randomBelow(oneIn) == 0; }

    // Advances the time by one step and lets everything act that is due.
    void advanceOnce()
    {
        const Millis passed{5 + randomBelow(60)};
        m_now = m_now + passed;
        injectFaults();
        refreshList();
        runDueCalls();
        const std::set<RunKey> completeGangs = findCompleteGangs();
        for (SimulatedWorker &it : m_workers)
            advanceWorker(it, passed, completeGangs);
        commitWhenDue();
        m_owner->settleLostLives(listedWorkers(), now());
        m_owner->tick(now());
        processOwnerOutput();
        checkCompletedJobs();
        if (m_calmSince)
            checkProgress();
    }

    // Takes the owner's records and sends its orders. Repeats this, since sending orders may
    // produce records.
    void processOwnerOutput()
    {
        constexpr int rounds = 3;
        for (int round = 0; round < rounds; ++round) {
            for (std::string &it : m_owner->takeRecords()) {
                m_pendingRecords.push_back(std::move(it));
                ++m_appended;
            }
            m_owner->recordsAppended(m_appended);
            for (PendingSubmission &it : m_pendingSubmissions)
                it.lsn = it.lsn == 0 ? m_appended : it.lsn;
            m_owner->recordsDurable(m_durable);
            for (const WorkerCommand &it : m_owner->takeOrders(now()))
                send(it);
        }
        for (const SchedulerEvent &it : m_owner->takeNotes())
            logEvent("owner: " + toString(it.task) + " run " + std::to_string(it.run) + " "
                     + std::string(toString(it.kind)) + " " + std::string(it.reason) + " on "
                     + it.worker);
    }

    // Commits of the journal (shardsimulationcommits.h).
    void commitWhenDue();
    void raiseLeaseLimit();
    void limitLeasesByRow();

    // Calls `action` after `delay`.
    void schedule(Millis delay, bool toOwner, std::function<void()> action)
    {
        m_scheduledCalls.push_back({m_now + delay, toOwner, std::move(action)});
    }

    // Makes the scheduled calls whose time has come, which may schedule others.
    void runDueCalls()
    {
        for (auto it = m_scheduledCalls.begin(); it != m_scheduledCalls.end();) {
            if (it->at > m_now) {
                ++it;
                continue;
            }
            const auto action = std::move(it->action);
            m_scheduledCalls.erase(it);
            action();
            it = m_scheduledCalls.begin();
        }
    }

    // Faults and the platform's list of workers (shardsimulationfaults.h).
    void injectFaults();
    void injectWorkerFault(SimulatedWorker &worker);
    void crash(SimulatedWorker &worker);
    void crashSoon(const std::string &address);
    void changeCapacity(SimulatedWorker &worker);
    void restart(SimulatedWorker &worker, bool sameId);
    void restartAtOnce(SimulatedWorker &worker);
    void repair(SimulatedWorker &worker);
    void refreshList();
    SimulatedWorker &randomWorker();

    // Calls between the owner and the workers (shardsimulationcalls.h).
    SimulatedWorker *findWorkerAt(const std::string &address);
    void send(const WorkerCommand &order);
    template<typename OrderType>
    void transmit(const OrderType &order);
    template<typename OrderType>
    void loseCall(const OrderType &order, SimulatedWorker &target);
    template<typename OrderType>
    void receive(const OrderType &order, SimulatedWorker &worker, std::uint64_t epoch);
    void receive(const RenewLeaseCommand &order, SimulatedWorker &worker, std::uint64_t epoch);
    void answerHeldRenewals(SimulatedWorker &worker);
    void scheduleReply(Millis delay, std::uint64_t epoch, std::function<void()> action);
    void deliver(const RenewLeaseCommand &order, const RenewLeaseReply &reply);
    void deliver(const StartRunCommand &order, const CommandReply &reply);
    void deliver(const StopRunCommand &order, const CommandReply &reply);
    void deliver(const ThrottleRunCommand &order, const CommandReply &reply);
    static Millis timeoutOf(const WorkerCommand &order);

    // The workers' side of the simulation (shardsimulationworkers.h).
    std::optional<CommandReply> checkTarget(SimulatedWorker &worker,
                                            const CommandTarget &target) const;
    RenewLeaseReply execute(const RenewLeaseCommand &order, SimulatedWorker &worker);
    CommandReply execute(const StartRunCommand &order, SimulatedWorker &worker);
    CommandReply execute(const StopRunCommand &order, SimulatedWorker &worker);
    CommandReply execute(const ThrottleRunCommand &order, SimulatedWorker &worker);
    RenewLeaseReply reportOf(const SimulatedWorker &worker) const;
    std::optional<int> measurementOf(const SimulatedWorker &worker,
                                     const SimulatedWorker::SimulatedRun &run) const;
    void recordAcknowledgedEnd(const RunEndReport &end);
    void startRun(SimulatedWorker &worker, const StartRunCommand &order);
    void checkStart(const StartRunCommand &order);
    bool refuses(const SimulatedWorker &worker) const
    {
        return worker.up && worker.partitioned && m_cutsRefuse;
    }
    bool crashesWorkers(const TaskRef &task) const
    {
        return task.index == 0 && m_crashingJobs.contains(task.job);
    }
    void checkCrashBudget(const TaskRef &task);
    std::int64_t wallSkewUpTo(Fence fence) const;
    void checkLimits(const SimulatedWorker &worker, const StartRunCommand &order) const;
    SimulatedWorker::SimulatedRun makeSimulatedRun(const StartRunCommand &order);
    static std::int64_t dueWallMs(const JobSpec &job, int occurrence);
    std::set<RunKey> findCompleteGangs() const;
    std::optional<RunOutcome> advanceRun(SimulatedWorker::SimulatedRun &run, Millis passed,
                                         const std::set<RunKey> &completeGangs);
    void advanceWorker(SimulatedWorker &worker, Millis passed,
                       const std::set<RunKey> &completeGangs);
    void endRun(SimulatedWorker &worker, const SimulatedWorker::SimulatedRun &run,
                RunOutcome outcome);

    // The check that jobs make progress (shardsimulationprogress.h).
    Millis calmBound() const;
    bool isUsable(const SimulatedWorker &worker, const StepSpec &spec) const;
    int freeSlots(const SimulatedWorker &worker, const StepRef &step) const;
    bool hasRoomTwice(const StepRef &step) const;
    bool isStepsTurn(const JobSpec &job, int occurrence, int step) const;
    void checkProgress();
    void checkOccurrence(const JobSpec &job, int occurrence);
    void checkIdleTime(const std::string &name, bool idle);

    // Checks that no job is reported as completed before all of its tasks are done.
    void checkCompletedJobs() const
    {
        for (const auto &[id, spec] : m_specs) {
            const auto state = m_owner->durableState(id);
            if (state != JobState::Completed)
                continue;
            for (int s = 0; s < static_cast<int>(spec.steps.size()); ++s) {
                for (int i = 0; i < spec.steps[s].taskCount; ++i)
                    require(m_completedTasks.contains({id, 0, s, i}),
                            id + " is reported as completed before its tasks are done");
            }
        }
    }

    std::mt19937 m_random;
    Millis m_maxLeaseTerm;
    std::vector<std::string> m_history;
    Millis m_leaseLimitAhead; // 0 if the row promises nothing.
    Instant m_leaseLimit; // That the row tells.
    bool m_faults = false;
    Instant m_now{1'000'000};
    std::int64_t m_wallSkewMs = 0; // Of the owner's time of day.
    std::map<std::uint64_t, std::int64_t> m_wallSkews; // Of all owners, by epoch.
    std::set<std::string> m_crashingJobs;
    bool m_changesCapacities = false;
    bool m_cutsRefuse = false; // Hosts that can't be reached refuse connections.
    bool m_lateOrdersReachNextLives = false;
    bool m_restartsAtOnce = false;
    std::size_t m_maxListedEnds = 500;
    std::vector<SimulatedWorker> m_workers;
    int m_livesByNewId = 0; // Workers that have started again under a new id.
    StoreClock m_storeClock; // It shows the virtual time.
    std::unique_ptr<Coordinator> m_owner;
    std::uint64_t m_epoch = 0;
    int m_takeoverCount = -1; // The takeover by the first owner is not counted.
    int m_startCount = 0;

    std::vector<std::string> m_journal; // Durable records.
    std::vector<std::string> m_pendingRecords;
    LogSequenceNumber m_appended = 0;
    LogSequenceNumber m_durable = 0;
    Instant m_commitAt;
    std::deque<PendingSubmission> m_pendingSubmissions;
    std::list<ScheduledCall> m_scheduledCalls;

    std::map<std::string, JobSpec> m_specs;
    std::set<std::string> m_accepted;
    std::set<std::string> m_cancelled;
    std::set<std::string> m_startedJobs; // Of which a worker has started a task.
    std::map<TaskRef, TaskGroundTruth> m_groundTruth;
    std::set<TaskRef> m_completedTasks;
    std::set<RunKey> m_brokenGangs; // By run number; the task has the index 0.
    std::optional<Instant> m_calmSince; // Set while progress is checked.
    std::map<std::string, Instant> m_idleSince; // Jobs and tasks that could run and do not.
};

} // namespace savorywick::steps::testing

#include "shardsimulationcalls.h"
#include "shardsimulationcommits.h"
#include "shardsimulationfaults.h"
#include "shardsimulationprogress.h"
#include "shardsimulationworkers.h"
