#include "savorywick/shardlease.h"

#include "faketable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <memory>

using namespace savorywick;

namespace {

using Fault = FakeTable::Fault;

ShardLeaseSettings settings(int shards)
{
    ShardLeaseSettings s;
    s.shardCount = shards;
    return s;
}

// One run of an entry process that carries out what its lease manager decides, on a clock of its
// own that runs at `rate` times the real time.
class EntryProcess
{
public:
    EntryProcess(FakeTable &table, const std::string &session, int shards, double rate)
        : m_table(table)
        , m_manager(session, "127.0.0.1:1", settings(shards))
        , m_rate(rate)
    { }

    ShardLeaseManager &manager() { return m_manager; }
    // Returns the time of this process's clock, which started long ago, at the real time `real`.
    Instant localTime(Millis real) const
    {
        return Instant{1'000'000 + std::llround(static_cast<double>(real.count()) * m_rate)};
    }
    bool actsOn(int shard, Millis real) const
    {
        return m_manager.holdsLease(localTime(real)) && m_owned.contains(shard);
    }
    std::size_t ownedCount() const { return m_owned.size(); }
    std::uint64_t epochOf(int shard) const { return m_owned.at(shard).row.epoch; }

    void renew(Millis real)
    {
        const Instant now = localTime(real);
        if (const auto t = m_manager.nextRenewal(now))
            m_manager.handleRenewalResult(m_table.commit(*t), now);
        if (m_manager.needsReadBack())
            m_manager.handleReadBack(readRow(entryKey(m_manager.session())), now);
        if (m_manager.fenced())
            m_owned.clear();
    }

    // Reads the rows of the shards. observe() reads those of the entries, perhaps much later.
    void scanShards() { m_shards = m_table.scan("shard/", "", 100); }

    void observe(Millis real)
    {
        const auto entries = m_table.scan("entry/", "", 100);
        m_manager.observe(entries, m_shards, localTime(real));
        for (const Transaction &t : m_manager.expiryTransactions(localTime(real)))
            m_table.commit(t);
    }

    void claim(Millis real)
    {
        for (const ShardClaim &claim : m_manager.claimFreeShards(localTime(real))) {
            const CommitResult result = m_table.commit(claim.transaction);
            if (const auto owned = m_manager.handleClaimResult(claim, result))
                m_owned[owned->shard] = *owned;
        }
    }

    void releaseExcess(Millis real)
    {
        for (const int shard : m_manager.shardsToRelease(localTime(real)))
            release(shard);
    }

    void release(int shard)
    {
        OwnedShard ownerless = m_owned.at(shard);
        ownerless.row.owner.clear();
        const std::string key = shardKey(shard);
        m_table.commit({{{key, ownerless.version}}, {{key, serializeShardRow(ownerless.row)}}});
        m_owned.erase(shard);
        m_manager.forgetShard(shard);
    }

    // Does one round of everything that is due.
    void runOnce(Millis real)
    {
        try {
            renew(real);
            scanShards();
            observe(real);
            claim(real);
            releaseExcess(real);
        } catch (const Error &) {
            // The table is down; the next round tries again.
        }
    }

private:
    Row readRow(const std::string &key) { return m_table.read(std::vector{key}).front(); }

    FakeTable &m_table;
    ShardLeaseManager m_manager;
    double m_rate;
    std::map<int, OwnedShard> m_owned;
    std::vector<Row> m_shards;
};

} // namespace

TEST_CASE("ShardRow keeps every field when serialized and parsed")
{
    const ShardRow r{"a.1", "127.0.0.1:1", 3, 17, 12, 11, "snapshot/7/12.2", "a.1:3:9"};
    const ShardRow back = parseShardRow({shardKey(7), serializeShardRow(r), 5});
    CHECK(serializeShardRow(back) == serializeShardRow(r));
    CHECK(parseShardKey(shardKey(7)) == 7);
    CHECK(parseShardKey("shard/x") == -1);
    CHECK(parseShardRow({shardKey(7), "", 0}).epoch == 0);
    CHECK_THROWS_AS(parseShardRow({shardKey(7), "nonsense", 1}), Error);
}

