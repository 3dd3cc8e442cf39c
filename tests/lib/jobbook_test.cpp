#include "savorywick/jobbook.h"

#include "jobbench.h"
#include "savorywick/errors.h"
#include "savorywick/journal.h"

#include <doctest/doctest.h>

using namespace savorywick;

TEST_CASE("A run is placed and finishes with its result")
{
    Bench bench(2);
    CHECK(nameOf(bench.submit(spec("a"))) == "accepted");
    bench.run(Millis{70'000});
    CHECK(bench.state("a") == "finished");
    CHECK(bench.job("a").attempt == 1);
    CHECK(bench.job("a").result == "result of a");
    CHECK(bench.book().ledger().booked("w0") == Resources{});
    CHECK(bench.worker(bench.job("a").worker).tasks().empty());
}

TEST_CASE("A repeated key gets the first answer and another body is refused")
{
    Bench bench(1);
    bench.submit(spec("a"));
    JobSpec again = spec("b");
    again.key = "key-a";
    CHECK(nameOf(bench.submit(again)) == "repeated");
    CHECK(bench.submit(again).id == "a");
    again.bodyHash = "other";
    CHECK(nameOf(bench.submit(again)) == "key-reused");
    again = spec("a");
    again.key = "new";
    CHECK(nameOf(bench.submit(again)) == "id-reused");
    CHECK_THROWS_AS(bench.submit(spec("")), Error);
    bench.replaceOwner();
    CHECK(nameOf(bench.submit(spec("a"))) == "repeated");
}

TEST_CASE("A run that no worker could ever hold is refused at once with the reason")
{
    Bench bench(2);
    const SubmitResult result = bench.submit(spec("a", 9));
    CHECK(nameOf(result) == "fits-no-worker");
    CHECK_FALSE(result.reason.empty());
    CHECK(bench.book().size() == 0);
    Bench empty(0);
    CHECK(nameOf(empty.submit(spec("a", 9))) == "accepted");
}

TEST_CASE("A worker that restarted has its runs placed again at once")
{
    Bench bench(1);
    bench.submit(spec("a"));
    bench.run(Millis{2'000});
    bench.worker("w0").restart();
    bench.run(Millis{6'000});
    CHECK(bench.job("a").attempt == 2);
    CHECK(bench.book().counters().restarts == 1);
}

TEST_CASE("A run on a silent worker is placed elsewhere only after its lease has surely lapsed")
{
    Bench bench(2);
    bench.submit(spec("a"));
    bench.run(Millis{2'000});
    const std::string first = bench.job("a").worker;
    bench.cutOff(first);
    while (bench.job("a").attempt == 1) {
        REQUIRE(bench.now().count() < 60'000);
        bench.run(Millis{500});
        if (bench.job("a").attempt == 2)
            CHECK_FALSE(bench.worker(first).isLive("a"));
    }
    CHECK(bench.job("a").worker != first);
    CHECK(bench.book().counters().lapsed == 1);
    MESSAGE("placed again after ", bench.now().count(), " ms");
    bench.reconnect(first);
    bench.run(Millis{70'000});
    CHECK(bench.state("a") == "finished");
    CHECK(bench.job("a").attempt == 2);
}

TEST_CASE("Cancelling stops a running attempt and a waiting run never starts")
{
    Bench bench(1);
    bench.submit(spec("a", 8));
    bench.submit(spec("b", 8));
    bench.run(Millis{2'000});
    CHECK(nameOf(bench.cancel("b")) == "cancelled");
    CHECK(nameOf(bench.cancel("a")) == "cancelling");
    bench.run(Millis{1'000});
    CHECK(bench.state("a") == "cancelled");
    CHECK_FALSE(bench.worker("w0").isLive("a"));
    CHECK(bench.job("b").attempt == 0);
    CHECK(nameOf(bench.cancel("a")) == "cancelled");
    CHECK(nameOf(bench.cancel("unknown")).empty());
}

TEST_CASE("A start that was decided but not sent yet is dropped when the run is cancelled")
{
    Bench bench(1);
    bench.run(Millis{1'000});
    JobBook::Records records;
    bench.book().submit(spec("a"), bench.now(), records);
    bench.book().tick(bench.now(), records);
    const auto effects = bench.book().takeEffects();
    REQUIRE(effects.size() == 1);
    REQUIRE(std::holds_alternative<StartTask>(effects.front()));
    CHECK(bench.book().wanted(effects.front()));
    bench.book().cancel("a", bench.now(), records);
    CHECK_FALSE(bench.book().wanted(effects.front()));
}

TEST_CASE("A cancellation wave of 10000 runs takes few commits and starts nothing")
{
    Bench bench(1);
    bench.worker("w0").setFailAll(false);
    bench.submit(spec("running", 8));
    bench.run(Millis{1'000});
    JobBook::Records records;
    for (int n = 0; n < 10'000; ++n)
        bench.book().submit(spec("j" + std::to_string(n)), bench.now(), records);
    records.clear();
    for (int n = 0; n < 10'000; ++n)
        bench.book().cancel("j" + std::to_string(n), bench.now(), records);
    CHECK(bench.book().count(JobState::Cancelled) == 10'000);
    const JournalSettings settings;
    Journal journal({0, {"a.1", "", 1, 0, 0, 1, "", ""}, 1}, settings);
    const Ticket last = journal.append(records);
    int commits = 0;
    for (Instant now; journal.landed() < last; now = now + settings.commitEvery) {
        REQUIRE(journal.nextCommit(now));
        journal.committed({CommitOutcome::Committed, 2}, now);
        ++commits;
    }
    CHECK(commits <= 5);
    const std::size_t starts = bench.starts();
    bench.run(Millis{120'000});
    CHECK(bench.starts() == starts);
}

TEST_CASE("An evicted run resumes once from its recorded checkpoint")
{
    Bench bench(2);
    bench.submit(spec("a"));
    bench.run(Millis{10'000});
    CHECK(bench.evict("a"));
    CHECK_FALSE(bench.evict("a"));
    bench.run(Millis{3'000});
    CHECK(bench.job("a").attempt == 2);
    CHECK(std::stoi(bench.job("a").checkpoint) >= 9'000);
    bench.run(Millis{55'000});
    CHECK(bench.state("a") == "finished");
    CHECK(bench.starts() == 2);
    CHECK(bench.book().counters().evictions == 1);
}

TEST_CASE("An eviction whose worker is cut off at each step still resumes exactly once")
{
    for (int cutAfter = 0; cutAfter < 3; ++cutAfter) {
        for (const bool replace : {false, true}) {
            CAPTURE(cutAfter);
            CAPTURE(replace);
            Bench bench(2);
            bench.submit(spec("a"));
            bench.run(Millis{10'000});
            const std::string first = bench.job("a").worker;
            if (cutAfter == 0)
                bench.cutOff(first);
            bench.evict("a");
            if (cutAfter == 1) {
                JobBook::Records records;
                bench.book().checkpointReply("a", 1, "9000", bench.now(), records);
                CHECK(bench.state("a") == "evicting");
                bench.cutOff(first);
                bench.book().takeEffects();
            }
            // With the record of the checkpoint lost, as if its commit never landed.
            if (replace)
                bench.replaceOwner(cutAfter != 1);
            bench.run(Millis{1'000});
            if (cutAfter == 2)
                bench.cutOff(first);
            // Where attempt 2 runs on the worker that is cut off, that takes one attempt more.
            const bool again = bench.job("a").attempt == 2 && bench.job("a").worker == first;
            bench.run(Millis{50'000});
            bench.reconnect(first);
            bench.run(Millis{90'000});
            CHECK(bench.state("a") == "finished");
            CHECK(bench.job("a").attempt == (again ? 3 : 2));
        }
    }
}

TEST_CASE("A run that cannot be checkpointed is stopped and starts anew")
{
    Bench bench(1);
    JobSpec s = spec("a");
    s.checkpointable = false;
    bench.submit(s);
    bench.run(Millis{10'000});
    CHECK(bench.evict("a"));
    bench.run(Millis{2'000});
    CHECK(bench.job("a").attempt == 2);
    CHECK(bench.job("a").checkpoint.empty());
}

TEST_CASE("A new owner finds running attempts and starts none twice")
{
    Bench bench(2);
    for (const char *id : {"a", "b", "c"})
        bench.submit(spec(id));
    bench.run(Millis{5'000});
    const std::size_t starts = bench.starts();
    bench.replaceOwner();
    bench.run(Millis{20'000});
    CHECK(bench.starts() == starts);
    CHECK(bench.state("a") == "placed");
    bench.run(Millis{50'000});
    for (const char *id : {"a", "b", "c"}) {
        CHECK(bench.state(id) == "finished");
        CHECK(bench.job(id).attempt == 1);
    }
}

TEST_CASE("A new owner waits two terms for a worker that it cannot reach")
{
    Bench bench(2);
    bench.submit(spec("a"));
    bench.run(Millis{2'000});
    bench.cutOff(bench.job("a").worker);
    bench.replaceOwner();
    const Instant taken = bench.now();
    while (bench.job("a").attempt == 1)
        bench.run(Millis{500});
    CHECK(bench.now() - taken >= Millis{31'000});
    CHECK(bench.now() - taken <= Millis{50'000});
}

TEST_CASE("A refused start is taken back only when nothing on its way can start it")
{
    struct Case
    {
        StartOutcome outcome;
        bool freed; // At once, since the worker refuses every copy of the call.
        bool stops; // The worker must refuse the attempt first.
    };
    for (const Case &it :
         {Case{StartOutcome::WrongIncarnation, true, false},
          Case{StartOutcome::StaleAttempt, true, false}, Case{StartOutcome::NoRoom, false, true},
          Case{StartOutcome::NoLease, false, false}, Case{StartOutcome::StaleEpoch, false, false},
          Case{StartOutcome::Unknown, false, false}}) {
        CAPTURE(static_cast<int>(it.outcome));
        Bench bench(1);
        bench.run(Millis{1'000});
        JobBook::Records records;
        bench.book().submit(spec("a"), bench.now(), records);
        bench.book().tick(bench.now(), records);
        bench.book().takeEffects();
        bench.book().startReply("a", 1, {it.outcome, {}}, bench.now(), records);
        CHECK(bench.state("a") == (it.freed ? "waiting" : "placed"));
        const auto effects = bench.book().takeEffects();
        const bool stops = effects.size() == 1 && std::holds_alternative<StopTask>(effects[0]);
        CHECK(stops == it.stops);
        if (stops)
            bench.book().stopReply(std::get<StopTask>(effects[0]), true, bench.now(), records);
        CHECK(bench.state("a") == (it.freed || it.stops ? "waiting" : "placed"));
    }
}

TEST_CASE("A run that fails everywhere is given up with its causes")
{
    Bench bench(4);
    for (int n = 0; n < 4; ++n)
        bench.worker("w" + std::to_string(n)).setFailAll(true);
    JobSpec s = spec("bad");
    s.expected = Millis{1'000};
    bench.submit(s);
    bench.run(Millis{200'000});
    CHECK(bench.state("bad") == "failed");
    CHECK(bench.job("bad").result.find("result of bad") != std::string::npos);
    CHECK(bench.job("bad").failures.size() <= 10);
}

TEST_CASE("A worker that fails everything is quarantined and poisons no run")
{
    Bench bench(3);
    bench.worker("w0").setFailAll(true);
    for (int n = 0; n < 12; ++n) {
        JobSpec s = spec("j" + std::to_string(n), 4);
        s.expected = Millis{3'000};
        bench.submit(s);
    }
    bench.run(Millis{120'000});
    CHECK(bench.book().count(JobState::Finished) == 12);
    CHECK(bench.book().quarantine().quarantined() == std::vector<std::string>{"w0"});
}

TEST_CASE("Final jobs are forgotten after their retention")
{
    JobBookSettings settings;
    settings.retention = Millis{100'000};
    Bench bench(1, settings);
    bench.submit(spec("a"));
    bench.run(Millis{150'000});
    CHECK(bench.book().size() == 1);
    bench.run(Millis{30'000});
    CHECK(bench.book().size() == 0);
    CHECK(nameOf(bench.submit(spec("a"))) == "accepted");
}

TEST_CASE("liveWork counts the unfinished jobs of one service by class")
{
    Bench bench(1);
    for (const char *id : {"a", "b", "c"}) {
        JobSpec s = spec(id);
        s.runClass = std::string(id) == "c" ? "rebuild" : "refresh";
        bench.submit(s);
    }
    JobSpec other = spec("d");
    other.service = "other";
    bench.submit(other);
    const std::string service = spec("a").service;
    std::vector<LiveWork> live = bench.book().liveWork(service);
    REQUIRE(live.size() == 2);
    CHECK(live[0].className == "rebuild");
    CHECK(live[0].count == 1);
    CHECK(live[1].className == "refresh");
    CHECK(live[1].count == 2);
    bench.run(Millis{600'000});
    CHECK(bench.state("a") == "finished");
    CHECK(bench.book().liveWork(service).empty());
}

TEST_CASE("A wide run that waited long gets its room while small ones go on elsewhere")
{
    Bench bench(2);
    bench.run(Millis{2'000});
    int n = 0;
    const auto submitSmall = [&] {
        JobSpec small = spec("small-" + std::to_string(++n));
        small.expected = Millis{36'000'000};
        bench.submit(small);
    };
    for (int i = 0; i < 16; ++i) // All cores of both workers.
        submitSmall();
    bench.run(Millis{2'000});
    bench.submit(spec("wide", 8));
    for (int i = 0; i < 20; ++i)
        submitSmall();
    bench.run(Millis{905'000}); // Now the wide run is overdue.
    // Ends a small run on a worker and tells whether another one starts in its place.
    const auto isRefilled = [&](const std::string &worker) {
        const std::size_t before = bench.starts();
        bench.cancel(bench.book().ledger().tasks(worker).front());
        bench.run(Millis{5'000});
        return bench.starts() > before;
    };
    int refills = 0; // Until the turn of the oldest comes.
    while (refills < 20 && isRefilled("w0"))
        ++refills;
    REQUIRE(refills < 20);
    CHECK_MESSAGE(isRefilled("w1"), "room is held on more than the one worker; hold one only");
    for (int i = 0; i < 7; ++i)
        isRefilled("w0");
    CHECK(bench.job("wide").worker == "w0");
}

TEST_CASE("A silent worker is a suspect until it answers again")
{
    Bench bench(2);
    bench.run(Millis{2'000});
    CHECK(bench.book().suspects(bench.now()).empty());
    const Instant cut = bench.now();
    bench.cutOff("w0");
    for (int i = 0; i < 3; ++i) {
        bench.run(Millis{40'000});
        const std::vector<WorkerSuspect> suspects = bench.book().suspects(bench.now());
        REQUIRE(suspects.size() == 1);
        CHECK(suspects[0].worker == "w0");
        CHECK(suspects[0].reason == "unreachable");
        // The time goes on over a lapse of the lease.
        CHECK(suspects[0].since >= cut);
        CHECK(suspects[0].since - cut <= JobBookSettings{}.workers.renewEvery);
    }
    bench.reconnect("w0");
    bench.run(Millis{60'000});
    CHECK(bench.book().suspects(bench.now()).empty());
}
