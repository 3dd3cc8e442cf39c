#include "savorywick/journal.h"

#include "faketable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace savorywick;

namespace {

using Fault = FakeTable::Fault;

OwnedShard take(FakeTable &table, const std::string &owner)
{
    const Row before = table.row(shardKey(7));
    OwnedShard owned{7, parseShardRow(before), 0};
    owned.row.owner = owner;
    ++owned.row.epoch;
    owned.row.commit = owner + ":claim";
    table.setFault(Fault::None);
    const Transaction t{{{shardKey(7), before.version}}, {{shardKey(7), toValue(owned.row)}}};
    owned.version = table.commit(t).version;
    return owned;
}

std::vector<std::string> recover(FakeTable &table, const OwnedShard &owned,
                                 const std::map<std::string, std::string> &objects = {})
{
    JournalReader reader(owned);
    std::vector<std::string> all;
    if (!reader.object().empty()) {
        const std::string &state = objects.at(reader.object());
        for (std::size_t n = 0; n < state.size(); n = state.find('\n', n) + 1)
            all.push_back(state.substr(n, state.find('\n', n) - n));
    }
    while (!reader.finished()) {
        const auto records = reader.read(table.scan(reader.prefix(), reader.after(), 3));
        all.insert(all.end(), records.begin(), records.end());
    }
    return all;
}

// Drives one commit of the journal as far as it goes without waiting.
void drive(Journal &journal, FakeTable &table, Instant now)
{
    if (const auto t = journal.nextCommit(now))
        journal.committed(table.commit(*t), now);
    if (!journal.needsReadBack())
        return;
    try {
        journal.readBack(table.read(std::vector{journal.rowKey()}).front(), now);
    } catch (const Error &) {
        // Tried again at the next drive.
    }
}

std::vector<std::string> numbered(int from, int count)
{
    std::vector<std::string> records;
    records.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
        records.push_back("r" + std::to_string(from + n));
    return records;
}

} // namespace

