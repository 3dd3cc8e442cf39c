#include "savorywick/shardlease.h"

#include "faketable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <memory>

using namespace savorywick;

namespace {

using Fault = FakeTable::Fault;

LeaseSettings settings(int shards)
{
    LeaseSettings s;
    s.shards = shards;
    return s;
}

// One run of one entry process that drives its keeper as the daemon does, on a clock of its own.
class Process
{
public:
    Process(FakeTable &table, const std::string &session, int shards, double rate)
        : m_table(table)
        , m_keeper(session, "127.0.0.1:1", settings(shards))
        , m_rate(rate)
    { }

    LeaseKeeper &keeper() { return m_keeper; }
    // Returns this process's own time at `real`; its clock began long before.
    Instant local(Millis real) const
    {
        return Instant{1'000'000 + std::llround(static_cast<double>(real.count()) * m_rate)};
    }
    bool actsOn(int shard, Millis real) const
    {
        return m_keeper.mayAct(local(real)) && m_owned.contains(shard);
    }
    std::size_t ownedCount() const { return m_owned.size(); }
    std::uint64_t epochOf(int shard) const { return m_owned.at(shard).row.epoch; }

    void renew(Millis real)
    {
        const Instant now = local(real);
        if (const auto t = m_keeper.nextRenewal(now))
            m_keeper.renewed(m_table.commit(*t), now);
        if (m_keeper.needsReadBack())
            m_keeper.readBack(readRow(entryKey(m_keeper.session())), now);
        if (m_keeper.fenced())
            m_owned.clear();
    }

    // Reads the shards' rows; look() reads those of the entries, perhaps much later.
    void scanShards() { m_shards = m_table.scan("shard/", "", 100); }

    void look(Millis real)
    {
        const auto entries = m_table.scan("entry/", "", 100);
        m_keeper.observe(entries, m_shards, local(real));
        for (const Transaction &t : m_keeper.expiries(local(real)))
            m_table.commit(t);
    }

    void claim(Millis real)
    {
        for (const ShardClaim &claim : m_keeper.claims(local(real))) {
            const CommitResult result = m_table.commit(claim.transaction);
            if (const auto owned = m_keeper.claimed(claim, result))
                m_owned[owned->shard] = *owned;
        }
    }

    void giveUpExcess(Millis real)
    {
        for (const int shard : m_keeper.shardsToRelease(local(real)))
            release(shard);
    }

    void release(int shard)
    {
        OwnedShard free = m_owned.at(shard);
        free.row.owner.clear();
        const std::string key = shardKey(shard);
        m_table.commit({{{key, free.version}}, {{key, toValue(free.row)}}});
        m_owned.erase(shard);
        m_keeper.dropped(shard);
    }

    // Does everything that is due.
    void run(Millis real)
    {
        try {
            renew(real);
            scanShards();
            look(real);
            claim(real);
            giveUpExcess(real);
        } catch (const Error &) {
            // The table is down; the next run tries again.
        }
    }

private:
    Row readRow(const std::string &key) { return m_table.read(std::vector{key}).front(); }

    FakeTable &m_table;
    LeaseKeeper m_keeper;
    double m_rate;
    std::map<int, OwnedShard> m_owned;
    std::vector<Row> m_shards;
};

} // namespace

TEST_CASE("ShardRow survives its way through the table")
{
    const ShardRow r{"a.1", "127.0.0.1:1", 3, 17, 12, 11, "snapshot/7/12.2", "a.1:3:9"};
    const ShardRow back = parseShardRow({shardKey(7), toValue(r), 5});
    CHECK(toValue(back) == toValue(r));
    CHECK(shardOfKey(shardKey(7)) == 7);
    CHECK(shardOfKey("shard/x") == -1);
    CHECK(parseShardRow({shardKey(7), "", 0}).epoch == 0);
    CHECK_THROWS_AS(parseShardRow({shardKey(7), "nonsense", 1}), Error);
}

