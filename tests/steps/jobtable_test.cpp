#include "savorywick/steps/jobtable.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

const WorkerIncarnation worker{"w", 1};

// Returns a job with a step of two tasks and a step of one that depends on it.
JobSpec twoStepJob(bool gang = false)
{
    JobSpec spec;
    spec.id = "j";
    spec.policy.maxAttempts = 2;
    spec.steps.resize(2);
    spec.steps[0].taskCount = 2;
    spec.steps[0].gang = gang;
    spec.steps[1].dependsOn = {0};
    return spec;
}

JobTable tableWithJob(const JobSpec &spec)
{
    JobTable table;
    table.apply(JobAccepted{spec, 100});
    return table;
}

// Applies the start and the end of a run.
void applyRun(JobTable &table, const TaskRef &task, int run, RunOutcome outcome,
              const std::string &checkpoint = {})
{
    table.apply(RunStarted{task, run, worker});
    table.apply(RunEnded{task, run, outcome, checkpoint, 200});
}

JobState jobState(const JobTable &table)
{
    return table.find("j")->state;
}

} // namespace

TEST_CASE("A job completes once every task of every step is done")
{
    JobTable table = tableWithJob(twoStepJob());
    CHECK((jobState(table) == JobState::Queued));
    applyRun(table, {"j", 0, 0, 0}, 1, RunOutcome::Done);
    CHECK((jobState(table) == JobState::Running));
    applyRun(table, {"j", 0, 0, 1}, 1, RunOutcome::Done);
    applyRun(table, {"j", 0, 1, 0}, 1, RunOutcome::Done);
    CHECK((jobState(table) == JobState::Completed));
    CHECK(table.find("j")->endedWallMs == 200);
}

TEST_CASE("Only failed runs count as attempts")
{
    struct Case
    {
        RunOutcome outcome;
        bool counts;
    };
    for (const Case &it :
         {Case{RunOutcome::Failed, true}, Case{RunOutcome::Stopped, false},
          Case{RunOutcome::LeaseExpired, false}, Case{RunOutcome::GangBroken, false},
          Case{RunOutcome::GangIncomplete, false}, Case{RunOutcome::NeverStarted, false}}) {
        CAPTURE(toString(it.outcome));
        JobTable table = tableWithJob(twoStepJob());
        applyRun(table, {"j", 0, 0, 0}, 1, it.outcome);
        applyRun(table, {"j", 0, 0, 0}, 2, it.outcome);
        CHECK((jobState(table) == JobState::Failed) == it.counts);
    }
}

TEST_CASE("A job is given up once a task has caused two crashes or had four and no run has lasted")
{
    struct Case
    {
        std::vector<RunOutcome> outcomes;
        bool clearedBetween = false;
        bool givenUp = false;
    };
    const Case cases[] = {
        {{RunOutcome::CausedCrash}, false, false},
        {{RunOutcome::CausedCrash, RunOutcome::CausedCrash}, false, true},
        {{RunOutcome::CausedCrash, RunOutcome::CausedCrash}, true, false},
        {{RunOutcome::WorkerCrashed, RunOutcome::WorkerCrashed, RunOutcome::CausedCrash},
         false,
         false},
        {{RunOutcome::WorkerCrashed, RunOutcome::CausedCrash, RunOutcome::CausedCrash},
         false,
         true},
        {{RunOutcome::CausedCrash, RunOutcome::LeaseExpired, RunOutcome::CausedCrash}, false, true},
        {std::vector<RunOutcome>(3, RunOutcome::WorkerCrashed), false, false},
        {std::vector<RunOutcome>(4, RunOutcome::WorkerCrashed), false, true},
        {std::vector<RunOutcome>(9, RunOutcome::WorkerCrashed), true, false},
        {std::vector<RunOutcome>(9, RunOutcome::LeaseExpired), false, false},
    };
    for (const Case &it : cases) {
        for (const bool gang : {false, true}) {
            JobTable table = tableWithJob(twoStepJob(gang));
            int run = 0;
            for (const RunOutcome outcome : it.outcomes) {
                applyRun(table, {"j", 0, 0, 1}, ++run, outcome);
                if (it.clearedBetween)
                    table.apply(TaskCleared{{"j", 0, 0, 1}});
            }
            CHECK((jobState(table) == JobState::Failed) == it.givenUp);
        }
    }
}

