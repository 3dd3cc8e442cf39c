#include "savorywick/storeclock.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace savorywick;

TEST_CASE("Nothing is known of the store's clock before its first answer")
{
    const StoreClock clock;
    CHECK_FALSE(clock.latestAt(Instant{5}));
    CHECK_FALSE(clock.surelyBefore(5));
    CHECK_FALSE(clock.surelyAfter(5));
}

TEST_CASE("Each bound allows for the whole time that the call took")
{
    StoreClock clock;
    clock.observe(Instant{1'000}, Instant{1'040}, 500'000);
    CHECK(clock.latestAt(Instant{1'100}) == 500'100);
    CHECK((clock.surelyBefore(508'000) == Instant{9'000}));
    CHECK((clock.surelyAfter(508'000) == Instant{9'040}));
}

TEST_CASE("A slow answer replaces an exact reading only once that has become as inexact")
{
    StoreClock clock;
    clock.observe(Instant{1'000}, Instant{1'010}, 500'000);
    clock.observe(Instant{2'000}, Instant{2'300}, 501'250);
    CHECK(clock.latestAt(Instant{2'300}) == 501'300); // By the first.
    clock.observe(Instant{40'000}, Instant{40'300}, 539'100);
    CHECK(clock.latestAt(Instant{40'300}) == 539'400); // By the last.
}

// Guards against two entries that disagree on whether a lease is over.
TEST_CASE("What one process promises is over for another no sooner than for itself")
{
    CHECK(rc::check("promise", [] {
        const std::int64_t offset = *rc::gen::inRange<std::int64_t>(-100'000, 100'000);
        // Returns a clock of a process that is `lag` behind the true time, after some calls.
        const auto clockOf = [&](std::int64_t lag) {
            StoreClock clock;
            for (std::int64_t sent = 0; sent < 10'000; sent += 1'000) {
                const auto there = *rc::gen::inRange<std::int64_t>(0, 400);
                const auto back = *rc::gen::inRange<std::int64_t>(0, 400);
                clock.observe(Instant{sent - lag}, Instant{sent + there + back - lag},
                              sent + there + offset);
            }
            return clock;
        };
        const std::int64_t lag = *rc::gen::inRange<std::int64_t>(0, 50'000);
        const StoreClock owner = clockOf(0);
        const StoreClock successor = clockOf(lag);
        const std::int64_t end = *owner.latestAt(Instant{12'000}) + 8'000;
        const Instant ownerEnd = *owner.surelyBefore(end);
        RC_ASSERT(ownerEnd.count() >= 20'000);
        RC_ASSERT(successor.surelyAfter(end)->count() + lag >= ownerEnd.count());
    }));
}