TEST_CASE("A lone entry claims every shard and one that joins gets its share by release")
{
    FakeTable table;
    EntryProcess first(table, "a.1", 7, 1);
    first.runOnce(Millis{0});
    CHECK(first.ownedCount() == 7);
    EntryProcess second(table, "b.1", 7, 1);
    for (int n = 1; n < 5; ++n) {
        first.runOnce(Millis{std::int64_t{n} * 1'000});
        second.runOnce(Millis{std::int64_t{n} * 1'000});
    }
    CHECK(first.ownedCount() == 4);
    CHECK(second.ownedCount() == 3);
    CHECK(table.row(entryKey("a.1")).version > 0);
}

TEST_CASE("Shards of a dead entry are claimed after the term and the margin and not before")
{
    FakeTable table;
    EntryProcess dead(table, "a.1", 4, 1);
    dead.runOnce(Millis{0});
    EntryProcess successor(table, "b.1", 4, 1);
    for (Millis at{1'000}; at < Millis{11'000}; at = at + Millis{1'000}) {
        successor.runOnce(at);
        CHECK(successor.ownedCount() == 0);
    }
    successor.runOnce(Millis{11'000});
    successor.runOnce(Millis{12'000});
    CHECK(successor.ownedCount() == 4);
    CHECK(successor.epochOf(0) == 2);
    CHECK_FALSE(dead.manager().holdsLease(dead.localTime(Millis{11'000})));
    dead.renew(Millis{13'000});
    CHECK(dead.manager().fenced());
}

TEST_CASE("A restarted entry expires its earlier session at once and claims its shards")
{
    FakeTable table;
    EntryProcess killed(table, "a.1", 2, 1);
    killed.runOnce(Millis{0});
    EntryProcess other(table, "b.1", 2, 1);
    other.runOnce(Millis{0});
    EntryProcess restarted(table, "a.2", 2, 1);
    restarted.runOnce(Millis{100});
    CHECK(table.row(entryKey("a.1")).version == 0);
    CHECK(table.row(entryKey("b.1")).version > 0);
    restarted.runOnce(Millis{200});
    CHECK(restarted.ownedCount() == 1);
}

TEST_CASE("A claim has a condition on the row of its own shard only")
{
    FakeTable table;
    EntryProcess dead(table, "a.1", 3, 1);
    dead.runOnce(Millis{0});
    EntryProcess successor(table, "b.1", 3, 1);
    for (Millis at{1'000}; at <= Millis{12'000}; at = at + Millis{1'000}) {
        successor.renew(at);
        successor.scanShards();
        successor.observe(at);
    }
    const auto claims = successor.manager().claimFreeShards(successor.localTime(Millis{12'000}));
    REQUIRE(claims.size() == 3);
    for (const ShardClaim &claim : claims) {
        REQUIRE(claim.transaction.conditions.size() == 1);
        CHECK(claim.transaction.conditions.front().key == shardKey(claim.owned.shard));
    }
}

TEST_CASE("A lease is valid from the time at which its renewal was first sent")
{
    FakeTable table;
    ShardLeaseManager manager("a.1", "", {});
    const auto first = manager.nextRenewal(Instant{0});
    REQUIRE(first);
    table.setFault(Fault::LoseReply);
    manager.handleRenewalResult(table.commit(*first), Instant{3'000});
    CHECK_FALSE(manager.holdsLease(Instant{3'000}));
    const auto again = manager.nextRenewal(Instant{3'000});
    REQUIRE(again);
    table.setFault(Fault::None);
    manager.handleRenewalResult(table.commit(*again), Instant{4'000});
    REQUIRE(manager.needsReadBack());
    manager.handleReadBack(table.row(entryKey("a.1")), Instant{5'000});
    CHECK(manager.holdsLease(Instant{7'999}));
    CHECK_FALSE(manager.holdsLease(Instant{8'000}));
}

TEST_CASE("An outage of the store expires no session")
{
    FakeTable table;
    EntryProcess owner(table, "a.1", 4, 1);
    EntryProcess other(table, "b.1", 4, 1);
    for (int n = 0; n < 6; ++n) {
        owner.runOnce(Millis{std::int64_t{n} * 1'000});
        other.runOnce(Millis{std::int64_t{n} * 1'000});
    }
    table.setFault(Fault::Down);
    for (int n = 6; n < 60; ++n) {
        owner.runOnce(Millis{std::int64_t{n} * 1'000});
        other.runOnce(Millis{std::int64_t{n} * 1'000});
    }
    CHECK_FALSE(owner.manager().holdsLease(owner.localTime(Millis{59'000})));
    table.setFault(Fault::None);
    other.runOnce(Millis{60'000});
    owner.runOnce(Millis{61'000});
    CHECK_FALSE(owner.manager().fenced());
    CHECK(owner.manager().holdsLease(owner.localTime(Millis{61'000})));
    CHECK(owner.ownedCount() == 2);
    CHECK(other.ownedCount() == 2);
}

TEST_CASE("A shard whose claim had a lost reply is claimed again")
{
    FakeTable table;
    EntryProcess process(table, "a.1", 1, 1);
    process.renew(Millis{0});
    process.scanShards();
    process.observe(Millis{0});
    table.setFault(Fault::LoseReply);
    process.claim(Millis{0});
    CHECK(process.ownedCount() == 0);
    table.setFault(Fault::None);
    process.runOnce(Millis{100});
    CHECK(process.ownedCount() == 1);
    CHECK(process.epochOf(0) == 2);
}

TEST_CASE("A claim that was sent twice is confirmed by reading back")
{
    FakeTable table;
    ShardLeaseManager manager("a.1", "", settings(1));
    manager.handleRenewalResult(table.commit(*manager.nextRenewal(Instant{0})), Instant{0});
    manager.observe({}, {}, Instant{0});
    const auto claims = manager.claimFreeShards(Instant{0});
    REQUIRE(claims.size() == 1);
    CHECK(manager.claimFreeShards(Instant{0}).empty());
    table.commit(claims.front().transaction);
    CHECK_FALSE(
        manager.handleClaimResult(claims.front(), table.commit(claims.front().transaction)));
    const auto owned = manager.handleClaimReadBack(claims.front(), table.row(shardKey(0)));
    REQUIRE(owned);
    CHECK(owned->version == table.row(shardKey(0)).version);
}

TEST_CASE("The end of a session frees its shards at once")
{
    FakeTable table;
    EntryProcess leaving(table, "a.1", 2, 1);
    leaving.runOnce(Millis{0});
    table.commit(leaving.manager().endSessionTransaction());
    EntryProcess successor(table, "b.1", 2, 1);
    successor.runOnce(Millis{100});
    CHECK(successor.ownedCount() == 2);
}

namespace {

constexpr const char *weakFields = R"({"capacity":{"milliCores":120,"linkKbps":10000}})";
constexpr const char *strongFields = R"({"capacity":{"milliCores":500,"linkKbps":200000}})";

} // namespace

// Guards against an owner that can't serve the shard because a weak entry nearer to the store won.
TEST_CASE("A shard goes to the entry with the most capacity although a weaker one is nearer")
{
    FakeTable table;
    EntryProcess near(table, "weak.1", 1, 1);
    EntryProcess far(table, "strong.1", 1, 1);
    near.manager().setEntryFields(weakFields);
    far.manager().setEntryFields(strongFields);
    near.renew(Millis{0});
    far.renew(Millis{0});
    near.runOnce(Millis{50});
    CHECK(near.ownedCount() == 0);
    far.runOnce(Millis{450});
    CHECK(far.ownedCount() == 1);
}

// Guards against a weak entry that keeps the shard since it was the first to start.
TEST_CASE("A weak owner hands its shard to a stronger entry once")
{
    FakeTable table;
    EntryProcess weak(table, "weak.1", 1, 1);
    EntryProcess strong(table, "strong.1", 1, 1);
    weak.manager().setEntryFields(weakFields);
    strong.manager().setEntryFields(strongFields);
    weak.runOnce(Millis{0});
    CHECK(weak.ownedCount() == 1);
    for (Millis at{1'000}; at <= Millis{60'000}; at = at + Millis{1'000}) {
        weak.runOnce(at);
        strong.runOnce(at + Millis{100});
    }
    CHECK(strong.ownedCount() == 1);
    CHECK(parseShardRow(table.row(shardKey(0))).epoch == 2);
}

namespace {

// Simulates three entries whose clocks drift within the margin, under random faults of the table
// and random pauses of the processes, to find two entries that act on one shard at the same time.
class LeaseSimulation
{
public:
    // Each rate is a clock's drift in thousandths; each entry of `fields` is what the host of that
    // number publishes. Without any, no capacity is known.
    explicit LeaseSimulation(const std::vector<int> &rates, std::vector<std::string> fields = {})
        : m_fields(std::move(fields))
    {
        for (const int rate : rates)
            m_hosts.push_back(start(static_cast<int>(m_hosts.size()), 1 + rate / 1'000.0));
    }

    // Advances the real time and lets every process that is not paused do one action.
    void step(int elapsedMs)
    {
        m_now = m_now + Millis{elapsedMs};
        for (auto &host : m_hosts) {
            checkOwners();
            if (m_now < host.pausedUntil)
                continue;
            m_table.setFault(static_cast<Fault>(std::max(0, *rc::gen::inRange(-30, 5))));
            act(*host.process, *rc::gen::inRange(0, 10));
            if (host.process->manager().fenced())
                host = start(host.number, host.rate);
        }
        checkOwners();
    }

    void pause(int host, int durationMs)
    {
        m_hosts[static_cast<std::size_t>(host)].pausedUntil = m_now + Millis{durationMs};
    }

    // Ends the faults and checks that every shard has one owner after a minute, or after
    // `moreRounds` seconds more if a shard is then on its way from one entry to another.
    void finish(int moreRounds = 0)
    {
        m_table.setFault(Fault::None);
        for (int n = 0; n < 60 || (n < 60 + moreRounds && !allOwned()); ++n) {
            m_now = m_now + Millis{1'000};
            for (auto &host : m_hosts) {
                host.process->runOnce(m_now);
                if (host.process->manager().fenced())
                    host = start(host.number, host.rate);
            }
            checkOwners();
        }
        for (int shard = 0; shard < shards; ++shard)
            RC_ASSERT(actingOwners(shard) == 1);
    }

private:
    static constexpr int shards = 5;

    struct Host
    {
        std::unique_ptr<EntryProcess> process;
        int number = 0;
        double rate = 1;
        Millis pausedUntil;
    };

    Host start(int number, double rate)
    {
        const std::string session =
            "p" + std::to_string(number) + "." + std::to_string(++m_sessionCount);
        Host host{std::make_unique<EntryProcess>(m_table, session, shards, rate), number, rate,
                  m_now};
        if (!m_fields.empty())
            host.process->manager().setEntryFields(m_fields[static_cast<std::size_t>(number)]);
        return host;
    }

    bool allOwned() const
    {
        bool all = true;
        for (int shard = 0; shard < shards; ++shard)
            all = all && actingOwners(shard) == 1;
        return all;
    }

    void act(EntryProcess &p, int action)
    {
        try {
            if (action == 0)
                p.renew(m_now);
            else if (action == 1)
                p.scanShards();
            else if (action == 2)
                p.observe(m_now);
            else if (action == 3)
                p.claim(m_now);
            else if (action == 4)
                m_table.deliverDelayed();
            else
                p.runOnce(m_now);
        } catch (const Error &) {
            // The table is down; a later action tries again.
        }
    }

    int actingOwners(int shard) const
    {
        int owners = 0;
        for (const auto &host : m_hosts)
            owners += host.process->actsOn(shard, m_now) ? 1 : 0;
        return owners;
    }

    void checkOwners() const
    {
        for (int shard = 0; shard < shards; ++shard)
            RC_ASSERT(actingOwners(shard) <= 1);
    }

    const std::vector<std::string> m_fields;
    FakeTable m_table;
    Millis m_now;
    int m_sessionCount = 0;
    std::vector<Host> m_hosts;
};

} // namespace

TEST_CASE("No two entries act on one shard under pauses and faults and clock drift")
{
    CHECK(rc::check("each shard has at most one acting owner at every instant", [] {
        LeaseSimulation simulation(
            *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(-25, 26)));
        const int steps = *rc::gen::inRange(0, 200);
        for (int n = 0; n < steps; ++n) {
            if (*rc::gen::inRange(0, 12) == 0)
                simulation.pause(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 20'000));
            simulation.step(*rc::gen::inRange(0, 1'000));
        }
        simulation.finish();
    }));
}

// Guards against two owners while shards are left to stronger entries and handed over to them.
TEST_CASE("No two entries act on one shard while shards move to stronger entries")
{
    CHECK(rc::check("each shard has at most one acting owner at every instant", [] {
        const std::vector<std::string> choices{"{}", weakFields, strongFields};
        const auto fields =
            *rc::gen::container<std::vector<std::string>>(3, rc::gen::elementOf(choices));
        LeaseSimulation simulation({-25, 0, 25}, fields);
        const int steps = *rc::gen::inRange(0, 200);
        for (int n = 0; n < steps; ++n) {
            if (*rc::gen::inRange(0, 12) == 0)
                simulation.pause(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 20'000));
            simulation.step(*rc::gen::inRange(0, 1'000));
        }
        simulation.finish(3);
    }));
}
