#include "coordinatorharness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

// The rule of the platform: after three crashes under a task it may be started twice more.
constexpr int maxStarts = 5;

StepSpec longRunningTasks(int count)
{
    StepSpec spec = longRunningTask();
    spec.taskCount = count;
    return spec;
}

bool isIn(JobState state, CoordinatorHarness &shard, const std::string &job)
{
    return shard.coordinator().durableState(job) == state;
}

// Returns how many runs of the job a worker has confirmed.
int runningCount(CoordinatorHarness &shard, const std::string &job)
{
    int count = 0;
    for (const RunKey &it : shard.coordinator().runs().ofJob(job))
        count += shard.coordinator().runs().find(it)->phase == RunPhase::Running ? 1 : 0;
    return count;
}

} // namespace

// Guards against a task that is started for ever although each worker that starts it crashes.
TEST_CASE("A task that crashes its workers is given up and those beside it go on")
{
    CoordinatorHarness shard(12);
    shard.submit("beside", tasks(20, 4'000));
    shard.submit("serving", longRunningTasks(8));
    shard.crashingJobs = {"deadly"};
    shard.submit("deadly", tasks(6, 2'000));
    shard.advance(Millis{60'000});
    CHECK(shard.startCount({"deadly", 0, 0, 0}) <= maxStarts);
    CHECK(isIn(JobState::Failed, shard, "deadly"));
    CHECK(isIn(JobState::Running, shard, "beside"));
    CHECK(runningCount(shard, "beside") == 20);
    CHECK(runningCount(shard, "serving") == 8);
}

// Guards against a count of crashes that is lost with the owner that saw them.
TEST_CASE("A takeover forgets no crash under a task")
{
    for (const Millis interval : {Millis{700}, Millis{2'000}, Millis{3'500}, Millis{5'000}}) {
        CAPTURE(interval.count());
        CoordinatorHarness shard(12);
        shard.submit("beside", tasks(20, 4'000));
        shard.crashingJobs = {"deadly"};
        shard.submit("deadly", tasks(1, 2'000));
        for (int i = 0; i < 12; ++i) {
            shard.advance(interval);
            shard.replaceOwner();
        }
        shard.advance(Millis{40'000});
        CHECK(shard.startCount({"deadly", 0, 0, 0}) <= maxStarts);
        CHECK(isIn(JobState::Failed, shard, "deadly"));
        CHECK(isIn(JobState::Running, shard, "beside"));
        CHECK(runningCount(shard, "beside") == 20);
    }
}

// Guards against runs that wait for the end of a lease of a worker that is known to be over.
TEST_CASE("Tasks of a crashed worker start elsewhere once another life has its address")
{
    CoordinatorHarness shard(4);
    shard.submit("serving", longRunningTasks(4));
    shard.advance(Millis{5'000});
    const std::string worker = shard.starts.front().target.worker.workerId;
    shard.crash(worker, Millis{1'000});
    shard.advance(Millis{2'500});
    CHECK(runningCount(shard, "serving") == 4);
    CHECK(shard.coordinator().runs().onWorker(worker).empty());
}

// Guards against a crash that is missed since the worker is back only after its lease is over.
TEST_CASE("A crash counts however long the worker stays away")
{
    CoordinatorHarness shard(12);
    shard.crashDowntime = Millis{9'000};
    shard.crashingJobs = {"deadly"};
    shard.submit("deadly", tasks(1, 2'000));
    shard.advance(Millis{60'000});
    CHECK(shard.startCount({"deadly", 0, 0, 0}) <= maxStarts);
    CHECK(isIn(JobState::Failed, shard, "deadly"));
}

// Guards against a job that is given up since its workers were cut off, and not seen to crash.
TEST_CASE("A worker that was silent before another life was met has not crashed under its tasks")
{
    CoordinatorHarness shard(4);
    shard.submit("patient", tasks(1, 2'000));
    for (int i = 0; i < 4; ++i) {
        const std::string worker = shard.starts.back().target.worker.workerId;
        shard.silentWorkers.insert(worker);
        shard.advance(Millis{3'000});
        shard.crash(worker, Millis{1'000});
        shard.advance(Millis{3'000});
        CHECK(shard.coordinator().counters().workersCrashed == 0);
    }
    CHECK(shard.startCount({"patient", 0, 0, 0}) == 5);
    CHECK(isIn(JobState::Running, shard, "patient"));
}

// Guards against a job that is given up since its workers were replaced one after the other.
TEST_CASE("A worker that drained before it left has not crashed under its tasks")
{
    CoordinatorHarness shard(6);
    shard.submit("patient", tasks(1, 2'000));
    for (int i = 0; i < 5; ++i) {
        const std::string worker = shard.starts.back().target.worker.workerId;
        shard.setDraining(i);
        shard.advance(Millis{100});
        shard.crash(worker, Millis{1'000});
        shard.advance(Millis{2'500});
    }
    CHECK(shard.coordinator().counters().runsEnded.contains(RunOutcome::CausedCrash) == false);
    CHECK(isIn(JobState::Running, shard, "patient"));
}

// Guards against jobs that are given up since all workers failed twice, for reasons of their own.
TEST_CASE("Crashes of many workers at once are not held against their tasks")
{
    constexpr int workers = 10;
    CoordinatorHarness shard(workers);
    shard.submit("old", tasks(3, 4'000)); // On one worker; the others' crashes have no explanation.
    shard.advance(Millis{3'000});
    for (int i = 0; i < workers; ++i)
        shard.submit("young" + std::to_string(i), tasks(1, 14'000));
    shard.crashAll();
    shard.advance(Millis{3'400});
    shard.crashAll();
    shard.advance(Millis{20'000});
    for (int i = 0; i < workers; ++i)
        CHECK(isIn(JobState::Running, shard, "young" + std::to_string(i)));
    CHECK(isIn(JobState::Running, shard, "old"));
}

// Guards against bystanders that pay for tasks that crash workers beside them.
TEST_CASE("Of many jobs just those that crash their workers are given up")
{
    constexpr int workers = 24;
    constexpr int jobs = 40;
    CoordinatorHarness shard(workers);
    shard.submit("serving", longRunningTasks(20));
    for (int i = 0; i < jobs; ++i) {
        const bool crashes = i % 8 == 3;
        const std::string id = (crashes ? "deadly" : "job") + std::to_string(i);
        if (crashes)
            shard.crashingJobs.insert(id);
        shard.submit(id, tasks(1 + i % 4, 2'000));
        shard.advance(Millis{200});
    }
    shard.advance(Millis{40'000});
    for (int i = 0; i < jobs; ++i) {
        CAPTURE(i);
        const bool crashes = i % 8 == 3;
        const std::string id = (crashes ? "deadly" : "job") + std::to_string(i);
        CHECK(isIn(crashes ? JobState::Failed : JobState::Running, shard, id));
        CHECK(shard.startCount({id, 0, 0, 0}) <= maxStarts);
    }
    CHECK(runningCount(shard, "serving") == 20);
    CHECK(shard.crashes.size() <= maxStarts * shard.crashingJobs.size());
}

// Guards against work that is done again from its start although the worker had told of a
// checkpoint before it was lost.
TEST_CASE("A run whose worker is lost resumes from the latest checkpoint that was reported")
{
    for (const bool crashes : {false, true}) {
        CAPTURE(crashes);
        CoordinatorHarness shard(2);
        shard.submit("saving", tasks(1, 2'000));
        shard.savedCheckpoint = "00aa";
        shard.advance(Millis{2'000});
        shard.savedCheckpoint = "00bb";
        shard.advance(Millis{2'000});
        const std::string worker = shard.starts.front().target.worker.workerId;
        if (crashes)
            shard.crash(worker, Millis{3'000});
        else
            shard.silentWorkers.insert(worker);
        shard.advance(Millis{12'000});
        REQUIRE(shard.starts.size() == 2);
        CHECK(shard.starts.back().checkpoint == "00bb");
    }
}
