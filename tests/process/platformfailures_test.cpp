#include "harness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{60'000};
constexpr int requestCount = 40;

// Sends requests over a time longer than any lease term and checks that none fails.
void checkQuotesSucceed(Cluster &cluster)
{
    int failed = 0;
    std::string lastFailure;
    for (int i = 0; i < requestCount; ++i) {
        const HttpResult a = cluster.request(i % 3, "quote", "during");
        failed += a.status == 200 ? 0 : 1;
        lastFailure = a.status == 200 ? lastFailure : a.body;
        sleepFor(Millis{150});
    }
    CHECK_MESSAGE(failed == 0, lastFailure);
}

// Submits a run until it is accepted and returns its id. Shard owners confirm their leases one
// after the other once the store responds in time. Until then, checks that each refusal says that
// nothing has run and when to retry.
std::string submitUntilAccepted(Cluster &cluster, int entry, const std::string &key)
{
    HttpResult a;
    CHECK(eventually(waitLimit, [&] {
        a = cluster.call(entry, "POST", "/v1/services/quotes/runs/refresh", "{}",
                         {{"Idempotency-Key", key}});
        if (a.status != 202) {
            CHECK_MESSAGE(a.status == 503, a.body);
            CHECK(headerValue(a.headers, "X-Run-Status") == "not-run");
            CHECK_FALSE(headerValue(a.headers, "Retry-After").empty());
        }
        return a.status == 202;
    }));
    return parseJson(a.body)["id"].asString();
}

} // namespace

TEST_CASE("Repeatable urgent requests succeed while the store fails or is slow")
{
    // The table and the object store fail together; the membership service keeps working.
    Process store({STANDIN_PROGRAM, "platform"});
    Cluster cluster({.editSettings = [&store](Json::Value &settings) {
        settings["platform"]["table"] = store.address();
        settings["platform"]["objects"] = store.address();
    }});
    for (const std::string faults : {R"({"down":true})", R"({"down":false,"refuse":true})",
                                     R"({"refuse":false,"delayMs":3000})"}) {
        CAPTURE(faults);
        cluster.setFaults(store, faults);
        checkQuotesSucceed(cluster);
    }
    cluster.setFaults(store, R"({"delayMs":0})");
    CHECK(eventually(waitLimit,
                     [&] { return cluster.request(0, "order", "after", "after").status == 200; }));
    CHECK(cluster.executionCount("after") == 1);
    const std::string id = submitUntilAccepted(cluster, 1, "after");
    CHECK(submitUntilAccepted(cluster, 2, "after") == id);
    CHECK(cluster.waitForFinalState(2, "runs", id, waitLimit) == "finished");
}

TEST_CASE("Repeatable urgent requests succeed while the whole platform is down")
{
    Cluster cluster;
    cluster.setFaults(cluster.platform(), R"({"down":true})");
    checkQuotesSucceed(cluster);
}
