#include "savorywick/listtrust.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick;

TEST_CASE("A view tells lists apart whatever their order")
{
    const std::vector<std::string> ab{"a", "b"};
    const std::vector<std::string> ba{"b", "a"};
    const std::vector<std::string> ac{"a", "c"};
    CHECK((listViewOf(ab) == listViewOf(ba)));
    CHECK((listViewOf(ab) != listViewOf(ac)));
}

TEST_CASE("Peers keep a list good only without a gap and only if enough of them agree")
{
    const Millis longestAge{300};
    const ListView same{7, 3};
    ListTrust trust(longestAge);
    CHECK_FALSE(trust.goodSince().has_value());
    trust.noteRead(same, Instant{1'000});
    const Instant now = Instant{1'000} + longestAge;
    std::int64_t expected = 0;

    SUBCASE("one of two peers is enough")
    {
        trust.noteAnswer("b", same, now, now);
        expected = 1'300;
    }
    SUBCASE("an answer counts from its question and from the latest of one peer")
    {
        trust.noteAnswer("b", same, now - Millis{100}, now);
        trust.noteAnswer("b", same, now - Millis{150}, now);
        expected = 1'200;
    }
    SUBCASE("a peer with another list does not count")
    {
        trust.noteAnswer("b", {8, 3}, now, now);
        expected = 1'000;
    }
    SUBCASE("a longer list that was heard of asks for more peers")
    {
        trust.noteAnswer("b", same, now, now);
        trust.noteQuestion({8, 5});
        expected = 1'000;
    }
    SUBCASE("enough peers outweigh a longer list")
    {
        trust.noteQuestion({8, 5});
        trust.noteAnswer("b", same, now - Millis{50}, now);
        trust.noteAnswer("c", same, now, now);
        expected = 1'250;
    }
    SUBCASE("what has become too old is not good again")
    {
        const Instant late = now + Millis{1};
        trust.noteAnswer("b", same, late, late);
        trust.noteAnswer("c", same, late, late);
        expected = 1'000;
    }
    SUBCASE("a new list starts anew")
    {
        trust.noteQuestion({8, 9});
        trust.noteRead(same, Instant{1'100});
        trust.noteAnswer("b", same, now, now);
        expected = 1'300;
    }
    CHECK(trust.goodSince()->count() == expected);
}

TEST_CASE("An entry that is alone on its list does not confirm it to itself")
{
    ListTrust trust(Millis{300});
    trust.noteRead({7, 1}, Instant{1'000});
    trust.noteAnswer("x", {7, 1}, Instant{1'200}, Instant{1'200});
    CHECK(trust.goodSince()->count() == 1'000);
}
