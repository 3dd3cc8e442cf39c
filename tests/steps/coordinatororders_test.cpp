#include "savorywick/steps/coordinator.h"

#include "coordinatorharness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

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
