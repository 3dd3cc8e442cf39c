#include "savorywick/steps/earlierleases.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr std::int64_t endMs = 70'000; // On the store's clock.
const Instant endsAt{9'000}; // On this process's.

} // namespace

TEST_CASE("A worker's record may tell an earlier end than the shard's row")
{
    EarlierLeases leases;
    CHECK_FALSE(leases.endOf({}));
    leases.setEnd(endMs, endsAt);
    CHECK((leases.endOf({}) == endsAt));
    CHECK((leases.endOf(endMs - 4'000) == endsAt - Millis{4'000}));
    CHECK((leases.endOf(endMs + 4'000) == endsAt));
}

TEST_CASE("A silent worker is recorded once and only while that is of use")
{
    EarlierLeases leases;
    CHECK_FALSE(leases.noteSilence("w", {}, Instant{1'000})); // Nothing is known.
    leases.setEnd(endMs, endsAt);
    const auto record = leases.noteSilence("w", {}, Instant{1'000});
    REQUIRE(record);
    CHECK(record->leasesEndMs == endMs);
    CHECK_FALSE(leases.noteSilence("w", endMs, Instant{1'000}));
    CHECK_FALSE(leases.noteSilence("w", {}, endsAt));
}

// Guards against a lease of which the record still says that there is none.
TEST_CASE("A worker that answers is granted nothing until its record is withdrawn")
{
    EarlierLeases leases;
    CHECK(leases.noteAnswer("w").workerId == "w");
    CHECK(leases.withholds("w"));
    leases.recordsDurable(7); // Not appended yet.
    CHECK(leases.withholds("w"));
    leases.recordsAppended(8);
    leases.recordsDurable(7);
    CHECK(leases.withholds("w"));
    leases.recordsDurable(8);
    CHECK_FALSE(leases.withholds("w"));
}

// Guards against a second run beside one whose worker fell silent again before its first answer was
// durable: the record of the second silence stayed although leases were granted.
TEST_CASE("A worker that falls silent twice is granted nothing until both records are withdrawn")
{
    EarlierLeases leases;
    leases.noteAnswer("w");
    leases.recordsAppended(3);
    leases.noteAnswer("w");
    leases.recordsAppended(5);
    leases.recordsDurable(4);
    CHECK(leases.withholds("w"));
    leases.recordsDurable(5);
    CHECK_FALSE(leases.withholds("w"));
}
