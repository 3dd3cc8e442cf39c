// Tests of what ShardLeaseManager takes the rows of other entries for.

#include "faketable.h"
#include "savorywick/shardlease.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

ShardLeaseSettings settings(int shards)
{
    ShardLeaseSettings s;
    s.shardCount = shards;
    return s;
}

} // namespace

// Guards against sessions that are expired, and entries that step in for them by the hundred, since
// their renewals did not land while the store was slow.
TEST_CASE("Entries whose rows stand still while the store is slow count as live")
{
    FakeTable table;
    table.commit({{}, {{entryKey("entry-a.1"), "{}"}}});
    const auto rows = table.scan("entry/", "", 10);
    for (const bool slow : {false, true}) {
        CAPTURE(slow);
        ShardLeaseManager manager("entry-b.1", "127.0.0.1:1", settings(1));
        constexpr Instant start{1'000};
        const Millis step = settings(1).renewalInterval;
        Instant now = start;
        for (; now - start <= settings(1).term * 2; now = now + step)
            manager.observe(rows, {}, now, slow);
        CHECK(manager.livePeers(now - step).size() == (slow ? 1 : 0));
        CHECK(manager.expiryTransactions(now - step).size() == (slow ? 0 : 1));
        manager.observe(rows, {}, now); // The store is well again: the term starts afresh.
        CHECK(manager.livePeers(now).size() == (slow ? 1 : 0));
        CHECK(manager.expiryTransactions(now).size() == (slow ? 0 : 1));
    }
}