TEST_CASE("Journal gathers what is appended during a commit into the next one")
{
    FakeTable table;
    Journal journal(take(table, "a"), {});
    const Ticket first = journal.append(numbered(0, 1));
    const auto t = journal.nextCommit(Instant{0});
    REQUIRE(t);
    const Ticket last = journal.append(numbered(1, 500));
    CHECK_FALSE(journal.nextCommit(Instant{1'000}));
    CHECK(journal.committed(table.commit(*t), Instant{5}).landed == first);
    drive(journal, table, Instant{20});
    CHECK(journal.landed() == last);
    CHECK(table.commits() == 3);
    CHECK(recover(table, take(table, "b")) == numbered(0, 501));
}

TEST_CASE("Journal spaces its commits after a burst")
{
    FakeTable table;
    JournalSettings settings;
    settings.commitEvery = Millis{20};
    settings.burst = 3;
    Journal journal(take(table, "a"), settings);
    for (int n = 0; n < 3; ++n) {
        journal.append(numbered(n, 1));
        drive(journal, table, Instant{1'000});
        CHECK(journal.pending() == 0);
    }
    journal.append(numbered(3, 1));
    REQUIRE(journal.wakeAt());
    CHECK(journal.wakeAt()->count() == 1'020);
    CHECK_FALSE(journal.nextCommit(Instant{1'019}));
    drive(journal, table, Instant{1'020});
    journal.append(numbered(4, 1));
    CHECK(journal.wakeAt()->count() == 1'040);
}

TEST_CASE("Journal bounds the bytes of a segment and keeps a larger record whole")
{
    FakeTable table;
    JournalSettings settings;
    settings.maxSegmentBytes = 10;
    Journal journal(take(table, "a"), settings);
    const std::vector<std::string> records{"1234", "5678", "90", std::string(50, 'x'), "end"};
    const Ticket ticket = journal.append(records);
    for (int n = 0; n < 4; ++n)
        drive(journal, table, Instant{std::int64_t{n} * 20});
    CHECK(journal.landed() == ticket);
    CHECK(table.row("journal/0007/0000000001").value == "1234\n5678\n");
    CHECK(recover(table, take(table, "b")) == records);
}

TEST_CASE("Journal settles a commit of unknown outcome without writing it twice")
{
    for (const Fault fault : {Fault::LoseReply, Fault::LoseRequest, Fault::Delay, Fault::Down}) {
        CAPTURE(static_cast<int>(fault));
        FakeTable table;
        Journal journal(take(table, "a"), {});
        const Ticket ticket = journal.append(numbered(0, 3));
        table.setFault(fault);
        drive(journal, table, Instant{0});
        CHECK(journal.landed() == 0);
        table.setFault(Fault::None);
        table.deliverDelayed();
        CHECK_FALSE(journal.nextCommit(Instant{49}));
        drive(journal, table, Instant{50});
        CHECK(journal.landed() == ticket);
        CHECK(recover(table, take(table, "b")) == numbered(0, 3));
    }
}

TEST_CASE("Journal of a stale owner is fenced and drops what had not landed")
{
    FakeTable table;
    Journal stale(take(table, "a"), {});
    stale.append(numbered(0, 1));
    drive(stale, table, Instant{0});
    const OwnedShard owned = take(table, "b");
    stale.append(numbered(1, 1));
    drive(stale, table, Instant{20});
    CHECK(stale.fenced());
    CHECK(stale.landed() == 1);
    CHECK_THROWS_AS(stale.append(numbered(2, 1)), Error);
    CHECK(recover(table, owned) == numbered(0, 1));
}

TEST_CASE("Journal gives the shard up after everything has landed")
{
    FakeTable table;
    Journal journal(take(table, "a"), {});
    journal.append(numbered(0, 2));
    journal.release();
    drive(journal, table, Instant{0});
    CHECK(journal.released());
    CHECK(journal.landed() == 2);
    CHECK(parseShardRow(table.row(shardKey(7))).owner.empty());
    CHECK(recover(table, take(table, "b")) == numbered(0, 2));
}

TEST_CASE("Journal refuses records that would break its lines")
{
    FakeTable table;
    Journal journal(take(table, "a"), {});
    CHECK_THROWS_AS(journal.append(std::vector<std::string>{""}), Error);
    CHECK_THROWS_AS(journal.append(std::vector<std::string>{"a\nb"}), Error);
}

TEST_CASE("Journal cuts what a snapshot covers and keeps what was appended after it")
{
    FakeTable table;
    JournalSettings settings;
    settings.snapshotAfter = 2;
    settings.deletesPerCommit = 2;
    Journal journal(take(table, "a"), settings);
    for (int n = 0; n < 2; ++n) {
        journal.append(numbered(n, 1));
        drive(journal, table, Instant{std::int64_t{n} * 20});
    }
    CHECK(journal.snapshotDue());
    journal.append(numbered(2, 1));
    journal.beginSnapshot("r0\nr1\nr2\n");
    journal.append(numbered(3, 1));
    CHECK_FALSE(journal.snapshotToPut());
    drive(journal, table, Instant{40});
    const auto object = journal.snapshotToPut();
    REQUIRE(object);
    journal.snapshotStored();
    drive(journal, table, Instant{60});
    drive(journal, table, Instant{80});
    journal.append(numbered(4, 1));
    drive(journal, table, Instant{100});
    CHECK(table.row("journal/0007/0000000003").version == 0);
    CHECK(table.row("journal/0007/0000000004").value == "r3\n");
    const auto found = recover(table, take(table, "b"), {{object->name, object->bytes}});
    CHECK(found == numbered(0, 5));
}

TEST_CASE("Journal takes the next snapshot once it has grown by the size of the last")
{
    FakeTable table;
    JournalSettings settings;
    settings.snapshotAfter = 1;
    settings.longestJournal = 12;
    settings.burst = 100;
    Journal journal(take(table, "a"), settings);
    const auto grow = [&](std::size_t bytes) {
        journal.append(std::vector{std::string(bytes - 1, 'x')});
        drive(journal, table, Instant{0});
    };
    grow(5);
    REQUIRE(journal.snapshotDue());
    journal.beginSnapshot(std::string(20, 's'));
    journal.snapshotStored();
    drive(journal, table, Instant{0});
    grow(19);
    CHECK_FALSE(journal.snapshotDue());
    grow(2);
    CHECK(journal.snapshotDue());
    journal.beginSnapshot(std::string(1'000, 's'));
    journal.snapshotStored();
    drive(journal, table, Instant{0});
    for (int n = 0; n < 11; ++n)
        grow(2);
    CHECK_FALSE(journal.snapshotDue());
    grow(2);
    CHECK(journal.snapshotDue());
}

TEST_CASE("JournalReader reports a missing segment")
{
    FakeTable table;
    Journal journal(take(table, "a"), {});
    for (int n = 0; n < 3; ++n) {
        journal.append(numbered(n, 1));
        drive(journal, table, Instant{std::int64_t{n} * 20});
    }
    table.commit({{}, {{"journal/0007/0000000002", std::nullopt}}});
    CHECK_THROWS_AS(recover(table, take(table, "b")), Error);
}

namespace {

// Owners of one shard that come one after the other while the store fails at random. The state is
// the list of all records.
class JournalWorld
{
public:
    void step(int action)
    {
        m_now = m_now + Millis{30};
        switch (action) {
        case 0:
            appendSome();
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
            appendSome();
            break;
        default:
            m_table.setFault(static_cast<Fault>(action % 5));
            drive(*m_journal, m_table, m_now);
            drive(*m_old, m_table, m_now);
            takeLanded();
        }
        RC_ASSERT(m_old->landed() == m_oldLanded);
    }

    // Ends with a healthy store and checks what a new owner finds.
    void finish()
    {
        m_table.setFault(Fault::None);
        for (int n = 0; n < 100; ++n) {
            m_now = m_now + Millis{3'000};
            drive(*m_journal, m_table, m_now);
        }
        takeLanded();
        RC_ASSERT(m_journal->pending() == 0U);
        const auto found = recover(m_table, take(m_table, "last"), m_objects);
        RC_ASSERT(found == m_state);
        checkAcknowledged(found);
    }

private:
    void appendSome()
    {
        const auto records = numbered(m_next, 3);
        m_next += 3;
        m_state.insert(m_state.end(), records.begin(), records.end());
        m_tickets.push_back({m_journal->append(records), records.back()});
    }

    void takeLanded()
    {
        while (!m_tickets.empty() && m_tickets.front().ticket <= m_journal->landed()) {
            m_acknowledged.insert(m_tickets.front().record);
            m_tickets.pop_front();
        }
    }

    void replaceOwner()
    {
        m_oldLanded = m_journal->landed();
        m_old = std::move(m_journal);
        const OwnedShard owned = take(m_table, "owner" + std::to_string(++m_owners));
        m_state = recover(m_table, owned, m_objects);
        checkAcknowledged(m_state);
        m_journal = std::make_unique<Journal>(owned, settings());
        m_tickets.clear();
    }

    void snapshot()
    {
        if (m_journal->snapshotDue()) {
            std::string state;
            for (const std::string &record : m_state)
                state += record + "\n";
            m_journal->beginSnapshot(std::move(state));
        }
        if (const auto object = m_journal->snapshotToPut()) {
            m_objects[object->name] = object->bytes;
            m_journal->snapshotStored();
        }
        if (const auto name = m_journal->objectToRemove())
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
        s.snapshotAfter = 3;
        s.deletesPerCommit = 2;
        return s;
    }

    struct Awaited
    {
        Ticket ticket;
        std::string record;
    };

    FakeTable m_table;
    std::map<std::string, std::string> m_objects;
    Instant m_now;
    std::unique_ptr<Journal> m_journal = std::make_unique<Journal>(take(m_table, "a"), settings());
    std::unique_ptr<Journal> m_old = std::make_unique<Journal>(OwnedShard{}, settings());
    Ticket m_oldLanded = 0;
    int m_owners = 0;
    int m_next = 0;
    std::vector<std::string> m_state;
    std::deque<Awaited> m_tickets;
    std::set<std::string> m_acknowledged;
};

} // namespace

TEST_CASE("Journal loses nothing acknowledged over owners and faults and cuts")
{
    CHECK(rc::check("replay gives the acknowledged history", [] {
        JournalWorld world;
        const auto actions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
        for (const int action : actions)
            world.step(action);
        world.finish();
    }));
}
