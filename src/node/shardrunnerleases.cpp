// The part of ShardRunner that keeps the promise of the shard's row about the leases of workers.

#include "node/shardrunner.h"

#include <algorithm>

namespace savorywick {

namespace {

// A worker's clock was read no longer ago than this when it is granted a lease: a worker is asked
// more often than that, and is granted nothing if it does not answer.
constexpr Millis maxClockReadingAge{5'000};

} // namespace

// Tells the coordinator when the leases of earlier owners are over. Returns what is left of the
// longest, or -1 if it is not known.
Millis ShardRunner::takeInEarlierLeases()
{
    const StoreClock *storeClock = m_dependencies.table.storeClock();
    const std::int64_t endMs = m_owned.row.leasesEndMs;
    const auto endsAt = storeClock && endMs != 0 ? storeClock->surelyAfter(endMs) : std::nullopt;
    if (!endsAt)
        return Millis{-1};
    m_coordinator.setEarlierLeasesEnd(endMs, *endsAt);
    return std::max(Millis{0}, *endsAt - m_dependencies.clock.now());
}

// Returns true if and only if the shard's row is to promise an end of leases that runs need.
bool ShardRunner::needsLeaseLimit() const
{
    return m_dependencies.table.storeClock() && !m_coordinator.runs().all().empty();
}

// Lets the shard's row promise enough for full leases, as long as some run needs them.
void ShardRunner::raiseLeaseLimit()
{
    if (!needsLeaseLimit())
        return;
    const auto storeMs = m_dependencies.table.storeClock()->latestAt(m_dependencies.clock.now());
    if (storeMs)
        m_journal.raiseLeaseLimit(*storeMs + m_settings.leaseLimitAhead.count());
}

// Returns by when all leases that are granted now must be over, for the sake of a successor. It
// takes the shard no earlier than this entry's lease ends, and counts on the shard's row, if that
// tells a time, and on the longest term otherwise.
Instant ShardRunner::latestLeaseEnd() const
{
    const Instant byTerm =
        m_dependencies.leaseValidUntil() + m_settings.coordinator.workerSessions.maxLeaseTerm;
    const StoreClock *storeClock = m_dependencies.table.storeClock();
    if (!storeClock || m_journal.leaseLimitMs() == 0)
        return byTerm;
    const auto limit = storeClock->surelyBefore(m_journal.leaseLimitMs());
    const Millis longestSpan = m_settings.leaseLimitAhead + maxClockReadingAge;
    const Millis delay = m_settings.coordinator.workerSessions.expiryDelay(longestSpan);
    return limit ? std::min(byTerm, *limit - delay) : byTerm;
}

} // namespace savorywick
