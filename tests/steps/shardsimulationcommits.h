#pragma once

#include "shardsimulation.h"

// The member functions of ShardSimulation that make records durable and replace the owner.
namespace savorywick::steps::testing {

// Drops what is not durable, and lets the next owner take over with what the shard's row promises.
inline void ShardSimulation::replaceOwner()
{
    ++m_takeoverCount;
    logEvent(" * the owner is replaced; the row promises " + std::to_string(m_leaseLimit.count()));
    m_pendingRecords.clear();
    m_pendingSubmissions.clear();
    m_commitAt = {};
    m_durable = m_appended = static_cast<LogSequenceNumber>(m_journal.size());
    m_wallSkewMs = m_faults ? randomBelow(2 * maxWallSkewMs) - maxWallSkewMs : 0;
    m_wallSkews[++m_epoch] = m_wallSkewMs;
    m_owner = std::make_unique<Coordinator>(m_epoch, m_now, ownerSettings());
    for (const std::string &it : m_journal)
        m_owner->restore(decodeRecord(it));
    if (m_leaseLimit != Instant{})
        m_owner->setEarlierLeasesEnd(m_leaseLimit.count(), m_leaseLimit);
    m_storeClock.observe(m_now, m_now, m_now.count());
    m_owner->setStoreClock(&m_storeClock);
    limitLeasesByRow();
    m_owner->takeOver(now());
    m_owner->setWorkers(listedWorkers(), now());
    m_scheduledCalls.remove_if([](const ScheduledCall &it) { return it.toOwner; });
    processOwnerOutput();
}

// Makes the pending records durable some time after the first of them, at times much later.
inline void ShardSimulation::commitWhenDue()
{
    if (m_pendingRecords.empty())
        return raiseLeaseLimit(); // A commit of its own.
    if (m_commitAt == Instant{})
        m_commitAt = m_now + Millis{faultOccurs(20) ? randomBelow(4'000) : 8};
    if (m_now < m_commitAt)
        return;
    m_commitAt = {};
    raiseLeaseLimit();
    for (std::string &it : m_pendingRecords)
        m_journal.push_back(std::move(it));
    m_pendingRecords.clear();
    m_durable = m_appended;
    while (!m_pendingSubmissions.empty() && m_pendingSubmissions.front().lsn != 0
           && m_pendingSubmissions.front().lsn <= m_durable) {
        m_accepted.insert(m_pendingSubmissions.front().job);
        m_pendingSubmissions.pop_front();
    }
}

// Lets the shard's row promise the end of all leases with this commit.
inline void ShardSimulation::raiseLeaseLimit()
{
    if (m_leaseLimitAhead == Millis{0})
        return;
    m_leaseLimit = m_now + m_leaseLimitAhead;
    limitLeasesByRow();
}

// Lets the owner grant no lease beyond what the shard's row promises, if it promises anything.
inline void ShardSimulation::limitLeasesByRow()
{
    if (m_leaseLimit != Instant{})
        m_owner->limitLeases(m_leaseLimit
                             - ownerSettings().workerSessions.expiryDelay(m_leaseLimitAhead * 2));
}

} // namespace savorywick::steps::testing
