#include "savorywick/hedge.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace savorywick;

TEST_CASE("A learned quantile is at most an eighth above the true one")
{
    CHECK(rc::check("for any latencies and any quantile", [] {
        auto samples = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
            rc::gen::inRange<std::int64_t>(0, 1'000'000)));
        const double part = *rc::gen::inRange(1, 101) / 100.0;
        HedgeTimer timer({});
        for (const std::int64_t ms : samples)
            timer.learn(Millis{ms});
        std::sort(samples.begin(), samples.end());
        const auto rank =
            static_cast<std::size_t>(std::ceil(part * static_cast<double>(samples.size())));
        const std::int64_t exact = samples[std::max<std::size_t>(rank, 1) - 1];
        const std::int64_t learned = timer.quantile(part).count();
        RC_ASSERT(learned >= exact);
        RC_ASSERT(learned <= exact + exact / 8);
    }));
}

TEST_CASE("There is no hedge before enough is known")
{
    HedgeTimer timer({.fewestSamples = 3});
    for (int n = 0; n < 2; ++n) {
        timer.learn(Millis{10});
        CHECK_FALSE(timer.delay().has_value());
    }
    timer.learn(Millis{10});
    REQUIRE(timer.delay().has_value());
    CHECK(timer.delay()->count() == 10);
}

TEST_CASE("The delay follows a service that becomes slower")
{
    HedgeTimer timer({.samplesPerHalving = 1'000});
    for (int n = 0; n < 10'000; ++n)
        timer.learn(Millis{10});
    CHECK(timer.delay()->count() == 10);
    for (int n = 0; n < 10'000; ++n)
        timer.learn(Millis{100});
    CHECK(timer.delay()->count() >= 100);
}

TEST_CASE("The delay is never shorter than the shortest one")
{
    HedgeTimer timer({.shortestDelay = Millis{5}});
    for (int n = 0; n < 200; ++n)
        timer.learn(Millis{0});
    CHECK(timer.delay()->count() == 5);
}
