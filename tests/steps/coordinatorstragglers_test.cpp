#include "coordinatorharness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

const TaskRef slowTask{"slow", 0, 0, 0};

StepSpec duplicable()
{
    StepSpec spec = task(2'000);
    spec.estimatedDuration = Millis{4'000};
    spec.allowDuplicates = true;
    return spec;
}

void end(CoordinatorHarness &harness, const StartRunCommand &start, RunOutcome how)
{
    harness.reportEnd(start.target.worker.workerId, {start.task, start.run}, how);
}

// Lets the coordinator see that tasks of the step take four seconds, and fills the budget.
void learn(CoordinatorHarness &harness)
{
    StepSpec many = duplicable();
    many.taskCount = 24;
    harness.submit("learned", many);
    for (int i = 0; i < 4; ++i) {
        harness.progressPercent = i;
        harness.advance(Millis{1'000});
    }
    for (const StartRunCommand &it : std::vector<StartRunCommand>(harness.starts))
        end(harness, it, RunOutcome::Done);
    harness.advance(Millis{2'000});
    harness.starts.clear();
}

// Lets a task run for longer than usual, with progress so that it does not stall.
void runSlowly(CoordinatorHarness &harness)
{
    for (int i = 0; i < 9; ++i) {
        harness.progressPercent = i / 2; // Too little to tell a rate.
        harness.advance(Millis{1'000});
    }
}

// Returns the start orders of the slow task.
std::vector<StartRunCommand> slowStarts(const CoordinatorHarness &harness)
{
    std::vector<StartRunCommand> all = harness.starts;
    std::erase_if(all, [](const StartRunCommand &it) { return it.task != slowTask; });
    return all;
}

} // namespace

// Guards against a step that waits for one slow run while other workers are free, against more
// than two runs, and against a duplicate that keeps a place after the task is done.
TEST_CASE("A task that takes long gets one second run on another rack and the slower is stopped")
{
    CoordinatorHarness harness(5);
    for (int i = 0; i < 5; ++i)
        harness.setRack(i, i < 4 ? "r0" : "r1");
    learn(harness);
    harness.submit("slow", duplicable());
    runSlowly(harness);
    const std::vector<StartRunCommand> starts = slowStarts(harness);
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].target.worker.workerId != "w4");
    CHECK(starts[1].target.worker.workerId == "w4");
    end(harness, starts[1], RunOutcome::Done);
    harness.stopsEndRuns = true;
    harness.advance(Millis{2'000});
    REQUIRE_FALSE(harness.stops.empty());
    CHECK(harness.stops.front().run == 1);
    CHECK((harness.coordinator().jobTable().find("slow")->state == JobState::Completed));
    CHECK(harness.coordinator().runs().all().empty());
    CHECK(harness.coordinator().counters().duplicatesWon == 1);
}

// Guards against second runs of tasks that must not have any, or that cost other work its place.
TEST_CASE("No second run where it is not allowed or other work waits or the first is in doubt")
{
    for (const std::string name :
         {"not allowed", "too few attempts", "work waits", "start in flight"}) {
        CAPTURE(name);
        CoordinatorHarness harness(5);
        learn(harness);
        if (name == "start in flight")
            harness.idleWorkers = {"w0", "w1", "w2", "w3", "w4"};
        StepSpec spec = duplicable();
        spec.allowDuplicates = name != "not allowed";
        harness.submit("slow", spec);
        if (name == "too few attempts") { // The failure of two more runs would be one too many.
            end(harness, harness.starts.back(), RunOutcome::Failed);
            harness.advance(Millis{1'000});
        }
        if (name == "work waits")
            harness.submit("wide", tasks(12, 9'000)); // Leaves room for a duplicate.
        runSlowly(harness);
        CHECK(harness.coordinator().counters().duplicatesStarted == 0);
    }
}

// Guards against a slower run that an owner who takes over leaves on its worker, and against a job
// that is given up, or a worker that is suspected, because that run failed or answered late.
TEST_CASE("The slower run is stopped by any owner and counts against neither job nor worker")
{
    for (const std::string ownerIsLost : {"never", "while both run", "before the stop"}) {
        CAPTURE(ownerIsLost);
        CoordinatorHarness harness(5);
        learn(harness);
        StepSpec two = duplicable();
        two.taskCount = 2; // The job goes on after the task is done.
        harness.submit("slow", two);
        runSlowly(harness);
        const std::vector<StartRunCommand> starts = slowStarts(harness);
        REQUIRE(starts.size() == 2);
        if (ownerIsLost == "while both run")
            harness.replaceOwner();
        end(harness, starts[1], RunOutcome::Done);
        harness.advance(Millis{2'000});
        REQUIRE(harness.coordinator().runs().ofTask(slowTask).size() == 1);
        harness.stops.clear();
        if (ownerIsLost == "before the stop")
            harness.replaceOwner();
        harness.advance(Millis{1'500}); // Too short for a stall.
        CHECK(std::any_of(harness.stops.begin(), harness.stops.end(),
                          [](const auto &it) { return it.task == slowTask && it.run == 1; }));
        end(harness, starts[0], RunOutcome::Failed);
        harness.advance(Millis{2'000});
        CHECK(harness.coordinator().runs().ofTask(slowTask).empty());
        const Job &job = *harness.coordinator().jobTable().find("slow");
        CHECK((job.state == JobState::Running));
        CHECK(job.findTask(slowTask)->failedRuns == 0);
        CHECK(harness.startCount(slowTask) == 2);
    }
}
