#include "savorywick/journal.h"

#include "faketable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace savorywick;

namespace {

using Fault = FakeTable::Fault;

// Makes `owner` the owner of shard 7, whoever had it before, with the next epoch.
OwnedShard claimShard(FakeTable &table, const std::string &owner)
{
    const Row before = table.row(shardKey(7));
    OwnedShard owned{7, parseShardRow(before), 0};
    owned.row.owner = owner;
    ++owned.row.epoch;
    owned.row.commit = owner + ":claim";
    table.setFault(Fault::None);
    const Transaction t{{{shardKey(7), before.version}},
                        {{shardKey(7), serializeShardRow(owned.row)}}};
    owned.version = table.commit(t).version;
    return owned;
}

// Returns every record that a new owner finds. A snapshot in `objects` holds its records as lines.
std::vector<std::string> recover(FakeTable &table, const OwnedShard &owned,
                                 const std::map<std::string, std::string> &objects = {})
{
    JournalReader reader(owned);
    std::vector<std::string> all;
    if (!reader.snapshotName().empty()) {
        const std::string &state = objects.at(reader.snapshotName());
        for (std::size_t n = 0; n < state.size(); n = state.find('\n', n) + 1)
            all.push_back(state.substr(n, state.find('\n', n) - n));
    }
    while (!reader.finished()) {
        const auto records =
            reader.parseSegments(table.scan(reader.scanPrefix(), reader.scanAfter(), 3));
        all.insert(all.end(), records.begin(), records.end());
    }
    return all;
}

// Commits once if a commit is due, and reads the shard's row back if the journal asks for it.
void commitOnce(Journal &journal, FakeTable &table, Instant now)
{
    if (const auto t = journal.nextCommit(now))
        journal.handleCommitResult(table.commit(*t), now);
    if (!journal.needsReadBack())
        return;
    try {
        journal.handleReadBack(table.read(std::vector{journal.rowKey()}).front(), now);
    } catch (const Error &) {
        // The table is down; the next call reads again.
    }
}

// Returns the records "r<from>", "r<from + 1>" and so on.
std::vector<std::string> numberedRecords(int from, int count)
{
    std::vector<std::string> records;
    records.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
        records.push_back("r" + std::to_string(from + n));
    return records;
}

} // namespace

