#include "savorywick/steps/coordinator.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

// Runs a Coordinator in virtual time against workers whose behaviour the test sets, and with a
// journal that commits at once. Use it to check which orders the Coordinator sends in a given
// situation.
class CoordinatorHarness
{
public:
    explicit CoordinatorHarness(int workers)
        : m_coordinator(1, m_now, {})
    {
        for (int i = 0; i < workers; ++i) {
            WorkerInfo info;
            info.incarnation = {"w" + std::to_string(i), 1};
            info.service = "matching";
            info.address = "10.0.0.1:1";
            info.capacity = {16'000, 32'000, 0};
            m_workers.push_back(info);
        }
        m_coordinator.takeOver(now());
        m_coordinator.setWorkers(m_workers, now());
        step();
    }

    Coordinator &coordinator() { return m_coordinator; }
    ClockReading now() const { return {m_now, m_now.count()}; }

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
        m_coordinator.submit(spec, now());
    }

    void setDraining(int worker)
    {
        m_workers[worker].draining = true;
        m_coordinator.setWorkers(m_workers, now());
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
        m_coordinator.tick(now());
        for (int round = 0; round < 3; ++round) {
            m_lsn += m_coordinator.takeRecords().size();
            m_coordinator.recordsAppended(m_lsn);
            m_coordinator.recordsDurable(m_lsn);
            for (const WorkerCommand &it : m_coordinator.takeOrders(now()))
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
        std::vector<RunEndReport> &ended = m_endReports[order.target.worker.workerId];
        const auto number = static_cast<std::int64_t>(ended.size()) + 1;
        ended.push_back({number, order.task, order.run, RunOutcome::Failed, ""});
        m_failedRuns.insert({order.task, order.run});
    }

    std::vector<StartRunCommand> starts;
    std::vector<StopRunCommand> stops;
    std::vector<ThrottleRunCommand> throttles;
    CommandOutcome stopOutcome = CommandOutcome::Done;
    int tailLatencyMs = 10; // That long-running runs report.
    std::set<std::string> failingWorkers; // They fail every run that is started from now on.

private:
    static constexpr int milliCoresInUse = 4'000; // That other runs report.

    void respond(const RenewLeaseCommand &order)
    {
        RenewLeaseReply reply{CommandOutcome::Done, {}};
        reply.report.clockMs = m_now.count();
        reply.report.startedWallMs = 1;
        if (const auto it = m_endReports.find(order.target.worker.workerId);
            it != m_endReports.end())
            reply.report.ended = it->second;
        for (const StartRunCommand &it : starts) {
            if (it.target.worker != order.target.worker || m_failedRuns.contains({it.task, it.run}))
                continue;
            const Run *run = m_coordinator.runs().find({it.task, it.run});
            const int measurement = run && run->longRunning ? tailLatencyMs : milliCoresInUse;
            reply.report.running.push_back({it.task, it.run, "", 100, measurement});
        }
        m_coordinator.handleRenewReply(order, reply, now());
    }
    void respond(const StartRunCommand &order)
    {
        starts.push_back(order);
        if (failingWorkers.contains(order.target.worker.workerId))
            reportFailure(order);
        m_coordinator.handleStartReply(order, {CommandOutcome::Done, m_now.count()}, now());
    }
    void respond(const StopRunCommand &order)
    {
        stops.push_back(order);
        m_coordinator.handleStopReply(order, {stopOutcome, {}}, now());
    }
    void respond(const ThrottleRunCommand &order) { throttles.push_back(order); }

    Instant m_now{1'000'000};
    std::vector<WorkerInfo> m_workers;
    Coordinator m_coordinator;
    LogSequenceNumber m_lsn = 0;
    std::map<std::string, std::vector<RunEndReport>> m_endReports;
    std::set<RunKey> m_failedRuns;
};

