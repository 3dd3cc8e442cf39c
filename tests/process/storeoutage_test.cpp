#include "harness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{60'000};
// Several times the longest age that the harness's settings allow for a list.
constexpr Millis outageDuration{6'000};
constexpr Millis requestInterval{50};

bool requestSucceeds(Cluster &cluster, int entry)
{
    return cluster.request(entry, "quote", "outage").status == 200;
}

} // namespace

TEST_CASE("Repeatable requests succeed on every entry while the store is down")
{
    Cluster cluster;
    for (int i = 0; i < 3; ++i)
        REQUIRE(eventually(waitLimit, [&] { return requestSucceeds(cluster, i); }));
    cluster.setFaults(cluster.platform(), R"({"down":true})");
    int sent = 0;
    int succeeded = 0;
    for (Millis elapsed{0}; elapsed < outageDuration; elapsed = elapsed + requestInterval) {
        for (int i = 0; i < 3; ++i) {
            ++sent;
            succeeded += requestSucceeds(cluster, i) ? 1 : 0;
        }
        sleepFor(requestInterval);
    }
    CHECK(succeeded == sent);
    cluster.setFaults(cluster.platform(), R"({"down":false})");
    for (int i = 0; i < 3; ++i)
        CHECK(eventually(waitLimit, [&] { return requestSucceeds(cluster, i); }));
}

TEST_CASE("An entry left alone in a store outage stops using shared slots")
{
    Cluster cluster;
    REQUIRE(eventually(waitLimit, [&] { return requestSucceeds(cluster, 0); }));
    cluster.setFaults(cluster.platform(), R"({"down":true})");
    cluster.entry(1).kill();
    cluster.entry(2).kill();
    HttpResult last;
    CHECK(eventually(waitLimit, [&] {
        last = cluster.request(0, "quote", "alone");
        return last.status == 503;
    }));
    CHECK(headerValue(last.headers, "X-Run-Status") == "not-run");
    CHECK_FALSE(headerValue(last.headers, "Retry-After").empty());
}
