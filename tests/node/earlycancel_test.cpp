// Tests of jobs that are cancelled before the owner of their shard has heard of them.

#include "../steps/coordinatorharness.h"
#include "node/jobrequests.h"
#include "shardfixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;
using namespace savorywick::steps::testing;

namespace {

// A shard with a worker, whose owner may be replaced.
class CancelPlay
{
public:
    explicit CancelPlay(std::size_t maxCancellations = 2'000)
        : m_harness(1, settings(maxCancellations))
    { }

    CoordinatorHarness &harness() { return m_harness; }

    ShardOutcome cancel(const std::string &job, const std::string &queue = "q")
    {
        const ShardOutcome outcome = apply(CancelJob{job, queue}).outcome;
        m_harness.step();
        return outcome;
    }
    ShardOutcome submit(const std::string &job)
    {
        SubmitJob submission;
        submission.spec.id = job;
        submission.spec.policy = {"q", "matching", 0, 2, 2.0, Millis{500}};
        submission.spec.steps = {task(1'000)};
        const ShardOutcome outcome = apply(submission).outcome;
        m_harness.advance(Millis{500});
        return outcome;
    }
    ShardReply state(const std::string &job) { return apply(GetJobState{job}); }

private:
    static steps::CoordinatorSettings settings(std::size_t maxCancellations)
    {
        steps::CoordinatorSettings s;
        s.maxEarlyCancellations = maxCancellations;
        return s;
    }
    ShardReply apply(const ShardRequest &request)
    {
        return applyRequest(m_harness.coordinator(), 0, m_dealer, request, m_harness.now());
    }

    CoordinatorHarness m_harness;
    JobDealer m_dealer{0};
};

} // namespace

// Guards against a job that runs although its caller was told that it did not exist when the caller
// cancelled it (review/12): its submission came later, from an entry that had stood still.
TEST_CASE("A job that was cancelled before its submission came never starts whoever owns the shard")
{
    for (const bool fromSnapshot : {false, true}) {
        CAPTURE(fromSnapshot);
        CancelPlay play;
        REQUIRE((play.cancel("j") == ShardOutcome::UnknownJob));
        if (fromSnapshot)
            play.harness().replaceOwnerFromSnapshot();
        else
            play.harness().replaceOwner();
        CHECK((play.submit("j") == ShardOutcome::Ok));
        CHECK(play.harness().starts.empty());
        CHECK((play.state("j").state == steps::JobState::Cancelled));
        play.harness().replaceOwner();
        CHECK((play.submit("j") == ShardOutcome::Ok));
        CHECK(play.harness().starts.empty());
        CHECK(play.harness().coordinator().pendingJobCount() == 0);
        CHECK((play.submit("k") == ShardOutcome::Ok)); // Others run.
        CHECK(play.harness().starts.size() == 1);
    }
}

// Guards against an answer that the next owner contradicts.
TEST_CASE("A caller learns that a cancelled job does not exist once the cancellation is durable")
{
    ShardFixture shard;
    shard.request(CancelJob{"j", "q"});
    CHECK_FALSE(shard.reply.has_value());
    std::optional<ShardReply> repeated;
    shard.runner->handle(CancelJob{"j", "q"}, [&](const ShardReply &it) { repeated = it; });
    CHECK_FALSE(repeated.has_value());
    shard.table.finishCommits(CommitOutcome::Committed);
    shard.runLoop();
    shard.table.finishCommits(CommitOutcome::Committed);
    REQUIRE(shard.reply.has_value());
    REQUIRE(repeated.has_value());
    CHECK((shard.reply->outcome == ShardOutcome::UnknownJob));
    CHECK((repeated->outcome == ShardOutcome::UnknownJob));
}

TEST_CASE("While the store is unavailable the cancelling of an unknown job is refused")
{
    ShardFixture shard;
    shard.request(ShardFixture::job("k"));
    shard.table.finishCommits(CommitOutcome::Unavailable);
    shard.request(CancelJob{"j", "q"});
    REQUIRE(shard.reply.has_value());
    CHECK((shard.reply->outcome == ShardOutcome::StoreDown));
}

// Guards against memory that callers fill, and against one that pushes out what another cancelled.
TEST_CASE("Cancellations of unknown jobs are limited for each queue and forgotten in time")
{
    constexpr int limit = 3;
    CancelPlay play(limit);
    for (int i = 0; i < limit; ++i)
        REQUIRE((play.cancel("j" + std::to_string(i)) == ShardOutcome::UnknownJob));
    CHECK((play.cancel("one too many") == ShardOutcome::Overloaded));
    CHECK((play.cancel("j0") == ShardOutcome::UnknownJob));
    CHECK((play.cancel("another queue's", "r") == ShardOutcome::UnknownJob));
    play.submit("known");
    CHECK((play.cancel("known") == ShardOutcome::Ok));

    play.harness().advance(steps::CoordinatorSettings{}.endedJobRetention);
    CHECK(play.harness().coordinator().jobTable().earlyCancellations().all().empty());
    CHECK((play.cancel("one too many") == ShardOutcome::UnknownJob));
}

// Guards against a job that another shard runs, since its submission had been sent on there.
TEST_CASE("A job that was left to another shard is cancelled there before its submission comes")
{
    ShardFixture shard;
    CHECK((shard.durableRequest(CancelJob{"j", "q"}) != ShardOutcome::Ok));
    SubmitJob submission = ShardFixture::job("j");
    submission.delegated = true;
    shard.request(submission);
    shard.table.finishCommits(CommitOutcome::Committed);
    REQUIRE(shard.reply.has_value());
    CHECK((shard.reply->outcome == ShardOutcome::Ok));
    const steps::Job *job = shard.runner->coordinator().jobTable().find("j");
    REQUIRE(job);
    CHECK((job->state == steps::JobState::Cancelled));
}

// Guards against a home shard that forgets, with its owner, where it has sent a cancellation.
TEST_CASE(
    "A cancellation is sent on to another shard once it is durable that the job is left to it")
{
    ShardFixture shard;
    shard.runner->setShardCapacities({0, 64'000});
    SubmitJob submission = ShardFixture::job("j");
    submission.spec.steps[0].longRunning = true;
    submission.spec.steps[0].demand = {8'000, 1'000, 0};
    shard.request(submission);
    shard.request(CancelJob{"j", "q"});
    CHECK_FALSE(shard.reply.has_value());
    shard.table.finishCommits(CommitOutcome::Committed);
    shard.runLoop();
    REQUIRE(shard.reply.has_value());
    CHECK((shard.reply->outcome == ShardOutcome::Delegated));
}
