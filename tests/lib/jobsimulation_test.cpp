#include "jobsimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace savorywick;

namespace {

using Records = JobScheduler::Records;

constexpr Millis stepDuration{250};
constexpr Millis callTimeout{2'000};
// Shorter than the term of a worker's lease.
constexpr int maxCallDelayMs = 12'000;

// Simulates three entries that compete for one shard, three workers and the network between them,
// in virtual time. Faults are drawn from the seed: pauses and crashes of entries; pauses,
// disconnections and restarts of workers; lost and late calls and replies; all faults of the table.
// A violated invariant throws std::logic_error.
class ClusterSimulation
{
public:
    explicit ClusterSimulation(unsigned seed)
        : m_random(seed)
    {
        for (int n = 0; n < 3; ++n)
            m_entries.push_back(newEntry());
        for (int n = 0; n < 3; ++n)
            addWorker("w" + std::to_string(n));
    }

    void run(int steps, bool faults)
    {
        m_faults = faults;
        for (int n = 0; n < steps; ++n)
            step();
    }

    // Ends all faults, runs for 5 more minutes and checks that every accepted job has ended.
    void healAndFinish()
    {
        for (WorkerNode &it : m_nodes)
            it.unreachableUntil = it.pausedUntil = it.unlistedUntil = {};
        for (EntryProcess &it : m_entries)
            it.pausedUntil = {};
        run(1'200, false);
        JobScheduler *scheduler = nullptr;
        for (EntryProcess &it : m_entries) {
            if (it.owner->mayAct(m_now))
                scheduler = it.owner->scheduler();
        }
        ensure(scheduler != nullptr, "no entry owns the shard although all faults have ended");
        for (const std::string &id : m_facts.accepted) {
            const Job *job = scheduler->find(id);
            ensure(job != nullptr, "acknowledged job " + id + " is lost");
            ensure(isFinal(job->state), "job " + id + " is still " + describe(*job));
        }
    }

    std::size_t starts() const { return m_facts.starts.size(); }
    std::size_t takeovers() const { return m_takeovers; }
    std::size_t submitted() const { return m_facts.accepted.size(); }

private:
    // The latest checkpoint of a job whose record is known to be durable.
    struct DurableCheckpoint
    {
        int attempt = 0;
        std::string checkpoint;
    };
    struct TimedWatcher
    {
        Millis submittedAt;
        Millis after;
    };

    static std::int64_t progressOf(const std::string &checkpoint)
    {
        return checkpoint.empty() ? 0 : std::stoll(checkpoint);
    }

    static std::string describe(const Job &job)
    {
        return std::string(toString(job.state)) + " in attempt " + std::to_string(job.attempt)
            + " on " + job.worker;
    }

    int randomBelow(int n) { return std::uniform_int_distribution<int>(0, n - 1)(m_random); }
    bool oneIn(int n) { return m_faults && randomBelow(n) == 0; }
    // Returns a clock rate within 1.5 % of real time, which the lease margins are made to cover.
    double clockRate() { return 1.0 + (randomBelow(31) - 15) / 1'000.0; }

    EntryProcess newEntry()
    {
        // An entry expires earlier sessions with its own name, so each process gets another name.
        const std::string session = "entry" + std::to_string(++m_sessions) + ".1";
        return {std::make_unique<ShardOwner>(m_table, m_facts, m_objects, session, clockRate()),
                {},
                {}};
    }

    std::vector<HostInfo> listedWorkers() const
    {
        std::vector<HostInfo> all;
        for (const WorkerNode &it : m_nodes) {
            if (m_now >= it.unlistedUntil)
                all.push_back(it.worker->info());
        }
        return all;
    }

    void addWorker(const std::string &id)
    {
        HostInfo info;
        info.id = id;
        info.role = HostRole::Worker;
        info.cores = 8;
        info.memoryMb = 8'000;
        m_nodes.push_back({std::make_unique<FakeWorker>(info, clockRate()), {}, {}, {}, {}});
        m_nodes.back().worker->onStart = [this, id](const StartTask &call) {
            checkStart(call, id);
        };
    }

    void checkStart(const StartTask &call, const std::string &worker)
    {
        const std::string attempt = call.job + " attempt " + std::to_string(call.attempt);
        ensure(!m_facts.cancelled.contains(call.job), "cancelled " + attempt + " was started");
        ensure(m_facts.starts.emplace(attempt, worker).second, attempt + " was started twice");
        const auto durable = m_checkpoints.find(call.job);
        if (durable == m_checkpoints.end() || durable->second.attempt >= call.attempt)
            return;
        ensure(progressOf(call.checkpoint) >= progressOf(durable->second.checkpoint),
               attempt + " resumed from an earlier state than its durable checkpoint");
    }

    void step()
    {
        m_now = m_now + stepDuration;
        injectFaults();
        for (WorkerNode &it : m_nodes)
            resumeWorker(it);
        deliverDueMessages();
        checkInvariants();
        for (std::size_t n = 0; n < m_entries.size(); ++n)
            runEntry(n);
        deliverDueMessages();
        checkInvariants();
    }

    void injectFaults()
    {
        m_tableFault = m_now < m_tableFaultUntil ? m_tableFault : FakeTable::Fault::None;
        if (oneIn(60)) {
            m_tableFault = static_cast<FakeTable::Fault>(1 + randomBelow(4));
            m_tableFaultUntil =
                m_now + Millis{randomBelow(4) == 0 ? randomBelow(30'000) : randomBelow(1'000)};
        }
        if (oneIn(20))
            m_table.deliverDelayed();
        WorkerNode &node = m_nodes[static_cast<std::size_t>(randomBelow(3))];
        if (oneIn(120))
            node.unreachableUntil = m_now + Millis{randomBelow(60'000)};
        if (oneIn(120))
            node.pausedUntil = m_now + Millis{randomBelow(60'000)};
        if (oneIn(200))
            node.worker->restart();
        if (oneIn(120))
            node.unlistedUntil = m_now + Millis{randomBelow(60'000)};
        node.worker->setFailAll(oneIn(3));
        EntryProcess &entry = m_entries[static_cast<std::size_t>(randomBelow(3))];
        if (oneIn(80))
            entry.pausedUntil = m_now + Millis{randomBelow(25'000)};
        if (oneIn(150))
            entry = newEntry();
    }

    // A worker that resumes checks its lease before it handles the calls in its sockets.
    void resumeWorker(WorkerNode &node)
    {
        if (m_now < node.pausedUntil)
            return;
        node.worker->advance(m_now);
        for (const auto &call : std::exchange(node.pendingCalls, {}))
            call();
    }

    void runEntry(std::size_t n)
    {
        EntryProcess &entry = m_entries[n];
        if (m_now < entry.pausedUntil)
            return;
        m_table.setFault(m_tableFault);
        for (const auto &reply : std::exchange(entry.pendingReplies, {}))
            reply();
        const std::uint64_t before = entry.owner->epoch();
        const auto calls = entry.owner->runRound(m_now, listedWorkers());
        m_takeovers += entry.owner->epoch() > before ? 1 : 0;
        if (entry.owner->isFenced())
            entry = newEntry();
        for (const WorkerCall &it : calls)
            send(n, it);
        if (!entry.owner->mayAct(m_now))
            return;
        checkWatchers(*entry.owner->scheduler());
        if (m_faults && randomBelow(4) == 0)
            performClientAction(*entry.owner);
    }

    void performClientAction(ShardOwner &owner)
    {
        const std::string id = "j" + std::to_string(randomBelow(40));
        const int action = randomBelow(7);
        if (action == 6)
            watch(owner, "t" + std::to_string(randomBelow(20)), id);
        else if (action < 3)
            submit(owner, id);
        else if (action == 3)
            cancel(owner, id);
        else
            owner.decide(m_now, [&](JobScheduler &scheduler, Instant now, Records &records) {
                scheduler.evict(id, now, records);
            });
    }

    void submit(ShardOwner &owner, const std::string &id)
    {
        JobSpec spec;
        spec.id = id;
        spec.service = "matching";
        spec.idempotencyKey = id;
        spec.demand = {1 + static_cast<int>(std::hash<std::string>{}(id) % 6), 500, 0};
        spec.expectedDuration =
            Millis{5'000 + static_cast<int>(std::hash<std::string>{}(id) % 30'000)};
        spec.checkpointable = id.back() != '0';
        owner.decide(
            m_now,
            [&](JobScheduler &scheduler, Instant now, Records &records) {
                scheduler.submit(spec, now, records);
            },
            [this, id] { m_facts.accepted.insert(id); });
    }

    // Half of the watchers await a run if it was accepted; all others await a delay.
    void watch(ShardOwner &owner, const std::string &id, const std::string &run)
    {
        WatcherSpec spec;
        spec.id = id;
        spec.service = "matching";
        spec.idempotencyKey = id;
        spec.delay = Millis{randomBelow(60'000)};
        if (id.back() % 2 == 0 && m_facts.accepted.contains(run))
            spec.untilRun = run;
        const TimedWatcher watched{m_now, spec.delay};
        bool accepted = false;
        owner.decide(
            m_now,
            [&](JobScheduler &scheduler, Instant now, Records &records) {
                accepted = scheduler.watch(spec, now, records).outcome == SubmitOutcome::Accepted;
            },
            [this, id] { m_facts.accepted.insert(id); });
        if (accepted && spec.untilRun.empty())
            m_timedWatchers[id] = watched;
    }

    void checkWatchers(JobScheduler &scheduler)
    {
        for (auto it = m_timedWatchers.begin(); it != m_timedWatchers.end();) {
            const Job *job = scheduler.find(it->first);
            const bool fired = job != nullptr && job->state == JobState::Finished;
            // An entry's clock may run up to 1.5 % fast.
            const Millis least = it->second.after * 97 / 100;
            ensure(!fired || m_now - it->second.submittedAt >= least, it->first + " fired early");
            it = fired ? m_timedWatchers.erase(it) : std::next(it);
        }
    }

    void cancel(ShardOwner &owner, const std::string &id)
    {
        bool isCancelled = false;
        owner.decide(
            m_now,
            [&](JobScheduler &scheduler, Instant now, Records &records) {
                const auto state = scheduler.cancel(id, now, records);
                isCancelled = state == JobState::Cancelled;
            },
            [] {});
        if (!isCancelled)
            return;
        owner.decide(
            m_now, [](JobScheduler &, Instant, Records &) {},
            [this, id] { m_facts.cancelled.insert(id); });
    }

    // Sends a call. The call or its reply may be delayed or lost; after `callTimeout` the owner is
    // told that the call failed.
    void send(std::size_t entry, const WorkerCall &effect)
    {
        const ShardOwner *owner = m_entries[entry].owner.get();
        const OpenCall call{entry, owner, owner->epoch(), ++m_lastCallId};
        m_openCalls.insert(call.id);
        const Millis delay{oneIn(25) ? randomBelow(maxCallDelayMs) : randomBelow(300)};
        if (!oneIn(15))
            post(m_now + delay, [=, this] { deliverCall(call, effect); });
        post(m_now + callTimeout, [=, this] {
            deliverReply(call, [effect](auto &scheduler, Instant now, auto &records) {
                std::visit([&](const auto &it) { fail(scheduler, it, now, records); }, effect);
            });
        });
    }

    void deliverCall(const OpenCall &call, const WorkerCall &effect)
    {
        WorkerNode &node = workerNode(std::visit([](const auto &it) { return it.worker; }, effect));
        if (m_now < node.pausedUntil) {
            node.pendingCalls.push_back([=, this] { deliverCall(call, effect); });
            return;
        }
        if (m_now < node.unreachableUntil)
            return;
        node.worker->advance(m_now);
        ReplyHandler reply =
            std::visit([&](const auto &it) { return handle(node, it, call.epoch); }, effect);
        if (!oneIn(15))
            post(m_now + Millis{randomBelow(300)}, [=, this] { deliverReply(call, reply); });
    }

    using ReplyHandler = std::function<void(JobScheduler &, Instant, Records &)>;

    void deliverReply(const OpenCall &call, const ReplyHandler &reply)
    {
        EntryProcess &to = m_entries[call.entry];
        if (to.owner.get() != call.owner)
            return;
        if (m_now < to.pausedUntil) {
            to.pendingReplies.push_back([=, this] { deliverReply(call, reply); });
            return;
        }
        if (m_openCalls.erase(call.id) != 1 || to.owner->epoch() != call.epoch)
            return;
        m_onDurable = nullptr;
        to.owner->decide(m_now, reply);
        if (m_onDurable)
            to.owner->decide(
                m_now, [](auto &, auto, auto &) {}, std::exchange(m_onDurable, {}));
    }

    ReplyHandler handle(WorkerNode &node, const RenewLease &call, std::uint64_t epoch)
    {
        const auto report = node.worker->renew(call, epoch, m_now);
        return [=](JobScheduler &scheduler, Instant now, Records &records) {
            if (report)
                scheduler.handleLeaseReply(call.worker, *report, now, records);
            else
                scheduler.handleLeaseFailure(call.worker, now);
        };
    }

    ReplyHandler handle(WorkerNode &node, const StartTask &call, std::uint64_t epoch)
    {
        const StartReply reply = node.worker->start(call, epoch, m_now);
        return [=](JobScheduler &scheduler, Instant now, Records &records) {
            scheduler.handleStartReply(call.job, call.attempt, reply, now, records);
        };
    }

    ReplyHandler handle(WorkerNode &node, const StopTask &call, std::uint64_t epoch)
    {
        const bool stopped = node.worker->stop(call, epoch);
        return [=](JobScheduler &scheduler, Instant now, Records &records) {
            scheduler.handleStopReply(call, stopped, now, records);
        };
    }

    ReplyHandler handle(WorkerNode &node, const CheckpointTask &call, std::uint64_t epoch)
    {
        const auto checkpoint = node.worker->checkpoint(call, epoch, m_now);
        return [=, this](JobScheduler &scheduler, Instant now, Records &records) {
            const Job *job = scheduler.find(call.job);
            const bool before = job != nullptr && job->state == JobState::Evicting;
            scheduler.handleCheckpointReply(call.job, call.attempt, checkpoint, now, records);
            const bool after = job != nullptr && job->state == JobState::Evicting;
            if (!before && after)
                m_onDurable = [=, this] { m_checkpoints[call.job] = {call.attempt, *checkpoint}; };
        };
    }

    ReplyHandler handle(WorkerNode &, const ThrottleTask &, std::uint64_t)
    {
        return [](JobScheduler &, Instant, Records &) {};
    }

    static void fail(JobScheduler &scheduler, const RenewLease &call, Instant now, Records &)
    {
        scheduler.handleLeaseFailure(call.worker, now);
    }
    static void fail(JobScheduler &scheduler, const StartTask &call, Instant now, Records &records)
    {
        scheduler.handleStartReply(call.job, call.attempt, {}, now, records);
    }
    static void fail(JobScheduler &scheduler, const StopTask &call, Instant now, Records &records)
    {
        scheduler.handleStopReply(call, false, now, records);
    }
    static void fail(JobScheduler &scheduler, const CheckpointTask &call, Instant now,
                     Records &records)
    {
        scheduler.handleCheckpointReply(call.job, call.attempt, std::nullopt, now, records);
    }
    static void fail(JobScheduler &, const ThrottleTask &, Instant, Records &) { }

    void post(Millis at, std::function<void()> action)
    {
        m_messages.emplace(at, std::move(action));
    }

    void deliverDueMessages()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const auto action = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            action();
        }
    }

    void checkInvariants()
    {
        std::map<std::string, std::string> live;
        for (WorkerNode &node : m_nodes) {
            if (m_now < node.pausedUntil)
                continue;
            node.worker->advance(m_now);
            const HostInfo &info = node.worker->info();
            ensure(node.worker->used().fitsIn({info.cores, info.memoryMb, info.accelerators}),
                   "worker " + info.id + " runs more than its capacity");
            for (const auto &[job, task] : node.worker->tasks()) {
                if (task.state != TaskState::Running)
                    continue;
                const auto other = live.emplace(job, info.id);
                ensure(other.second,
                       job + " runs on " + other.first->second + " and on " + info.id);
            }
        }
    }

    WorkerNode &workerNode(const std::string &worker)
    {
        return m_nodes[static_cast<std::size_t>(worker.back() - '0')];
    }

    std::mt19937 m_random;
    bool m_faults = true;
    Millis m_now;
    FakeTable m_table;
    FakeTable::Fault m_tableFault = FakeTable::Fault::None;
    Millis m_tableFaultUntil;
    ObservedFacts m_facts;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, DurableCheckpoint> m_checkpoints; // The durable ones, by job id.
    std::map<std::string, TimedWatcher> m_timedWatchers; // Those that have not fired, by id.
    std::vector<EntryProcess> m_entries;
    std::vector<WorkerNode> m_nodes;
    std::multimap<Millis, std::function<void()>> m_messages; // By time of delivery.
    std::set<std::uint64_t> m_openCalls; // Neither answered nor timed out.
    std::uint64_t m_lastCallId = 0;
    std::function<void()> m_onDurable; // Set while a reply is handled.
    int m_sessions = 0;
    std::size_t m_takeovers = 0;
};

} // namespace

// Guards against two attempts of a job running at once and against the loss of acknowledged jobs.
// Both can come about when an owner is replaced while its calls and commits are still under way.
TEST_CASE("A job has one history whatever faults the entries and workers and the store have")
{
    CHECK(rc::check("no attempt runs twice and no acknowledged job is lost", [] {
        ClusterSimulation cluster(*rc::gen::inRange(0U, 1'000'000'000U));
        cluster.run(*rc::gen::inRange(100, 1'200), true);
        cluster.healAndFinish();
        RC_CLASSIFY(cluster.takeovers() > 2, "several owners");
        RC_CLASSIFY(cluster.submitted() > 10, "many jobs");
    }));
}
