#pragma once

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorywick::steps::testing {

// Runs a Coordinator in virtual time against workers whose behaviour the test sets, and with a
// journal that commits at once. Use it to check which orders the Coordinator sends in a given
// situation.
class CoordinatorHarness
{
public:
    explicit CoordinatorHarness(int workers, const CoordinatorSettings &settings = {})
        : m_settings(settings)
        , m_coordinator(std::make_unique<Coordinator>(m_epoch, m_now, settings))
    {
        for (int i = 0; i < workers; ++i) {
            WorkerInfo info;
            info.incarnation = {"w" + std::to_string(i), 1};
            info.service = "matching";
            info.address = "10.0.0." + std::to_string(i) + ":1";
            info.capacity = {16'000, 32'000, 0};
            m_workers.push_back(info);
            m_startedWallMs[info.incarnation.workerId] = info.incarnation.startedWallMs;
        }
        takeOver();
    }

    Coordinator &coordinator() { return *m_coordinator; }
    ClockReading now() const { return {m_now, m_now.count()}; }
    const std::vector<WorkerInfo> &workers() const { return m_workers; }
    // Returns the log sequence number up to which all records are durable.
    LogSequenceNumber durableLsn() const { return m_lsn; }
    // Returns the log sequence number of the latest record.
    LogSequenceNumber appendedLsn() const { return m_journal.size(); }

    void submit(const std::string &id, const StepSpec &stepSpec)
    {
        submitFor("matching", id, stepSpec);
        step();
    }

    // Submits a job for the workers of a service. It is placed at the next step().
    void submitFor(const std::string &service, const std::string &id, const StepSpec &stepSpec)
    {
        JobSpec spec;
        spec.id = id;
        spec.policy = {"q", service, 0, 2, 2.0, Millis{500}};
        spec.steps = {stepSpec};
        m_coordinator->submit(spec, now());
    }

    // Replaces the owner by one that restores what of the journal is durable.
    void replaceOwner()
    {
        m_journal.resize(m_lsn);
        m_coordinator = std::make_unique<Coordinator>(++m_epoch, m_now, m_settings);
        for (const std::string &it : m_journal)
            m_coordinator->restore(decodeRecord(it));
        if (earlierLeasesEnd)
            m_coordinator->setEarlierLeasesEnd(earlierLeasesEnd->count(), *earlierLeasesEnd);
        takeOver();
    }

    // Replaces the owner by one that restores a snapshot of its state.
    void replaceOwnerFromSnapshot()
    {
        m_journal = m_coordinator->snapshot();
        m_lsn = m_journal.size();
        replaceOwner();
    }

    // Changes the worker's capacity, as its entry in the list shows.
    void setCapacity(int worker, const ResourceVector &capacity)
    {
        m_workers[worker].capacity = capacity;
        m_coordinator->setWorkers(m_workers, now());
    }

    void setLabels(int worker, const std::vector<std::string> &labels)
    {
        m_workers[worker].labels = labels;
        m_coordinator->setWorkers(m_workers, now());
    }

    void setRack(int worker, const std::string &rack)
    {
        m_workers[worker].rack = rack;
        m_coordinator->setWorkers(m_workers, now());
    }

    // Lists only these workers from now on.
    void listWorkers(const std::set<int> &indexes)
    {
        std::vector<WorkerInfo> listed;
        listed.reserve(indexes.size());
        for (const int it : indexes)
            listed.push_back(m_workers[it]);
        m_coordinator->setWorkers(listed, now());
    }

    // Starts a new life of the worker, without runs. The list still shows the one before.
    void restartUnlisted(int worker)
    {
        const std::string &id = m_workers[worker].incarnation.workerId;
        ++m_startedWallMs[id];
        m_fences[id] = 0;
        std::erase_if(starts, [&](const auto &it) { return it.target.worker.workerId == id; });
    }

    // Returns the highest fence that this life of the worker has seen.
    Fence highestFence(const std::string &worker) const { return m_fences.at(worker); }

    void setZone(int worker, const std::string &zone)
    {
        m_workers[worker].availabilityZone = zone;
        m_coordinator->setWorkers(m_workers, now());
    }

    void setDraining(int worker)
    {
        m_workers[worker].draining = true;
        m_coordinator->setWorkers(m_workers, now());
    }

    // Ends the worker's process. Its host refuses connections until the worker is back after `down`
    // under a new id, at the address that it had.
    void crash(const std::string &worker, Millis down)
    {
        m_backAt.emplace(worker, m_now + down);
        crashes.push_back(worker);
    }

    // Cuts the worker off: its host refuses connections from now on, and the worker runs on.
    void cutOff(const std::string &worker) { m_refusingWorkers.insert(worker); }

    // Ends the cut. What the worker ran meanwhile has ended with its lease.
    void reconnect(const std::string &worker)
    {
        m_refusingWorkers.erase(worker);
        for (const StartRunCommand &it : starts) {
            const RunKey key{it.task, it.run};
            if (it.target.worker.workerId == worker && !m_endedRuns.contains(key))
                reportEnd(worker, key, RunOutcome::LeaseExpired);
        }
    }

    // Crashes all workers that run.
    void crashAll()
    {
        for (const WorkerInfo &it : m_workers) {
            if (!m_backAt.contains(it.incarnation.workerId))
                crash(it.incarnation.workerId, crashDowntime);
        }
    }

    // Returns how often the task was started.
    int startCount(const TaskRef &ref) const
    {
        return static_cast<int>(std::count_if(starts.begin(), starts.end(),
                                              [&](const auto &it) { return it.task == ref; }));
    }

    // Advances the time in small steps. Every renewal is answered with the runs that were started.
    void advance(Millis span)
    {
        for (Millis t{0}; t < span; t = t + Millis{20}) {
            m_now = m_now + Millis{20};
            step();
        }
    }

    // Lets the coordinator decide, commits its records, and answers its orders. Orders are
    // recorded; stop orders are answered with `stopOutcome`.
    void step()
    {
        restartCrashedWorkers();
        m_coordinator->settleLostLives(m_workers, now());
        m_coordinator->tick(now());
        for (int round = 0; round < 3; ++round) {
            for (std::string &it : m_coordinator->takeRecords())
                m_journal.push_back(std::move(it));
            m_coordinator->recordsAppended(m_journal.size());
            m_lsn = commits ? m_journal.size() : m_lsn;
            m_coordinator->recordsDurable(m_lsn);
            for (const WorkerCommand &it : m_coordinator->takeOrders(now()))
                std::visit([this](const auto &order) { respond(order); }, it);
        }
    }

    // Returns the workers that tasks of the job were started on, in order.
    std::vector<std::string> workersStartedOn(const std::string &job) const
    {
        std::vector<std::string> all;
        for (const StartRunCommand &it : starts) {
            if (it.task.job == job)
                all.push_back(it.target.worker.workerId);
        }
        return all;
    }

    // Makes the worker report that the run of this start order has failed.
    void reportFailure(const StartRunCommand &order)
    {
        reportEnd(order.target.worker.workerId, {order.task, order.run}, RunOutcome::Failed);
    }

    // Makes the worker report that the run has ended.
    void reportEnd(const std::string &worker, const RunKey &run, RunOutcome how)
    {
        std::vector<RunEndReport> &ended = m_endReports[worker];
        const auto number = static_cast<std::int64_t>(ended.size()) + 1;
        ended.push_back({number, run.task, run.number, how, ""});
        m_endedRuns.insert(run);
    }

    // By when the next owner takes the leases of those before it for over, if it knows.
    std::optional<Instant> earlierLeasesEnd;
    bool commits = true; // Whether records become durable.
    std::size_t maxListedEnds = 500; // That a worker tells of at a time.
    // Runs that workers have though no owner knows of them, by worker.
    std::map<std::string, std::vector<RunningReport>> strays;
    std::vector<StartRunCommand> starts;
    std::set<std::string> crashingJobs; // Their first task crashes each worker that starts it.
    Millis crashDowntime{3'000};
    bool keepsIdOnRestart = false; // Crashed workers are back under the ids that they had.
    std::vector<std::string> crashes; // The workers that have crashed, the earliest first.
    std::vector<StopRunCommand> stops;
    std::vector<ThrottleRunCommand> throttles;
    CommandOutcome stopOutcome = CommandOutcome::Done;
    bool stopsEndRuns = false; // Runs end when they are ordered to stop.
    std::optional<std::int64_t> stopClockMs; // The clock in the answers to stop orders.
    int progressPercent = 100; // That runs report.
    std::string savedCheckpoint; // That runs report.
    int tailLatencyMs = 10; // That long-running runs report.
    std::map<std::string, int> tailLatencies; // That they report on these workers instead.
    std::set<std::string> failingWorkers; // They fail every run that is started from now on.
    // How these workers answer start orders. Unless it is Done, they don't start the run.
    std::map<std::string, CommandOutcome> startOutcomes;
    std::optional<std::int64_t> startClockMs; // The clock in those answers.
    std::vector<StartRunCommand> refusedStarts;
    std::set<std::string> idleWorkers; // They leave start orders without a reply.
    std::vector<RenewLeaseCommand> renewals; // That were sent.
    std::set<std::string> silentWorkers; // They answer no renewals.
    int fencedRenewals = 0; // That a worker refused, since it had seen a higher fence.

private:
    // Lets the coordinator act on the restored state. The store's clock shows the virtual time.
    void takeOver()
    {
        m_storeClock.observe(m_now, m_now, m_now.count());
        m_coordinator->setStoreClock(&m_storeClock);
        m_coordinator->takeOver(now());
        m_coordinator->setWorkers(m_workers, now());
        step();
    }

    static constexpr int milliCoresInUse = 4'000; // That other runs use at full speed.

    // Lists each worker whose time has come, under a new id or the one that it had.
    void restartCrashedWorkers()
    {
        bool changed = false;
        for (WorkerInfo &it : m_workers) {
            const auto back = m_backAt.find(it.incarnation.workerId);
            if (back == m_backAt.end() || m_now < back->second)
                continue;
            if (keepsIdOnRestart)
                m_backAt.erase(back);
            else
                it.incarnation.workerId += "'";
            it.incarnation.startedWallMs = m_now.count();
            m_startedWallMs[it.incarnation.workerId] = m_now.count();
            m_fences[it.incarnation.workerId] = 0;
            changed = true;
        }
        if (changed)
            m_coordinator->setWorkers(m_workers, now());
    }

    // Returns how a call to a worker that has crashed or is cut off fails, or nothing if it has
    // not.
    std::optional<CommandReply> unreachableReply(const CommandTarget &target) const
    {
        if (m_refusingWorkers.contains(target.worker.workerId))
            return CommandReply{CommandOutcome::NotSent, {}, true};
        const auto back = m_backAt.find(target.worker.workerId);
        if (back == m_backAt.end())
            return {};
        if (target.address.empty())
            return CommandReply{CommandOutcome::NotSent, {}, false};
        return m_now < back->second ? CommandReply{CommandOutcome::NotSent, {}, true}
                                    : CommandReply{CommandOutcome::WrongIncarnation, {}, false};
    }

    void respond(const RenewLeaseCommand &order)
    {
        renewals.push_back(order);
        if (const auto failure = unreachableReply(order.target))
            return m_coordinator->handleRenewReply(
                order, {failure->outcome, {}, failure->connectionClosed}, now());
        if (silentWorkers.contains(order.target.worker.workerId))
            return m_coordinator->handleRenewReply(order, {}, now());
        Fence &highest = m_fences[order.target.worker.workerId];
        if (order.target.fence < highest)
            return refuseRenewal(order);
        highest = order.target.fence;
        RenewLeaseReply reply{CommandOutcome::Done, {}};
        reply.report.clockMs = m_now.count();
        reply.report.startedWallMs = m_startedWallMs[order.target.worker.workerId];
        listEnds(order, reply.report);
        reply.report.running = strays[order.target.worker.workerId];
        for (const StartRunCommand &it : starts) {
            if (it.target.worker != order.target.worker || m_endedRuns.contains({it.task, it.run}))
                continue;
            const Run *run = m_coordinator->runs().find({it.task, it.run});
            const int measurement = run && run->longRunning
                ? tailLatencyOn(order.target.worker.workerId)
                : milliCoresUsedBy({it.task, it.run});
            reply.report.running.push_back(
                {it.task, it.run, savedCheckpoint, progressPercent, measurement});
        }
        m_coordinator->handleRenewReply(order, reply, now());
    }
    // Lists the ends that are not acknowledged, up to the limit.
    void listEnds(const RenewLeaseCommand &order, WorkerReport &report)
    {
        const std::string &id = order.target.worker.workerId;
        std::int64_t &acked = m_ackedEnds[id];
        acked = std::max(acked, order.ackedEndNumber);
        for (const RunEndReport &it : m_endReports[id]) {
            if (it.endNumber > acked && report.ended.size() < maxListedEnds)
                report.ended.push_back(it);
        }
        report.isPartial = report.ended.size() == maxListedEnds;
    }
    void refuseRenewal(const RenewLeaseCommand &order)
    {
        ++fencedRenewals;
        m_coordinator->handleRenewReply(order, {CommandOutcome::Fenced, {}}, now());
    }
    void respond(const StartRunCommand &order)
    {
        if (const auto failure = unreachableReply(order.target))
            return m_coordinator->handleStartReply(order, *failure, now());
        if (idleWorkers.contains(order.target.worker.workerId))
            return;
        const auto outcome = startOutcomes.find(order.target.worker.workerId);
        if (outcome != startOutcomes.end() && outcome->second != CommandOutcome::Done) {
            refusedStarts.push_back(order);
            return m_coordinator->handleStartReply(order, {outcome->second, startClockMs}, now());
        }
        starts.push_back(order);
        if (failingWorkers.contains(order.target.worker.workerId))
            reportFailure(order);
        m_coordinator->handleStartReply(order, {CommandOutcome::Done, m_now.count()}, now());
        if (order.task.index == 0 && crashingJobs.contains(order.task.job))
            crash(order.target.worker.workerId, crashDowntime);
    }
    void respond(const StopRunCommand &order)
    {
        if (const auto failure = unreachableReply(order.target))
            return m_coordinator->handleStopReply(order, *failure, now());
        stops.push_back(order);
        if (stopsEndRuns)
            reportEnd(order.target.worker.workerId, {order.task, order.run}, RunOutcome::Stopped);
        m_coordinator->handleStopReply(order, {stopOutcome, stopClockMs}, now());
    }
    void respond(const ThrottleRunCommand &order) { throttles.push_back(order); }

    int tailLatencyOn(const std::string &worker) const
    {
        const auto it = tailLatencies.find(worker);
        return it == tailLatencies.end() ? tailLatencyMs : it->second;
    }

    // Returns what the run uses at the speed that was ordered last.
    int milliCoresUsedBy(const RunKey &key) const
    {
        const auto last =
            std::find_if(throttles.rbegin(), throttles.rend(), [&](const ThrottleRunCommand &it) {
                return RunKey{it.task, it.run} == key;
            });
        return last == throttles.rend() ? milliCoresInUse
                                        : milliCoresInUse * last->speedPercent / 100;
    }

    Instant m_now{1'000'000};
    std::vector<WorkerInfo> m_workers;
    CoordinatorSettings m_settings;
    std::uint64_t m_epoch = 1;
    StoreClock m_storeClock;
    std::unique_ptr<Coordinator> m_coordinator;
    std::vector<std::string> m_journal;
    LogSequenceNumber m_lsn = 0;
    std::map<std::string, std::vector<RunEndReport>> m_endReports;
    std::map<std::string, std::int64_t> m_ackedEnds; // The highest acknowledged, by worker.
    std::set<RunKey> m_endedRuns;
    std::set<std::string> m_refusingWorkers; // They are cut off.
    std::map<std::string, Instant> m_backAt; // When crashed workers are back under new ids.
    std::map<std::string, Fence> m_fences; // The highest that each worker has seen.
    std::map<std::string, std::int64_t> m_startedWallMs; // When each worker's life began.
};

inline StepSpec task(int milliCores)
{
    StepSpec s;
    s.demand = {milliCores, 1'000, 0};
    s.estimatedDuration = Millis{60'000};
    return s;
}

// Returns a step of several such tasks.
inline StepSpec tasks(int count, int milliCores)
{
    StepSpec spec = task(milliCores);
    spec.taskCount = count;
    return spec;
}

inline StepSpec longRunningTask()
{
    StepSpec s = task(4'000);
    s.longRunning = true;
    s.latencyTarget = Millis{50};
    s.image = "quotes";
    return s;
}

inline StepSpec bestEffortTask()
{
    StepSpec s = task(2'000);
    s.bestEffort = true;
    s.image = "refresh";
    return s;
}

} // namespace savorywick::steps::testing
