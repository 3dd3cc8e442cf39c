#include "harness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{60'000};

Json::Value fetchReport(Cluster &cluster)
{
    return parseJson(cluster.call(0, "GET", "/v1/report").body);
}

// Returns how many times all entries together list the worker as unreachable.
int unreachableReports(Cluster &cluster, const std::string &worker)
{
    int n = 0;
    const Json::Value report = fetchReport(cluster);
    for (const Json::Value &entry : report["entries"]) {
        for (const Json::Value &it : entry["suspects"]) {
            const bool same = it["id"].asString() == worker && it["role"].asString() == "worker";
            n += same && it["reason"].asString() == "unreachable" ? 1 : 0;
        }
    }
    return n;
}

// Returns how many requests all entries together have counted as late.
std::uint64_t lateRequests(Cluster &cluster)
{
    std::uint64_t n = 0;
    const Json::Value report = fetchReport(cluster);
    for (const Json::Value &entry : report["entries"]) {
        for (const Json::Value &it : entry["counters"])
            n += it["group"].asString() == "late" ? it["count"].asUInt64() : 0;
    }
    return n;
}

} // namespace

TEST_CASE("The report lists an unreachable worker until it responds again")
{
    Cluster cluster;
    REQUIRE(eventually(waitLimit, [&] { return unreachableReports(cluster, "worker-0") == 0; }));
    cluster.worker(0).pause();
    CHECK(eventually(waitLimit, [&] { return unreachableReports(cluster, "worker-0") > 0; }));
    CHECK(unreachableReports(cluster, "worker-1") == 0);
    cluster.worker(0).resume();
    CHECK(eventually(waitLimit, [&] { return unreachableReports(cluster, "worker-0") == 0; }));
}

TEST_CASE("The report counts requests that ended after their deadline")
{
    Cluster cluster;
    REQUIRE(cluster.request(0, "quote", "x").status == 200);
    for (int i = 0; i < 2; ++i)
        cluster.setFaults(cluster.upstream(i), R"({"delayMs":1000})");
    CHECK(eventually(waitLimit, [&] {
        cluster.request(0, "quote", "x", "", Millis{200});
        return lateRequests(cluster) > 0;
    }));
}
