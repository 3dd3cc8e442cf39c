#include "platform/jsoncallercodec.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::platform;

namespace {

constexpr std::string_view id = "5c0e7a21d94b36f8";

std::optional<steps::JobSpec> decode(const std::string &body, std::string &error)
{
    return JsonCallerCodec().decodeJob(body, id, {}, error);
}

} // namespace

TEST_CASE("A submission is decoded into a job with its steps")
{
    std::string error;
    const auto spec = decode(
        R"({"spec":"text","stepSpecs":[
            {"count":4,"cpu":500,"memMb":256,"estimateMs":900,"preferredRack":"r1-3"},
            {"count":20,"cpu":2000,"memMb":1024,"gpu":1,"estimateMs":7000,"after":[0],
             "checkpointing":true,"gang":true,"colocated":true,"requiredLabel":"b",
             "maxPerServer":2,"allowDuplicates":true,"longRunning":true,"image":"m",
             "targetMs":50,"fills":true,"maxUnavailable":3}],
            "repeatCount":3,"firstMs":1700000000000,"intervalMs":500
})",
        error);
    REQUIRE_MESSAGE(spec.has_value(), error);
    CHECK(spec->id == id);
    CHECK(spec->payload == "text");
    REQUIRE(spec->steps.size() == 2);
    CHECK(spec->steps[0].preferredRack == "r1-3");
    CHECK((spec->steps[0].demand == steps::ResourceVector{500, 256, 0}));
    const steps::StepSpec &second = spec->steps[1];
    CHECK(second.dependsOn == std::vector<int>{0});
    CHECK(second.demand.accelerators == 1);
    CHECK(second.checkpointing);
    CHECK(second.gang);
    CHECK(second.preferSameRack);
    CHECK(second.allowDuplicates);
    CHECK(second.longRunning);
    CHECK(second.bestEffort);
    CHECK(second.neededLabel == "b");
    CHECK(second.maxTasksPerWorker == 2);
    CHECK(second.latencyTarget == Millis{50});
    CHECK(second.maxUnavailable == 3);
    CHECK(spec->schedule.occurrenceCount == 3);
    CHECK(spec->schedule.interval == Millis{500});
}

TEST_CASE("A malformed submission is rejected with an error message")
{
    const std::string tooLong(4'001, 'x');
    for (const std::string &body :
         {std::string(), std::string("[]"), std::string(R"({"spec":"a"})"),
          std::string(R"({"spec":"a","stepSpecs":[]})"),
          std::string(R"({"spec":7,"stepSpecs":[{"count":1}]})"),
          std::string(R"({"spec":"a","stepSpecs":[{"count":0}]})"),
          std::string(R"({"spec":"a","stepSpecs":[{"count":"1"}]})"),
          std::string(R"({"spec":"a","stepSpecs":[{"count":1,"cpu":-1}]})"),
          std::string(R"({"spec":"a","stepSpecs":[{"count":1,"after":[0]}]})"),
          R"({"spec":")" + tooLong + R"(","stepSpecs":[{"count":1}]})"}) {
        CAPTURE(body.substr(0, 80));
        std::string error;
        CHECK_FALSE(decode(body, error).has_value());
        CHECK_FALSE(error.empty());
    }
}

// Guards against a shard that commits nothing any more: the store refuses a row that is too large
// each time, and what was committed after the job waits behind it.
TEST_CASE("A submission that is too large for a row of the store is rejected")
{
    std::string steps = R"({"count":1})";
    constexpr int manySteps = 10'000;
    for (int i = 1; i < manySteps; ++i)
        steps += R"(,{"count":1})";
    std::string error;
    CHECK_FALSE(decode(R"({"spec":"a","stepSpecs":[)" + steps + "]}", error).has_value());
    CHECK_FALSE(error.empty());
    // The limit is that of the store's rows, whatever it is.
    constexpr std::size_t smallRowBytes = 500;
    for (const std::size_t payloadBytes : {100, 500}) {
        error.clear();
        const std::string body =
            R"({"spec":")" + std::string(payloadBytes, 'x') + R"(","stepSpecs":[{"count":1}]})";
        const auto job = JsonCallerCodec(smallRowBytes).decodeJob(body, id, {}, error);
        CHECK(job.has_value() == (payloadBytes < smallRowBytes));
        CHECK(error.empty() == job.has_value());
    }
}

TEST_CASE("A job id consists of sixteen hexadecimal digits")
{
    const JsonCallerCodec codec;
    CHECK(codec.isJobId(id));
    CHECK_FALSE(codec.isJobId(""));
    CHECK_FALSE(codec.isJobId("5c0e7a21d94b36f"));
    CHECK_FALSE(codec.isJobId("5c0e7a21d94b36f8/x"));
    CHECK_FALSE(codec.isJobId("5c0e7a21d94b36fg"));
}

TEST_CASE("Responses and the deadline header use the platform's names")
{
    const JsonCallerCodec codec;
    CHECK(codec.encodeJobState(steps::JobState::Completed) == R"({"state":"completed"})");
    CHECK(codec.encodePendingCount(12) == R"({"pending":12})");
    CHECK(codec.callerTimeout({{"x-savorywick-deadline-ms", "2500"}}) == Millis{2'500});
    CHECK_FALSE(codec.callerTimeout({{"X-Savorywick-Deadline-Ms", "soon"}}).has_value());
    CHECK_FALSE(codec.callerTimeout({}).has_value());
}
