#pragma once

#include "savorywick/clock.h"
#include "savorywick/platform.h"
#include "savorywick/shardrow.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace savorywick {

// The log sequence number of a journal record: how many records the journal had been given once
// this one was appended. A number stands for the record itself and everything appended before it.
using LogSequenceNumber = std::uint64_t;

// The limits and intervals of one shard's journal.
struct JournalSettings
{
    std::size_t maxSegmentBytes = 262'144; // A single larger record gets a segment of its own.
    Millis commitInterval{50}; // Mean interval between commits under load; limits the store's load.
    int commitBurst = 10; // Commits that may follow at once after an idle time; at least 1.
    Millis initialRetryDelay{50}; // Doubles with each retry of the same commit.
    Millis maxRetryDelay{300}; // The upper bound of that delay.
    // The limit of leases is written without other work once it is to rise by so much.
    Millis leaseLimitStep{400};
    // A snapshot is due once the segments since the last one number at least `snapshotMinSegments`
    // and hold at least as many bytes as it, or once they number at least `snapshotMaxSegments`.
    std::uint64_t snapshotMinSegments = 256;
    std::uint64_t snapshotMaxSegments = 4'096;
    std::size_t maxDeletesPerCommit = 64; // Segments covered by a snapshot that one commit deletes.
};

// The state of a journal after a commit or a read-back has been reported to it.
struct JournalStatus
{
    LogSequenceNumber durableLsn = 0; // Every record up to this one is durable.
    bool fenced = false; // Another owner has the shard; records after durableLsn are dropped.
    bool released = false; // The shard was released on request, after all records were durable.
};

// A snapshot that must be stored in the object store.
struct SnapshotObject
{
    std::string name;
    std::string bytes;
};

// The write-ahead log of one owned shard, with group commit over the platform's table.
//
// Use it in the shard's owner for every change of the shard's state: apply a decision in memory at
// once, append its records, and hold back the replies and sends that depend on it until
// durableLsn() has reached the number that append() returned. Once the journal is fenced, discard
// the state in memory and everything that was held back.
//
// One commit is in flight at a time; records appended meanwhile go into the next one. A commit
// writes one segment row and the shard's row, on condition that the shard's row is unchanged, so
// the commit of a former owner can't take effect. A commit whose outcome is unknown is sent again
// unchanged; if that ends in a conflict, the commit id in the shard's row tells whether the first
// attempt had taken effect.
//
// The class does no I/O: the caller carries out the transactions, reads and stores. Not
// thread-safe.
//
// Example:
//   const LogSequenceNumber lsn = journal.append(records);
//   if (const auto t = journal.nextCommit(clock.now()))
//       journal.handleCommitResult(table.commit(*t), clock.now());
//   if (journal.needsReadBack())
//       journal.handleReadBack(table.read({{journal.rowKey()}}).front(), clock.now());
//   if (journal.durableLsn() >= lsn)
//       reply();
class Journal
{
public:
    // Continues the journal of a shard that was just claimed; `owned` is the row that was written.
    Journal(const OwnedShard &owned, JournalSettings settings);

    // Returns the shard's number.
    int shard() const { return m_shard; }
    // Returns the epoch of this ownership of the shard.
    std::uint64_t epoch() const { return m_confirmedRow.epoch; }
    // Returns the key of the shard's row.
    std::string rowKey() const { return shardKey(m_shard); }

    // Tells how large the last snapshot is, which a former owner stored, and the segments after it,
    // so that the next one is due as if this owner had stored that. Call it before append().
    void setRestoredBytes(std::size_t snapshotBytes, std::size_t segmentBytes);

    // Queues records for the next commits and returns the sequence number of the last record.
    // Without records it returns the number of the last record appended before. Each record must
    // be a non-empty line without a line end. Throws Error(InvalidInput) for any other record and
    // Error(Fenced) once the shard is lost, released or being released.
    LogSequenceNumber append(std::span<const std::string> records);

    // Lets the next commits raise the time at which every lease on the shard's workers is over, on
    // the store's clock. It never falls. No lease may be granted beyond leaseLimitMs().
    void raiseLeaseLimit(std::int64_t storeMs)
    {
        m_wantedLeaseLimitMs = std::max(m_wantedLeaseLimitMs, storeMs);
    }
    // Returns the earliest time that the shard's row may tell: what the last confirmed commit
    // wrote, or what the first one that was sent is to write. Returns 0 while the row tells none.
    std::int64_t leaseLimitMs() const
    {
        return m_confirmedRow.leasesEndMs != 0 ? m_confirmedRow.leasesEndMs
                                               : m_inFlightRow.leasesEndMs;
    }

    // Returns the transaction to commit now, or nothing if none is due. Each returned transaction
    // must be committed and its result reported by handleCommitResult().
    std::optional<Transaction> nextCommit(Instant now);
    // Takes in the result of the transaction in flight and returns the journal's state after it.
    // Without a transaction in flight it changes nothing.
    JournalStatus handleCommitResult(const CommitResult &result, Instant now);
    // Returns true if and only if the shard's row must be read and given to handleReadBack().
    bool needsReadBack() const { return m_phase == Phase::ReadingBack; }
    // Decides by the shard's row, read after a conflict, whether the commit in flight had taken
    // effect or the shard has another owner. Returns the journal's state after it.
    JournalStatus handleReadBack(const Row &shardRow, Instant now);
    // Returns the earliest time at which nextCommit() may return a transaction, or nothing while
    // there is nothing to commit or a result is awaited.
    std::optional<Instant> nextCommitAt() const;

