#include "savorywick/steps/relaxedstarts.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

// Guards against a limit that starves a job in a small fleet, and one that leaks runs which have
// ended.
TEST_CASE("The limit follows the number of workers and allows at least one run")
{
    struct Case
    {
        std::size_t workers;
        std::size_t limit;
    };
    for (const Case &it : {Case{0, 1}, Case{10, 1}, Case{100, 5}, Case{490, 24}}) {
        CAPTURE(it.workers);
        RelaxedStarts relaxed(5);
        int n = 0;
        for (; relaxed.allowsMore(it.workers) && n < 100; ++n)
            relaxed.add({{"job", 0, 0, n}, 1});
        CHECK(relaxed.count() == it.limit);
        relaxed.remove({{"job", 0, 0, 0}, 1});
        relaxed.remove({{"other", 0, 0, 0}, 1});
        CHECK(relaxed.allowsMore(it.workers));
    }
}

TEST_CASE("Without a setting any number of runs is allowed")
{
    RelaxedStarts relaxed({});
    for (int i = 0; i < 1'000; ++i)
        relaxed.add({{"job", 0, 0, i}, 1});
    CHECK(relaxed.allowsMore(1));
}
