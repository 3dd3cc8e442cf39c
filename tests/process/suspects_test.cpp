#include "harness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis limit{60'000};

Json::Value report(Cluster &cluster)
{
    return parseJson(cluster.call(0, "GET", "/v1/report").body);
}

// Returns how often a worker is listed as unreachable by any entry.
int unreachable(Cluster &cluster, const std::string &worker)
{
    int n = 0;
    const Json::Value whole = report(cluster);
    for (const Json::Value &entry : whole["entries"]) {
        for (const Json::Value &it : entry["suspects"]) {
            const bool same = it["id"].asString() == worker && it["role"].asString() == "worker";
            n += same && it["reason"].asString() == "unreachable" ? 1 : 0;
        }
    }
    return n;
}

std::uint64_t late(Cluster &cluster)
{
    std::uint64_t n = 0;
    const Json::Value whole = report(cluster);
    for (const Json::Value &entry : whole["entries"]) {
        for (const Json::Value &it : entry["counters"])
            n += it["group"].asString() == "late" ? it["count"].asUInt64() : 0;
    }
    return n;
}

} // namespace

TEST_CASE("The report lists a silent worker until it answers again")
{
    Cluster cluster;
    REQUIRE(eventually(limit, [&] { return unreachable(cluster, "worker-0") == 0; }));
    cluster.worker(0).pause();
    CHECK(eventually(limit, [&] { return unreachable(cluster, "worker-0") > 0; }));
    CHECK(unreachable(cluster, "worker-1") == 0);
    cluster.worker(0).resume();
    CHECK(eventually(limit, [&] { return unreachable(cluster, "worker-0") == 0; }));
}

TEST_CASE("The report counts requests that ended after their deadline")
{
    Cluster cluster;
    REQUIRE(cluster.request(0, "quote", "x").status == 200);
    for (int i = 0; i < 2; ++i)
        cluster.fault(cluster.upstream(i), R"({"delayMs":1000})");
    CHECK(eventually(limit, [&] {
        cluster.request(0, "quote", "x", "", Millis{200});
        return late(cluster) > 0;
    }));
}
