#include "savorywick/steps/coordinator.h"

#include "coordinatorharness.h"
#include "historyonfailure.h"
#include "shardsimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

constexpr int taskCount = 12;
constexpr std::size_t listedEnds = 5; // That a worker tells of at a time.

// A job whose tasks all end on one worker while nothing becomes durable, so that no end is
// acknowledged and the worker leaves some out of its reports.
class EndsBeyondOnePage
{
public:
    explicit EndsBeyondOnePage(int workers = 1)
        : m_harness(workers)
    {
        m_harness.maxListedEnds = listedEnds;
        m_harness.progressPercent = 40;
        m_harness.submit("a", tasks(taskCount, 1'000));
        m_harness.advance(Millis{200});
        m_harness.commits = false;
        for (const StartRunCommand &it : std::vector(m_harness.starts))
            m_harness.reportEnd(it.target.worker.workerId, {it.task, it.run}, RunOutcome::Done);
    }

    CoordinatorHarness &harness() { return m_harness; }

    bool isCompleted() { return m_harness.coordinator().durableState("a") == JobState::Completed; }

private:
    CoordinatorHarness m_harness;
};

struct Disruption
{
    std::string what;
    std::function<void(CoordinatorHarness &)> happens;
};

const std::vector<Disruption> disruptions = {
    {"the store is down for a moment", [](CoordinatorHarness &it) { it.advance(Millis{300}); }},
    {"the store is down for longer than a run may take to progress",
     [](CoordinatorHarness &it) { it.advance(Millis{4'500}); }},
    {"the owner is replaced meanwhile",
     [](CoordinatorHarness &it) {
         it.advance(Millis{300});
         it.replaceOwner();
         it.advance(Millis{1'000});
     }},
    {"the worker's entry is gone meanwhile",
     [](CoordinatorHarness &it) {
         it.listWorkers({});
         it.advance(Millis{4'500});
     }},
    {"the worker is draining",
     [](CoordinatorHarness &it) {
         it.setDraining(0);
         it.advance(Millis{2'000});
     }},
};

} // namespace

// Guards against tasks that run again after their end as done, since the worker's report listed
// only the first of the ends that waited for their acknowledgement.
TEST_CASE("No task runs again whose end is beyond those that a worker lists at a time")
{
    for (const Disruption &it : disruptions) {
        CAPTURE(it.what);
        EndsBeyondOnePage scenario;
        CoordinatorHarness &harness = scenario.harness();
        REQUIRE(harness.starts.size() == taskCount);
        it.happens(harness);
        harness.commits = true;
        harness.advance(Millis{1'000});
        CHECK(harness.starts.size() == taskCount);
        CHECK(scenario.isCompleted());
        CHECK(harness.coordinator().counters().runsEnded.count(RunOutcome::LeaseExpired) == 0);
    }
}

// Guards against a worker in quarantine, and a wait for its probe, because its ended runs seemed to
// make no progress while they were not listed.
TEST_CASE("A run that a partial report leaves out does not count as stalled")
{
    EndsBeyondOnePage scenario;
    scenario.harness().advance(Millis{6'000});
    CHECK(scenario.harness().coordinator().counters().runsStalled == 0);
    CHECK(scenario.harness().stops.empty());
}

// Guards against a second for each page of ends, during which nothing can start in their room.
TEST_CASE("The next page of ends is asked for as soon as the one before is durable")
{
    EndsBeyondOnePage scenario;
    CoordinatorHarness &harness = scenario.harness();
    harness.advance(Millis{1'500});
    harness.commits = true;
    const auto renewals = [&] { return harness.renewals.size(); };
    const std::size_t before = renewals();
    harness.advance(Millis{200});
    CHECK(scenario.isCompleted());
    CHECK(renewals() - before <= 6);
    for (std::size_t i = before; i < renewals(); ++i)
        CHECK(harness.renewals[i].maxWait == Millis{0});
}

// Guards against a flood of renewals that ask for further ends while no end can be acknowledged.
TEST_CASE("A worker with further ends is asked once a second while the store is down")
{
    EndsBeyondOnePage scenario;
    scenario.harness().advance(Millis{1'500});
    const std::size_t before = scenario.harness().renewals.size();
    scenario.harness().advance(Millis{4'000});
    CHECK(scenario.harness().renewals.size() - before <= 5);
}

// Guards against a task that never runs again after a worker has lost it, once a partial report.
TEST_CASE("A run that is in neither list of a complete report starts again")
{
    EndsBeyondOnePage scenario(2);
    CoordinatorHarness &harness = scenario.harness();
    harness.commits = true;
    harness.submit("b", task(1'000));
    REQUIRE(harness.workersStartedOn("b").size() == 1);
    std::erase_if(harness.starts, [](const auto &it) { return it.task.job == "b"; });
    harness.advance(Millis{2'000});
    CHECK(harness.workersStartedOn("b").size() == 1);
}

TEST_CASE("With workers that list one end at a time no fault makes a task run twice")
{
    CHECK(rc::check("replaced owners, failing workers, late orders and partial reports", [] {
        ShardSimulation simulation(*rc::gen::inRange(0U, 1'000'000'000U));
        simulation.limitListedEnds(1);
        const HistoryOnFailure history(simulation);
        const int jobs = *rc::gen::inRange(1, 15);
        for (int n = 0; n < jobs; ++n) {
            JobSpec spec;
            spec.id = "job" + std::to_string(n);
            spec.policy = {"checks", "matching", 0, 3, 1.5, Millis{500}};
            StepSpec first = tasks(2 + simulation.randomBelow(8), 1'000);
            first.estimatedDuration = Millis{500};
            StepSpec second = first;
            second.dependsOn = {0};
            spec.steps = {first, second};
            simulation.submit(spec);
            simulation.advance(*rc::gen::inRange(1, 60), true);
        }
        simulation.finishAndVerify();
    }));
}
