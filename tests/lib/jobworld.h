#pragma once

#include "faketable.h"
#include "fakeworker.h"
#include "savorywick/jobbook.h"
#include "savorywick/journal.h"
#include "savorywick/shardlease.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

// An owner of one shard as the daemon runs it, for tests in virtual time. Breaking what must always
// hold throws std::logic_error.
namespace savorywick {

// What durable effects the world has seen, to judge the owners by.
struct WorldFacts
{
    std::set<std::string> submitted; // Acknowledged as accepted.
    std::set<std::string> cancelled; // Acknowledged as cancelled before any attempt.
    std::map<std::string, std::string> started; // Job and attempt to worker and checkpoint.
    std::map<std::uint64_t, std::string> states; // Durable state by the journal's head.
};

inline void demand(bool holds, const std::string &what)
{
    if (!holds)
        throw std::logic_error(what);
}

// One run of one entry process: lease, journal and book of the shard while it owns it.
class Owner
{
public:
    Owner(FakeTable &table, WorldFacts &facts, std::map<std::string, std::string> &objects,
          const std::string &session, double rate)
        : m_table(table)
        , m_facts(facts)
        , m_objects(objects)
        , m_keeper(session, "127.0.0.1:1", leaseSettings())
        , m_rate(rate)
    { }

    Instant local(Millis real) const
    {
        return Instant{3'000'000 + std::llround(static_cast<double>(real.count()) * m_rate)};
    }
    bool acts(Millis real) const { return m_book && m_keeper.mayAct(local(real)); }
    bool over() const { return m_keeper.fenced(); }
    std::uint64_t epoch() const { return m_journal ? m_journal->epoch() : 0; }
    JobBook *book() { return m_book.get(); }

    // Runs one round of the daemon. Returns the calls that may leave now.
    std::vector<Effect> run(Millis real, std::span<const HostInfo> workers)
    {
        try {
            lease(local(real), workers);
            if (m_book)
                commit(local(real));
        } catch (const Error &) {
            // The table is down; the next round tries again.
        }
        std::vector<Effect> ready;
        if (!acts(real))
            return ready;
        JobBook::Records records;
        m_book->tick(local(real), records);
        hold(records, [] {});
        release();
        for (Effect &it : std::exchange(m_ready, {})) {
            if (m_book->wanted(it))
                ready.push_back(std::move(it));
        }
        return ready;
    }

    // Lets `change` decide something, and `landed` act once that is durable.
    template<typename Change>
    void decide(
        Millis real, const Change &change, std::function<void()> landed = [] {})
    {
        if (!m_book)
            return;
        JobBook::Records records;
        change(*m_book, local(real), records);
        hold(records, std::move(landed));
    }

private:
    struct Held
    {
        Ticket ticket;
        std::vector<Effect> effects;
        std::function<void()> landed;
    };

    static LeaseSettings leaseSettings()
    {
        LeaseSettings s;
        s.shards = 1;
        return s;
    }

    void lease(Instant now, std::span<const HostInfo> workers)
    {
        if (const auto t = m_keeper.nextRenewal(now))
            m_keeper.renewed(m_table.commit(*t), now);
        if (m_keeper.needsReadBack())
            m_keeper.readBack(readRow(entryKey(m_keeper.session())), now);
        if (over())
            drop();
        const std::vector<Row> shards = m_table.scan("shard/", "", 100); // First: see observe().
        m_keeper.observe(m_table.scan("entry/", "", 100), shards, now);
        for (const Transaction &t : m_keeper.expiries(now))
            m_table.commit(t);
        for (const ShardClaim &claim : m_keeper.claims(now)) {
            if (const auto owned = m_keeper.claimed(claim, m_table.commit(claim.transaction)))
                m_owned = *owned;
        }
        if (m_owned && !m_book)
            recover(now);
        if (m_book)
            m_book->setWorkers(workers, now);
    }

    void recover(Instant now)
    {
        auto book = std::make_unique<JobBook>(JobBookSettings{});
        JournalReader reader(*m_owned);
        if (!reader.object().empty())
            book->restore(m_objects.at(reader.object()));
        while (!reader.finished()) {
            for (const std::string &it :
                 reader.read(m_table.scan(reader.prefix(), reader.after(), 7)))
                book->apply(it);
        }
        const auto acted = m_facts.states.find(m_owned->row.head);
        demand(acted == m_facts.states.end() || acted->second == book->snapshot(),
               "replay gives another state than the one that was acted on");
        for (const std::string &id : m_facts.submitted)
            demand(book->find(id) != nullptr, "acknowledged job " + id + " is lost");
        book->takeOver(now);
        m_book = std::move(book);
        JournalSettings settings;
        settings.snapshotAfter = 20;
        m_journal = std::make_unique<Journal>(*m_owned, settings);
    }

    void commit(Instant now)
    {
        if (const auto t = m_journal->nextCommit(now))
            m_journal->committed(m_table.commit(*t), now);
        if (m_journal->needsReadBack())
            m_journal->readBack(readRow(m_journal->rowKey()), now);
        if (m_journal->fenced()) {
            m_keeper.dropped(0);
            drop();
            return;
        }
        const ShardRow row = parseShardRow(m_table.row(shardKey(0)));
        const bool all = m_journal->pending() == 0 && row.epoch == m_journal->epoch();
        if (all && !m_facts.states.contains(row.head))
            m_facts.states[row.head] = m_book->snapshot();
        if (m_journal->snapshotDue())
            m_journal->beginSnapshot(m_book->snapshot());
        if (const auto object = m_journal->snapshotToPut()) {
            m_objects[object->name] = object->bytes;
            m_journal->snapshotStored();
        }
        if (const auto name = m_journal->objectToRemove())
            m_objects.erase(*name);
    }

    void hold(const JobBook::Records &records, std::function<void()> landed)
    {
        std::vector<Effect> held;
        for (Effect &it : m_book->takeEffects())
            (waitsForCommit(it) ? held : m_ready).push_back(std::move(it));
        m_held.push_back({m_journal->append(records), std::move(held), std::move(landed)});
    }

    void release()
    {
        while (!m_held.empty() && m_held.front().ticket <= m_journal->landed()) {
            m_held.front().landed();
            auto &effects = m_held.front().effects;
            std::move(effects.begin(), effects.end(), std::back_inserter(m_ready));
            m_held.pop_front();
        }
    }

    void drop()
    {
        m_owned.reset();
        m_book.reset();
        m_journal.reset();
        m_held.clear();
        m_ready.clear();
    }

    Row readRow(const std::string &key) { return m_table.read(std::vector{key}).front(); }

    FakeTable &m_table;
    WorldFacts &m_facts;
    std::map<std::string, std::string> &m_objects;
    LeaseKeeper m_keeper;
    double m_rate;
    std::optional<OwnedShard> m_owned;
    std::unique_ptr<Journal> m_journal;
    std::unique_ptr<JobBook> m_book;
    std::deque<Held> m_held;
    std::vector<Effect> m_ready;
};

} // namespace savorywick