TEST_CASE("Journal groups records appended during a commit into the next commit")
{
    FakeTable table;
    Journal journal(claimShard(table, "a"), {});
    const LogSequenceNumber firstLsn = journal.append(numberedRecords(0, 1));
    const auto t = journal.nextCommit(Instant{0});
    REQUIRE(t);
    const LogSequenceNumber lastLsn = journal.append(numberedRecords(1, 500));
    CHECK_FALSE(journal.nextCommit(Instant{1'000}));
    CHECK(journal.handleCommitResult(table.commit(*t), Instant{5}).durableLsn == firstLsn);
    commitOnce(journal, table, Instant{20});
    CHECK(journal.durableLsn() == lastLsn);
    CHECK(table.commitCount() == 3);
    CHECK(recover(table, claimShard(table, "b")) == numberedRecords(0, 501));
}

TEST_CASE("Journal spaces its commits by the interval after a burst")
{
    FakeTable table;
    JournalSettings settings;
    settings.commitInterval = Millis{20};
    settings.commitBurst = 3;
    Journal journal(claimShard(table, "a"), settings);
    for (int n = 0; n < 3; ++n) {
        journal.append(numberedRecords(n, 1));
        commitOnce(journal, table, Instant{1'000});
        CHECK(journal.pendingRecords() == 0);
    }
    journal.append(numberedRecords(3, 1));
    REQUIRE(journal.nextCommitAt());
    CHECK(journal.nextCommitAt()->count() == 1'020);
    CHECK_FALSE(journal.nextCommit(Instant{1'019}));
    commitOnce(journal, table, Instant{1'020});
    journal.append(numberedRecords(4, 1));
    CHECK(journal.nextCommitAt()->count() == 1'040);
}

TEST_CASE("Journal limits the bytes of a segment and never splits a record")
{
    FakeTable table;
    JournalSettings settings;
    settings.maxSegmentBytes = 10;
    Journal journal(claimShard(table, "a"), settings);
    const std::vector<std::string> records{"1234", "5678", "90", std::string(50, 'x'), "end"};
    const LogSequenceNumber lsn = journal.append(records);
    for (int n = 0; n < 4; ++n)
        commitOnce(journal, table, Instant{std::int64_t{n} * 20});
    CHECK(journal.durableLsn() == lsn);
    CHECK(table.row("journal/0007/0000000001").value == "1234\n5678\n");
    CHECK(recover(table, claimShard(table, "b")) == records);
}

TEST_CASE("Journal retries a commit of unknown outcome without applying it twice")
{
    for (const Fault fault : {Fault::LoseReply, Fault::LoseRequest, Fault::Delay, Fault::Down}) {
        CAPTURE(static_cast<int>(fault));
        FakeTable table;
        Journal journal(claimShard(table, "a"), {});
        const LogSequenceNumber lsn = journal.append(numberedRecords(0, 3));
        table.setFault(fault);
        commitOnce(journal, table, Instant{0});
        CHECK(journal.durableLsn() == 0);
        table.setFault(Fault::None);
        table.deliverDelayed();
        CHECK_FALSE(journal.nextCommit(Instant{49}));
        commitOnce(journal, table, Instant{50});
        CHECK(journal.durableLsn() == lsn);
        CHECK(recover(table, claimShard(table, "b")) == numberedRecords(0, 3));
    }
}

TEST_CASE("Journal of a former owner is fenced and drops records that are not durable")
{
    FakeTable table;
    Journal former(claimShard(table, "a"), {});
    former.append(numberedRecords(0, 1));
    commitOnce(former, table, Instant{0});
    const OwnedShard owned = claimShard(table, "b");
    former.append(numberedRecords(1, 1));
    commitOnce(former, table, Instant{20});
    CHECK(former.fenced());
    CHECK(former.durableLsn() == 1);
    CHECK_THROWS_AS(former.append(numberedRecords(2, 1)), Error);
    CHECK(recover(table, owned) == numberedRecords(0, 1));
}

// Guards against leases beyond the time that the shard's row promises, and against a commit for
// each millisecond that the promise could rise.
TEST_CASE("Journal raises the limit of leases with other work and alone only by a whole step")
{
    FakeTable table;
    Journal journal(claimShard(table, "a"), {.leaseLimitStep = Millis{1'000}});
    CHECK(journal.leaseLimitMs() == 0);
    journal.raiseLeaseLimit(8'000);
    CHECK(journal.leaseLimitMs() == 0); // Not before it is durable.
    commitOnce(journal, table, Instant{0});
    CHECK(journal.leaseLimitMs() == 8'000);
    journal.raiseLeaseLimit(8'999);
    CHECK_FALSE(journal.nextCommitAt());
    journal.append(numberedRecords(0, 1));
    commitOnce(journal, table, Instant{1'000});
    CHECK(journal.leaseLimitMs() == 8'999);
    journal.raiseLeaseLimit(5'000); // It never falls.
    journal.raiseLeaseLimit(9'999);
    CHECK(journal.nextCommitAt());
    const OwnedShard next = claimShard(table, "b");
    CHECK(next.row.leasesEndMs == 8'999); // A claim keeps what the last commit promised.
}

// Guards against leases beyond the first time that a shard's row tells, when the reply to the
// commit that wrote it is lost.
TEST_CASE("Journal keeps to a first limit of leases from when it is sent")
{
    FakeTable table;
    Journal journal(claimShard(table, "a"), {});
    journal.raiseLeaseLimit(8'000);
    REQUIRE(journal.nextCommit(Instant{0}));
    journal.raiseLeaseLimit(9'000);
    CHECK(journal.leaseLimitMs() == 8'000);
    journal.handleCommitResult({CommitOutcome::Unknown}, Instant{10});
    CHECK(journal.leaseLimitMs() == 8'000);
}

TEST_CASE("Journal releases the shard after every record is durable")
{
    FakeTable table;
    Journal journal(claimShard(table, "a"), {});
    journal.append(numberedRecords(0, 2));
    journal.release();
    commitOnce(journal, table, Instant{0});
    CHECK(journal.released());
    CHECK(journal.durableLsn() == 2);
    CHECK(parseShardRow(table.row(shardKey(7))).owner.empty());
    CHECK(recover(table, claimShard(table, "b")) == numberedRecords(0, 2));
}

TEST_CASE("Journal rejects empty records and records with line breaks")
{
    FakeTable table;
    Journal journal(claimShard(table, "a"), {});
    CHECK_THROWS_AS(journal.append(std::vector<std::string>{""}), Error);
    CHECK_THROWS_AS(journal.append(std::vector<std::string>{"a\nb"}), Error);
}

TEST_CASE("Journal deletes the segments that a snapshot covers and keeps later records")
{
    FakeTable table;
    JournalSettings settings;
    settings.snapshotMinSegments = 2;
    settings.maxDeletesPerCommit = 2;
    Journal journal(claimShard(table, "a"), settings);
    for (int n = 0; n < 2; ++n) {
        journal.append(numberedRecords(n, 1));
        commitOnce(journal, table, Instant{std::int64_t{n} * 20});
    }
    CHECK(journal.snapshotDue());
    journal.append(numberedRecords(2, 1));
    journal.beginSnapshot("r0\nr1\nr2\n");
    journal.append(numberedRecords(3, 1));
    CHECK_FALSE(journal.snapshotToStore());
    commitOnce(journal, table, Instant{40});
    const auto object = journal.snapshotToStore();
    REQUIRE(object);
    journal.markSnapshotStored();
    commitOnce(journal, table, Instant{60});
    commitOnce(journal, table, Instant{80});
    journal.append(numberedRecords(4, 1));
    commitOnce(journal, table, Instant{100});
    CHECK(table.row("journal/0007/0000000003").version == 0);
    CHECK(table.row("journal/0007/0000000004").value == "r3\n");
    const auto found = recover(table, claimShard(table, "b"), {{object->name, object->bytes}});
    CHECK(found == numberedRecords(0, 5));
}

TEST_CASE("Journal is due for a snapshot once it has grown by the size of the last one")
{
    FakeTable table;
    JournalSettings settings;
    settings.snapshotMinSegments = 1;
    settings.snapshotMaxSegments = 12;
    settings.commitBurst = 100;
    Journal journal(claimShard(table, "a"), settings);
    const auto grow = [&](std::size_t bytes) {
        journal.append(std::vector{std::string(bytes - 1, 'x')});
        commitOnce(journal, table, Instant{0});
    };
    grow(5);
    REQUIRE(journal.snapshotDue());
    journal.beginSnapshot(std::string(20, 's'));
    journal.markSnapshotStored();
    commitOnce(journal, table, Instant{0});
    grow(19);
    CHECK_FALSE(journal.snapshotDue());
    grow(2);
    CHECK(journal.snapshotDue());
    journal.beginSnapshot(std::string(1'000, 's'));
    journal.markSnapshotStored();
    commitOnce(journal, table, Instant{0});
    for (int n = 0; n < 11; ++n)
        grow(2);
    CHECK_FALSE(journal.snapshotDue());
    grow(2);
    CHECK(journal.snapshotDue());
}

TEST_CASE("JournalReader reports a missing segment")
{
    FakeTable table;
    Journal journal(claimShard(table, "a"), {});
    for (int n = 0; n < 3; ++n) {
        journal.append(numberedRecords(n, 1));
        commitOnce(journal, table, Instant{std::int64_t{n} * 20});
    }
    table.commit({{}, {{"journal/0007/0000000002", std::nullopt}}});
    CHECK_THROWS_AS(recover(table, claimShard(table, "b")), Error);
}

namespace {

// Simulates successive owners of one shard over a table that fails at random, to find records that
// are lost or duplicated. The shard's state is the list of all its records; a former owner keeps
// committing after it was replaced and must not make anything durable any more.
class JournalSimulation
{
public:
    void step(int action)
    {
        m_now = m_now + Millis{30};
        switch (action) {
        case 0:
            appendRecords();
            break;
        case 1:
            replaceOwner();
            break;
        case 2:
            m_table.deliverDelayed();
            break;
        case 3:
        case 4:
            snapshot();
            break;
        case 5:
        case 6:
            appendRecords();
            break;
        default:
            m_table.setFault(static_cast<Fault>(action % 5));
            commitOnce(*m_journal, m_table, m_now);
            commitOnce(*m_former, m_table, m_now);
            acknowledgeDurable();
        }
        RC_ASSERT(m_former->durableLsn() == m_formerDurableLsn);
    }

    // Lets the journal finish over a working table and checks what a new owner recovers.
    void finish()
    {
        m_table.setFault(Fault::None);
        for (int n = 0; n < 100; ++n) {
            m_now = m_now + Millis{3'000};
            commitOnce(*m_journal, m_table, m_now);
        }
        acknowledgeDurable();
        RC_ASSERT(m_journal->pendingRecords() == 0U);
        const auto found = recover(m_table, claimShard(m_table, "last"), m_objects);
        RC_ASSERT(found == m_state);
        checkAcknowledged(found);
    }

private:
    void appendRecords()
    {
        const auto records = numberedRecords(m_nextRecord, 3);
        m_nextRecord += 3;
        m_state.insert(m_state.end(), records.begin(), records.end());
        m_unacknowledged.push_back({m_journal->append(records), records.back()});
    }

    void acknowledgeDurable()
    {
        while (!m_unacknowledged.empty()
               && m_unacknowledged.front().lsn <= m_journal->durableLsn()) {
            m_acknowledged.insert(m_unacknowledged.front().record);
            m_unacknowledged.pop_front();
        }
    }

    void replaceOwner()
    {
        m_formerDurableLsn = m_journal->durableLsn();
        m_former = std::move(m_journal);
        const OwnedShard owned = claimShard(m_table, "owner" + std::to_string(++m_ownerCount));
        m_state = recover(m_table, owned, m_objects);
        checkAcknowledged(m_state);
        m_journal = std::make_unique<Journal>(owned, settings());
        m_unacknowledged.clear();
    }

    void snapshot()
    {
        if (m_journal->snapshotDue()) {
            std::string state;
            for (const std::string &record : m_state)
                state += record + "\n";
            m_journal->beginSnapshot(std::move(state));
        }
        if (const auto object = m_journal->snapshotToStore()) {
            m_objects[object->name] = object->bytes;
            m_journal->markSnapshotStored();
        }
        if (const auto name = m_journal->takeObsoleteObject())
            m_objects.erase(*name);
    }

    void checkAcknowledged(const std::vector<std::string> &found) const
    {
        const std::set<std::string> all(found.begin(), found.end());
        RC_ASSERT(all.size() == found.size());
        for (const std::string &record : m_acknowledged)
            RC_ASSERT(all.contains(record));
    }

    static JournalSettings settings()
    {
        JournalSettings s;
        s.maxSegmentBytes = 40;
        s.snapshotMinSegments = 3;
        s.maxDeletesPerCommit = 2;
        return s;
    }

    struct Unacknowledged
    {
        LogSequenceNumber lsn;
        std::string record;
    };

    FakeTable m_table;
    std::map<std::string, std::string> m_objects;
    Instant m_now;
    std::unique_ptr<Journal> m_journal =
        std::make_unique<Journal>(claimShard(m_table, "a"), settings());
    std::unique_ptr<Journal> m_former = std::make_unique<Journal>(OwnedShard{}, settings());
    LogSequenceNumber m_formerDurableLsn = 0;
    int m_ownerCount = 0;
    int m_nextRecord = 0;
    std::vector<std::string> m_state;
    std::deque<Unacknowledged> m_unacknowledged;
    std::set<std::string> m_acknowledged;
};

} // namespace

TEST_CASE("Journal keeps every acknowledged record across owners and faults and snapshots")
{
    CHECK(rc::check("recovery returns every acknowledged record exactly once", [] {
        JournalSimulation simulation;
        const auto actions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
        for (const int action : actions)
            simulation.step(action);
        simulation.finish();
    }));
}
