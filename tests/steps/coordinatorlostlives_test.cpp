// What becomes of tasks whose workers refuse connections until their leases are over: such workers
// may have crashed, or be cut off and run on.

#include "coordinatorharness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

// Until leases of earlier owners are over, so that those of the present owner alone count.
constexpr Millis settling{12'000};
// More than a lease that is renewed, so that what ran on a lost worker is started elsewhere.
constexpr Millis longerThanLeases{8'000};

bool isIn(JobState state, CoordinatorHarness &shard, const std::string &job)
{
    return shard.coordinator().durableState(job) == state;
}

std::string latestWorkerOf(const CoordinatorHarness &shard, const std::string &job)
{
    return shard.workersStartedOn(job).back();
}

// Advances until a task of the job is started once more, but not for more than `atMost`.
void advanceToNextStart(CoordinatorHarness &shard, const std::string &job, Millis atMost)
{
    const std::size_t starts = shard.workersStartedOn(job).size();
    const Instant giveUpAt = shard.now().monotonic + atMost;
    while (shard.workersStartedOn(job).size() == starts && shard.now().monotonic < giveUpAt)
        shard.advance(Millis{20});
}

} // namespace

// Guards against a job that is shown as failed although its workers were only cut off and ran on.
TEST_CASE("A worker that is cut off and runs on has not crashed under its tasks")
{
    constexpr int cuts = 5;
    CoordinatorHarness shard(6);
    shard.advance(settling);
    shard.submit("patient", tasks(1, 2'000));
    for (int i = 0; i < cuts; ++i) {
        CAPTURE(i);
        const std::string worker = latestWorkerOf(shard, "patient");
        shard.cutOff(worker);
        advanceToNextStart(shard, "patient", longerThanLeases);
        shard.reconnect(worker);
        shard.advance(Millis{500}); // Less than a run must last to clear its task.
        CHECK(isIn(JobState::Running, shard, "patient"));
    }
    shard.advance(Millis{3'000}); // All of the workers have answered again.
    CHECK(shard.coordinator().jobTable().lostLives().empty());
    CHECK(shard.startCount({"patient", 0, 0, 0}) == cuts + 1);
    CHECK(shard.coordinator().counters().workersCrashed == 0);
}

// Guards against a job that is shown as failed although nothing tells what became of its workers.
TEST_CASE("Workers that are never back end no job")
{
    constexpr int losses = 6;
    CoordinatorHarness shard(8);
    shard.advance(settling);
    shard.submit("patient", tasks(1, 2'000));
    for (int i = 0; i < losses; ++i) {
        const std::string worker = latestWorkerOf(shard, "patient");
        shard.cutOff(worker);
        advanceToNextStart(shard, "patient", Millis{70'000});
    }
    CHECK(shard.startCount({"patient", 0, 0, 0}) == losses + 1);
    CHECK(isIn(JobState::Running, shard, "patient"));
    shard.advance(Millis{70'000}); // The first of them are no longer waited for.
    CHECK(shard.coordinator().jobTable().lostLives().empty());
    CHECK(isIn(JobState::Running, shard, "patient"));
}

// Guards against crashes that are not counted since they are proved only after the lease, or after
// a takeover.
TEST_CASE("A crash counts when it is proved however late and whoever owns the shard then")
{
    struct Case
    {
        std::string name;
        bool sameId;
        bool takeover;
    };
    for (const Case &it : {Case{"new id", false, false}, Case{"same id", true, false},
                           Case{"new id after a takeover", false, true},
                           Case{"same id after a takeover", true, true}}) {
        CAPTURE(it.name);
        CoordinatorHarness shard(8);
        shard.advance(settling);
        shard.crashDowntime = Millis{9'000};
        shard.keepsIdOnRestart = it.sameId;
        shard.crashingJobs = {"deadly"};
        shard.submit("deadly", tasks(1, 2'000));
        shard.advance(longerThanLeases);
        CHECK(shard.startCount({"deadly", 0, 0, 0}) >= 2);
        CHECK_FALSE(shard.coordinator().jobTable().lostLives().empty());
        if (it.takeover)
            shard.replaceOwner();
        shard.advance(Millis{60'000});
        CHECK(isIn(JobState::Failed, shard, "deadly"));
        CHECK(shard.startCount({"deadly", 0, 0, 0}) <= 5);
    }
}

// Guards against a suspicion that is lost with a snapshot, or held against the task although the
// worker has answered.
TEST_CASE("A takeover between the loss of a worker and its return keeps the suspicion")
{
    CoordinatorHarness shard(6);
    shard.advance(settling);
    shard.submit("patient", tasks(1, 2'000));
    const std::string worker = latestWorkerOf(shard, "patient");
    shard.cutOff(worker);
    shard.advance(longerThanLeases);
    REQUIRE(shard.coordinator().jobTable().lostLives().size() == 1);
    JobTable restored;
    for (const std::string &it : shard.coordinator().snapshot())
        restored.apply(decodeRecord(it));
    CHECK(restored.lostLives().size() == 1);
    shard.replaceOwner();
    CHECK(shard.coordinator().jobTable().lostLives().size() == 1);
    shard.reconnect(worker);
    shard.advance(Millis{1'000});
    CHECK(shard.coordinator().jobTable().lostLives().empty());
    CHECK(isIn(JobState::Running, shard, "patient"));
}

// Guards against a suspicion that stays although the life goes on, since nothing was known of it
// for long.
TEST_CASE("A worker that answers after it was given up has not crashed")
{
    constexpr int workers = 3;
    for (const bool takeover : {false, true}) {
        CAPTURE(takeover);
        CoordinatorHarness shard(workers);
        shard.advance(settling);
        shard.submit("patient", tasks(1, 2'000));
        const std::string worker = latestWorkerOf(shard, "patient");
        for (int i = 0; i < workers; ++i)
            shard.cutOff("w" + std::to_string(i));
        shard.advance(Millis{70'000});
        REQUIRE(shard.coordinator().jobTable().lostLives().empty());
        if (takeover)
            shard.replaceOwner();
        const auto suspectedRuns = [&] {
            const Job *job = shard.coordinator().jobTable().find("patient");
            return job->findTask({"patient", 0, 0, 0})->suspectedRuns.size();
        };
        REQUIRE(suspectedRuns() == 1);
        shard.reconnect(worker);
        advanceToNextStart(shard, "patient", longerThanLeases);
        CHECK(shard.startCount({"patient", 0, 0, 0}) == 2);
        CHECK(suspectedRuns() == 0);
        CHECK(shard.coordinator().counters().workersNotCrashed == 1);
    }
}

// Guards against crashes that are charged since a snapshot restores lives that were given up.
TEST_CASE("A life that was given up is charged to nobody after a takeover")
{
    constexpr int workers = 3;
    CoordinatorHarness shard(workers);
    shard.keepsIdOnRestart = true;
    shard.advance(settling);
    shard.submit("patient", tasks(1, 2'000));
    const std::string worker = latestWorkerOf(shard, "patient");
    for (int i = 0; i < workers; ++i)
        shard.cutOff("w" + std::to_string(i));
    shard.advance(Millis{70'000});
    REQUIRE(shard.coordinator().jobTable().lostLives().empty());
    shard.crash(worker, Millis{0}); // Another life of it is listed as the next owner begins.
    shard.replaceOwnerFromSnapshot();
    shard.advance(Millis{400});
    const Job *job = shard.coordinator().jobTable().find("patient");
    CHECK(job->findTask({"patient", 0, 0, 0})->crashes == 0);
    CHECK(shard.coordinator().jobTable().lostLives().empty());
    CHECK(shard.coordinator().counters().workersCrashed == 0);
}

// Guards against crashes that a job gets rid of by being handed over to another shard.
TEST_CASE("A suspicion goes with a job that is handed over")
{
    CoordinatorHarness shard(4);
    shard.advance(settling);
    shard.submit("moving", tasks(1, 2'000));
    const std::string worker = latestWorkerOf(shard, "moving");
    shard.cutOff(worker);
    shard.advance(longerThanLeases);
    const JobTable &table = shard.coordinator().jobTable();
    REQUIRE(table.lostLives().size() == 1);
    const JobTransfer transfer{"moving", 1, table.snapshotOf(*table.find("moving"))};
    const auto suspected =
        std::count_if(transfer.state.begin(), transfer.state.end(),
                      [](const Record &it) { return std::holds_alternative<RunSuspected>(it); });
    CHECK(suspected == 1);
    JobTable other;
    for (const Record &it : transfer.state)
        other.apply(decodeRecord(encodeRecord(it)));
    CHECK(other.lostLives() == table.lostLives());
}

// Guards against innocent tasks that queue up for workers of their own after many were cut off.
TEST_CASE("After a sixth of the workers was cut off their tasks start elsewhere within a second")
{
    constexpr int workers = 24;
    constexpr int cut = 4;
    constexpr int jobs = 48;
    CoordinatorHarness shard(workers);
    shard.advance(settling);
    for (int i = 0; i < jobs; ++i)
        shard.submit("job" + std::to_string(i), tasks(2, 2'000));
    for (int i = 0; i < cut; ++i)
        shard.cutOff("w" + std::to_string(i));
    const auto running = [&] {
        int n = 0;
        for (const auto &[key, run] : shard.coordinator().runs().all())
            n += run.phase == RunPhase::Running ? 1 : 0;
        return n;
    };
    const std::size_t startsBefore = shard.starts.size();
    while (shard.starts.size() == startsBefore)
        shard.advance(Millis{20});
    shard.advance(Millis{1'000});
    CHECK(running() == jobs * 2);
    for (int i = 0; i < cut; ++i)
        shard.reconnect("w" + std::to_string(i));
    shard.advance(Millis{3'000});
    for (int i = 0; i < jobs; ++i)
        CHECK(isIn(JobState::Running, shard, "job" + std::to_string(i)));
    CHECK(shard.coordinator().counters().workersCrashed == 0);
}

// Guards against jobs that are given up since a whole zone was cut off, twice.
TEST_CASE("Workers that are all cut off at once have not crashed")
{
    constexpr int workers = 6;
    CoordinatorHarness shard(workers);
    shard.advance(settling);
    for (int i = 0; i < workers; ++i)
        shard.submit("job" + std::to_string(i), tasks(1, 14'000));
    for (int round = 0; round < 2; ++round) {
        for (int i = 0; i < workers; ++i)
            shard.cutOff("w" + std::to_string(i));
        shard.advance(longerThanLeases);
        for (int i = 0; i < workers; ++i)
            shard.reconnect("w" + std::to_string(i));
        shard.advance(Millis{1'000});
    }
    for (int i = 0; i < workers; ++i)
        CHECK(isIn(JobState::Running, shard, "job" + std::to_string(i)));
    CHECK(shard.coordinator().counters().workersCrashed == 0);
}
