#include "savorywick/entrylistfreshness.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick;

TEST_CASE("A fingerprint depends on the ids and not on their order")
{
    const std::vector<std::string> ab{"a", "b"};
    const std::vector<std::string> ba{"b", "a"};
    const std::vector<std::string> ac{"a", "c"};
    CHECK((entryListFingerprint(ab) == entryListFingerprint(ba)));
    CHECK((entryListFingerprint(ab) != entryListFingerprint(ac)));
}

TEST_CASE("Peers confirm a list only without a gap and only if they form a majority")
{
    const Millis maxAge{300};
    const EntryListFingerprint same{7, 3};
    EntryListFreshness freshness(maxAge);
    CHECK_FALSE(freshness.confirmedAt().has_value());
    freshness.recordRead(same, Instant{1'000});
    const Instant now = Instant{1'000} + maxAge;
    std::int64_t expected = 0;

    SUBCASE("one of two peers forms a majority with this entry")
    {
        freshness.recordPeerReply("b", same, now, now);
        expected = 1'300;
    }
    SUBCASE("a reply confirms the list at the time of its query and the latest query counts")
    {
        freshness.recordPeerReply("b", same, now - Millis{100}, now);
        freshness.recordPeerReply("b", same, now - Millis{150}, now);
        expected = 1'200;
    }
    SUBCASE("a peer with another list does not count")
    {
        freshness.recordPeerReply("b", {8, 3}, now, now);
        expected = 1'000;
    }
    SUBCASE("a longer list of a peer raises the number of peers needed")
    {
        freshness.recordPeerReply("b", same, now, now);
        freshness.recordPeerQuery({8, 5});
        expected = 1'000;
    }
    SUBCASE("enough peers confirm the list despite a longer list of another peer")
    {
        freshness.recordPeerQuery({8, 5});
        freshness.recordPeerReply("b", same, now - Millis{50}, now);
        freshness.recordPeerReply("c", same, now, now);
        expected = 1'250;
    }
    SUBCASE("a list that has exceeded its maximum age is not confirmed again")
    {
        const Instant late = now + Millis{1};
        freshness.recordPeerReply("b", same, late, late);
        freshness.recordPeerReply("c", same, late, late);
        expected = 1'000;
    }
    SUBCASE("a new list discards what peers told before")
    {
        freshness.recordPeerQuery({8, 9});
        freshness.recordRead(same, Instant{1'100});
        freshness.recordPeerReply("b", same, now, now);
        expected = 1'300;
    }
    CHECK(freshness.confirmedAt()->count() == expected);
}

TEST_CASE("A list of one entry is never confirmed by an answer")
{
    EntryListFreshness freshness(Millis{300});
    freshness.recordRead({7, 1}, Instant{1'000});
    freshness.recordPeerReply("x", {7, 1}, Instant{1'200}, Instant{1'200});
    CHECK(freshness.confirmedAt()->count() == 1'000);
}
