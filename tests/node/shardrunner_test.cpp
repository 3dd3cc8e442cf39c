#include "node/shardrunner.h"

#include "shardfixture.h"

#include <doctest/doctest.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;

TEST_CASE("A job is acknowledged only after its record is durable")
{
    ShardFixture shard;
    shard.request(ShardFixture::job("j"));
    CHECK_FALSE(shard.reply.has_value());
    CHECK(shard.latencies.restore.count() == 1);
    CHECK(shard.latencies.submitCommit.count() == 0);
    REQUIRE(shard.table.pendingCommits.size() == 1);
    shard.table.finishCommits(CommitOutcome::Committed);
    REQUIRE(shard.reply.has_value());
    CHECK(shard.latencies.submitCommit.count() == 1);
    CHECK((shard.reply->outcome == ShardOutcome::Ok));
    shard.runLoop();
    shard.request(GetJobState{"j"});
    CHECK((shard.reply->outcome == ShardOutcome::Ok));
    CHECK((shard.reply->state == steps::JobState::Queued));
    shard.request(GetJobState{"other"});
    CHECK((shard.reply->outcome == ShardOutcome::UnknownJob));
}

TEST_CASE("The load of a shard counts its work since the last report and its present backlog")
{
    ShardFixture shard;
    shard.request(ShardFixture::job("j"));
    shard.request(GetJobState{"j"});
    CHECK(shard.runner->takeLoad().pendingReplies == 1);
    shard.table.finishCommits(CommitOutcome::Committed);
    shard.request(CancelJob{"j"});
    shard.table.finishCommits(CommitOutcome::Unavailable);
    shard.request(ShardFixture::job("k"));
    const ShardLoad load = shard.runner->takeLoad();
    CHECK(load.submissions == 1);
    CHECK(load.cancels == 1);
    CHECK(load.storeRefusals == 1);
    CHECK(load.commits == 2);
    CHECK(load.failedCommits == 1);
    CHECK(load.committedRecords == 1);
    CHECK(load.rounds > 0);
    CHECK(load.pendingReplies == 1);
    CHECK(load.readySteps == 0);
    CHECK(load.pendingJobs == 1); // The cancel is not durable.
}

// On a quiet shard such a request waited for the next commit, which other requests had to cause.
TEST_CASE("A request that changes nothing is answered although nothing is committed")
{
    struct Case
    {
        std::string what;
        ShardRequest request;
        ShardOutcome outcome;
    };
    for (const Case &it :
         {Case{"repeated job", ShardFixture::job("j"), ShardOutcome::Ok},
          Case{"cancel of an ended job", CancelJob{"cancelled"}, ShardOutcome::Ok},
          Case{"cancel of an unknown job", CancelJob{"unknown"}, ShardOutcome::UnknownJob}}) {
        CAPTURE(it.what);
        ShardFixture shard;
        CHECK((shard.durableRequest(ShardFixture::job("j")) == ShardOutcome::Ok));
        CHECK((shard.durableRequest(ShardFixture::job("cancelled")) == ShardOutcome::Ok));
        CHECK((shard.durableRequest(CancelJob{"cancelled"}) == ShardOutcome::Ok));
        shard.request(it.request);
        CHECK(shard.table.pendingCommits.empty());
        REQUIRE(shard.reply.has_value());
        CHECK((shard.reply->outcome == it.outcome));
    }
}

TEST_CASE("An owner without a valid lease refuses requests immediately")
{
    ShardFixture shard;
    shard.hasValidLease = false;
    shard.request(ShardFixture::job("j"));
    REQUIRE(shard.reply.has_value());
    CHECK((shard.reply->outcome == ShardOutcome::StoreDown));
    CHECK(shard.table.pendingCommits.empty());
}

TEST_CASE("While the store is unavailable new jobs are refused and earlier ones wait")
{
    ShardFixture shard;
    std::optional<ShardReply> first;
    shard.runner->handle(ShardFixture::job("a"), [&](const ShardReply &a) { first = a; });
    shard.runLoop();
    shard.table.finishCommits(CommitOutcome::Unavailable);
    shard.request(ShardFixture::job("b"));
    REQUIRE(shard.reply.has_value());
    CHECK((shard.reply->outcome == ShardOutcome::StoreDown));
    CHECK_FALSE(first.has_value());
    shard.runLoop();
    shard.table.finishCommits(CommitOutcome::Committed);
    REQUIRE(first.has_value());
    CHECK((first->outcome == ShardOutcome::Ok));
}

