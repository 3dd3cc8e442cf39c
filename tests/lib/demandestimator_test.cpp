#include "savorywick/demandestimator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace savorywick;

TEST_CASE("an estimate is never below the declared demand or the recent use")
{
    CHECK(rc::check("both fit in the estimate in every dimension", [] {
        DemandEstimator estimator({.maxClasses = 4, .windowSamples = 8, .memoryMarginPercent = 10});
        const Resources declared{*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 99),
                                 *rc::gen::inRange(0, 3)};
        const auto used = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
        for (const int n : used)
            estimator.observe("s", "c", {n, 2 * n, 0});
        const Resources estimate = estimator.estimate("s", "c", declared);
        RC_ASSERT(declared.fitsIn(estimate));
        const std::size_t recent = std::min<std::size_t>(used.size(), 8);
        for (std::size_t i = used.size() - recent; i < used.size(); ++i)
            RC_ASSERT((Resources{used[i], 2 * used[i], 0}).fitsIn(estimate));
    }));
}

TEST_CASE("old peaks expire")
{
    DemandEstimator estimator({.maxClasses = 4, .windowSamples = 8, .memoryMarginPercent = 10});
    estimator.observe("s", "c", {40, 400, 0});
    CHECK(estimator.estimate("s", "c", {1, 1, 0}) == Resources{40, 440, 0});
    for (int i = 0; i < 16; ++i)
        estimator.observe("s", "c", {2, 100, 0});
    CHECK(estimator.estimate("s", "c", {1, 1, 0}) == Resources{2, 110, 0});
}

TEST_CASE("the number of classes is bounded and the least recently observed is evicted")
{
    DemandEstimator estimator({.maxClasses = 2, .windowSamples = 8, .memoryMarginPercent = 0});
    estimator.observe("s", "a", {5, 5, 0});
    estimator.observe("s", "b", {6, 6, 0});
    estimator.observe("s", "a", {5, 5, 0});
    estimator.observe("s", "c", {7, 7, 0});
    CHECK(estimator.classCount() == 2);
    CHECK(estimator.estimate("s", "a", {}) == Resources{5, 5, 0});
    CHECK(estimator.estimate("s", "b", {}) == Resources{});
    CHECK(estimator.estimate("s", "c", {}) == Resources{7, 7, 0});
}
