#include "harness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{30'000};

int revisionAt(Cluster &cluster, int entry)
{
    return parseJson(cluster.call(entry, "GET", "/v1/documents/quotes").body)["revision"].asInt();
}

} // namespace

TEST_CASE("Every entry answers an urgent request with the response to that request")
{
    Cluster cluster;
    for (int i = 0; i < 3; ++i) {
        const std::string body = "bearing " + std::to_string(i);
        const HttpResult a = cluster.request(i, "quote", body);
        CHECK(a.status == 200);
        CHECK(parseJson(a.body)["echo"] == body);
        CHECK(headerValue(a.headers, "X-Run-Status") == "run");
        CHECK_FALSE(headerValue(a.headers, "X-Request-Id").empty());
    }
}

TEST_CASE("A run finishes on a worker and its result can be read through every entry")
{
    Cluster cluster;
    const std::string id = cluster.submit(0, "runs", "refresh", "{}", "run-1");
    CHECK(cluster.submit(1, "runs", "refresh", "{}", "run-1") == id);
    for (int i = 0; i < 3; ++i) {
        CHECK(cluster.waitForFinalState(i, "runs", id, waitLimit) == "finished");
        CHECK(cluster.fetchStatus(i, "runs", id)["result"].asString().starts_with("done:"));
    }
    CHECK(cluster.overlappingRuns().empty());
}

TEST_CASE("Runs finish when there are fewer workers than shards")
{
    Cluster cluster({.entries = 1, .workers = 1, .editSettings = [](Json::Value &settings) {
                         settings["shardCount"] = 4;
                     }});
    std::vector<std::string> ids(8);
    for (std::size_t i = 0; i < ids.size(); ++i)
        ids[i] = cluster.submit(0, "runs", "refresh", "{}", "run-" + std::to_string(i));
    const auto finished = [&](const std::string &id) {
        return cluster.waitForFinalState(0, "runs", id, Millis{0}) == "finished";
    };
    CHECK(eventually(waitLimit, [&] { return std::all_of(ids.begin(), ids.end(), finished); }));
}

TEST_CASE("A watcher stays open until its condition is met or it is cancelled")
{
    Cluster cluster;
    const std::string run =
        cluster.submit(0, "runs", "refresh", R"({"durationMs":1500})", "watched");
    const std::string byRun =
        cluster.submit(1, "watchers", "stock", R"({"until":{"run":")" + run + R"("}})", "by-run");
    const std::string byTime =
        cluster.submit(2, "watchers", "stock", R"({"until":{"afterMs":300}})", "by-time");
    const std::string unmet =
        cluster.submit(0, "watchers", "stock", R"({"until":{"afterMs":600000}})", "stands");
    CHECK(cluster.waitForFinalState(0, "watchers", byTime, waitLimit) == "finished");
    CHECK(cluster.waitForFinalState(2, "watchers", byRun, waitLimit) == "finished");
    CHECK(cluster.waitForFinalState(1, "runs", run, Millis{0}) == "finished");
    CHECK(cluster.call(1, "DELETE", "/v1/watchers/" + unmet).status == 200);
    CHECK(cluster.waitForFinalState(2, "watchers", unmet, waitLimit) == "cancelled");
}

TEST_CASE(
    "A document edited through one entry takes effect on the others and a stale edit is refused")
{
    Cluster cluster;
    const HttpResult shown = cluster.call(0, "GET", "/v1/documents/quotes");
    const Json::Value row = parseJson(shown.body);
    std::string edited = row["document"].asString();
    const std::string before = "\"expectedMs\": 300";
    REQUIRE(edited.find(before) != std::string::npos);
    edited.replace(edited.find(before), before.size(), "\"expectedMs\": 400");
    const HttpHeaders match{{"If-Match", std::to_string(row["revision"].asInt())}};
    CHECK(cluster.call(1, "PUT", "/v1/documents/quotes", edited, match).status == 200);
    CHECK(cluster.call(2, "PUT", "/v1/documents/quotes", edited, match).status == 412);
    for (int i = 0; i < 3; ++i) {
        const auto inForce = [&] { return revisionAt(cluster, i) == row["revision"].asInt() + 1; };
        CHECK(eventually(waitLimit, inForce));
    }
}
