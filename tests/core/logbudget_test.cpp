#include "core/logbudget.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <initializer_list>

using namespace savorywick;

namespace {

// Returns how many of `count` lines are written at `now`.
int taken(LogBudget &budget, LogWeight weight, int count, Instant now)
{
    int n = 0;
    for (int i = 0; i < count; ++i)
        n += budget.take(weight, now) ? 1 : 0;
    return n;
}

} // namespace

TEST_CASE("Each second takes a limited number of lines and fewer routine ones")
{
    LogBudget budget({.routineLines = 10, .allLines = 30});
    for (const Instant second : {Instant{5'000}, Instant{6'000}, Instant{9'500}}) {
        CHECK(taken(budget, LogWeight::Routine, 50, second) == 10);
        CHECK(taken(budget, LogWeight::Notable, 50, second + Millis{999}) == 20);
        CHECK(taken(budget, LogWeight::Routine, 1, second + Millis{999}) == 0);
    }
    const LogBudget::Dropped dropped = budget.takeDropped();
    CHECK(dropped.routine == 3 * 41);
    CHECK(dropped.notable == 3 * 30);
    CHECK_FALSE(budget.hasDropped());
}

TEST_CASE("Lines within the limits are all written")
{
    LogBudget budget({.routineLines = 10, .allLines = 30});
    for (std::int64_t second = 1; second < 100; ++second)
        CHECK(taken(budget, LogWeight::Routine, 10, Instant{second * 1'000}) == 10);
    CHECK_FALSE(budget.hasDropped());
}
