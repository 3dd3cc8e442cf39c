#include "coordinatorharness.h"

#include <doctest/doctest.h>

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
    harness.progressPercent = 0; // Tells nothing of the remaining time.
    StepSpec many = duplicable();
    many.taskCount = 24;
    harness.submit("learned", many);
    REQUIRE(harness.starts.size() == 24);
    harness.advance(Millis{2'000});
    harness.progressPercent = 1;
    harness.advance(Millis{2'000});
    for (const StartRunCommand &it : std::vector<StartRunCommand>(harness.starts))
        end(harness, it, RunOutcome::Done);
    harness.advance(Millis{2'000});
    harness.starts.clear();
}

// Lets a task run for longer than usual, with progress so that it does not stall.
void runSlowly(CoordinatorHarness &harness, Millis span = Millis{8'000})
{
    for (Millis t; t < span; t = t + Millis{1'000}) {
        harness.progressPercent = static_cast<int>(t.count() / 2'000); // Below what tells a rate.
        harness.advance(Millis{1'000});
    }
}

std::vector<StartRunCommand> startsOf(const CoordinatorHarness &harness, const TaskRef &task)
{
    std::vector<StartRunCommand> all;
    for (const StartRunCommand &it : harness.starts) {
        if (it.task == task)
            all.push_back(it);
    }
    return all;
}

} // namespace

// Guards against a step that waits for one slow run while other workers are free, against more
// than two runs, and against a duplicate that keeps a place after the task is done.
TEST_CASE("A task that takes long gets one second run on another rack and the slower is stopped")
{
    for (const bool duplicateWins : {true, false}) {
        CAPTURE(duplicateWins);
        CoordinatorHarness harness(5);
        for (int i = 0; i < 5; ++i)
            harness.setRack(i, i < 4 ? "r0" : "r1");
        learn(harness);
        harness.submit("slow", duplicable());
        runSlowly(harness);
        const std::vector<StartRunCommand> starts = startsOf(harness, slowTask);
        REQUIRE(starts.size() == 2);
        CHECK(starts[0].target.worker.workerId != "w4");
        CHECK(starts[1].target.worker.workerId == "w4");
        CHECK(starts[1].run == 2);
        end(harness, starts[duplicateWins ? 1 : 0], RunOutcome::Done);
        harness.stopsEndRuns = true;
        harness.advance(Millis{2'000});
        REQUIRE_FALSE(harness.stops.empty());
        CHECK(harness.stops.front().run == starts[duplicateWins ? 0 : 1].run);
        CHECK((harness.coordinator().jobTable().find("slow")->state == JobState::Completed));
        CHECK(harness.coordinator().runs().all().empty());
        CHECK(harness.coordinator().counters().duplicatesStarted == 1);
        CHECK(harness.coordinator().counters().duplicatesWon == (duplicateWins ? 1 : 0));
    }
}

// Guards against second runs of tasks that must not have any, or that cost other work its place.
TEST_CASE("No second run where it is not allowed or other work waits or the first is in doubt")
{
    struct Case
    {
        const char *name;
        bool allowed = true;
        bool failedBefore = false; // The failure of two more runs would be one too many.
        bool workWaits = false;
        bool unanswered = false;
    };
    for (const Case &it : {
             Case{.name = "not allowed", .allowed = false},
             Case{.name = "too few attempts", .failedBefore = true},
             Case{.name = "load", .workWaits = true},
             Case{.name = "start in flight", .unanswered = true},
         }) {
        CAPTURE(it.name);
        CoordinatorHarness harness(5);
        learn(harness);
        if (it.unanswered) {
            for (int i = 0; i < 5; ++i)
                harness.idleWorkers.insert("w" + std::to_string(i));
        }
        StepSpec spec = duplicable();
        spec.allowDuplicates = it.allowed;
        harness.submit("slow", spec);
        if (it.failedBefore) {
            end(harness, harness.starts.back(), RunOutcome::Failed);
            harness.advance(Millis{1'000});
        }
        if (it.workWaits)
            harness.submit("wide", tasks(12, 9'000)); // Leaves room for a duplicate.
        runSlowly(harness);
        CHECK(harness.startCount(slowTask) == (it.unanswered ? 0 : it.failedBefore ? 2 : 1));
        CHECK(harness.coordinator().counters().duplicatesStarted == 0);
    }
}

// Guards against an owner that loses track of one of two runs of its predecessor: it would start a
// third, or leave the slower one on its worker for ever.
TEST_CASE("A new owner stops the slower of two runs whenever the first has ended")
{
    for (const bool endsBefore : {true, false}) {
        CAPTURE(endsBefore);
        CoordinatorHarness harness(5);
        learn(harness);
        StepSpec two = duplicable();
        two.taskCount = 2; // The job goes on after the task is done.
        harness.submit("slow", two);
        runSlowly(harness, Millis{9'000});
        const std::vector<StartRunCommand> starts = startsOf(harness, slowTask);
        REQUIRE(starts.size() == 2);
        if (!endsBefore)
            harness.replaceOwner();
        end(harness, starts[1], RunOutcome::Done);
        harness.advance(Millis{endsBefore ? 500 : 3'000});
        if (endsBefore)
            harness.replaceOwner();
        harness.stops.clear();
        harness.stopsEndRuns = true;
        harness.advance(Millis{3'000});
        CHECK(harness.startCount(slowTask) == 2);
        CHECK(harness.coordinator().runs().ofTask(slowTask).empty());
        CHECK((harness.coordinator().jobTable().find("slow")->state == JobState::Running));
    }
}

// Guards against a job that is given up, or a worker that is suspected, because the run that was no
// longer needed failed or answered late.
TEST_CASE("The end of the slower run counts against neither job nor worker")
{
    for (const RunOutcome how : {RunOutcome::Failed, RunOutcome::Done, RunOutcome::Stopped}) {
        CAPTURE(toString(how));
        CoordinatorHarness harness(5);
        learn(harness);
        StepSpec two = duplicable();
        two.taskCount = 2;
        harness.submit("slow", two);
        runSlowly(harness, Millis{9'000});
        const std::vector<StartRunCommand> starts = startsOf(harness, slowTask);
        REQUIRE(starts.size() == 2);
        end(harness, starts[1], RunOutcome::Done);
        harness.advance(Millis{2'000});
        CHECK(harness.coordinator().runs().ofTask(slowTask).size() == 1);
        end(harness, starts[0], how); // The stop order alone has not ended it.
        harness.advance(Millis{2'000});
        CHECK(harness.coordinator().runs().ofTask(slowTask).empty());
        const Job &job = *harness.coordinator().jobTable().find("slow");
        CHECK((job.state == JobState::Running));
        CHECK(job.findTask(slowTask)->failedRuns == 0);
        CHECK(harness.coordinator().counters().workersQuarantined == 0);
        CHECK(harness.startCount(slowTask) == 2);
    }
}
