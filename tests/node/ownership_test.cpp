#include "node/ownership.h"

#include "core/bootclock.h"
#include "fakeplatform.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr int maxPolls = 1'000; // Generous: only a hang reaches this limit.
constexpr Millis pollInterval{20};
constexpr EntryCapacity weakCapacity{120, 10'000};
constexpr EntryCapacity strongCapacity{500, 200'000};

// A table that is reached over a network: commits take longer than reads.
class RemoteTable final : public AsyncTable
{
public:
    RemoteTable(ImmediateTable &table, EventLoop &loop, Millis readTime, Millis commitTime)
        : m_table(table)
        , m_loop(loop)
        , m_readTime(readTime)
        , m_commitTime(commitTime)
    { }

    void commit(const Transaction &t, CommitCallback done) override
    {
        m_loop.runAfter(m_commitTime, [this, t, done] { m_table.commit(t, done); });
    }
    void read(const std::vector<std::string> &keys, ReadCallback done) override
    {
        m_loop.runAfter(m_readTime, [this, keys, done] { m_table.read(keys, done); });
    }
    void scan(const std::string &prefix, const std::string &after, std::size_t limit,
              ReadCallback done) override
    {
        m_loop.runAfter(m_readTime, [=, this] { m_table.scan(prefix, after, limit, done); });
    }

private:
    ImmediateTable &m_table;
    EventLoop &m_loop;
    const Millis m_readTime;
    const Millis m_commitTime;
};

OwnershipSettings settings(const EntryCapacity &capacity)
{
    OwnershipSettings s;
    s.lease.renewalInterval = Millis{200};
    s.lease.preference.steadyBeforeHandover = Millis{500};
    s.observeInterval = Millis{100};
    s.tickInterval = Millis{20};
    s.capacity = capacity;
    return s;
}

// An entry that owns shards without running them: it releases each as soon as it is asked to.
class OwningEntry
{
public:
    OwningEntry(ImmediateTable &table, EventLoop &loop, const std::string &name,
                const EntryCapacity &capacity)
        : OwningEntry(table, table, loop, name, settings(capacity))
    { }
    // Reaches the rows of `table` through `path`.
    OwningEntry(ImmediateTable &table, AsyncTable &path, EventLoop &loop, const std::string &name,
                const OwnershipSettings &ownershipSettings)
        : m_table(table)
        , m_ownership(ownershipSettings, loop, m_clock, path, name, name + ":1",
                      {.shardAcquired = [this](const OwnedShard &it) { m_owned[it.shard] = it; },
                       .releaseRequested = [this](int shard) { release(shard); },
                       .sessionLost = [this] { m_owned.clear(); },
                       .entryExpired = [this] { ++expiredCount; }})
    { }

    Ownership &ownership() { return m_ownership; }
    bool owns(int shard) const { return m_owned.contains(shard); }

    int expiredCount = 0;

private:
    void release(int shard)
    {
        OwnedShard ownerless = m_owned.at(shard);
        ownerless.row.owner.clear();
        const std::string key = shardKey(shard);
        m_table.rows().commit(
            {{{key, ownerless.version}}, {{key, serializeShardRow(ownerless.row)}}});
        m_owned.erase(shard);
        m_ownership.shardEnded(shard);
    }

    BootClock m_clock;
    ImmediateTable &m_table;
    std::map<int, OwnedShard> m_owned;
    Ownership m_ownership;
};

// Returns true if and only if the entry owned the shard before the poll limit.
bool becomesOwner(EventLoop &loop, const OwningEntry &entry, int shard)
{
    for (int i = 0; i < maxPolls && !entry.owns(shard); ++i) {
        loop.runAfter(pollInterval, [&loop] { loop.stop(); });
        loop.run();
    }
    return entry.owns(shard);
}

} // namespace

// Guards against a weak entry that keeps the shard since it was the first to start.
TEST_CASE("A weak owner releases its shard for a stronger entry that came later")
{
    ImmediateTable table;
    EventLoop loop;
    OwningEntry weak(table, loop, "weak", weakCapacity);
    weak.ownership().start();
    REQUIRE(becomesOwner(loop, weak, 0));
    OwningEntry strong(table, loop, "strong", strongCapacity);
    strong.ownership().start();
    CHECK(becomesOwner(loop, strong, 0));
    CHECK_FALSE(weak.owns(0));
    CHECK(parseShardRow(table.rows().row(shardKey(0))).epoch == 2);
}

// Guards against a free shard that waits for good for an entry that does not take it.
TEST_CASE("A weak entry claims a free shard that the stronger entry does not take")
{
    ImmediateTable table;
    EventLoop loop;
    const std::string fields = serializeEntryFields("strong:1", strongCapacity);
    table.rows().commit({{}, {{entryKey("strong.1"), fields}}});
    OwningEntry weak(table, loop, "weak", weakCapacity);
    weak.ownership().start();
    CHECK(becomesOwner(loop, weak, 0));
}

// Guards against entries that learn of a dead owner's shard only when they next look.
TEST_CASE("An entry that expires a dead owner tells the others")
{
    ImmediateTable table;
    EventLoop loop;
    table.rows().commit({{}, {{entryKey("dead.1"), "{}"}}});
    table.rows().commit({{}, {{shardKey(0), serializeShardRow({.owner = "dead.1"})}}});
    OwningEntry successor(table, loop, "successor", weakCapacity);
    successor.ownership().start();
    CHECK(becomesOwner(loop, successor, 0));
    CHECK(successor.expiredCount == 1);
}

// Guards against entries that leave a shard to one that is about to stop.
TEST_CASE("A draining entry says so in its row at once")
{
    ImmediateTable table;
    EventLoop loop;
    OwningEntry entry(table, loop, "entry", strongCapacity);
    entry.ownership().start();
    REQUIRE(becomesOwner(loop, entry, 0));
    entry.ownership().drain();
    const auto rows = table.rows().scan("entry/", "", 10);
    REQUIRE(rows.size() == 1);
    CHECK(parseEntryRow(rows.front().value).draining);
    CHECK(parseEntryRow(rows.front().value).capacity == strongCapacity);
    CHECK_FALSE(entry.owns(0));
}

// Guards against a first owner far from the store: entries that observe before their first renewal
// is confirmed claimed without a lease, and those that waited longest came first the second time.
TEST_CASE("The first owner of a shard is the entry nearest to the store")
{
    ImmediateTable table;
    EventLoop loop;
    RemoteTable nearPath(table, loop, Millis{2}, Millis{10});
    RemoteTable farPath(table, loop, Millis{40}, Millis{45});
    OwningEntry far(table, farPath, loop, "far", OwnershipSettings{});
    OwningEntry near(table, nearPath, loop, "near", OwnershipSettings{});
    far.ownership().start();
    near.ownership().start();
    CHECK(becomesOwner(loop, near, 0));
    CHECK_FALSE(far.owns(0));
}

// Guards against entries that deal jobs and workers to different numbers of shards.
TEST_CASE("Entries agree on the number of shards that was proposed first")
{
    ImmediateTable table;
    EventLoop loop;
    OwnershipSettings undecided = settings(strongCapacity);
    undecided.lease.shardCount = 0;
    OwningEntry first(table, table, loop, "first", undecided);
    OwningEntry second(table, table, loop, "second", undecided);
    first.ownership().start();
    REQUIRE(becomesOwner(loop, first, 0));
    CHECK(first.ownership().shardCount() == 0);
    first.ownership().proposeShardCount(3);
    second.ownership().proposeShardCount(5);
    second.ownership().start();
    CHECK((becomesOwner(loop, second, 1) || becomesOwner(loop, second, 2)));
    CHECK(first.ownership().shardCount() == 3);
    CHECK(second.ownership().shardCount() == 3);
}

// Guards against one malformed row that ends every entry that reads it.
TEST_CASE("A malformed row leaves an entry with what it knew")
{
    ImmediateTable table;
    EventLoop loop;
    OwningEntry entry(table, loop, "entry", strongCapacity);
    entry.ownership().start();
    REQUIRE(becomesOwner(loop, entry, 0));
    table.rows().commit({{}, {{shardKey(0), "[]"}}});
    loop.runAfter(Millis{500}, [&loop] { loop.stop(); });
    loop.run();
    CHECK(entry.ownership().ownerOf(0)->isSelf);
}

// Guards against all entries of a large deployment that become candidates at once, and load the
// store with their sessions, since the renewals of the candidates don't land while it is slow.
TEST_CASE("An entry steps in for candidates that are gone but not while the store is slow")
{
    for (const Millis readTime : {Millis{5}, Millis{60}}) {
        CAPTURE(readTime.count());
        ImmediateTable table;
        EventLoop loop;
        RemoteTable path(table, loop, readTime, readTime);
        const std::string fields = serializeEntryFields("strong:1", strongCapacity);
        constexpr int candidates = 12;
        for (int i = 0; i < candidates; ++i)
            table.rows().commit({{}, {{entryKey("strong" + std::to_string(i) + ".1"), fields}}});
        OwnershipSettings weak = settings(weakCapacity);
        weak.idleObserveInterval = Millis{300};
        weak.slowObservation = Millis{100}; // Each observation reads twice.
        weak.lease.term = Millis{60'000}; // It expires nobody in this time.
        OwningEntry entry(table, path, loop, "weak", weak);
        entry.ownership().start();
        loop.runAfter(Millis{3'000}, [&loop] { loop.stop(); });
        loop.run();
        const bool joined = table.rows().scan("entry/", "", 100).size() > candidates;
        CHECK(joined == (readTime < Millis{50}));
    }
}

// Guards against an owner that keeps a shard whose commits the store rejects, while its renewals
// and those of others land.
TEST_CASE("An owner whose commits the store rejects leaves its shard to another entry")
{
    EventLoop loop;
    ImmediateTable table;
    OwningEntry owner(table, loop, "a", strongCapacity);
    OwningEntry other(table, loop, "b", weakCapacity);
    owner.ownership().start();
    REQUIRE(becomesOwner(loop, owner, 0));
    other.ownership().start();
    for (int i = 0; i < steps::StoreRejectionSettings{}.minRejections; ++i)
        owner.ownership().commitEnded(0, true);
    CHECK(becomesOwner(loop, other, 0));
    CHECK_FALSE(owner.owns(0));
    CHECK(owner.ownership().rejectionHandovers() == 1);
}