// Guards against a task that a later owner starts elsewhere although its worker may execute a start
// late, and against one that is tied to a worker for no reason.
TEST_CASE(
    "An unanswered start is known until its worker tells of an end or another one has the task")
{
    struct Case
    {
        std::string what;
        std::vector<Record> records;
        bool known;
    };
    const TaskRef ref{"j", 0, 0, 0};
    const std::vector<Case> cases = {
        {"nothing follows", {}, true},
        {"another run there is lost",
         {RunStarted{ref, 2, {"w", 1}}, RunEnded{ref, 2, RunOutcome::LeaseExpired, "", 3}},
         true},
        {"another run there fails",
         {RunStarted{ref, 2, {"w", 1}}, RunEnded{ref, 2, RunOutcome::Failed, "", 3}},
         false},
        {"it is started elsewhere", {RunStarted{ref, 2, {"x", 1}}}, false},
    };
    for (const Case &it : cases) {
        CAPTURE(it.what);
        JobTable table = tableWithJob(twoStepJob());
        applyRun(table, ref, 1, RunOutcome::NeverStarted);
        table.apply(StartUnanswered{ref, {1, "w", 91'234}});
        for (const Record &record : it.records)
            table.apply(record);
        JobTable restored;
        for (const Record &record : table.snapshot())
            restored.apply(decodeRecord(encodeRecord(record)));
        for (const JobTable *known : {&table, &restored})
            CHECK(known->find("j")->findTask(ref)->unansweredStart.has_value() == it.known);
    }
}

// Guards against a charge without a proof, and against a proof that comes too late to be counted.
TEST_CASE("Suspected runs count once their worker is known to have crashed")
{
    struct Case
    {
        std::vector<LifeVerdict> verdicts; // Of two lives that a run was lost with, in order.
        int crashes;
        bool suspected;
        JobState state;
    };
    using enum LifeVerdict;
    const std::vector<Case> cases = {
        {{}, 0, true, JobState::Running},
        {{Crashed}, 1, true, JobState::Running},
        {{Crashed, Crashed}, 2, false, JobState::Failed},
        {{Crashed, NotCrashed}, 1, false, JobState::Running},
        {{NotCrashed, NotCrashed}, 0, false, JobState::Running},
        {{Unknown, Unknown}, 0, true, JobState::Running},
        {{Crashed, Unknown}, 1, true, JobState::Running},
    };
    const TaskRef ref{"j", 0, 0, 1};
    const WorkerIncarnation lives[] = {{"w0", 1}, {"w1", 1}};
    for (const Case &it : cases) {
        for (const bool throughSnapshot : {false, true}) {
            JobTable table = tableWithJob(twoStepJob());
            for (int run = 1; run <= 2; ++run) {
                table.apply(RunSuspected{ref, {run, lives[run - 1], "10.0.0.1:1", true, 5}});
                applyRun(table, ref, run, RunOutcome::LeaseExpired);
            }
            if (throughSnapshot) {
                JobTable copy;
                for (const Record &record : table.snapshot())
                    copy.apply(decodeRecord(encodeRecord(record)));
                table = copy;
            }
            CHECK(table.lostLives().size() == 2);
            for (std::size_t i = 0; i < it.verdicts.size(); ++i)
                table.apply(LifeSettled{lives[i], it.verdicts[i], 6});
            CHECK(table.lostLives().size() == 2 - it.verdicts.size());
            const Task &task = *table.find("j")->findTask(ref);
            CHECK(task.crashes == it.crashes);
            CHECK(task.suspectedRuns.empty() == !it.suspected);
            CHECK((jobState(table) == it.state));
        }
    }
}

// Guards against a suspicion that outlasts the proof that the life goes on, and against lives that
// stay in the table though no task of an open job is suspected.
TEST_CASE("A life that was given up is known until it answers or its tasks are suspected no more")
{
    struct Case
    {
        std::string name;
        std::function<void(JobTable &)> next; // After the life was given up.
        bool known;
        std::size_t suspectedRuns;
    };
    const TaskRef ref{"j", 0, 0, 1};
    const std::vector<Case> cases = {
        {"nothing", [](JobTable &) {}, true, 1},
        {"it answers",
         [](JobTable &table) {
             table.apply(LifeSettled{worker, LifeVerdict::NotCrashed, 9});
         },
         false, 0},
        {"a run lasts", [&](JobTable &table) { table.apply(TaskCleared{ref}); }, false, 0},
        {"the job leaves",
         [](JobTable &table) {
             table.apply(JobDelegated{"j", 1, 9, 1});
         },
         false, 0},
        {"the job is purged", [](JobTable &table) { table.apply(JobPurged{"j"}); }, false, 0},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        JobTable table = tableWithJob(twoStepJob());
        table.apply(RunSuspected{ref, {1, worker, "10.0.0.1:1", true, 5}});
        table.apply(LifeSettled{worker, LifeVerdict::Unknown, 6});
        CHECK(table.lostLives().empty());
        it.next(table);
        CHECK(table.lostLife(worker).has_value() == it.known);
        const Job *job = table.find("j");
        CHECK((job ? job->findTask(ref)->suspectedRuns.size() : 0) == it.suspectedRuns);
    }
}

TEST_CASE("A run that lasts clears its task of suspected runs")
{
    JobTable table = tableWithJob(twoStepJob());
    const TaskRef ref{"j", 0, 0, 1};
    table.apply(RunSuspected{ref, {1, worker, "10.0.0.1:1", true, 5}});
    table.apply(TaskCleared{ref});
    CHECK(table.lostLives().empty());
    CHECK(table.find("j")->findTask(ref)->suspectedRuns.empty());
}

TEST_CASE("A snapshot keeps what is known of crashes and the addresses of workers with runs")
{
    JobTable table = tableWithJob(twoStepJob());
    table.apply(WorkerAddress{"w", "10.0.0.1:1"});
    table.apply(WorkerAddress{"unused", "10.0.0.2:1"});
    applyRun(table, {"j", 0, 0, 0}, 1, RunOutcome::CausedCrash);
    table.apply(RunStarted{{"j", 0, 0, 1}, 1, worker});
    JobTable copy;
    for (const Record &it : table.snapshot())
        copy.apply(decodeRecord(encodeRecord(it)));
    CHECK(copy.workerAddress("w") == "10.0.0.1:1");
    CHECK(copy.workerAddress("unused").empty());
    CHECK(copy.find("j")->findTask({"j", 0, 0, 0})->crashes == 1);
    CHECK(copy.find("j")->findTask({"j", 0, 0, 0})->causedCrashes == 1);
    applyRun(copy, {"j", 0, 0, 0}, 2, RunOutcome::CausedCrash);
    CHECK((jobState(copy) == JobState::Failed));
}

TEST_CASE("A task keeps its latest checkpoint and its latest run number")
{
    JobTable table = tableWithJob(twoStepJob());
    applyRun(table, {"j", 0, 0, 0}, 1, RunOutcome::Stopped, "c1");
    applyRun(table, {"j", 0, 0, 0}, 2, RunOutcome::LeaseExpired);
    const Task *task = table.find("j")->findTask({"j", 0, 0, 0});
    CHECK(task->checkpoint == "c1");
    CHECK(task->lastRunNumber == 2);
    CHECK(task->activeRuns.empty());
}

TEST_CASE("One done member completes its gang and a failed gang run counts as one attempt")
{
    JobTable table = tableWithJob(twoStepJob(true));
    for (int i = 0; i < 2; ++i)
        table.apply(RunStarted{{"j", 0, 0, i}, 1, worker});
    for (int i = 0; i < 2; ++i)
        table.apply(RunEnded{{"j", 0, 0, i}, 1, RunOutcome::Failed, "c", 200});
    CHECK((jobState(table) == JobState::Running));
    CHECK(table.find("j")->findTask({"j", 0, 0, 1})->checkpoint == "c");
    for (int i = 0; i < 2; ++i)
        table.apply(RunStarted{{"j", 0, 0, i}, 2, worker});
    table.apply(RunEnded{{"j", 0, 0, 1}, 2, RunOutcome::Done, "", 300});
    CHECK(table.find("j")->findTask({"j", 0, 0, 0})->done);
}

TEST_CASE("Long-running tasks neither complete nor fail their job")
{
    JobSpec spec = twoStepJob();
    spec.steps.resize(1);
    spec.steps[0].longRunning = true;
    JobTable table = tableWithJob(spec);
    for (int run = 1; run < 6; ++run)
        applyRun(table, {"j", 0, 0, 0}, run, run % 2 == 0 ? RunOutcome::Done : RunOutcome::Failed);
    CHECK((jobState(table) == JobState::Running));
    table.apply(JobCancelled{"j", 400});
    CHECK((jobState(table) == JobState::Cancelled));
}

TEST_CASE("A snapshot restores the same state in an empty table")
{
    JobTable table = tableWithJob(twoStepJob());
    applyRun(table, {"j", 0, 0, 0}, 1, RunOutcome::Failed);
    applyRun(table, {"j", 0, 0, 1}, 1, RunOutcome::Done);
    table.apply(RunStarted{{"j", 0, 0, 0}, 2, worker});
    JobTable restored;
    for (const Record &it : table.snapshot())
        restored.apply(it);
    applyRun(restored, {"j", 0, 1, 0}, 1, RunOutcome::Done);
    CHECK((jobState(restored) == JobState::Running));
    restored.apply(RunEnded{{"j", 0, 0, 0}, 2, RunOutcome::Done, "", 500});
    CHECK((jobState(restored) == JobState::Completed));
}

// Guards against snapshots that take an owner a large part of a second, as most of their bytes are
// tasks of jobs that have ended and are kept only to tell their states.
TEST_CASE("A snapshot holds no tasks of an ended job but those that still have a run")
{
    JobTable table = tableWithJob(twoStepJob());
    applyRun(table, {"j", 0, 0, 0}, 1, RunOutcome::Done);
    table.apply(RunStarted{{"j", 0, 0, 1}, 1, worker});
    table.apply(JobCancelled{"j", 400});
    JobTable restored;
    int taskCount = 0;
    for (const Record &it : table.snapshot()) {
        taskCount += std::holds_alternative<TaskSnapshot>(it) ? 1 : 0;
        restored.apply(it);
    }
    CHECK(taskCount == 1);
    CHECK((jobState(restored) == JobState::Cancelled));
    CHECK(restored.find("j")->endedWallMs == 400);
    CHECK(restored.find("j")->findTask({"j", 0, 0, 1})->activeRuns.size() == 1);
    restored.apply(RunEnded{{"j", 0, 0, 1}, 1, RunOutcome::Done, "", 500});
    CHECK(restored.find("j")->findTask({"j", 0, 0, 1})->activeRuns.empty());
    CHECK((jobState(restored) == JobState::Cancelled));
    CHECK(restored.find("j")->endedWallMs == 400);
}

// Guards against a job that is given up since the second run of a task, which was no longer needed,
// failed or was lost with its worker.
TEST_CASE("A run that ends after its task is done counts as nothing")
{
    for (const RunOutcome outcome : {RunOutcome::Failed, RunOutcome::CausedCrash,
                                     RunOutcome::WorkerCrashed, RunOutcome::Done}) {
        CAPTURE(toString(outcome));
        JobTable table = tableWithJob(twoStepJob());
        const TaskRef ref{"j", 0, 0, 0};
        table.apply(RunStarted{ref, 1, worker});
        table.apply(RunStarted{ref, 2, {"v", 1}});
        table.apply(RunEnded{ref, 2, RunOutcome::Done, "", 200});
        table.apply(RunEnded{ref, 1, outcome, "late", 300});
        const Task &task = *table.find("j")->findTask(ref);
        CHECK(task.activeRuns.empty());
        CHECK(task.failedRuns + task.crashes + task.causedCrashes == 0);
        CHECK(table.find("j")->occurrences.at(0).steps[0].doneTasks == 1);
    }
}

TEST_CASE("Records of unknown jobs and tasks are ignored")
{
    JobTable table = tableWithJob(twoStepJob());
    applyRun(table, {"other", 0, 0, 0}, 1, RunOutcome::Done);
    applyRun(table, {"j", 0, 7, 0}, 1, RunOutcome::Done);
    applyRun(table, {"j", 1, 0, 0}, 1, RunOutcome::Done);
    table.apply(JobCancelled{"other", 1});
    CHECK((jobState(table) == JobState::Queued));
    table.apply(JobPurged{"j"});
    CHECK(table.find("j") == nullptr);
}
