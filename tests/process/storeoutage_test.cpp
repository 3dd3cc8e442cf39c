#include "harness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{60'000};
constexpr Millis outage{
    6'000}; // Several times the longest age of a list in the harness's settings.
constexpr Millis betweenRequests{50};

bool isAnswered(Cluster &cluster, int entry)
{
    return cluster.request(entry, "quote", "outage").status == 200;
}

} // namespace

TEST_CASE("Repeatable requests go on at every entry while the store is down")
{
    Cluster cluster;
    for (int i = 0; i < 3; ++i)
        REQUIRE(eventually(waitLimit, [&] { return isAnswered(cluster, i); }));
    cluster.fault(cluster.platform(), R"({"down":true})");
    int asked = 0;
    int answered = 0;
    for (Millis passed{0}; passed < outage; passed = passed + betweenRequests) {
        for (int i = 0; i < 3; ++i) {
            ++asked;
            answered += isAnswered(cluster, i) ? 1 : 0;
        }
        passTime(betweenRequests);
    }
    CHECK(answered == asked);
    cluster.fault(cluster.platform(), R"({"down":false})");
    for (int i = 0; i < 3; ++i)
        CHECK(eventually(waitLimit, [&] { return isAnswered(cluster, i); }));
}

TEST_CASE("An entry alone in an outage stops using the slots that it shares")
{
    Cluster cluster;
    REQUIRE(eventually(waitLimit, [&] { return isAnswered(cluster, 0); }));
    cluster.fault(cluster.platform(), R"({"down":true})");
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
