#include "savorywick/steps/longrunninggaps.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr std::uint64_t epoch = 8;
const TaskRef task{"job", 0, 0, 3};
const Instant takenOverAt{10'000};

} // namespace

// Guards against a log from which it can't be told on what a lost long-running task waited.
TEST_CASE("The gap of a long-running task is told in the parts that it waited on")
{
    LongRunningGaps gaps(epoch);
    gaps.noteEnd(task, RunOutcome::LeaseExpired, Instant{20'000}, Instant{26'500});
    const auto gap = gaps.noteStart(task, Instant{26'900});
    REQUIRE(gap);
    CHECK(gap->total == Millis{6'900});
    CHECK(gap->untilKnown == Millis{6'500});
    CHECK(gap->untilPlaced == Millis{400});
    CHECK((gap->outcome == RunOutcome::LeaseExpired));
    CHECK_FALSE(gap->sinceTakeover);
    CHECK(gap->epoch == epoch);
}

TEST_CASE("A run of an earlier owner counts as missing from the takeover until it is seen")
{
    LongRunningGaps gaps(epoch);
    gaps.noteAdopted(task, takenOverAt);
    CHECK(gaps.longest(Instant{13'000}) == Millis{3'000});
    SUBCASE("seen")
    {
        gaps.noteSeen(task);
        CHECK(gaps.longest(Instant{13'000}) == Millis{0});
    }
    SUBCASE("over")
    {
        gaps.noteEnd(task, RunOutcome::NeverStarted, Instant{10'000}, Instant{14'000});
        const auto gap = gaps.noteStart(task, Instant{14'100});
        REQUIRE(gap);
        CHECK(gap->sinceTakeover);
        CHECK(gap->total == Millis{4'100});
    }
}

TEST_CASE("A start that has no effect does not end the gap")
{
    LongRunningGaps gaps(epoch);
    gaps.noteEnd(task, RunOutcome::Failed, Instant{1'000}, Instant{1'100});
    REQUIRE(gaps.noteStart(task, Instant{1'200}));
    gaps.noteEnd(task, RunOutcome::NeverStarted, Instant{1'200}, Instant{1'900});
    const auto gap = gaps.noteStart(task, Instant{2'000});
    REQUIRE(gap);
    CHECK(gap->total == Millis{1'000});
    CHECK((gap->outcome == RunOutcome::Failed));
}

TEST_CASE("A task without an earlier run has no gap and one of a job that is over neither")
{
    LongRunningGaps gaps(epoch);
    CHECK_FALSE(gaps.noteStart(task, Instant{1'000}));
    gaps.noteEnd(task, RunOutcome::Failed, Instant{1'000}, Instant{1'100});
    gaps.forgetJob("job");
    CHECK(gaps.longest(Instant{5'000}) == Millis{0});
}
