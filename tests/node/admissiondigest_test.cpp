#include "node/admissiondigest.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

SubmitJob job(const std::string &id, int tasks = 4, Millis target = Millis{4'000})
{
    SubmitJob submit;
    submit.spec.id = id;
    submit.spec.policy = {"q", "s", 1, 1, 1.0, target};
    submit.spec.steps = {
        {.taskCount = tasks, .demand = {1'000, 0, 0}, .estimatedDuration = Millis{500}}};
    return submit;
}

const ShardReply refusal{ShardOutcome::NoCapacity, {}, 0, 0, Millis{8'000}};

} // namespace

// Guards against refusals by a reply that says nothing of this job or of the present backlog.
TEST_CASE(
    "A digest refuses only jobs that the same owner would have refused less than a second ago")
{
    struct Case
    {
        const char *name;
        SubmitJob job;
        std::string owner;
        int shard;
        int afterMs;
        bool refused;
    };
    SubmitJob delegated = job("j");
    delegated.delegated = true;
    SubmitJob urgent = job("j");
    urgent.spec.policy.priority = 0;
    SubmitJob longRunning = job("j");
    longRunning.spec.steps[0].longRunning = true;
    for (const Case &it : {Case{"like job", job("j"), "a", 2, 999, true},
                           Case{"larger job", job("j", 9), "a", 2, 0, true},
                           Case{"stale", job("j"), "a", 2, 1'000, false},
                           Case{"new owner", job("j"), "b", 2, 0, false},
                           Case{"other shard", job("j"), "a", 1, 0, false},
                           Case{"smaller job", job("j", 3), "a", 2, 0, false},
                           Case{"more time", job("j", 4, Millis{5'000}), "a", 2, 0, false},
                           Case{"higher priority", urgent, "a", 2, 0, false},
                           Case{"long-running", longRunning, "a", 2, 0, false},
                           Case{"delegated", delegated, "a", 2, 0, false},
                           Case{"refused before", job("first"), "a", 2, 0, false}}) {
        CAPTURE(it.name);
        AdmissionDigest digest({.enabled = true});
        const Instant now{5'000};
        CHECK_FALSE(digest.refusalOf("a", 2, job("first"), now));
        digest.observe("a", 2, job("first"), refusal, now);
        const auto reply = digest.refusalOf(it.owner, it.shard, it.job, now + Millis{it.afterMs});
        CHECK(reply.has_value() == it.refused);
        CHECK(digest.refusals() == (it.refused ? 1 : 0));
        if (!reply)
            continue;
        CHECK(reply->retryAfter >= Millis{8'000});
        CHECK(reply->retryAfter <= Millis{10'000});
        CHECK_FALSE(digest.refusalOf("a", 2, it.job, now)); // Its retry is for the owner.
        digest.observe("a", 2, it.job, {ShardOutcome::Ok, {}, 0}, now);
        CHECK_FALSE(digest.refusalOf("a", 2, job("later"), now));
    }
}

TEST_CASE("A digest that is not enabled refuses nothing")
{
    AdmissionDigest digest({});
    digest.observe("a", 2, job("first"), refusal, Instant{0});
    CHECK_FALSE(digest.refusalOf("a", 2, job("j"), Instant{0}));
    CHECK_FALSE(digest.refusalOf("a", 2, CancelJob{"j"}, Instant{0}));
}
