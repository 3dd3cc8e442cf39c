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
// The workers follow the worker protocol and check the promises from their side: a violation
// throws. A seed determines all random choices.
//
// Example:
//   ShardSimulation simulation(seed);
//   simulation.submit(spec);
//   simulation.advance(60, true);
//   simulation.finishAndVerify();
class ShardSimulation
{
public:
    explicit ShardSimulation(unsigned seed, int workers = 4)
        : m_random(seed)
    {
        for (int i = 0; i < workers; ++i)
            addWorker("w" + std::to_string(i));
        replaceOwner();
    }

    // Advances the simulation by some steps of 5 to 64 ms, with or without injected faults.
    void advance(int steps, bool faults)
    {
        m_faults = faults;
        for (int i = 0; i < steps; ++i)
            advanceOnce();
    }

    // Returns the events of the job, and the faults, one a line and the earliest first.
    std::string historyOf(const std::string &job) const
    {
        std::string history;
        for (const std::string &it : m_history) {
            if (it.find(job + ".") != std::string::npos || it.find(" * ") != std::string::npos)
                history += it + "\n";
        }
        return history;
    }

    // Repairs all workers, lets the jobs finish without faults, and checks that no accepted job is
    // lost, that every job has ended, and that long-running jobs have all of their tasks running.
    void finishAndVerify()
    {
        for (SimulatedWorker &it : m_workers) {
            it.partitioned = false;
            if (!it.up)
                restart(it);
        }
        for (int round = 0; round < 40 && !allJobsSettled(); ++round)
            advance(200, false);
        for (const std::string &id : m_accepted) {
            const Job *job = m_owner->jobTable().find(id);
            require(job != nullptr, "acknowledged job " + id + " is lost");
            const bool longRunning = job->spec.steps.front().longRunning;
            if (longRunning && !isFinal(job->state))
                require(countLiveTasks(id) == job->spec.steps.front().taskCount,
                        id + " has not all of its tasks running");
            else
                require(isFinal(job->state),
                        "job " + id + " is still " + std::string(toString(job->state)));
        }
    }

    // Submits a job to the owner. It counts as accepted once its record is durable.
    void submit(const JobSpec &spec)
    {
        m_owner->submit(spec, now());
        m_specs.try_emplace(spec.id, spec);
        m_pendingSubmissions.push_back({0, spec.id});
        processOwnerOutput();
    }

    void cancel(const std::string &id)
    {
        if (m_owner->cancel(id, now()))
            m_cancelled.insert(id);
        processOwnerOutput();
    }

    // Returns the virtual time.
    ClockReading now() const { return {m_now, m_now.count() + wallOffset}; }
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
    void replaceOwner()
    {
        ++m_takeoverCount;
        logEvent(" * the owner is replaced");
        m_pendingRecords.clear();
        m_pendingSubmissions.clear();
        m_commitAt = {};
        m_durable = m_appended = static_cast<LogSequenceNumber>(m_journal.size());
        CoordinatorSettings settings;
        settings.quarantine.initialProbeDelay = Millis{2'000};
        settings.endedJobRetention = Millis{3'600'000};
        m_owner = std::make_unique<Coordinator>(++m_epoch, m_now, settings);
        for (const std::string &it : m_journal)
            m_owner->restore(decodeRecord(it));
        m_owner->takeOver(now());
        m_owner->setWorkers(listedWorkers(), now());
        m_scheduledCalls.remove_if([](const ScheduledCall &it) { return it.toOwner; });
        processOwnerOutput();
    }

private:
    static constexpr std::int64_t wallOffset = 1'700'000'000'000; // From m_now to the time of day.
    static constexpr Millis replyTimeout{300};

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

    void addWorker(const std::string &id)
    {
        SimulatedWorker worker;
        worker.info.incarnation = {id, wallOffset};
        worker.info.service = "matching";
        worker.info.address = "10.0.0.1:1";
        worker.info.rack = "r" + std::to_string(m_workers.size() % 2);
        worker.info.labels = {"a", worker.info.rack};
        worker.info.capacity = {16'000, 32'000, 0};
        m_workers.push_back(worker);
    }

    std::vector<WorkerInfo> listedWorkers() const
    {
        std::vector<WorkerInfo> all;
        for (const SimulatedWorker &it : m_workers) {
            if (it.up)
                all.push_back(it.info);
        }
        return all;
    }

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
        m_now = m_now + Millis{5 + randomBelow(60)};
        injectFaults();
        runDueCalls();
        for (SimulatedWorker &it : m_workers)
            advanceWorker(it);
        commitWhenDue();
        m_owner->tick(now());
        processOwnerOutput();
        checkCompletedJobs();
    }

    void injectFaults()
    {
        if (faultOccurs(150))
            replaceOwner();
        if (faultOccurs(120)) {
            SimulatedWorker &it = m_workers[randomBelow(static_cast<int>(m_workers.size()))];
            it.partitioned = !it.partitioned;
            logEvent(" * " + it.info.incarnation.workerId
                     + (it.partitioned ? " is unreachable" : " is reachable again"));
        }
        if (faultOccurs(150)) {
            SimulatedWorker &it = m_workers[randomBelow(static_cast<int>(m_workers.size()))];
            if (it.up)
                crash(it);
            else
                restart(it);
            m_owner->setWorkers(listedWorkers(), now());
        }
        if (m_faults && randomBelow(40) == 0)
            m_owner->setWorkers(listedWorkers(), now());
    }