// A caller that repeated an accepted job was told that it was certainly not accepted.
TEST_CASE("While the store is unavailable requests that change nothing are answered")
{
    struct Case
    {
        std::string what;
        ShardRequest request;
        ShardOutcome outcome;
    };
    for (const Case &it :
         {Case{"repeated job", ShardFixture::job("j"), ShardOutcome::Ok},
          Case{"cancel of an ended job", CancelJob{"cancelled"}, ShardOutcome::Ok},
          Case{"cancel of an unknown job", CancelJob{"unknown"}, ShardOutcome::UnknownJob},
          Case{"new job", ShardFixture::job("new"), ShardOutcome::StoreDown},
          Case{"cancel of a job", CancelJob{"j"}, ShardOutcome::StoreDown}}) {
        CAPTURE(it.what);
        ShardFixture shard;
        CHECK((shard.durableRequest(ShardFixture::job("j")) == ShardOutcome::Ok));
        CHECK((shard.durableRequest(ShardFixture::job("cancelled")) == ShardOutcome::Ok));
        CHECK((shard.durableRequest(CancelJob{"cancelled"}) == ShardOutcome::Ok));
        shard.request(ShardFixture::job("k"));
        shard.table.finishCommits(CommitOutcome::Unavailable);
        std::optional<ShardReply> reply;
        shard.runner->handle(it.request, [&](const ShardReply &r) { reply = r; });
        REQUIRE(reply.has_value());
        CHECK((reply->outcome == it.outcome));
    }
}

TEST_CASE("A dropped shard replies Undecided to pending requests and ends once")
{
    ShardFixture shard;
    shard.request(ShardFixture::job("j"));
    shard.runner->drop();
    shard.runner->drop();
    REQUIRE(shard.reply.has_value());
    CHECK((shard.reply->outcome == ShardOutcome::Undecided));
    CHECK(shard.endedCount == 1);
}

TEST_CASE("A shard is released only after all pending changes are durable")
{
    ShardFixture shard;
    shard.request(ShardFixture::job("j"));
    shard.runner->release();
    shard.runLoop();
    CHECK(shard.endedCount == 0);
    for (int i = 0; i < 3 && shard.endedCount == 0; ++i) {
        shard.table.finishCommits(CommitOutcome::Committed);
        shard.runLoop();
    }
    CHECK(shard.endedCount == 1);
    CHECK((shard.reply->outcome == ShardOutcome::Ok));
    shard.request(ShardFixture::job("k"));
    CHECK((shard.reply->outcome == ShardOutcome::NotOwner));
}