    // Returns the sequence number of the last durable record; 0 if there is none.
    LogSequenceNumber durableLsn() const { return m_durableLsn; }
    // Returns the number of records that are not durable yet.
    std::size_t pendingRecords() const { return m_queuedRecords.size() + m_inFlightRecords; }
    // Returns true if and only if another owner was found to have the shard.
    bool fenced() const { return m_phase == Phase::Fenced; }
    // Returns true if and only if the commit that released the shard has taken effect.
    bool released() const { return m_phase == Phase::Released; }

    // Starts the release of the shard: commits everything that was appended, then clears the owner
    // in the shard's row. Nothing can be appended from now on.
    void release() { m_releasing = true; }
    // Returns true if and only if release() was called.
    bool releasing() const { return m_releasing; }

    // Returns true if and only if the journal is long enough for a snapshot (see JournalSettings),
    // none is under way and the shard is neither lost, released nor being released.
    bool snapshotDue() const;
    // Starts a snapshot. `state` must hold the effect of every record appended so far.
    // Precondition: snapshotDue().
    void beginSnapshot(std::string state);
    // Returns the snapshot to store once every record that it covers is durable, else nothing.
    std::optional<SnapshotObject> snapshotToStore() const;
    // Reports that the object is stored. The next commits point the shard's row to it and delete
    // the segments that it covers.
    void markSnapshotStored();
    // Returns the name of a replaced snapshot that the shard's row no longer refers to, so that the
    // caller can remove it from the object store; else nothing. Each name is returned once.
    std::optional<std::string> takeObsoleteObject();

private:
    enum class Phase { Idle, InFlight, Retrying, ReadingBack, Released, Fenced };
    struct Snapshot
    {
        std::string state;
        LogSequenceNumber coveredLsn = 0;
        std::size_t sizeBytes = 0;
        std::optional<std::uint64_t>
            lastCoveredSegment; // Set once all covered records are durable.
        bool stored = false;
    };

    bool hasWork() const;
    Transaction buildTransaction();
    void addSegment(Transaction &t);
    void addSnapshot(Transaction &t);
    void addDeletes(Transaction &t);
    JournalStatus applyCommit(std::uint64_t version);
    JournalStatus fence();
    JournalStatus status() const;
    std::string segmentKey(std::uint64_t sequence) const;
    std::string objectName() const;

    int m_shard;
    JournalSettings m_settings;
    ShardRow m_confirmedRow;
    ShardRow m_inFlightRow; // As the commit in flight writes it.
    std::uint64_t m_rowVersion; // The table's version of m_confirmedRow.
    Phase m_phase = Phase::Idle;
    bool m_releasing = false;

    std::deque<std::string> m_queuedRecords;
    LogSequenceNumber m_appendedLsn = 0;
    LogSequenceNumber m_durableLsn = 0;

    Transaction m_inFlightTransaction;
    std::size_t m_inFlightRecords = 0;
    std::size_t m_inFlightBytes = 0;
    std::optional<Instant> m_nextCommitAt; // Unset before the first commit.
    Instant m_retryAt;
    Millis m_retryDelay;

    std::int64_t m_wantedLeaseLimitMs = 0;
    std::uint64_t m_commitCount = 0;
    std::optional<Snapshot> m_snapshot; // The one under way.
    std::size_t m_lastSnapshotBytes = 0;
    std::size_t m_bytesSinceSnapshot = 0; // Durable segment bytes.
    std::optional<std::string> m_obsoleteObject;
};

// Reads back the journal of a shard that was just claimed, in the order of its records.
//
// Use it once, before anything is appended to the shard's Journal: restore the snapshot, if there
// is one, and apply the records of the segments after it. Not thread-safe.
//
// Example:
//   JournalReader reader(owned);
//   if (!reader.snapshotName().empty())
//       scheduler.restore(*objects.fetch(reader.snapshotName()));
//   while (!reader.finished())
//       for (const auto &record :
//            reader.parseSegments(table.scan(reader.scanPrefix(), reader.scanAfter(), 100)))
//           scheduler.apply(record);
//   scheduler.takeOver(clock.now());
class JournalReader
{
public:
    // Starts after the last segment that the snapshot in `owned` covers.
    explicit JournalReader(const OwnedShard &owned);

    // Returns the name of the snapshot in the object store to start from; empty if there is none.
    const std::string &snapshotName() const { return m_row.object; }
    // Returns the key prefix with which to scan the table for segments.
    std::string scanPrefix() const;
    // Returns the key after which to scan: that of the last segment read or covered.
    std::string scanAfter() const;
    // Returns the records of `segments`, the rows that a scan by scanPrefix() and scanAfter() gave,
    // in order. Throws Error(NotFound) if they don't start with the next segment.
    std::vector<std::string> parseSegments(std::span<const Row> segments);
    // Returns the size of the segments that were read.
    std::size_t segmentBytes() const { return m_segmentBytes; }
    // Returns true if and only if every record was read.
    bool finished() const { return m_lastReadSegment == m_row.head; }

private:
    int m_shard;
    ShardRow m_row;
    std::uint64_t m_lastReadSegment;
    std::size_t m_segmentBytes = 0;
};

} // namespace savorywick
