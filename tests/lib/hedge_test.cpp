#include "savorywick/hedge.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace savorywick;

TEST_CASE("An estimated quantile is at most an eighth above the exact one")
{
    CHECK(rc::check("for any latencies and any quantile", [] {
        auto samples = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
            rc::gen::inRange<std::int64_t>(0, 1'000'000)));
        const double q = *rc::gen::inRange(1, 101) / 100.0;
        HedgeDelayEstimator estimator({});
        for (const std::int64_t ms : samples)
            estimator.recordLatency(Millis{ms});
        std::sort(samples.begin(), samples.end());
        const auto rank =
            static_cast<std::size_t>(std::ceil(q * static_cast<double>(samples.size())));
        const std::int64_t exact = samples[std::max<std::size_t>(rank, 1) - 1];
        const std::int64_t estimated = estimator.latencyQuantile(q).count();
        RC_ASSERT(estimated >= exact);
        RC_ASSERT(estimated <= exact + exact / 8);
    }));
}

TEST_CASE("There is no hedge before the minimum number of samples")
{
    HedgeDelayEstimator estimator({.minSamples = 3});
    for (int n = 0; n < 2; ++n) {
        estimator.recordLatency(Millis{10});
        CHECK_FALSE(estimator.delay().has_value());
    }
    estimator.recordLatency(Millis{10});
    REQUIRE(estimator.delay().has_value());
    CHECK(estimator.delay()->count() == 10);
}

// Guards against hedging most requests: if old samples kept their weight, the delay would stay at
// the former latency after a service became slower.
TEST_CASE("The delay follows a service that becomes slower")
{
    HedgeDelayEstimator estimator({.samplesPerDecay = 1'000});
    for (int n = 0; n < 10'000; ++n)
        estimator.recordLatency(Millis{10});
    CHECK(estimator.delay()->count() == 10);
    for (int n = 0; n < 10'000; ++n)
        estimator.recordLatency(Millis{100});
    CHECK(estimator.delay()->count() >= 100);
}

TEST_CASE("The delay is never below the minimum")
{
    HedgeDelayEstimator estimator({.minDelay = Millis{5}});
    for (int n = 0; n < 200; ++n)
        estimator.recordLatency(Millis{0});
    CHECK(estimator.delay()->count() == 5);
}
