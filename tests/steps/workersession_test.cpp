#include "savorywick/steps/workersession.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr Fence firstFence = 100;
constexpr Instant owned{50'000};
const Millis gap = WorkerSessionSettings().renewalGap;
const WorkerLife life{"w", 7};

WorkerSession session()
{
    return {life, "10.0.0.1:1", firstFence, owned, {}};
}

WorkerReport report(std::int64_t clockMs, std::int64_t bornWallMs = 7)
{
    WorkerReport r;
    r.clockMs = clockMs;
    r.bornWallMs = bornWallMs;
    return r;
}

} // namespace

TEST_CASE("The first renewal asks without a lease and later ones renew it on the worker's clock")
{
    WorkerSession s = session();
    const auto first = s.nextRenewal(true, Millis{1'000}, owned);
    REQUIRE(first.has_value());
    CHECK_FALSE(first->untilClockMs.has_value());
    CHECK(first->wait == Millis{0});
    CHECK_FALSE(s.nextRenewal(true, Millis{1'000}, owned).has_value()); // One is in flight.
    REQUIRE(s.renewalAnswered(report(3'000), owned + Millis{10}));
    CHECK_FALSE(s.nextRenewal(true, Millis{1'000}, owned + Millis{9} + gap).has_value());
    const auto second = s.nextRenewal(true, Millis{1'000}, owned + Millis{10} + gap);
    REQUIRE(second.has_value());
    CHECK(*second->untilClockMs == 3'000 + gap.count() + 6'000);
    CHECK(second->wait == Millis{1'000});
}

TEST_CASE("A raised fence asks at once and the worker is used again only after the answer")
{
    WorkerSession s = session();
    s.nextRenewal(true, Millis{1'000}, owned);
    s.renewalAnswered(report(1), owned);
    CHECK(s.responsive());
    s.raiseFence(owned + Millis{5});
    CHECK_FALSE(s.responsive());
    const auto renewal = s.nextRenewal(true, Millis{1'000}, owned + Millis{5});
    REQUIRE(renewal.has_value());
    CHECK(renewal->target.fence == firstFence + 1);
    CHECK(renewal->wait == Millis{0});
    s.renewalAnswered(report(2), owned + Millis{9});
    CHECK(s.responsive());
    CHECK(s.answeredFence() == firstFence + 1);
}

TEST_CASE("Ends are acknowledged only once they are durable")
{
    WorkerSession s = session();
    s.nextRenewal(true, Millis{1'000}, owned);
    s.renewalAnswered(report(1), owned);
    s.endsTaken(5);
    CHECK_FALSE(s.nextRenewal(true, Millis{1'000}, owned + Millis{500}).has_value());
    // The lease must not wait for a store that is down.
    const auto renewal = s.nextRenewal(true, Millis{1'000}, owned + Millis{1'000});
    REQUIRE(renewal.has_value());
    CHECK(renewal->seenEnds == 0);
    CHECK(renewal->wait == Millis{0});
    s.renewalAnswered(report(1'000), owned + Millis{1'001});
    s.endsDurable(5);
    CHECK(s.nextRenewal(true, Millis{1'000}, owned + Millis{1'001} + gap)->seenEnds == 5);
}

TEST_CASE("A lease lapses surely only after the slowest clock has passed its end")
{
    WorkerSession s = session();
    s.nextRenewal(true, Millis{1'000}, owned);
    s.renewalAnswered(report(1'000), owned);
    const std::int64_t until = s.grantLease(owned + Millis{20'000});
    CHECK(until == 1'000 + 20'000 + 6'000);
    CHECK_FALSE(s.lapsed(owned + Millis{26'000}));
    CHECK(s.lapsed(owned + Millis{27'200}));
}

TEST_CASE("A worker that stays silent lapses however often it is asked")
{
    WorkerSession s = session();
    s.nextRenewal(true, Millis{1'000}, owned);
    s.renewalAnswered(report(1'000), owned);
    Instant now = owned + Millis{20'000};
    REQUIRE(s.nextRenewal(true, Millis{1'000}, now)->untilClockMs.has_value());
    const Instant lastGrant = now;
    while (!s.lapsed(now) && now < lastGrant + Millis{20'000}) {
        s.renewalFailed(now);
        now = now + Millis{1'000};
        const auto renewal = s.nextRenewal(true, Millis{1'000}, now);
        REQUIRE(renewal.has_value());
        CHECK_FALSE(renewal->untilClockMs.has_value()); // It would be a lease that nobody confirms.
    }
    CHECK(now <= lastGrant + Millis{8'000});
}

TEST_CASE("What an earlier owner granted ends a longest lease after the shard was taken")
{
    const WorkerSession s = session();
    CHECK_FALSE(s.lapsed(owned + Millis{10'500}));
    CHECK(s.lapsed(owned + Millis{10'600}));
}

TEST_CASE("Another life of the worker starts the session anew with a higher fence")
{
    WorkerSession s = session();
    s.nextRenewal(true, Millis{1'000}, owned);
    s.renewalAnswered(report(9'000), owned);
    s.endsTaken(4);
    s.nextRenewal(true, Millis{1'000}, owned + Millis{1'000});
    CHECK_FALSE(s.renewalAnswered(report(5, 8), owned + Millis{1'010}));
    s.update({"w", 8}, "10.0.0.1:1", owned + Millis{1'010});
    CHECK(s.fence() == firstFence + 1);
    CHECK_FALSE(s.answered());
    CHECK(s.takenEnds() == 0);
}