StepSpec task(int milliCores)
{
    StepSpec s;
    s.demand = {milliCores, 1'000, 0};
    s.estimatedDuration = Millis{60'000};
    return s;
}

StepSpec longRunningTask()
{
    StepSpec s = task(4'000);
    s.longRunning = true;
    s.latencyTarget = Millis{50};
    s.image = "quotes";
    return s;
}

StepSpec bestEffortTask()
{
    StepSpec s = task(2'000);
    s.bestEffort = true;
    s.image = "refresh";
    return s;
}

} // namespace

// Guards against runs that go on after a cancellation because their worker did not answer the stop.
TEST_CASE("A stop order without a reply is sent again about every 250 ms")
{
    CoordinatorHarness harness(1);
    harness.submit("a", task(1'000));
    REQUIRE(harness.workersStartedOn("a").size() == 1);
    harness.stopOutcome = CommandOutcome::Unknown;
    harness.coordinator().cancel("a", harness.now());
    harness.advance(Millis{1'000});
    CHECK(harness.stops.size() >= 4);
    CHECK(harness.stops.size() <= 6);
}

TEST_CASE("A draining worker gets no new tasks")
{
    CoordinatorHarness harness(2);
    harness.submit("a", task(1'000));
    const std::string first = harness.workersStartedOn("a").front();
    harness.setDraining(first == "w0" ? 0 : 1);
    harness.submit("b", task(1'000));
    REQUIRE(harness.workersStartedOn("b").size() == 1);
    CHECK(harness.workersStartedOn("b").front() != first);
}

TEST_CASE("Runs with checkpoints are moved off a draining worker and others are not")
{
    CoordinatorHarness harness(2);
    StepSpec checkpointed = task(1'000);
    checkpointed.checkpointing = true;
    harness.submit("checkpointed", checkpointed);
    harness.submit("plain", task(1'000));
    harness.advance(Millis{200});
    harness.setDraining(harness.workersStartedOn("checkpointed").front() == "w0" ? 0 : 1);
    harness.advance(Millis{200});
    REQUIRE_FALSE(harness.stops.empty());
    CHECK(std::all_of(harness.stops.begin(), harness.stops.end(),
                      [](const StopRunCommand &it) { return it.task.job == "checkpointed"; }));
}

// Guards against best-effort tasks that keep a long-running task on the same worker from meeting
// its latency target.
TEST_CASE("Best-effort runs beside a missed latency target are throttled in steps and then moved")
{
    CoordinatorHarness harness(1);
    harness.submit("s", longRunningTask());
    harness.submit("f", bestEffortTask());
    REQUIRE(harness.workersStartedOn("f").size() == 1);
    harness.advance(Millis{2'000});
    CHECK(harness.throttles.empty());
    harness.tailLatencyMs = 200;
    harness.advance(Millis{4'000});
    REQUIRE(harness.throttles.size() >= 3);
    CHECK(harness.throttles[0].speedPercent == 50);
    CHECK(harness.throttles[1].speedPercent == 15);
    CHECK(harness.throttles[2].speedPercent == 0);
    REQUIRE_FALSE(harness.stops.empty());
    CHECK(harness.stops.front().task.job == "f");
}

TEST_CASE("A best-effort run is throttled before the run beside it misses its latency target")
{
    CoordinatorHarness harness(1);
    harness.submit("s", longRunningTask());
    harness.submit("f", bestEffortTask());
    harness.advance(Millis{1'500});
    harness.tailLatencyMs = 49;
    harness.advance(Millis{1'000});
    REQUIRE_FALSE(harness.throttles.empty());
    CHECK(harness.throttles.front().speedPercent == 50);
}

TEST_CASE("A throttled best-effort run regains its speed once the latency target is met again")
{
    CoordinatorHarness harness(1);
    harness.submit("s", longRunningTask());
    harness.submit("f", bestEffortTask());
    harness.advance(Millis{1'500});
    harness.tailLatencyMs = 200;
    while (harness.throttles.empty())
        harness.advance(Millis{20});
    harness.tailLatencyMs = 10;
    harness.advance(Millis{4'000});
    CHECK(harness.throttles.back().speedPercent == 100);
    CHECK(harness.stops.empty());
}

TEST_CASE("A worker on which a latency target is missed gets no further best-effort task")
{
    CoordinatorHarness harness(1);
    harness.submit("s", longRunningTask());
    harness.advance(Millis{1'000});
    harness.tailLatencyMs = 200;
    harness.advance(Millis{1'500});
    harness.submit("f", bestEffortTask());
    harness.advance(Millis{1'000});
    CHECK(harness.workersStartedOn("f").empty());
    harness.tailLatencyMs = 10;
    harness.advance(Millis{4'000});
    CHECK(harness.workersStartedOn("f").size() == 1);
}

// Guards against a recovered worker that stays in quarantine: long-running runs go on there,
// without an end that could count as a success.
TEST_CASE("A quarantined worker is probed although long-running tasks run on it")
{
    const QuarantineOptions options;
    for (const bool probeIsLongRunning : {false, true}) {
        CAPTURE(probeIsLongRunning);
        CoordinatorHarness harness(1);
        harness.submit("s", longRunningTask());
        harness.advance(Millis{500});
        harness.failingWorkers = {"w0"};
        for (int i = 0; i < options.workerFailureThreshold; ++i)
            harness.submit("failing" + std::to_string(i), task(1'000));
        harness.advance(Millis{500});
        REQUIRE(harness.coordinator().counters().workersQuarantined == 1);
        harness.failingWorkers.clear();
        for (int i = 0; i < options.workerFailureThreshold; ++i)
            harness.coordinator().cancel("failing" + std::to_string(i), harness.now());
        harness.submit("probe", probeIsLongRunning ? longRunningTask() : task(1'000));
        CHECK(harness.workersStartedOn("probe").empty());
        harness.advance(options.initialProbeDelay + Millis{2'000});
        CHECK(harness.workersStartedOn("probe").size() == 1);
        // A long-running probe succeeds, and ends the quarantine, once it is at work.
        harness.submit("next", task(1'000));
        harness.advance(Millis{500});
        CHECK(harness.workersStartedOn("next").size() == (probeIsLongRunning ? 1 : 0));
    }
}

// Guards against starvation: when workers are replaced one after the other while long-running tasks
// fill them, a task must not lose its turn to those that began to wait later.
TEST_CASE("Long-running tasks start in the order in which they began to wait")
{
    CoordinatorHarness harness(1);
    StepSpec wholeWorker = longRunningTask();
    wholeWorker.demand.milliCores = 16'000; // All of the processors.
    harness.submit("older", wholeWorker);
    harness.advance(Millis{500});
    harness.submit("younger", wholeWorker);
    harness.advance(Millis{500});
    REQUIRE(harness.workersStartedOn("older").size() == 1);
    harness.reportFailure(harness.starts.front());
    harness.advance(Millis{2'000});
    CHECK(harness.workersStartedOn("younger").size() == 1);
    CHECK(harness.workersStartedOn("older").size() == 1);
}

// Guards against jobs that wait although workers of their service have room, because a like job of
// another service without room comes before them in the same placement pass.
TEST_CASE("Jobs of one service do not wait because those of another one find no room")
{
    CoordinatorHarness harness(1);
    const std::vector<std::string> ids = {"b", "c", "d"};
    harness.submitFor("indexing", "a", task(1'000)); // No worker runs it.
    for (const std::string &it : ids)
        harness.submitFor("matching", it, task(1'000));
    harness.step();
    CHECK(harness.workersStartedOn("a").empty());
    for (const std::string &it : ids) {
        CAPTURE(it);
        CHECK(harness.workersStartedOn(it).size() == 1);
    }
}
