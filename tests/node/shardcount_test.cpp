#include "node/shardcount.h"

#include "savorywick/errors.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

struct Fleet
{
    std::size_t workers;
    int shards;
};

constexpr Instant start{10'000};

} // namespace

// The load of one owner grows with the workers of its shard, and so does the room that it can give
// to one wide step.
TEST_CASE("A larger fleet has more shards")
{
    ShardCountSettings settings;
    settings.workersPerShard = 600;
    settings.maxShards = 8;
    for (const Fleet &it : {Fleet{1, 1}, Fleet{490, 1}, Fleet{1'199, 1}, Fleet{1'200, 2},
                            Fleet{1'800, 3}, Fleet{1'000'000, 8}}) {
        CAPTURE(it.workers);
        ShardCountChooser chooser(settings);
        chooser.observe(it.workers, start);
        CHECK(chooser.choose(start + settings.settledAfter) == it.shards);
    }
}

// Guards against a number that is chosen while the workers are still being listed.
TEST_CASE("The number is chosen once the list of workers has not grown for a time")
{
    const ShardCountSettings settings;
    ShardCountChooser chooser(settings);
    CHECK_FALSE(chooser.choose(start).has_value());
    chooser.observe(settings.workersPerShard, start);
    const Instant grownAt = start + settings.settledAfter / 2;
    chooser.observe(3 * settings.workersPerShard, grownAt);
    chooser.observe(2 * settings.workersPerShard,
                    grownAt + Millis{100}); // Some are not listed now.
    CHECK_FALSE(chooser.choose(start + settings.settledAfter).has_value());
    CHECK(chooser.choose(grownAt + settings.settledAfter) == 3);
}

TEST_CASE("Without workers the number is chosen after the longest wait")
{
    const ShardCountSettings settings;
    ShardCountChooser chooser(settings);
    chooser.observe(0, start);
    CHECK_FALSE(chooser.choose(start + settings.maxWait - Millis{1}).has_value());
    CHECK(chooser.choose(start + settings.maxWait) == 1);
}

TEST_CASE("The row holds the number that was proposed first")
{
    const Transaction t = shardCountTransaction(3);
    REQUIRE(t.conditions.size() == 1);
    CHECK(t.conditions[0].version == 0);
    CHECK(parseShardCount({shardCountKey, *t.writes[0].value, 1}) == 3);
    CHECK_FALSE(parseShardCount({shardCountKey, "", 0}).has_value());
    for (const char *text : {"", "0", "-1", "3 ", "three"}) {
        CAPTURE(text);
        CHECK_THROWS_AS((void)parseShardCount({shardCountKey, text, 1}), Error);
    }
}
