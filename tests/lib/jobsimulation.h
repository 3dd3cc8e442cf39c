#pragma once

#include "faketable.h"
#include "fakeworker.h"
#include "savorywick/jobscheduler.h"
#include "savorywick/journal.h"
#include "savorywick/shardlease.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace savorywick {

// What clients and workers have observed of all owners so far. Later owners are checked against it.
struct ObservedFacts
{
    std::set<std::string> accepted; // Acknowledged as accepted.
    std::set<std::string> cancelled; // Acknowledged as cancelled; they must not start again.
    std::map<std::string, std::string> starts; // Workers by job and attempt.
    std::map<std::uint64_t, std::string> stateByHead; // Durable snapshots by the journal's head.
};

// Throws std::logic_error with the text `what` if `holds` is false.
inline void ensure(bool holds, const std::string &what)
{
    if (!holds)
        throw std::logic_error(what);
}

// One process of an entry, in virtual time: its lease, and the journal and the scheduler of the one
// shard while it owns it. Checks at each takeover that nothing acknowledged was lost.
class ShardOwner
{
public:
    ShardOwner(FakeTable &table, ObservedFacts &facts, std::map<std::string, std::string> &objects,
               const std::string &session, double rate)
        : m_table(table)
        , m_facts(facts)
        , m_objects(objects)
        , m_leaseManager(session, "127.0.0.1:1", leaseSettings())
        , m_clockRate(rate)
    { }

    // Converts the time of the test to the process's own clock.
    Instant localTime(Millis real) const
    {
        return Instant{3'000'000 + std::llround(static_cast<double>(real.count()) * m_clockRate)};
    }
    bool mayAct(Millis real) const
    {
        return m_scheduler && m_leaseManager.holdsLease(localTime(real));
    }
    bool isFenced() const { return m_leaseManager.fenced(); }
    std::uint64_t epoch() const { return m_journal ? m_journal->epoch() : 0; }
    JobScheduler *scheduler() { return m_scheduler.get(); }

    // Runs one round of the process's main loop. Returns the calls that may be sent now.
    std::vector<WorkerCall> runRound(Millis real, std::span<const HostInfo> workers)
    {
        try {
            renewAndClaim(localTime(real), workers);
            if (m_scheduler)
                commitJournal(localTime(real));
        } catch (const Error &) {
            // The table is unavailable; the next round tries again.
        }
        std::vector<WorkerCall> ready;
        if (!mayAct(real))
            return ready;
        JobScheduler::Records records;
        m_scheduler->tick(localTime(real), records);
        holdUntilDurable(records, [] {});
        releaseDurable();
        for (WorkerCall &it : std::exchange(m_readyCalls, {})) {
            if (m_scheduler->isStillValid(it))
                ready.push_back(std::move(it));
        }
        return ready;
    }

    // Calls `change` with the scheduler if the shard is owned, and `onDurable` once the records of
    // the change are durable.
    template<typename Change>
    void decide(
        Millis real, const Change &change, std::function<void()> onDurable = [] {})
    {
        if (!m_scheduler)
            return;
        JobScheduler::Records records;
        change(*m_scheduler, localTime(real), records);
        holdUntilDurable(records, std::move(onDurable));
    }

private:
    struct PendingDecision
    {
        LogSequenceNumber lsn;
        std::vector<WorkerCall> calls;
        std::function<void()> onDurable;
    };

    static ShardLeaseSettings leaseSettings()
    {
        ShardLeaseSettings s;
        s.shardCount = 1;
        return s;
    }

    void renewAndClaim(Instant now, std::span<const HostInfo> workers)
    {
        if (const auto t = m_leaseManager.nextRenewal(now))
            m_leaseManager.handleRenewalResult(m_table.commit(*t), now);
        if (m_leaseManager.needsReadBack())
            m_leaseManager.handleReadBack(readRow(entryKey(m_leaseManager.session())), now);
        if (isFenced())
            dropShard();
        // ShardLeaseManager::observe() requires that the shards are read before the entries.
        const std::vector<Row> shards = m_table.scan("shard/", "", 100);
        m_leaseManager.observe(m_table.scan("entry/", "", 100), shards, now);
        for (const Transaction &t : m_leaseManager.expiryTransactions(now))
            m_table.commit(t);
        for (const ShardClaim &claim : m_leaseManager.claimFreeShards(now)) {
            if (const auto owned =
                    m_leaseManager.handleClaimResult(claim, m_table.commit(claim.transaction)))
                m_owned = *owned;
        }
        if (m_owned && !m_scheduler)
            recoverShard(now);
        if (m_scheduler)
            m_scheduler->setWorkers(workers, now);
    }

