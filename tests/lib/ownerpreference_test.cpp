#include "savorywick/ownerpreference.h"

#include "faketable.h"
#include "savorywick/shardlease.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

constexpr EntryCapacity small{120, 10'000};
constexpr EntryCapacity medium{250, 50'000};
constexpr EntryCapacity large{500, 200'000};
constexpr Instant start{1'000'000};

StrongerEntry stronger(const std::string &session, const EntryCapacity &capacity,
                       Instant steadySince = start)
{
    return {session, capacity, steadySince};
}

// Two entries with one shard, whose renewals and observations the test makes.
struct Pair
{
    Pair()
    {
        weak.setEntryFields(serializeEntryFields("weak:1", small));
        strong.setEntryFields(serializeEntryFields("strong:1", large));
    }

    void renew(ShardLeaseManager &it, Instant now)
    {
        if (const auto t = it.nextRenewal(now))
            it.handleRenewalResult(table.commit(*t), now);
    }
    // Lets the weak entry renew and observe, and returns the number of claims it would send.
    std::size_t claimsOfWeak(Instant now)
    {
        renew(weak, now);
        weak.observe(table.scan("entry/", "", 100), table.scan("shard/", "", 100), now);
        return weak.claimFreeShards(now).size();
    }

    FakeTable table;
    ShardLeaseManager weak{"weak.1", "weak:1", {.shardCount = 1}};
    ShardLeaseManager strong{"strong.1", "strong:1", {.shardCount = 1}};
};

} // namespace

TEST_CASE("A capacity clearly exceeds another if one figure is larger by half and none is smaller")
{
    struct Case
    {
        EntryCapacity a;
        EntryCapacity b;
        bool exceeds;
    };
    const Case cases[] = {
        {large, small, true},
        {small, large, false},
        {large, large, false},
        {{150, 10'000}, {100, 10'000}, true},
        {{149, 10'000}, {100, 10'000}, false},
        {{100, 15'000}, {100, 10'000}, true},
        {{500, 9'999}, {100, 10'000}, false},
        {large, {}, false},
        {{}, small, false},
        {{500, 0}, {120, 0}, true},
    };
    for (const Case &it : cases) {
        CAPTURE(it.a.milliCores);
        CAPTURE(it.a.linkKbps);
        CAPTURE(it.b.milliCores);
        CAPTURE(it.b.linkKbps);
        CHECK(clearlyExceeds(it.a, it.b) == it.exceeds);
    }
}

// Guards against a cluster that stops while entries of two versions run side by side.
TEST_CASE("A row that lacks a field is read as one without it")
{
    struct Case
    {
        std::string text;
        std::string peer;
        EntryCapacity capacity;
        bool draining;
        bool readable;
    };
    const Case cases[] = {
        {R"({"beat":7,"peer":"10.0.0.1:7720"})", "10.0.0.1:7720", {}, false, true},
        {serializeEntryFields("a:1", large), "a:1", large, false, true},
        {serializeEntryFields("a:1", {}), "a:1", {}, false, true},
        {R"({"peer":7,"capacity":[],"draining":"yes"})", "", {}, false, true},
        {R"({"capacity":{"milliCores":"x","linkKbps":2.5},"draining":true})", "", {}, true, true},
        {"[]", "", {}, false, false},
        {"no json", "", {}, false, false},
    };
    for (const Case &it : cases) {
        CAPTURE(it.text);
        const EntryRow row = parseEntryRow(it.text);
        CHECK(row.peer == it.peer);
        CHECK(row.capacity == it.capacity);
        CHECK(row.draining == it.draining);
        CHECK(row.error.empty() == it.readable);
    }
}

TEST_CASE("A free shard is left to stronger entries for a time that their classes determine")
{
    struct Case
    {
        std::vector<StrongerEntry> entries;
        std::int64_t deferralMs;
    };
    const Case cases[] = {
        {{}, 0},
        {{stronger("a", large)}, 700},
        {{stronger("a", large), stronger("b", large)}, 700},
        {{stronger("a", large), stronger("b", medium)}, 1'000},
    };
    for (const Case &it : cases) {
        CAPTURE(it.entries.size());
        OwnerPreference preference({});
        preference.observeShard(0, true, start);
        const auto deferral = preference.deferral(0, it.entries, start);
        REQUIRE(deferral.has_value() == (it.deferralMs > 0));
        if (!deferral)
            continue;
        CHECK(deferral->to == "a");
        CHECK((deferral->until - start).count() == it.deferralMs);
        preference.observeShard(0, true, start + Millis{500}); // It does not start afresh.
        CHECK(preference.deferral(0, it.entries, deferral->until - Millis{1}));
        CHECK_FALSE(preference.deferral(0, it.entries, deferral->until));
    }
}

// Guards against an ownerless shard that waits again and again for an entry that does not take it.
TEST_CASE("An entry that left a shard unclaimed is not preferred for the handover interval")
{
    const std::vector<StrongerEntry> entries{stronger("a", large)};
    const std::vector<StrongerEntry> newcomer{stronger("b", large, start + Millis{300})};
    OwnerPreference preference({});
    preference.observeShard(0, true, start);
    preference.noteClaim(0, entries, start + Millis{700});
    preference.noteClaimCommitted(0);
    preference.observeShard(0, false, start + Millis{800});
    const Instant freeAgain = start + Millis{29'000};
    CHECK_FALSE(preference.handover(0, entries, freeAgain));
    preference.observeShard(0, true, freeAgain);
    CHECK_FALSE(preference.deferral(0, entries, freeAgain));
    CHECK(preference.deferral(0, newcomer, freeAgain));
    preference.observeShard(0, false, freeAgain);
    CHECK(preference.handover(0, entries, start + Millis{30'700}));
}

// Guards against a stronger entry that counts as unwilling since it won the race for the shard.
TEST_CASE("An entry is still preferred after this entry's own claim failed")
{
    const std::vector<StrongerEntry> entries{stronger("a", large)};
    OwnerPreference preference({});
    preference.observeShard(0, true, start);
    preference.noteClaim(0, entries, start + Millis{700});
    preference.observeShard(0, false, start + Millis{800});
    preference.observeShard(0, true, start + Millis{2'000});
    CHECK(preference.deferral(0, entries, start + Millis{2'000}));
}

// Guards against a shard that is handed to and fro.
TEST_CASE("A handover waits for a steady entry and for the interval after the one before")
{
    const std::vector<StrongerEntry> entries{stronger("b", medium), stronger("a", large)};
    OwnerPreference preference({});
    CHECK_FALSE(preference.handover(0, entries, start + Millis{4'999}));
    const auto first = preference.handover(0, entries, start + Millis{5'000});
    REQUIRE(first);
    CHECK(first->to == "a");
    CHECK(preference.handover(0, {}, start + Millis{5'700})->decidedAt == first->decidedAt);
    CHECK_FALSE(preference.handover(1, entries, start + Millis{5'700}));
    preference.noteReleased(0);
    CHECK_FALSE(preference.pendingHandover(0));
    CHECK_FALSE(preference.handover(0, entries, start + Millis{34'999}));
    CHECK(preference.handover(0, entries, start + Millis{35'000}));
}

// Guards against a takeover that waits for an entry that will not come.
TEST_CASE("A shard is not left to an entry that drains or no longer renews")
{
    enum class State { Renews, Drains, IsSilent };
    struct Case
    {
        State state;
        std::size_t claims; // Of the weak entry.
    };
    const Case cases[] = {{State::Renews, 0}, {State::Drains, 1}, {State::IsSilent, 1}};
    for (const Case &it : cases) {
        CAPTURE(static_cast<int>(it.state));
        Pair pair;
        // The owner is a third entry, whose session ends later.
        pair.table.commit({{}, {{entryKey("owner.1"), "{}"}}});
        pair.table.commit({{}, {{shardKey(0), serializeShardRow({.owner = "owner.1"})}}});
        for (Millis at{0}; at < Millis{7'000}; at = at + Millis{1'000}) {
            if (it.state != State::IsSilent || at == Millis{0})
                pair.renew(pair.strong, start + at);
            CHECK(pair.claimsOfWeak(start + at) == 0);
        }
        if (it.state == State::Drains) {
            pair.strong.stopClaiming();
            pair.renew(pair.strong, start + Millis{6'100}); // At once, not at the next interval.
        }
        pair.table.commit({{}, {{entryKey("owner.1"), std::nullopt}}});
        CHECK(pair.claimsOfWeak(start + Millis{6'200}) == it.claims);
    }
}

// Guards against a weak owner that is too loaded to observe regularly and so never hands over.
TEST_CASE("An owner that observes seldom hands its shard to a stronger entry too")
{
    Pair pair;
    pair.renew(pair.strong, start);
    pair.renew(pair.weak, start);
    pair.weak.observe({}, {}, start);
    const auto claims = pair.weak.claimFreeShards(start);
    REQUIRE(claims.size() == 1);
    pair.weak.handleClaimResult(claims.front(), pair.table.commit(claims.front().transaction));
    std::vector<int> released;
    for (Millis at{1'000}; at <= Millis{20'000} && released.empty(); at = at + Millis{1'000}) {
        pair.renew(pair.strong, start + at);
        pair.renew(pair.weak, start + at);
        if (at.count() % 5'000 != 0) // More than two renewal intervals apart.
            continue;
        CHECK(pair.claimsOfWeak(start + at) == 0);
        released = pair.weak.shardsToRelease(start + at);
    }
    CHECK(released == std::vector<int>{0});
}
