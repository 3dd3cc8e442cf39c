#include "savorywick/steps/jobtable.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

const WorkerLife worker{"w", 1};

JobSpec twoSteps(bool gang = false)
{
    JobSpec spec;
    spec.id = "j";
    spec.policy.maxAttempts = 2;
    spec.steps.resize(2);
    spec.steps[0].count = 2;
    spec.steps[0].gang = gang;
    spec.steps[1].after = {0};
    return spec;
}

JobTable tableWith(const JobSpec &spec)
{
    JobTable table;
    table.apply(JobAccepted{spec, 100});
    return table;
}

void runOnce(JobTable &table, const TaskRef &task, int run, RunEnd how,
             const std::string &checkpoint = {})
{
    table.apply(RunStarted{task, run, worker});
    table.apply(RunEnded{task, run, how, checkpoint, 200});
}

JobState stateOf(const JobTable &table)
{
    return table.find("j")->state;
}

} // namespace

TEST_CASE("A job is complete once every task of every step is done")
{
    JobTable table = tableWith(twoSteps());
    CHECK((stateOf(table) == JobState::Queued));
    runOnce(table, {"j", 0, 0, 0}, 1, RunEnd::Done);
    CHECK((stateOf(table) == JobState::Running));
    runOnce(table, {"j", 0, 0, 1}, 1, RunEnd::Done);
    runOnce(table, {"j", 0, 1, 0}, 1, RunEnd::Done);
    CHECK((stateOf(table) == JobState::Completed));
    CHECK(table.find("j")->endedWallMs == 200);
}

TEST_CASE("Only ends by own fault count as attempts")
{
    struct Case
    {
        RunEnd how;
        bool counts;
    };
    for (const Case &it : {Case{RunEnd::Failed, true}, Case{RunEnd::Stopped, false},
                           Case{RunEnd::Lapsed, false}, Case{RunEnd::Broken, false},
                           Case{RunEnd::Alone, false}, Case{RunEnd::NeverStarted, false}}) {
        CAPTURE(toString(it.how));
        JobTable table = tableWith(twoSteps());
        runOnce(table, {"j", 0, 0, 0}, 1, it.how);
        runOnce(table, {"j", 0, 0, 0}, 2, it.how);
        CHECK((stateOf(table) == JobState::Failed) == it.counts);
    }
}

TEST_CASE("A task keeps the latest checkpoint and its run numbers rise")
{
    JobTable table = tableWith(twoSteps());
    runOnce(table, {"j", 0, 0, 0}, 1, RunEnd::Stopped, "c1");
    runOnce(table, {"j", 0, 0, 0}, 2, RunEnd::Lapsed);
    const Task *task = table.find("j")->find({"j", 0, 0, 0});
    CHECK(task->checkpoint == "c1");
    CHECK(task->lastRun == 2);
    CHECK(task->runs.empty());
}

TEST_CASE("One member's end as done stands for its gang and its failure counts once")
{
    JobTable table = tableWith(twoSteps(true));
    for (int i = 0; i < 2; ++i)
        table.apply(RunStarted{{"j", 0, 0, i}, 1, worker});
    for (int i = 0; i < 2; ++i)
        table.apply(RunEnded{{"j", 0, 0, i}, 1, RunEnd::Failed, "c", 200});
    CHECK((stateOf(table) == JobState::Running));
    CHECK(table.find("j")->find({"j", 0, 0, 1})->checkpoint == "c");
    for (int i = 0; i < 2; ++i)
        table.apply(RunStarted{{"j", 0, 0, i}, 2, worker});
    table.apply(RunEnded{{"j", 0, 0, 1}, 2, RunEnd::Done, "", 300});
    CHECK(table.find("j")->find({"j", 0, 0, 0})->done);
}

TEST_CASE("Standing tasks never complete nor fail their job")
{
    JobSpec spec = twoSteps();
    spec.steps.resize(1);
    spec.steps[0].standing = true;
    JobTable table = tableWith(spec);
    for (int run = 1; run < 6; ++run)
        runOnce(table, {"j", 0, 0, 0}, run, run % 2 == 0 ? RunEnd::Done : RunEnd::Failed);
    CHECK((stateOf(table) == JobState::Running));
    table.apply(JobCancelled{"j", 400});
    CHECK((stateOf(table) == JobState::Cancelled));
}

TEST_CASE("A snapshot brings an empty table to the same state")
{
    JobTable table = tableWith(twoSteps());
    runOnce(table, {"j", 0, 0, 0}, 1, RunEnd::Failed);
    runOnce(table, {"j", 0, 0, 1}, 1, RunEnd::Done);
    table.apply(RunStarted{{"j", 0, 0, 0}, 2, worker});
    JobTable copy;
    for (const Record &it : table.snapshot())
        copy.apply(it);
    runOnce(copy, {"j", 0, 1, 0}, 1, RunEnd::Done);
    CHECK((stateOf(copy) == JobState::Running));
    copy.apply(RunEnded{{"j", 0, 0, 0}, 2, RunEnd::Done, "", 500});
    CHECK((stateOf(copy) == JobState::Completed));
}

TEST_CASE("Records of unknown jobs and tasks change nothing")
{
    JobTable table = tableWith(twoSteps());
    runOnce(table, {"other", 0, 0, 0}, 1, RunEnd::Done);
    runOnce(table, {"j", 0, 7, 0}, 1, RunEnd::Done);
    runOnce(table, {"j", 1, 0, 0}, 1, RunEnd::Done);
    table.apply(JobCancelled{"other", 1});
    CHECK((stateOf(table) == JobState::Queued));
    table.apply(JobForgotten{"j"});
    CHECK(table.find("j") == nullptr);
}