// An owner that was itself behind took the store for slow and refused cancels for it.
TEST_CASE("A commit counts as slow only if the event loop would have seen its end")
{
    struct Case
    {
        Millis loopLag;
        bool refused;
    };
    for (const Case &it :
         {Case{Millis{0}, true}, Case{Millis{20}, true}, Case{Millis{400}, false}}) {
        CAPTURE(it.loopLag.count());
        ShardFixture shard;
        CHECK((shard.durableRequest(ShardFixture::job("j")) == ShardOutcome::Ok));
        shard.request(ShardFixture::job("k"));
        REQUIRE(shard.table.pendingCommits.size() == 1);
        shard.loopLag = it.loopLag;
        shard.clock.advance(Millis{1'000});
        shard.request(CancelJob{"j"});
        REQUIRE(shard.reply.has_value() == it.refused);
        if (it.refused) {
            CHECK((shard.reply->outcome == ShardOutcome::StoreDown));
            continue;
        }
        for (int i = 0; i < 2; ++i) { // The commit of the job, then that of the cancel.
            shard.table.finishCommits(CommitOutcome::Committed);
            shard.runLoop();
        }
        REQUIRE(shard.reply.has_value());
        CHECK((shard.reply->outcome == ShardOutcome::Ok));
        CHECK((shard.durableRequest(GetJobState{"j"}) == ShardOutcome::Ok));
        CHECK((shard.reply->state == steps::JobState::Cancelled));
    }
}

// Guards against an owner that refuses new jobs because one commit takes long, although their
// callers wait long enough for it.
TEST_CASE("While a commit takes long a job is refused only if its caller can't wait for it")
{
    struct Case
    {
        Millis remaining;
        bool refused;
    };
    for (const Case &it : {Case{Millis{900}, true}, Case{Millis{2'500}, false}}) {
        CAPTURE(it.remaining.count());
        ShardFixture shard;
        shard.request(ShardFixture::job("j"));
        shard.clock.advance(Millis{1'000});
        SubmitJob submit = ShardFixture::job("k");
        submit.answerDueAt = shard.clock.now() + it.remaining;
        shard.request(submit);
        REQUIRE(shard.reply.has_value() == it.refused);
        const ShardLoad load = shard.runner->takeLoad();
        CHECK(load.lateRefusals == (it.refused ? 1 : 0));
        CHECK(load.expectedCommitTime >= Millis{1'000});
        if (it.refused) {
            CHECK((shard.reply->outcome == ShardOutcome::StoreDown));
            continue;
        }
        for (int i = 0; i < 2; ++i) { // The commit of the first job, then that of the second.
            shard.table.finishCommits(CommitOutcome::Committed);
            shard.runLoop();
        }
        CHECK((shard.durableRequest(GetJobState{"k"}) == ShardOutcome::Ok));
    }
}

// An owner whose event loop was seconds behind took every new job, which put it further behind.
TEST_CASE("An owner that is far behind refuses new jobs but serves all other requests")
{
    ShardFixture shard;
    CHECK((shard.durableRequest(ShardFixture::job("known")) == ShardOutcome::Ok));
    shard.loopLag = Millis{2'000};
    const ShardOutcome refusal = shard.submitUntilRefused();
    REQUIRE(hadNoEffect(refusal));
    CHECK((refusal != ShardOutcome::StoreDown));
    CHECK((shard.durableRequest(ShardFixture::job("known")) == ShardOutcome::Ok));
    CHECK((shard.durableRequest(GetJobState{"known"}) == ShardOutcome::Ok));
    CHECK((shard.durableRequest(CountPendingJobs{"q"}) == ShardOutcome::Ok));
    CHECK((shard.durableRequest(CancelJob{"known"}) == ShardOutcome::Ok));
}

// Each message caused a pass over all steps and workers, which left a slow host time for little
// else.
TEST_CASE("Slow passes over a shard's decisions leave time for messages between them")
{
    ShardRunnerSettings settings;
    settings.passes.pausePerWork = 50; // Far above the readings of the clock between two passes.
    ShardFixture shard(settings);
    shard.runner->takeLoad();
    shard.clock.timePerReading = Millis{1};
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i) {
        shard.runner->handle(ShardFixture::job(std::to_string(i)), [](const ShardReply &) {});
        shard.runPosted();
    }
    const ShardLoad load = shard.runner->takeLoad();
    CHECK(load.rounds >= requests);
    CHECK(load.passes >= 1);
    CHECK(load.passes * 2 < load.rounds);
    shard.clock.timePerReading = {};
    // What was put off is done without another event.
    std::uint64_t passes = 0;
    constexpr int maxPolls = 200; // Generous: only a fault reaches this limit.
    for (int i = 0; i < maxPolls && passes == 0; ++i) {
        shard.runLoop();
        passes += shard.runner->takeLoad().passes;
    }
    CHECK(passes >= 1);
}

// Guards against an owner that, while it is too busy to place steps, wakes up each millisecond to
// put the placement off again, which keeps it busy.
TEST_CASE("While steps wait for a pass that is put off the shard is not processed over and over")
{
    struct Case
    {
        std::string what;
        bool releasing = false;
    };
    for (const Case &it : {Case{"slow pass", false}, Case{"shard that is being released", true}}) {
        CAPTURE(it.what);
        ShardRunnerSettings settings;
        settings.passes = {.pausePerWork = 1'000, .maxPause = Millis{60'000}};
        ShardFixture shard(settings);
        shard.clock.timePerReading = Millis{20};
        shard.runner->handle(ShardFixture::job("a"), [](const ShardReply &) {});
        shard.runPosted();
        shard.clock.timePerReading = {};
        shard.runner->handle(ShardFixture::job("b"), [](const ShardReply &) {});
        if (it.releasing)
            shard.runner->release();
        shard.runner->takeLoad();
        shard.runLoop();
        const ShardLoad load = shard.runner->takeLoad();
        CHECK(load.passes == 0);
        constexpr std::uint64_t maxRounds = 10; // For the job, the commits and the renewals.
        CHECK(load.rounds <= maxRounds);
    }
}

// Guards against an owner that sends a snapshot which the object store does not take again at once,
// and again, which keeps its processor and its link busy.
TEST_CASE("An owner waits before it sends a snapshot again")
{
    ShardRunnerSettings settings;
    settings.journal.snapshotMinSegments = 1;
    ShardFixture shard(settings);
    CHECK((shard.durableRequest(ShardFixture::job("j")) == ShardOutcome::Ok));
    shard.runLoop();
    CHECK(shard.objects.putCount == 1);
    // It is sent again after the delay.
    settings.snapshotRetryDelay = Millis{100};
    ShardFixture impatient(settings);
    CHECK((impatient.durableRequest(ShardFixture::job("j")) == ShardOutcome::Ok));
    constexpr int maxPolls = 200; // Generous: only a fault reaches this limit.
    for (int i = 0; i < maxPolls && impatient.objects.putCount < 2; ++i)
        impatient.runLoop();
    CHECK(impatient.objects.putCount >= 2);
}

// Guards against a new owner that sends a snapshot as soon as it has restored the shard, although
// that of the earlier owner covers most of it.
TEST_CASE("A snapshot is due by the size of the last one although another owner wrote that")
{
    struct Case
    {
        int jobsInLast;
        int snapshots;
    };
    for (const Case &it : {Case{20, 0}, Case{1, 1}}) {
        CAPTURE(it.jobsInLast);
        ShardRunnerSettings settings;
        settings.journal.snapshotMinSegments = 2;
        ShardFixture shard(settings, shardWithSnapshot(it.jobsInLast));
        CHECK((shard.durableRequest(ShardFixture::job("j")) == ShardOutcome::Ok));
        shard.runLoop();
        CHECK(shard.objects.putCount == it.snapshots);
    }
}