    void crash(SimulatedWorker &worker)
    {
        worker.up = false;
        logEvent(" * " + worker.info.incarnation.workerId + " crashes");
        for (const auto &it : worker.runs)
            --m_groundTruth[it.task].liveRuns;
        worker.runs.clear();
    }

    void restart(SimulatedWorker &worker)
    {
        worker.up = true;
        logEvent(" * " + worker.info.incarnation.workerId + " restarts");
        worker.startedAt = m_now;
        worker.info.incarnation.startedWallMs = now().wallMs;
        worker.fence = 0;
        worker.leaseExpiryMs = 0;
        worker.unacknowledgedEnds.clear();
        worker.lastEndNumber = 0;
        worker.lapsedEndNumber = 0;
        worker.highestEndedRun.clear();
        m_owner->setWorkers(listedWorkers(), now());
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

    // Makes the pending records durable some time after the first of them, at times much later.
    void commitWhenDue()
    {
        if (m_pendingRecords.empty())
            return;
        if (m_commitAt == Instant{})
            m_commitAt = m_now + Millis{faultOccurs(20) ? randomBelow(4'000) : 8};
        if (m_now < m_commitAt)
            return;
        m_commitAt = {};
        for (std::string &it : m_pendingRecords)
            m_journal.push_back(std::move(it));
        m_pendingRecords.clear();
        m_durable = m_appended;
        while (!m_pendingSubmissions.empty() && m_pendingSubmissions.front().lsn != 0
               && m_pendingSubmissions.front().lsn <= m_durable) {
            m_accepted.insert(m_pendingSubmissions.front().job);
            m_pendingSubmissions.pop_front();
        }
    }

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

    SimulatedWorker &findWorker(const std::string &id)
    {
        for (SimulatedWorker &it : m_workers) {
            if (it.info.incarnation.workerId == id)
                return it;
        }
        throw std::runtime_error("order for unknown worker " + id);
    }

    // Delivers an order to its worker and the reply to the owner. Some orders get no reply; of
    // these some are executed late and the others never.
    void send(const WorkerCommand &order)
    {
        std::visit([this](const auto &it) { transmit(it); }, order);
    }

    template<typename OrderType>
    void transmit(const OrderType &order)
    {
        const SimulatedWorker &target = findWorker(order.target.worker.workerId);
        const bool lost = !target.up || target.partitioned || faultOccurs(12);
        const bool executedLate = lost && faultOccurs(3);
        const Millis latency{2 + randomBelow(10)};
        const Millis lateness{randomBelow(12'000)};
        if (lost) {
            if (executedLate)
                schedule(lateness, false, [this, order] { execute(order); });
            scheduleReply(replyTimeout, m_epoch, [this, order] { deliverNoReply(order); });
            return;
        }
        schedule(latency, false, [this, order, epoch = m_epoch] {
            const SimulatedWorker &worker = findWorker(order.target.worker.workerId);
            if (!worker.up || worker.partitioned) {
                scheduleReply(replyTimeout, epoch, [this, order] { deliverNoReply(order); });
                return;
            }
            const auto reply = execute(order);
            scheduleReply(Millis{2 + randomBelow(10)}, epoch,
                          [this, order, reply] { deliverReply(order, reply); });
        });
    }

    // Replies to the owner of `epoch` after `delay`, unless it has been replaced: its connections
    // are gone.
    void scheduleReply(Millis delay, std::uint64_t epoch, std::function<void()> action)
    {
        if (epoch == m_epoch)
            schedule(delay, true, std::move(action));
    }

    void deliverNoReply(const RenewLeaseCommand &o) { m_owner->handleRenewReply(o, {}, now()); }
    void deliverNoReply(const StartRunCommand &o) { m_owner->handleStartReply(o, {}, now()); }
    void deliverNoReply(const StopRunCommand &o) { m_owner->handleStopReply(o, {}, now()); }
    void deliverNoReply(const ThrottleRunCommand &) { }
    void deliverReply(const RenewLeaseCommand &o, const RenewLeaseReply &r)
    {
        m_owner->handleRenewReply(o, r, now());
    }
    void deliverReply(const StartRunCommand &o, const CommandReply &r)
    {
        m_owner->handleStartReply(o, r, now());
    }
    void deliverReply(const StopRunCommand &o, const CommandReply &r)
    {
        m_owner->handleStopReply(o, r, now());
    }
    void deliverReply(const ThrottleRunCommand &, const CommandReply &) { }

    // The workers' side of the simulation (shardsimulationworkers.h).
    static bool acceptFence(SimulatedWorker &worker, const CommandTarget &target);
    RenewLeaseReply execute(const RenewLeaseCommand &order);
    CommandReply execute(const StartRunCommand &order);
    CommandReply execute(const StopRunCommand &order);
    CommandReply execute(const ThrottleRunCommand &order);
    void recordAcknowledgedEnd(const RunEndReport &end);
    void startRun(SimulatedWorker &worker, const StartRunCommand &order);
    Millis longRunningDuration();
    static std::int64_t dueWallMs(const JobSpec &job, int occurrence);
    void advanceWorker(SimulatedWorker &worker);

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
    std::vector<std::string> m_history;
    bool m_faults = false;
    Instant m_now{1'000'000};
    std::vector<SimulatedWorker> m_workers;
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
};

} // namespace savorywick::steps::testing

#include "shardsimulationworkers.h"
