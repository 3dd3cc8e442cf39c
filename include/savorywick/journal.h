#pragma once

#include "savorywick/clock.h"
#include "savorywick/platform.h"
#include "savorywick/shardrow.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace savorywick {

// A place in the order of a journal's records: everything appended up to it.
using Ticket = std::uint64_t;

struct JournalSettings
{
    std::size_t maxSegmentBytes = 262'144; // One segment holds at least one record.
    Millis commitEvery{50}; // The mean time between commits under load, to spare the store.
    int burst = 10; // Commits that may come sooner after a quiet time, at least 1.
    Millis firstRetry{50}; // Doubles with each retry of one commit.
    Millis lastRetry{2'000};
    // A snapshot is due once the journal since the last one is this many segments and as many
    // bytes as that, or `longestJournal` segments.
    std::uint64_t snapshotAfter = 256;
    std::uint64_t longestJournal = 4'096;
    std::size_t deletesPerCommit = 64; // Covered segments removed by one transaction.
};

// What became of the journal when a commit ended.
struct JournalEvent
{
    Ticket landed = 0; // Every ticket up to this one is durable.
    bool fenced = false; // Another owner has the shard; everything above `landed` is dropped.
    bool released = false; // The shard was given up as asked, after all records had landed.
};

// A snapshot that must be put into the object store.
struct SnapshotObject
{
    std::string name;
    std::string bytes;
};

// Group commit for one owned shard: many records, one conditional transaction.
//
// One commit is in flight at a time; what is appended meanwhile goes into the next. A transaction
// writes one segment row and the shard's row, on condition that the shard's row is unchanged, so a
// stale owner's commit can't take effect. A commit whose outcome is unknown is sent again as it
// was; on a conflict the shard's row tells by its commit id whether it had landed.
//
// Apply decisions in memory at once, append their records, and hold back replies and sends until
// landed() reaches the ticket. When fenced, drop the memory and all that was held back.
// Not thread-safe.
//
// Example:
//   const Ticket ticket = journal.append(records);
//   if (const auto t = journal.nextCommit(clock.now()))
//       journal.committed(table.commit(*t), clock.now());
//   if (journal.needsReadBack())
//       journal.readBack(table.read({{journal.rowKey()}}).front(), clock.now());
//   if (journal.landed() >= ticket)
//       reply();
class Journal
{
public:
    Journal(const OwnedShard &owned, JournalSettings settings);

    int shard() const { return m_shard; }
    std::uint64_t epoch() const { return m_row.epoch; }
    std::string rowKey() const { return shardKey(m_shard); }

    // Queues records, which must be non-empty lines without line ends. Returns the ticket that
    // lands with them; without records it is the ticket of all that was appended before.
    // Throws Error(Fenced) once the shard is lost or given up.
    Ticket append(std::span<const std::string> records);

    // Returns the transaction to commit now, if there is one. Report its end by committed().
    std::optional<Transaction> nextCommit(Instant now);
    JournalEvent committed(const CommitResult &result, Instant now);
    // Returns true if and only if the shard's row must be read and given to readBack().
    bool needsReadBack() const { return m_phase == Phase::ReadingBack; }
    JournalEvent readBack(const Row &shardRow, Instant now);
    // Returns when nextCommit() is worth a call, or nothing while it waits for an event.
    std::optional<Instant> wakeAt() const;

    // Returns the highest ticket that is durable.
    Ticket landed() const { return m_landed; }
    // Returns how many records are not durable yet.
    std::size_t pending() const { return m_queue.size() + m_inFlightRecords; }
    bool fenced() const { return m_phase == Phase::Fenced; }
    bool released() const { return m_phase == Phase::Released; }

    // Gives the shard up once all that was appended has landed; nothing can be appended from now.
    void release() { m_releasing = true; }
    bool releasing() const { return m_releasing; }

    // Returns true if and only if the journal is long enough for a snapshot and none is under way.
    bool snapshotDue() const;
    // Takes the state after everything that was appended so far. Call only if snapshotDue().
    void beginSnapshot(std::string state);
    // Returns the snapshot to put once all that it covers is durable, else nothing.
    std::optional<SnapshotObject> snapshotToPut() const;
    // Reports that the object is stored: the next commits refer to it and cut the journal.
    void snapshotStored();
    // Returns the name of a snapshot that nothing refers to any more, once; else nothing.
    std::optional<std::string> objectToRemove();

private:
    enum class Phase { Idle, InFlight, Retrying, ReadingBack, Released, Fenced };
    struct Snapshot
    {
        std::string state;
        Ticket ticket = 0;
        std::size_t bytes = 0;
        std::optional<std::uint64_t> sequence; // Known once all that it covers is durable.
        bool stored = false;
    };

    bool hasWork() const;
    Transaction build();
    void addSegment(Transaction &t);
    void addSnapshot(Transaction &t);
    void addDeletes(Transaction &t);
    JournalEvent land(std::uint64_t version);
    JournalEvent fence();
    JournalEvent event() const;
    std::string segmentKey(std::uint64_t sequence) const;
    std::string objectName() const;

    int m_shard;
    JournalSettings m_settings;
    ShardRow m_row; // As last confirmed.
    ShardRow m_nextRow; // As the commit in flight writes it.
    std::uint64_t m_version;
    Phase m_phase = Phase::Idle;
    bool m_releasing = false;

    std::deque<std::string> m_queue;
    Ticket m_appended = 0;
    Ticket m_landed = 0;

    Transaction m_inFlight;
    std::size_t m_inFlightRecords = 0;
    std::size_t m_inFlightBytes = 0;
    std::optional<Instant> m_allowedAt; // When the next commit may start, after the first.
    Instant m_retryAt;
    Millis m_retryDelay;

    std::uint64_t m_commits = 0;
    std::optional<Snapshot> m_snapshot;
    std::size_t m_snapshotBytes = 0; // Of the last one; 0 if it was not taken here.
    std::size_t m_bytesSince = 0; // Durable since then.
    std::optional<std::string> m_staleObject;
};

// Tells a new owner what to read, and gives the records in order.
//
// Example:
//   JournalReader reader(owned);
//   if (!reader.object().empty())
//       book.restore(*objects.fetch(reader.object()));
//   while (!reader.finished())
//       for (const auto &record : reader.read(table.scan(reader.prefix(), reader.after(), 100)))
//           book.apply(record, clock.now());
class JournalReader
{
public:
    explicit JournalReader(const OwnedShard &owned);

    // Returns the name of the snapshot to start from; empty if there is none.
    const std::string &object() const { return m_row.object; }
    // Returns what to scan next.
    std::string prefix() const;
    std::string after() const;
    // Returns the records of the next segments, in order.
    // Throws Error(NotFound) if a segment is missing.
    std::vector<std::string> read(std::span<const Row> segments);
    // Returns true if and only if every record was read.
    bool finished() const { return m_last == m_row.head; }

private:
    int m_shard;
    ShardRow m_row;
    std::uint64_t m_last;
};

} // namespace savorywick