    void recoverShard(Instant now)
    {
        auto scheduler = std::make_unique<JobScheduler>(JobSchedulerSettings{});
        JournalReader reader(*m_owned);
        if (!reader.snapshotName().empty())
            scheduler->restore(m_objects.at(reader.snapshotName()));
        while (!reader.finished()) {
            for (const std::string &it :
                 reader.parseSegments(m_table.scan(reader.scanPrefix(), reader.scanAfter(), 7)))
                scheduler->apply(it);
        }
        const auto seen = m_facts.stateByHead.find(m_owned->row.head);
        ensure(seen == m_facts.stateByHead.end() || seen->second == scheduler->snapshot(),
               "replay gives another state than the one that decisions were based on");
        for (const std::string &id : m_facts.accepted)
            ensure(scheduler->find(id) != nullptr,
                   "acknowledged job " + id + " is lost after a takeover");
        scheduler->takeOver(now);
        m_scheduler = std::move(scheduler);
        JournalSettings settings;
        settings.snapshotMinSegments = 20; // Low, so that short runs make snapshots.
        m_journal = std::make_unique<Journal>(*m_owned, settings);
    }

    void commitJournal(Instant now)
    {
        if (const auto t = m_journal->nextCommit(now))
            m_journal->handleCommitResult(m_table.commit(*t), now);
        if (m_journal->needsReadBack())
            m_journal->handleReadBack(readRow(m_journal->rowKey()), now);
        if (m_journal->fenced()) {
            m_leaseManager.forgetShard(0);
            dropShard();
            return;
        }
        const ShardRow row = parseShardRow(m_table.row(shardKey(0)));
        const bool isAllDurable =
            m_journal->pendingRecords() == 0 && row.epoch == m_journal->epoch();
        if (isAllDurable && !m_facts.stateByHead.contains(row.head))
            m_facts.stateByHead[row.head] = m_scheduler->snapshot();
        if (m_journal->snapshotDue())
            m_journal->beginSnapshot(m_scheduler->snapshot());
        if (const auto object = m_journal->snapshotToStore()) {
            m_objects[object->name] = object->bytes;
            m_journal->markSnapshotStored();
        }
        if (const auto name = m_journal->takeObsoleteObject())
            m_objects.erase(*name);
    }

    void holdUntilDurable(const JobScheduler::Records &records, std::function<void()> onDurable)
    {
        std::vector<WorkerCall> held;
        for (WorkerCall &it : m_scheduler->takeCalls())
            (waitsForCommit(it) ? held : m_readyCalls).push_back(std::move(it));
        m_pendingDecisions.push_back(
            {m_journal->append(records), std::move(held), std::move(onDurable)});
    }

    void releaseDurable()
    {
        while (!m_pendingDecisions.empty()
               && m_pendingDecisions.front().lsn <= m_journal->durableLsn()) {
            m_pendingDecisions.front().onDurable();
            auto &calls = m_pendingDecisions.front().calls;
            std::move(calls.begin(), calls.end(), std::back_inserter(m_readyCalls));
            m_pendingDecisions.pop_front();
        }
    }

    void dropShard()
    {
        m_owned.reset();
        m_scheduler.reset();
        m_journal.reset();
        m_pendingDecisions.clear();
        m_readyCalls.clear();
    }

    Row readRow(const std::string &key) { return m_table.read(std::vector{key}).front(); }

    FakeTable &m_table;
    ObservedFacts &m_facts;
    std::map<std::string, std::string> &m_objects;
    ShardLeaseManager m_leaseManager;
    double m_clockRate;
    std::optional<OwnedShard> m_owned;
    std::unique_ptr<Journal> m_journal;
    std::unique_ptr<JobScheduler> m_scheduler;
    std::deque<PendingDecision> m_pendingDecisions;
    std::vector<WorkerCall> m_readyCalls;
};

// An entry of the simulated cluster.
struct EntryProcess
{
    std::unique_ptr<ShardOwner> owner;
    Millis pausedUntil;
    std::vector<std::function<void()>> pendingReplies; // Received while it was paused.
};

// A worker of the simulated cluster.
struct WorkerNode
{
    std::unique_ptr<FakeWorker> worker;
    Millis pausedUntil;
    Millis unreachableUntil;
    Millis unlistedUntil; // Until then it is alive but missing from the membership list.
    std::vector<std::function<void()>> pendingCalls; // Received while it was paused.
};

// A call to a worker that awaits its reply.
struct OpenCall
{
    std::size_t entry; // The index of the calling entry.
    const ShardOwner *owner; // The calling process; the entry may have been replaced since.
    std::uint64_t epoch;
    std::uint64_t id;
};

} // namespace savorywick
