#include "harness.h"

#include <doctest/doctest.h>

#include <future>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{30'000};
constexpr int slowServiceMs = 600;

std::future<HttpResult> sendOrderAsync(Cluster &cluster, int entry, const std::string &key)
{
    return std::async(std::launch::async,
                      [&cluster, entry, key] { return cluster.request(entry, "order", key, key); });
}

std::string runStatus(const HttpResult &a)
{
    return std::string{headerValue(a.headers, "X-Run-Status")};
}

// Retries the order until it succeeds or its outcome is reported as unknown. Checks that it ran at
// most once, and exactly once if it succeeded.
void retryAndCheckExecutions(Cluster &cluster, int entry, const std::string &key)
{
    CAPTURE(key);
    HttpResult a;
    const auto hasSettled = [&] {
        a = cluster.request(entry, "order", key, key);
        return a.status == 200 || (a.status < 500 && runStatus(a) == "unknown");
    };
    const bool settled = eventually(waitLimit, hasSettled);
    INFO("last answer: " << a.status << " " << runStatus(a) << " " << a.body);
    CHECK((settled || runStatus(a) == "unknown"));
    CHECK(cluster.executionCount(key) <= 1);
    if (a.status == 200)
        CHECK(cluster.executionCount(key) == 1);
}

} // namespace

TEST_CASE("An order retried through other entries runs once and gets the same response")
{
    Cluster cluster({.serviceMs = slowServiceMs});
    auto first = sendOrderAsync(cluster, 0, "in-flight");
    REQUIRE(eventually(waitLimit, [&] { return cluster.executionCount("in-flight") == 1; }));
    cluster.request(1, "order", "in-flight", "in-flight");
    const HttpResult answer = first.get();
    CHECK(answer.status == 200);
    const HttpResult repeat = cluster.request(2, "order", "in-flight", "in-flight");
    CHECK(repeat.status == 200);
    CHECK(repeat.body == answer.body);
    CHECK(cluster.executionCount("in-flight") == 1);
    const HttpResult reused = cluster.request(1, "order", "another body", "in-flight");
    CHECK(reused.status == 422);
    CHECK(cluster.executionCount("another body") == 0);
}

TEST_CASE("An order whose entry is killed at any moment runs at most once")
{
    Cluster cluster({.serviceMs = slowServiceMs});
    for (const int delayMs : {0, 2, 5, 20, slowServiceMs / 2, slowServiceMs}) {
        const std::string key = "killed-after-" + std::to_string(delayMs);
        auto first = sendOrderAsync(cluster, 0, key);
        sleepFor(Millis{delayMs});
        cluster.entry(0).kill();
        first.get();
        retryAndCheckExecutions(cluster, 1, key);
        cluster.startEntry(0);
        CHECK(eventually(waitLimit,
                         [&] { return cluster.request(0, "quote", "ready").status == 200; }));
    }
}

TEST_CASE("An order is reported as not run and does not run while the store is down")
{
    Cluster cluster;
    cluster.setFaults(cluster.platform(), R"({"down":true})");
    for (int i = 0; i < 3; ++i) {
        const std::string key = "down-" + std::to_string(i);
        const HttpResult a = cluster.request(i, "order", key, key);
        CHECK(a.status == 503);
        CHECK(runStatus(a) == "not-run");
        CHECK(cluster.executionCount(key) == 0);
    }
    cluster.setFaults(cluster.platform(), R"({"down":false})");
    for (int i = 0; i < 3; ++i)
        retryAndCheckExecutions(cluster, 2 - i, "down-" + std::to_string(i));
}

TEST_CASE("An order runs at most once when the store loses replies")
{
    Cluster cluster;
    for (int i = 0; i < 6; ++i) {
        const std::string key = "lost-" + std::to_string(i);
        cluster.setFaults(cluster.platform(), R"({"loseReplies":2})");
        const HttpResult a = cluster.request(i % 3, "order", key, key);
        if (runStatus(a) == "not-run")
            CHECK(cluster.executionCount(key) == 0);
        retryAndCheckExecutions(cluster, (i + 1) % 3, key);
    }
}

TEST_CASE("An order runs at most once when its entry is paused past its lease")
{
    Cluster cluster({.serviceMs = slowServiceMs});
    for (int i = 0; i < 3; ++i) {
        const std::string key = "paused-" + std::to_string(i);
        auto first = sendOrderAsync(cluster, i, key);
        sleepFor(Millis{5} * i);
        cluster.entry(i).pause();
        sleepFor(Millis{4'000});
        retryAndCheckExecutions(cluster, (i + 1) % 3, key);
        cluster.entry(i).resume();
        first.get();
        CHECK(cluster.executionCount(key) <= 1);
        retryAndCheckExecutions(cluster, i, key);
    }
}
