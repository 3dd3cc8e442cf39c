#include "savorywick/steps/coordinator.h"

#include "coordinatorharness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

// Lets three jobs stall on the only worker, which is quarantined for it.
void quarantineByStalls(CoordinatorHarness &harness)
{
    harness.stopsEndRuns = true;
    StepSpec stalling = task(1'000);
    stalling.estimatedDuration = Millis{100};
    for (int i = 0; i < QuarantineOptions().workerFailureThreshold; ++i)
        harness.submit("stalling" + std::to_string(i), stalling);
    harness.advance(Millis{3'000});
    for (int i = 0; i < QuarantineOptions().workerFailureThreshold; ++i)
        harness.coordinator().cancel("stalling" + std::to_string(i), harness.now());
    harness.advance(Millis{200});
}

} // namespace

// Guards against workers that get no tasks for a reason that neither log nor counter shows.
TEST_CASE("A worker that is quarantined for stalled runs is noted and counted")
{
    CoordinatorHarness harness(1);
    quarantineByStalls(harness);
    CHECK(harness.coordinator().counters().workersQuarantined == 1);
    const std::vector<SchedulerEvent> notes = harness.coordinator().takeNotes();
    CHECK(std::any_of(notes.begin(), notes.end(), [](const SchedulerEvent &it) {
        return it.kind == SchedulerEventKind::WorkerQuarantined && it.worker == "w0";
    }));
}

// Guards against a step that waits for the probe of a quarantined worker, seconds later, although
// no other worker could run it and that one has most of its room free.
TEST_CASE("A task that only a quarantined worker could run is tried there within three seconds")
{
    CoordinatorSettings settings;
    settings.quarantine.initialProbeDelay = Millis{4'000};
    CoordinatorHarness harness(1, settings);
    quarantineByStalls(harness);
    harness.submit("a", task(1'000));
    harness.advance(Millis{3'000});
    CHECK(harness.workersStartedOn("a").size() == 1);
}

// Guards against a long-running task that waits for a quarantined worker's probe, seconds later,
// because its step already has on each other worker as many tasks as it may. Those never end. A
// step whose tasks end waits for that instead.
TEST_CASE("A task is tried on a quarantined worker if the others have all that their limit allows")
{
    for (const bool longRunning : {true, false}) {
        CAPTURE(longRunning);
        CoordinatorSettings settings;
        settings.quarantine.initialProbeDelay = Millis{60'000};
        CoordinatorHarness harness(2, settings);
        harness.failingWorkers = {"w0"};
        for (int i = 0; i < 8; ++i)
            harness.submit("failing" + std::to_string(i), task(1'000));
        harness.advance(Millis{500});
        REQUIRE(harness.coordinator().counters().workersQuarantined == 1);
        harness.failingWorkers.clear();
        StepSpec step = task(1'000);
        step.longRunning = longRunning;
        step.taskCount = 2;
        step.maxTasksPerWorker = 1;
        harness.submit("a", step);
        harness.advance(Millis{3'000});
        CHECK(harness.workersStartedOn("a").size() == (longRunning ? 2 : 1));
    }
}

// Guards against a process that ends because a step counts as ready although none of its tasks can
// be started any more: the last one was tried on a quarantined worker.
TEST_CASE("A step whose last task is tried on a quarantined worker waits no more")
{
    CoordinatorSettings settings;
    settings.quarantine.initialProbeDelay = Millis{4'000};
    CoordinatorHarness harness(1, settings);
    quarantineByStalls(harness);
    harness.submit("a", task(1'000));
    while (harness.workersStartedOn("a").empty())
        harness.advance(Millis{20});
    CHECK(harness.coordinator().readyStepCount() == 0);
}

namespace {

constexpr int runsPerWorker = 4; // Of full workers.
constexpr Millis longestGap{3'000}; // Of a long-running task, from the end of the fault.

// A long-running task, four of which fill a worker.
StepSpec quarterTask(bool longRunning = true)
{
    StepSpec step = task(4'000);
    step.longRunning = longRunning;
    return step;
}

// Workers that are full, of which w0 fails all that it starts for some time.
class FailingWorkerPlay
{
public:
    explicit FailingWorkerPlay(int workers)
        : m_harness(workers, settings())
    {
        for (int i = 0; i < workers * runsPerWorker; ++i)
            m_harness.submit("job" + std::to_string(i), quarterTask());
        m_harness.advance(Millis{2'000});
        m_harness.failingWorkers = {"w0"};
        const std::vector<StartRunCommand> started = m_harness.starts;
        for (const StartRunCommand &it : started) {
            if (it.target.worker.workerId == "w0")
                m_harness.reportFailure(it);
        }
        m_startsBefore = startsOnFailing();
    }

    CoordinatorHarness &harness() { return m_harness; }
    // Returns how many runs the worker has been given since it began to fail.
    int startsSince() const { return startsOnFailing() - m_startsBefore; }

private:
    static CoordinatorSettings settings()
    {
        CoordinatorSettings s;
        s.quarantine.initialProbeDelay = Millis{4'000};
        s.quarantine.maxProbeDelay = Millis{16'000};
        return s;
    }
    int startsOnFailing() const
    {
        return static_cast<int>(
            std::count_if(m_harness.starts.begin(), m_harness.starts.end(),
                          [](const auto &it) { return it.target.worker.workerId == "w0"; }));
    }

    CoordinatorHarness m_harness;
    int m_startsBefore = 0;
};

} // namespace

// Guards against long-running tasks that wait for the probe of a quarantined worker that is sound
// again and empty, seconds later, while the other workers are full of tasks that last (review/13).
TEST_CASE("Long-running tasks return in time to the only worker with room after its quarantine")
{
    for (const Millis failsFor : {Millis{500}, Millis{3'000}, Millis{6'500}, Millis{15'000}}) {
        CAPTURE(failsFor.count());
        FailingWorkerPlay play(3);
        CoordinatorHarness &harness = play.harness();
        harness.advance(failsFor);
        CHECK(harness.coordinator().counters().workersQuarantined == 1);
        harness.failingWorkers.clear();
        harness.advance(longestGap);
        CHECK(harness.coordinator().readyStepCount() == 0);
        CHECK(harness.coordinator().runs().onWorker("w0").size() == runsPerWorker);
    }
}

// Guards against a worker that fails all that it starts and is fed one task after the other.
TEST_CASE("A quarantined worker that fails all it starts is tried at intervals only")
{
    FailingWorkerPlay play(3);
    play.harness().advance(Millis{12'000});
    CHECK(play.startsSince() >= 3);
    CHECK(play.startsSince() <= 6);
}

// Guards against tasks that use up their attempts on a worker in quarantine while others will have
// room for them.
TEST_CASE("A task that ends is not tried on a quarantined worker while others are full")
{
    FailingWorkerPlay play(3);
    CoordinatorHarness &harness = play.harness();
    for (int i = 0; i < runsPerWorker; ++i)
        harness.coordinator().cancel("job" + std::to_string(i), harness.now());
    harness.submit("a", quarterTask(false));
    harness.advance(Millis{3'500});
    CHECK(harness.workersStartedOn("a").empty());
}
