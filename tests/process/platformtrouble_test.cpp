#include "harness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{60'000};
constexpr int rounds = 40;

// Asks for longer than every lease lasts, by small steps, and counts the requests that failed.
void checkQuotes(Cluster &cluster)
{
    int failed = 0;
    std::string last;
    for (int i = 0; i < rounds; ++i) {
        const HttpResult a = cluster.request(i % 3, "quote", "during");
        failed += a.status == 200 ? 0 : 1;
        last = a.status == 200 ? last : a.body;
        passTime(Millis{150});
    }
    CHECK_MESSAGE(failed == 0, last);
}

// Submits a run until it is accepted and returns its id. Owners prove their leases one after the
// other once the store answers in time; until then a refusal says that nothing has run and when to
// come back.
std::string submitWhenOwned(Cluster &cluster, int entry, const std::string &key)
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

TEST_CASE("Repeatable urgent requests go on while the store is in trouble")
{
    // The table and the objects fail together; the membership list is another service.
    Process store({STANDIN_PROGRAM, "platform"});
    Cluster cluster({.editSettings = [&store](Json::Value &settings) {
        settings["platform"]["table"] = store.address();
        settings["platform"]["objects"] = store.address();
    }});
    for (const std::string trouble : {R"({"down":true})", R"({"down":false,"refuse":true})",
                                      R"({"refuse":false,"delayMs":3000})"}) {
        CAPTURE(trouble);
        cluster.fault(store, trouble);
        checkQuotes(cluster);
    }
    cluster.fault(store, R"({"delayMs":0})");
    CHECK(eventually(waitLimit,
                     [&] { return cluster.request(0, "order", "after", "after").status == 200; }));
    CHECK(cluster.runsOf("after") == 1);
    const std::string id = submitWhenOwned(cluster, 1, "after");
    CHECK(submitWhenOwned(cluster, 2, "after") == id);
    CHECK(cluster.endState(2, "runs", id, waitLimit) == "finished");
}

TEST_CASE("Repeatable urgent requests go on while the whole platform is down")
{
    Cluster cluster;
    cluster.fault(cluster.platform(), R"({"down":true})");
    checkQuotes(cluster);
}
