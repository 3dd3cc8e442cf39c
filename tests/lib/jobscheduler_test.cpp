#include "savorywick/jobscheduler.h"

#include "jobschedulerfixture.h"
#include "savorywick/errors.h"
#include "savorywick/journal.h"

#include <doctest/doctest.h>

using namespace savorywick;

TEST_CASE("A run is placed and finishes with its result")
{
    SchedulerFixture fixture(2);
    CHECK(nameOf(fixture.submit(makeJobSpec("a"))) == "accepted");
    fixture.runFor(Millis{70'000});
    CHECK(fixture.state("a") == "finished");
    CHECK(fixture.job("a").attempt == 1);
    CHECK(fixture.job("a").result == "result of a");
    CHECK(fixture.scheduler().ledger().allocated("w0") == Resources{});
    CHECK(fixture.worker(fixture.job("a").worker).tasks().empty());
}

TEST_CASE("A repeated idempotency key returns the first job and a changed body is refused")
{
    SchedulerFixture fixture(1);
    fixture.submit(makeJobSpec("a"));
    JobSpec again = makeJobSpec("b");
    again.idempotencyKey = "key-a";
    CHECK(nameOf(fixture.submit(again)) == "repeated");
    CHECK(fixture.submit(again).id == "a");
    again.bodyHash = "other";
    CHECK(nameOf(fixture.submit(again)) == "key-reused");
    again = makeJobSpec("a");
    again.idempotencyKey = "new";
    CHECK(nameOf(fixture.submit(again)) == "id-reused");
    CHECK_THROWS_AS(fixture.submit(makeJobSpec("")), Error);
    fixture.replaceOwner();
    CHECK(nameOf(fixture.submit(makeJobSpec("a"))) == "repeated");
}

TEST_CASE("A run that exceeds the capacity of every worker is refused at once with a reason")
{
    SchedulerFixture fixture(2);
    const SubmitResult result = fixture.submit(makeJobSpec("a", 9));
    CHECK(nameOf(result) == "fits-no-worker");
    CHECK_FALSE(result.reason.empty());
    CHECK(fixture.scheduler().size() == 0);
    SchedulerFixture withoutWorkers(0);
    CHECK(nameOf(withoutWorkers.submit(makeJobSpec("a", 9))) == "accepted");
}

TEST_CASE("Runs on a restarted worker are placed again at once")
{
    SchedulerFixture fixture(1);
    fixture.submit(makeJobSpec("a"));
    fixture.runFor(Millis{2'000});
    fixture.worker("w0").restart();
    fixture.runFor(Millis{6'000});
    CHECK(fixture.job("a").attempt == 2);
    CHECK(fixture.scheduler().counters().restarts == 1);
}

TEST_CASE("A run on an unreachable worker is placed elsewhere only once its lease must have lapsed")
{
    SchedulerFixture fixture(2);
    fixture.submit(makeJobSpec("a"));
    fixture.runFor(Millis{2'000});
    const std::string first = fixture.job("a").worker;
    fixture.disconnect(first);
    while (fixture.job("a").attempt == 1) {
        REQUIRE(fixture.now().count() < 60'000);
        fixture.runFor(Millis{500});
        if (fixture.job("a").attempt == 2)
            CHECK_FALSE(fixture.worker(first).isRunning("a"));
    }
    CHECK(fixture.job("a").worker != first);
    CHECK(fixture.scheduler().counters().lapsed == 1);
    MESSAGE("placed again after ", fixture.now().count(), " ms");
    fixture.reconnect(first);
    fixture.runFor(Millis{70'000});
    CHECK(fixture.state("a") == "finished");
    CHECK(fixture.job("a").attempt == 2);
}

TEST_CASE("A cancelled run is stopped if it is running and never starts if it is waiting")
{
    SchedulerFixture fixture(1);
    fixture.submit(makeJobSpec("a", 8));
    fixture.submit(makeJobSpec("b", 8));
    fixture.runFor(Millis{2'000});
    CHECK(nameOf(fixture.cancel("b")) == "cancelled");
    CHECK(nameOf(fixture.cancel("a")) == "cancelling");
    fixture.runFor(Millis{1'000});
    CHECK(fixture.state("a") == "cancelled");
    CHECK_FALSE(fixture.worker("w0").isRunning("a"));
    CHECK(fixture.job("b").attempt == 0);
    CHECK(nameOf(fixture.cancel("a")) == "cancelled");
    CHECK(nameOf(fixture.cancel("unknown")).empty());
}

TEST_CASE("A start call that is not sent yet becomes invalid when its run is cancelled")
{
    SchedulerFixture fixture(1);
    fixture.runFor(Millis{1'000});
    JobScheduler::Records records;
    fixture.scheduler().submit(makeJobSpec("a"), fixture.now(), records);
    fixture.scheduler().tick(fixture.now(), records);
    const auto calls = fixture.scheduler().takeCalls();
    REQUIRE(calls.size() == 1);
    REQUIRE(std::holds_alternative<StartTask>(calls.front()));
    CHECK(fixture.scheduler().isStillValid(calls.front()));
    fixture.scheduler().cancel("a", fixture.now(), records);
    CHECK_FALSE(fixture.scheduler().isStillValid(calls.front()));
}

TEST_CASE("Cancelling 10000 runs at once takes few commits and starts nothing")
{
    SchedulerFixture fixture(1);
    fixture.worker("w0").setFailAll(false);
    fixture.submit(makeJobSpec("running", 8));
    fixture.runFor(Millis{1'000});
    JobScheduler::Records records;
    for (int n = 0; n < 10'000; ++n)
        fixture.scheduler().submit(makeJobSpec("j" + std::to_string(n)), fixture.now(), records);
    records.clear();
    for (int n = 0; n < 10'000; ++n)
        fixture.scheduler().cancel("j" + std::to_string(n), fixture.now(), records);
    CHECK(fixture.scheduler().count(JobState::Cancelled) == 10'000);
    const JournalSettings settings;
    Journal journal({0, {"a.1", "", 1, 0, 0, 1, "", ""}, 1}, settings);
    const LogSequenceNumber last = journal.append(records);
    int commits = 0;
    for (Instant now; journal.durableLsn() < last; now = now + settings.commitInterval) {
        REQUIRE(journal.nextCommit(now));
        journal.handleCommitResult({CommitOutcome::Committed, 2}, now);
        ++commits;
    }
    CHECK(commits <= 5);
    const std::size_t starts = fixture.startCalls();
    fixture.runFor(Millis{120'000});
    CHECK(fixture.startCalls() == starts);
}

TEST_CASE("An evicted run resumes once from its recorded checkpoint")
{
    SchedulerFixture fixture(2);
    fixture.submit(makeJobSpec("a"));
    fixture.runFor(Millis{10'000});
    CHECK(fixture.evict("a"));
    CHECK_FALSE(fixture.evict("a"));
    fixture.runFor(Millis{3'000});
    CHECK(fixture.job("a").attempt == 2);
    CHECK(std::stoi(fixture.job("a").checkpoint) >= 9'000);
    fixture.runFor(Millis{55'000});
    CHECK(fixture.state("a") == "finished");
    CHECK(fixture.startCalls() == 2);
    CHECK(fixture.scheduler().counters().evictions == 1);
}

TEST_CASE("An evicted run resumes exactly once at whatever step its worker is disconnected")
{
    // 0: before the checkpoint, 1: between the checkpoint and the stop, 2: after the stop.
    for (int disconnectAtStep = 0; disconnectAtStep < 3; ++disconnectAtStep) {
        for (const bool replace : {false, true}) {
            CAPTURE(disconnectAtStep);
            CAPTURE(replace);
            SchedulerFixture fixture(2);
            fixture.submit(makeJobSpec("a"));
            fixture.runFor(Millis{10'000});
            const std::string first = fixture.job("a").worker;
            if (disconnectAtStep == 0)
                fixture.disconnect(first);
            fixture.evict("a");
            if (disconnectAtStep == 1) {
                JobScheduler::Records records;
                fixture.scheduler().handleCheckpointReply("a", 1, "9000", fixture.now(), records);
                CHECK(fixture.state("a") == "evicting");
                fixture.disconnect(first);
                fixture.scheduler().takeCalls();
            }
            // In step 1 the record of the checkpoint is lost, as if its commit had failed.
            if (replace)
                fixture.replaceOwner(disconnectAtStep != 1);
            fixture.runFor(Millis{1'000});
            if (disconnectAtStep == 2)
                fixture.disconnect(first);
            // If attempt 2 was placed on the disconnected worker, a third one is needed.
            const bool needsThird =
                fixture.job("a").attempt == 2 && fixture.job("a").worker == first;
            fixture.runFor(Millis{50'000});
            fixture.reconnect(first);
            fixture.runFor(Millis{90'000});
            CHECK(fixture.state("a") == "finished");
            CHECK(fixture.job("a").attempt == (needsThird ? 3 : 2));
        }
    }
}

TEST_CASE("An evicted run that is not checkpointable is stopped and starts over")
{
    SchedulerFixture fixture(1);
    JobSpec s = makeJobSpec("a");
    s.checkpointable = false;
    fixture.submit(s);
    fixture.runFor(Millis{10'000});
    CHECK(fixture.evict("a"));
    fixture.runFor(Millis{2'000});
    CHECK(fixture.job("a").attempt == 2);
    CHECK(fixture.job("a").checkpoint.empty());
}

TEST_CASE("A new owner adopts running attempts and starts none twice")
{
    SchedulerFixture fixture(2);
    for (const char *id : {"a", "b", "c"})
        fixture.submit(makeJobSpec(id));
    fixture.runFor(Millis{5'000});
    const std::size_t starts = fixture.startCalls();
    fixture.replaceOwner();
    fixture.runFor(Millis{20'000});
    CHECK(fixture.startCalls() == starts);
    CHECK(fixture.state("a") == "placed");
    fixture.runFor(Millis{50'000});
    for (const char *id : {"a", "b", "c"}) {
        CHECK(fixture.state(id) == "finished");
        CHECK(fixture.job(id).attempt == 1);
    }
}

TEST_CASE("A new owner waits two lease terms for an unreachable worker")
{
    SchedulerFixture fixture(2);
    fixture.submit(makeJobSpec("a"));
    fixture.runFor(Millis{2'000});
    fixture.disconnect(fixture.job("a").worker);
    fixture.replaceOwner();
    const Instant takenOverAt = fixture.now();
    while (fixture.job("a").attempt == 1)
        fixture.runFor(Millis{500});
    CHECK(fixture.now() - takenOverAt >= Millis{31'000});
    CHECK(fixture.now() - takenOverAt <= Millis{50'000});
}

TEST_CASE("A refused start releases its attempt only if no call under way can still start it")
{
    struct Case
    {
        StartOutcome outcome;
        bool released; // At once, since the worker refuses every copy of the call.
        bool stops; // A stop must first make the worker refuse the attempt.
    };
    for (const Case &it :
         {Case{StartOutcome::WrongIncarnation, true, false},
          Case{StartOutcome::StaleAttempt, true, false}, Case{StartOutcome::NoRoom, false, true},
          Case{StartOutcome::NoLease, false, false}, Case{StartOutcome::StaleEpoch, false, false},
          Case{StartOutcome::Unknown, false, false}}) {
        CAPTURE(static_cast<int>(it.outcome));
        SchedulerFixture fixture(1);
        fixture.runFor(Millis{1'000});
        JobScheduler::Records records;
        fixture.scheduler().submit(makeJobSpec("a"), fixture.now(), records);
        fixture.scheduler().tick(fixture.now(), records);
        fixture.scheduler().takeCalls();
        fixture.scheduler().handleStartReply("a", 1, {it.outcome, {}}, fixture.now(), records);
        CHECK(fixture.state("a") == (it.released ? "waiting" : "placed"));
        const auto calls = fixture.scheduler().takeCalls();
        const bool stops = calls.size() == 1 && std::holds_alternative<StopTask>(calls[0]);
        CHECK(stops == it.stops);
        if (stops)
            fixture.scheduler().handleStopReply(std::get<StopTask>(calls[0]), true, fixture.now(),
                                                records);
        CHECK(fixture.state("a") == (it.released || it.stops ? "waiting" : "placed"));
    }
}

// Guards against a run that is placed again and again on a worker that refuses it, while another
// worker has room: a refusal did not count against the worker.
TEST_CASE("A run that a worker refuses to start is placed on another one")
{
    for (const StartOutcome refusal :
         {StartOutcome::NoRoom, StartOutcome::NoLease, StartOutcome::WrongIncarnation}) {
        for (const std::string &refusing : {std::string("w0"), std::string("w1")}) {
            CAPTURE(static_cast<int>(refusal));
            CAPTURE(refusing);
            SchedulerFixture fixture(2);
            fixture.worker(refusing).refuseStarts(refusal);
            fixture.submit(makeJobSpec("a"));
            fixture.runFor(Millis{20'000});
            CHECK(fixture.job("a").worker != refusing);
            CHECK(fixture.job("a").attempt <= 2);
        }
    }
}

TEST_CASE("A run that fails on every worker is given up with its causes")
{
    SchedulerFixture fixture(4);
    for (int n = 0; n < 4; ++n)
        fixture.worker("w" + std::to_string(n)).setFailAll(true);
    JobSpec s = makeJobSpec("bad");
    s.expectedDuration = Millis{1'000};
    fixture.submit(s);
    fixture.runFor(Millis{200'000});
    CHECK(fixture.state("bad") == "failed");
    CHECK(fixture.job("bad").result.find("result of bad") != std::string::npos);
    CHECK(fixture.job("bad").failures.size() <= 10);
}

TEST_CASE("A worker that fails every run is quarantined and causes no run to be given up")
{
    SchedulerFixture fixture(3);
    fixture.worker("w0").setFailAll(true);
    for (int n = 0; n < 12; ++n) {
        JobSpec s = makeJobSpec("j" + std::to_string(n), 4);
        s.expectedDuration = Millis{3'000};
        fixture.submit(s);
    }
    fixture.runFor(Millis{120'000});
    CHECK(fixture.scheduler().count(JobState::Finished) == 12);
    CHECK(fixture.scheduler().quarantine().quarantinedWorkers() == std::vector<std::string>{"w0"});
}

TEST_CASE("Final jobs are deleted after their retention")
{
    JobSchedulerSettings settings;
    settings.retention = Millis{100'000};
    SchedulerFixture fixture(1, settings);
    fixture.submit(makeJobSpec("a"));
    fixture.runFor(Millis{150'000});
    CHECK(fixture.scheduler().size() == 1);
    fixture.runFor(Millis{30'000});
    CHECK(fixture.scheduler().size() == 0);
    CHECK(nameOf(fixture.submit(makeJobSpec("a"))) == "accepted");
}

TEST_CASE("liveWork counts the unfinished jobs of one service by class")
{
    SchedulerFixture fixture(1);
    for (const char *id : {"a", "b", "c"}) {
        JobSpec s = makeJobSpec(id);
        s.runClass = std::string(id) == "c" ? "rebuild" : "refresh";
        fixture.submit(s);
    }
    JobSpec other = makeJobSpec("d");
    other.service = "other";
    fixture.submit(other);
    const std::string service = makeJobSpec("a").service;
    std::vector<LiveWork> live = fixture.scheduler().liveWork(service);
    REQUIRE(live.size() == 2);
    CHECK(live[0].className == "rebuild");
    CHECK(live[0].count == 1);
    CHECK(live[1].className == "refresh");
    CHECK(live[1].count == 2);
    fixture.runFor(Millis{600'000});
    CHECK(fixture.state("a") == "finished");
    CHECK(fixture.scheduler().liveWork(service).empty());
}

TEST_CASE("A large run that waited long gets one worker reserved while small runs start on others")
{
    SchedulerFixture fixture(2);
    fixture.runFor(Millis{2'000});
    int n = 0;
    const auto submitSmall = [&] {
        JobSpec small = makeJobSpec("small-" + std::to_string(++n));
        small.expectedDuration = Millis{36'000'000};
        fixture.submit(small);
    };
    for (int i = 0; i < 16; ++i) // These occupy all cores of both workers.
        submitSmall();
    fixture.runFor(Millis{2'000});
    fixture.submit(makeJobSpec("large", 8));
    for (int i = 0; i < 20; ++i)
        submitSmall();
    fixture.runFor(Millis{905'000}); // Longer than FairQueueOptions::reservationDelay.
    // Cancels a run on the worker and returns whether another one starts in its place.
    const auto isRefilled = [&](const std::string &worker) {
        const std::size_t before = fixture.startCalls();
        fixture.cancel(fixture.scheduler().ledger().tasks(worker).front());
        fixture.runFor(Millis{5'000});
        return fixture.startCalls() > before;
    };
    // Only every FairQueueOptions::oldestFirstPeriod-th start is the turn of the oldest run, which
    // is the large one; until then the small runs take what is freed.
    int refills = 0;
    while (refills < 20 && isRefilled("w0"))
        ++refills;
    REQUIRE(refills < 20);
    CHECK_MESSAGE(isRefilled("w1"),
                  "both workers are reserved for the large run; reserve only one");
    for (int i = 0; i < 7; ++i)
        isRefilled("w0");
    CHECK(fixture.job("large").worker == "w0");
}

TEST_CASE("An unreachable worker is a suspect until it answers again")
{
    SchedulerFixture fixture(2);
    fixture.runFor(Millis{2'000});
    CHECK(fixture.scheduler().suspects(fixture.now()).empty());
    const Instant disconnectedAt = fixture.now();
    fixture.disconnect("w0");
    for (int i = 0; i < 3; ++i) {
        fixture.runFor(Millis{40'000});
        const std::vector<WorkerSuspect> suspects = fixture.scheduler().suspects(fixture.now());
        REQUIRE(suspects.size() == 1);
        CHECK(suspects[0].worker == "w0");
        CHECK(suspects[0].reason == "unreachable");
        // A lapse of the lease does not reset the time.
        CHECK(suspects[0].since >= disconnectedAt);
        CHECK(suspects[0].since - disconnectedAt
              <= JobSchedulerSettings{}.workerLeases.renewalInterval);
    }
    fixture.reconnect("w0");
    fixture.runFor(Millis{60'000});
    CHECK(fixture.scheduler().suspects(fixture.now()).empty());
}