TEST_CASE("A lone entry takes every shard and one that joins gets its share by release")
{
    FakeTable table;
    Process first(table, "a.1", 7, 1);
    first.run(Millis{0});
    CHECK(first.ownedCount() == 7);
    Process second(table, "b.1", 7, 1);
    for (int n = 1; n < 5; ++n) {
        first.run(Millis{std::int64_t{n} * 1'000});
        second.run(Millis{std::int64_t{n} * 1'000});
    }
    CHECK(first.ownedCount() == 4);
    CHECK(second.ownedCount() == 3);
    CHECK(table.row(entryKey("a.1")).version > 0);
}

TEST_CASE("Shards of a dead entry are taken after the term and the margin and not before")
{
    FakeTable table;
    Process dead(table, "a.1", 4, 1);
    dead.run(Millis{0});
    Process taker(table, "b.1", 4, 1);
    for (Millis at{1'000}; at < Millis{11'000}; at = at + Millis{1'000}) {
        taker.run(at);
        CHECK(taker.ownedCount() == 0);
    }
    taker.run(Millis{11'000});
    taker.run(Millis{12'000});
    CHECK(taker.ownedCount() == 4);
    CHECK(taker.epochOf(0) == 2);
    CHECK_FALSE(dead.keeper().mayAct(dead.local(Millis{11'000})));
    dead.renew(Millis{13'000});
    CHECK(dead.keeper().fenced());
}

TEST_CASE("A restarted entry ends its earlier session at once and takes its shards")
{
    FakeTable table;
    Process killed(table, "a.1", 2, 1);
    killed.run(Millis{0});
    Process other(table, "b.1", 2, 1);
    other.run(Millis{0});
    Process restarted(table, "a.2", 2, 1);
    restarted.run(Millis{100});
    CHECK(table.row(entryKey("a.1")).version == 0);
    CHECK(table.row(entryKey("b.1")).version > 0);
    restarted.run(Millis{200});
    CHECK(restarted.ownedCount() == 1);
}

TEST_CASE("Claims name rows of their own shard only")
{
    FakeTable table;
    Process dead(table, "a.1", 3, 1);
    dead.run(Millis{0});
    Process taker(table, "b.1", 3, 1);
    for (Millis at{1'000}; at <= Millis{12'000}; at = at + Millis{1'000}) {
        taker.renew(at);
        taker.scanShards();
        taker.look(at);
    }
    const auto claims = taker.keeper().claims(taker.local(Millis{12'000}));
    REQUIRE(claims.size() == 3);
    for (const ShardClaim &claim : claims) {
        REQUIRE(claim.transaction.conditions.size() == 1);
        CHECK(claim.transaction.conditions.front().key == shardKey(claim.taken.shard));
    }
}

TEST_CASE("A renewal counts from before it was first sent")
{
    FakeTable table;
    LeaseKeeper keeper("a.1", "", {});
    const auto first = keeper.nextRenewal(Instant{0});
    REQUIRE(first);
    table.setFault(Fault::LoseReply);
    keeper.renewed(table.commit(*first), Instant{3'000});
    CHECK_FALSE(keeper.mayAct(Instant{3'000}));
    const auto again = keeper.nextRenewal(Instant{3'000});
    REQUIRE(again);
    table.setFault(Fault::None);
    keeper.renewed(table.commit(*again), Instant{4'000});
    REQUIRE(keeper.needsReadBack());
    keeper.readBack(table.row(entryKey("a.1")), Instant{5'000});
    CHECK(keeper.mayAct(Instant{7'999}));
    CHECK_FALSE(keeper.mayAct(Instant{8'000}));
}

TEST_CASE("An outage of the store is not held against the owners")
{
    FakeTable table;
    Process owner(table, "a.1", 4, 1);
    Process other(table, "b.1", 4, 1);
    for (int n = 0; n < 6; ++n) {
        owner.run(Millis{std::int64_t{n} * 1'000});
        other.run(Millis{std::int64_t{n} * 1'000});
    }
    table.setFault(Fault::Down);
    for (int n = 6; n < 60; ++n) {
        owner.run(Millis{std::int64_t{n} * 1'000});
        other.run(Millis{std::int64_t{n} * 1'000});
    }
    CHECK_FALSE(owner.keeper().mayAct(owner.local(Millis{59'000})));
    table.setFault(Fault::None);
    other.run(Millis{60'000});
    owner.run(Millis{61'000});
    CHECK_FALSE(owner.keeper().fenced());
    CHECK(owner.keeper().mayAct(owner.local(Millis{61'000})));
    CHECK(owner.ownedCount() == 2);
    CHECK(other.ownedCount() == 2);
}

TEST_CASE("A claim whose reply was lost is claimed anew")
{
    FakeTable table;
    Process process(table, "a.1", 1, 1);
    process.renew(Millis{0});
    process.scanShards();
    process.look(Millis{0});
    table.setFault(Fault::LoseReply);
    process.claim(Millis{0});
    CHECK(process.ownedCount() == 0);
    table.setFault(Fault::None);
    process.run(Millis{100});
    CHECK(process.ownedCount() == 1);
    CHECK(process.epochOf(0) == 2);
}

TEST_CASE("A claim that was sent twice is settled by reading back")
{
    FakeTable table;
    LeaseKeeper keeper("a.1", "", settings(1));
    keeper.renewed(table.commit(*keeper.nextRenewal(Instant{0})), Instant{0});
    keeper.observe({}, {}, Instant{0});
    const auto claims = keeper.claims(Instant{0});
    REQUIRE(claims.size() == 1);
    CHECK(keeper.claims(Instant{0}).empty());
    table.commit(claims.front().transaction);
    CHECK_FALSE(keeper.claimed(claims.front(), table.commit(claims.front().transaction)));
    const auto owned = keeper.claimReadBack(claims.front(), table.row(shardKey(0)));
    REQUIRE(owned);
    CHECK(owned->version == table.row(shardKey(0)).version);
}

TEST_CASE("A farewell frees the shards at once")
{
    FakeTable table;
    Process leaving(table, "a.1", 2, 1);
    leaving.run(Millis{0});
    table.commit(leaving.keeper().farewell());
    Process taker(table, "b.1", 2, 1);
    taker.run(Millis{100});
    CHECK(taker.ownedCount() == 2);
}

namespace {

// Three processes on clocks whose rates differ within the margin, under random faults and pauses.
class LeaseWorld
{
public:
    explicit LeaseWorld(const std::vector<int> &rates)
    {
        for (const int rate : rates)
            m_processes.push_back(start(static_cast<int>(m_processes.size()), 1 + rate / 1'000.0));
    }

    // Lets a moment pass and every process that is awake do one thing.
    void step(int elapsed)
    {
        m_now = m_now + Millis{elapsed};
        for (auto &p : m_processes) {
            check();
            if (m_now < p.sleepsUntil)
                continue;
            m_table.setFault(static_cast<Fault>(std::max(0, *rc::gen::inRange(-30, 5))));
            act(*p.process, *rc::gen::inRange(0, 10));
            if (p.process->keeper().fenced())
                p = start(p.number, p.rate);
        }
        check();
    }

    void sleep(int process, int span)
    {
        m_processes[static_cast<std::size_t>(process)].sleepsUntil = m_now + Millis{span};
    }

    // Heals the store and checks that every shard has one owner soon.
    void finish()
    {
        m_table.setFault(Fault::None);
        for (int n = 0; n < 60; ++n) {
            m_now = m_now + Millis{1'000};
            for (auto &p : m_processes) {
                p.process->run(m_now);
                if (p.process->keeper().fenced())
                    p = start(p.number, p.rate);
            }
            check();
        }
        for (int shard = 0; shard < shards; ++shard)
            RC_ASSERT(ownersOf(shard) == 1);
    }

private:
    static constexpr int shards = 5;

    struct Host
    {
        std::unique_ptr<Process> process;
        int number = 0;
        double rate = 1;
        Millis sleepsUntil;
    };

    Host start(int number, double rate)
    {
        const std::string session =
            "p" + std::to_string(number) + "." + std::to_string(++m_sessions);
        return {std::make_unique<Process>(m_table, session, shards, rate), number, rate, m_now};
    }

    void act(Process &p, int action)
    {
        try {
            if (action == 0)
                p.renew(m_now);
            else if (action == 1)
                p.scanShards();
            else if (action == 2)
                p.look(m_now);
            else if (action == 3)
                p.claim(m_now);
            else if (action == 4)
                m_table.deliverDelayed();
            else
                p.run(m_now);
        } catch (const Error &) {
            // The table is down.
        }
    }

    int ownersOf(int shard) const
    {
        int owners = 0;
        for (const auto &p : m_processes)
            owners += p.process->actsOn(shard, m_now) ? 1 : 0;
        return owners;
    }

    void check() const
    {
        for (int shard = 0; shard < shards; ++shard)
            RC_ASSERT(ownersOf(shard) <= 1);
    }

    FakeTable m_table;
    Millis m_now;
    int m_sessions = 0;
    std::vector<Host> m_processes;
};

} // namespace

TEST_CASE("No two entries ever act on one shard whatever pauses and faults and clocks do")
{
    CHECK(rc::check("one acting owner a shard at every instant", [] {
        LeaseWorld world(*rc::gen::container<std::vector<int>>(3, rc::gen::inRange(-25, 26)));
        const int steps = *rc::gen::inRange(0, 200);
        for (int n = 0; n < steps; ++n) {
            if (*rc::gen::inRange(0, 12) == 0)
                world.sleep(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 20'000));
            world.step(*rc::gen::inRange(0, 1'000));
        }
        world.finish();
    }));
}
