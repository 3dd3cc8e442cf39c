#include "savorywick/listtrust.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick;

TEST_CASE("A fingerprint depends on the ids and not on their order")
{
    const std::vector<std::string> ab{"a", "b"};
    const std::vector<std::string> ba{"b", "a"};
    const std::vector<std::string> ac{"a", "c"};
    CHECK((listViewOf(ab) == listViewOf(ba)));
    CHECK((listViewOf(ab) != listViewOf(ac)));
}

TEST_CASE("Peers confirm a list only without a gap and only if they form a majority")
{
    const Millis maxAge{300};
    const ListView same{7, 3};
    ListTrust freshness(maxAge);
    CHECK_FALSE(freshness.goodSince().has_value());
    freshness.noteRead(same, Instant{1'000});
    const Instant now = Instant{1'000} + maxAge;
    std::int64_t expected = 0;

    SUBCASE("one of two peers forms a majority with this entry")
    {
        freshness.noteAnswer("b", same, now, now);
        expected = 1'300;
    }
    SUBCASE("a reply confirms the list at the time of its query and the latest query counts")
    {
        freshness.noteAnswer("b", same, now - Millis{100}, now);
        freshness.noteAnswer("b", same, now - Millis{150}, now);
        expected = 1'200;
    }
    SUBCASE("a peer with another list does not count")
    {
        freshness.noteAnswer("b", {8, 3}, now, now);
        expected = 1'000;
    }
    SUBCASE("a longer list of a peer raises the number of peers needed")
    {
        freshness.noteAnswer("b", same, now, now);
        freshness.noteQuestion({8, 5});
        expected = 1'000;
    }
    SUBCASE("enough peers confirm the list despite a longer list of another peer")
    {
        freshness.noteQuestion({8, 5});
        freshness.noteAnswer("b", same, now - Millis{50}, now);
        freshness.noteAnswer("c", same, now, now);
        expected = 1'250;
    }
    SUBCASE("a list that has exceeded its maximum age is not confirmed again")
    {
        const Instant late = now + Millis{1};
        freshness.noteAnswer("b", same, late, late);
        freshness.noteAnswer("c", same, late, late);
        expected = 1'000;
    }
    SUBCASE("a new list discards what peers told before")
    {
        freshness.noteQuestion({8, 9});
        freshness.noteRead(same, Instant{1'100});
        freshness.noteAnswer("b", same, now, now);
        expected = 1'300;
    }
    CHECK(freshness.goodSince()->count() == expected);
}

TEST_CASE("A list of one entry is never confirmed by an answer")
{
    ListTrust freshness(Millis{300});
    freshness.noteRead({7, 1}, Instant{1'000});
    freshness.noteAnswer("x", {7, 1}, Instant{1'200}, Instant{1'200});
    CHECK(freshness.goodSince()->count() == 1'000);
}
