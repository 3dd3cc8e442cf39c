#include "node/shardrunner.h"

#include "core/bootclock.h"
#include "fakeplatform.h"
#include "savorywick/steps/record.h"

#include <doctest/doctest.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

// A table whose commits end when the test calls finishCommits().
class ManualTable final : public AsyncTable
{
public:
    void commit(const Transaction &, CommitCallback done) override
    {
        pendingCommits.push_back(std::move(done));
    }
    void read(const std::vector<std::string> &, ReadCallback done) override { done(std::nullopt); }
    void scan(const std::string &, const std::string &, std::size_t, ReadCallback done) override
    {
        done(segments);
    }

    void finishCommits(CommitOutcome outcome)
    {
        for (const CommitCallback &it : std::exchange(pendingCommits, {}))
            it({outcome, ++m_version});
    }

    std::vector<CommitCallback> pendingCommits;
    std::vector<Row> segments; // All that are still to be read.

private:
    std::uint64_t m_version = 10;
};

// A clock that runs ahead by `timePerReading` with each reading, so that all work seems slow.
class SlowClock final : public Clock
{
public:
    Instant now() const override
    {
        m_ahead = m_ahead + timePerReading;
        return m_clock.now() + m_ahead;
    }

    void advance(Millis span) { m_ahead = m_ahead + span; }

    Millis timePerReading;

private:
    BootClock m_clock;
    mutable Millis m_ahead;
};

// What an earlier owner of a shard has stored.
struct StoredShard
{
    ShardRow row{.owner = "a.1", .epoch = 1};
    std::string snapshot;
    std::vector<Row> segments;
};

// Returns a shard with a snapshot of that many jobs and five short segments after it.
StoredShard shardWithSnapshot(int jobs)
{
    StoredShard shard;
    shard.row.object = "snapshot/0/1.0";
    shard.row.snapshot = 1;
    shard.row.head = 6;
    for (int i = 0; i < jobs; ++i) {
        steps::JobSpec spec;
        spec.id = std::to_string(i);
        shard.snapshot += steps::encodeRecord(steps::JobAccepted{spec, 0}) + "\n";
    }
    for (int i = 2; i <= 6; ++i) {
        const std::string record = steps::encodeRecord(steps::JobPurged{"unknown"}) + "\n";
        shard.segments.push_back({"journal/0000/000000000" + std::to_string(i), record, 1});
    }
    return shard;
}

// A newly acquired shard without workers.
class ShardFixture
{
public:
    explicit ShardFixture(const ShardRunnerSettings &settings = {}, const StoredShard &stored = {})
        : runner(std::make_shared<ShardRunner>(
            OwnedShard{0, stored.row, 10}, settings,
            ShardRunnerDependencies{m_loop, clock, table, objects, m_workers, latencies,
                                    [this] { return leaseValidUntil(); },
                                    [this](int) { ++endedCount; }, [this] { return loopLag; }}))
    {
        objects.object = stored.snapshot;
        table.segments = stored.segments;
        runner->open();
    }

    void request(const ShardRequest &request)
    {
        reply.reset();
        runner->handle(request, [this](const ShardReply &a) { reply = a; });
        runLoop();
    }

    // Runs the loop for longer than JournalSettings::commitInterval, so that the journal may
    // commit again.
    void runLoop()
    {
        m_loop.runAfter(Millis{60}, [this] { m_loop.stop(); });
        m_loop.run();
    }

    // Runs what was posted before the call.
    void runPosted()
    {
        m_loop.post([this] { m_loop.stop(); });
        m_loop.run();
    }
    // Requests and makes the change durable, if there is one.
    ShardOutcome durableRequest(const ShardRequest &r)
    {
        request(r);
        table.finishCommits(CommitOutcome::Committed);
        return reply.value().outcome;
    }
    // Hands in jobs until one is refused without effect. Returns that outcome, or Ok if none was.
    ShardOutcome submitUntilRefused()
    {
        constexpr int maxJobs = 50;
        for (int i = 0; i < maxJobs; ++i) {
            const ShardOutcome outcome = durableRequest(job("refused-" + std::to_string(i)));
            if (hadNoEffect(outcome))
                return outcome;
        }
        return ShardOutcome::Ok;
    }

    static SubmitJob job(const std::string &id)
    {
        SubmitJob submit;
        submit.spec.id = id;
        submit.spec.policy.queue = "q";
        submit.spec.steps.resize(1);
        return submit;
    }

    // The lease of this entry is valid for another second, or ended just now.
    Instant leaseValidUntil() const
    {
        return hasValidLease ? clock.now() + Millis{1'000} : clock.now();
    }

    bool hasValidLease = true;
    int endedCount = 0;
    Millis loopLag;
    SlowClock clock;
    ManualTable table;
    UnavailableObjectStore objects;
    ShardLatencies latencies;
    std::optional<ShardReply> reply;

private:
    EventLoop m_loop;
    UnresponsiveWorkers m_workers;

public:
    std::shared_ptr<ShardRunner> runner;
};

} // namespace

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

namespace {

// Returns a job of long-running tasks, the kind that is shared out between the shards.
SubmitJob longRunningJob(const std::string &id)
{
    SubmitJob submit = ShardFixture::job(id);
    submit.spec.steps[0].longRunning = true;
    submit.spec.steps[0].demand = {8'000, 1'000, 0};
    return submit;
}

} // namespace

// Guards against a job that two shards accept: a repeated submission must be sent to the same shard
// as the first, so nobody is sent there before that is durable.
TEST_CASE("A job that is left to another shard is so for good before its caller learns of it")
{
    ShardFixture shard;
    shard.runner->setShardCapacities({0, 64'000});
    shard.request(longRunningJob("j"));
    CHECK_FALSE(shard.reply.has_value());
    std::optional<ShardReply> repeated;
    shard.runner->handle(longRunningJob("j"), [&](const ShardReply &a) { repeated = a; });
    CHECK_FALSE(repeated.has_value());
    shard.table.finishCommits(CommitOutcome::Committed);
    shard.runLoop();
    shard.table.finishCommits(CommitOutcome::Committed);
    REQUIRE(shard.reply.has_value());
    REQUIRE(repeated.has_value());
    for (const ShardReply &it : {*shard.reply, *repeated}) {
        CHECK((it.outcome == ShardOutcome::Delegated));
        CHECK(it.shard == 1);
    }
    shard.runner->setShardCapacities({64'000, 0}); // Now it would stay.
    for (const ShardRequest &it : {ShardRequest(longRunningJob("j")),
                                   ShardRequest(GetJobState{"j"}), ShardRequest(CancelJob{"j"})}) {
        shard.request(it);
        REQUIRE(shard.reply.has_value());
        CHECK((shard.reply->outcome == ShardOutcome::Delegated));
    }
    CHECK(shard.runner->coordinator().jobTable().jobs().empty());
}

TEST_CASE("A job that its home shard has left to this one stays here")
{
    ShardFixture shard;
    shard.runner->setShardCapacities({0, 64'000});
    SubmitJob submit = longRunningJob("j");
    submit.delegated = true;
    CHECK((shard.durableRequest(submit) == ShardOutcome::Ok));
    CHECK(shard.runner->coordinator().jobTable().find("j") != nullptr);
}
