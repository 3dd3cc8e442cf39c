// Tests of jobs that the owner of a shard leaves to another shard.

#include "shardfixture.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace savorywick;
using namespace savorywick::testing;

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
