#include "harness.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr int callerCount = 8;
constexpr int callsPerCaller = 25;

// Counts the responses to all callers of one round.
struct ResponseCounts
{
    std::atomic<int> correct = 0; // Complete responses to the caller's own request.
    std::atomic<int> typedErrors = 0; // Errors that name a problem type.
    std::atomic<int> invalid = 0; // All others: another caller's, truncated or untyped.
};

void sendCalls(Cluster &cluster, int caller, ResponseCounts &counts)
{
    for (int i = 0; i < callsPerCaller; ++i) {
        const std::string body = "caller " + std::to_string(caller) + " call " + std::to_string(i);
        const HttpResult a = cluster.request(i % 2, "quote", body);
        const Json::Value answer = parseJson(a.body);
        if (a.status == 200 && answer["echo"] == body)
            ++counts.correct;
        else if (a.status >= 500 && !answer["type"].asString().empty())
            ++counts.typedErrors;
        else
            ++counts.invalid;
    }
}

} // namespace

TEST_CASE(
    "Every caller gets its own complete response or a typed error whatever the upstream sends")
{
    ClusterOptions options;
    options.entries = 2;
    Cluster cluster(options);
    for (const char *fault :
         {R"({"crossAnswers":true})", R"({"wrongId":true})", R"({"shortBody":true})"}) {
        CAPTURE(fault);
        cluster.setFaults(cluster.upstream(0), fault);
        ResponseCounts counts;
        std::vector<std::thread> threads;
        threads.reserve(callerCount);
        for (int i = 0; i < callerCount; ++i)
            threads.emplace_back([&, i] { sendCalls(cluster, i, counts); });
        for (std::thread &it : threads)
            it.join();
        CHECK_MESSAGE(
            counts.invalid == 0, counts.invalid.load(), " of ", callerCount * callsPerCaller,
            " responses were another caller's, truncated or untyped; check that X-Request-Id is "
            "verified");
        CHECK(counts.correct > 0);
        cluster.setFaults(cluster.upstream(0),
                          R"({"crossAnswers":false,"wrongId":false,"shortBody":false})");
    }
}
