#pragma once

#include "savorywick/clock.h"
#include "savorywick/journal.h"
#include "savorywick/steps/record.h"
#include "savorywick/storeclock.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace savorywick::steps {

// What a new owner of a shard knows of the leases that earlier owners granted to workers, and what
// it leaves to the next one.
//
// The shard's row tells a time on the store's clock by which all of these leases are over. Of a
// worker that does not answer the owner either, a WorkerSilent record keeps that time, so that the
// wait does not begin anew with the next owner. As long as there is such a record the worker must
// be granted nothing; once it has answered, a WorkerHeard record withdraws it. Use one for each
// owner. Not thread-safe.
//
// Example:
//   leases.setEnd(row.leasesEndMs, endsAt);
//   if (const auto record = leases.noteSilence(worker, table.silentUntilMs(worker), now))
//       append(*record);
class EarlierLeases
{
public:
    // Sets by when all leases of earlier owners are over, on the store's clock and on this
    // process's.
    void setEnd(std::int64_t endMs, Instant endsAt) { m_end = {endMs, endsAt}; }
    // Sets the store's clock, which must outlive this object. Without one no time can be recorded.
    void setStoreClock(const StoreClock *clock) { m_storeClock = clock; }
    // Returns the time on the store's clock to record for something that ends at `at`, or nothing
    // if it is not known.
    std::optional<std::int64_t> storeTimeOf(Instant at) const;
    // Returns when something has surely ended for which an earlier owner recorded this time, or
    // nothing if it is not known.
    std::optional<Instant> endOfRecorded(std::int64_t storeMs) const;
    // Returns by when those of a worker are over, whose record tells `recordedMs`, or nothing if it
    // is not known.
    std::optional<Instant> endOf(std::optional<std::int64_t> recordedMs) const;

    // Returns the record to append as a worker to which this owner has granted nothing does not
    // answer, or nothing if there is one already or it would be of no use.
    std::optional<WorkerSilent> noteSilence(const std::string &worker,
                                            std::optional<std::int64_t> recordedMs,
                                            Instant now) const;
    // Returns the record to append when a worker answers that has a WorkerSilent record. No lease
    // may be granted to the worker until it is durable.
    WorkerHeard noteAnswer(const std::string &worker);
    // Records when a lease was last granted to a worker whose session is given up. A life of it
    // that is met later may execute that order.
    void noteForgottenGrant(Instant grantedAt)
    {
        m_lastForgottenGrantAt = std::max(grantedAt, m_lastForgottenGrantAt.value_or(grantedAt));
    }
    // Returns the latest time that noteForgottenGrant() recorded.
    std::optional<Instant> lastForgottenGrantAt() const { return m_lastForgottenGrantAt; }

    // Returns true if and only if no lease may be granted to the worker yet.
    bool withholds(std::string_view worker) const { return m_withheld.contains(worker); }

    // Reports the log sequence number of the records appended since the last call.
    void recordsAppended(LogSequenceNumber lsn);
    // Reports that all records up to `lsn` are durable.
    void recordsDurable(LogSequenceNumber lsn);

private:
    struct End
    {
        std::int64_t storeMs = 0;
        Instant at;
    };
    struct UncommittedAnswer
    {
        LogSequenceNumber lsn = 0; // 0 until the record is appended.
        std::string worker;
    };

    const StoreClock *m_storeClock = nullptr;
    std::optional<End> m_end;
    std::optional<Instant> m_lastForgottenGrantAt;
    std::deque<UncommittedAnswer> m_uncommitted; // In the order of their records.
    std::map<std::string, int, std::less<>> m_withheld; // How many uncommitted answers each has.
};

} // namespace savorywick::steps
