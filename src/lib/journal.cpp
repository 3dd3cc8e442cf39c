#include "savorywick/journal.h"

#include "savorywick/errors.h"

#include <algorithm>
#include <cstdio>

namespace savorywick {

namespace {

std::string segmentPrefix(int shard)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "journal/%04d/", shard);
    return buf;
}

std::string segmentKeyOf(int shard, std::uint64_t sequence)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%010llu", static_cast<unsigned long long>(sequence));
    return segmentPrefix(shard) + buf;
}

void checkRecord(const std::string &record)
{
    if (record.empty() || record.find('\n') != std::string::npos)
        throw Error(ErrorKind::InvalidInput, "a journal record is empty or holds a line end",
                    "write it as one line");
}

} // namespace

Journal::Journal(const OwnedShard &owned, JournalSettings settings)
    : m_shard(owned.shard)
    , m_settings(settings)
    , m_row(owned.row)
    , m_version(owned.version)
    , m_retryDelay(settings.firstRetry)
{ }

Ticket Journal::append(std::span<const std::string> records)
{
    if (fenced() || released() || (m_releasing && !records.empty()))
        throw Error(ErrorKind::Fenced, "shard " + std::to_string(m_shard) + " is given up",
                    "send the request to its new owner");
    std::for_each(records.begin(), records.end(), checkRecord);
    m_queue.insert(m_queue.end(), records.begin(), records.end());
    m_appended += records.size();
    return m_appended;
}

bool Journal::hasWork() const
{
    return !m_queue.empty() || m_releasing || (m_snapshot && m_snapshot->stored);
}

std::optional<Instant> Journal::wakeAt() const
{
    if (m_phase == Phase::Retrying)
        return m_retryAt;
    if (m_phase != Phase::Idle || !hasWork())
        return {};
    return m_allowedAt.value_or(Instant{});
}

std::optional<Transaction> Journal::nextCommit(Instant now)
{
    const auto due = wakeAt();
    if (!due || now < *due)
        return {};
    if (m_phase == Phase::Idle) {
        m_inFlight = build();
        const Instant earliest = now - m_settings.commitEvery * (m_settings.burst - 1);
        m_allowedAt = std::max(m_allowedAt.value_or(earliest), earliest) + m_settings.commitEvery;
        m_retryDelay = m_settings.firstRetry;
    }
    m_phase = Phase::InFlight;
    return m_inFlight;
}

Transaction Journal::build()
{
    Transaction t;
    m_nextRow = m_row;
    m_inFlightRecords = 0;
    m_inFlightBytes = 0;
    addSegment(t);
    addSnapshot(t);
    addDeletes(t);
    if (m_releasing && m_queue.empty()) {
        m_nextRow.owner.clear();
        m_nextRow.peer.clear();
    }
    m_nextRow.commit =
        m_row.owner + ":" + std::to_string(m_row.epoch) + ":" + std::to_string(++m_commits);
    t.conditions.push_back({rowKey(), m_version});
    t.writes.push_back({rowKey(), toValue(m_nextRow)});
    return t;
}

void Journal::addSegment(Transaction &t)
{
    std::string segment;
    // A snapshot covers whole segments, so a segment ends where the snapshot's state ends.
    const bool cut = m_snapshot && m_snapshot->ticket > m_landed;
    const std::size_t most = cut ? m_snapshot->ticket - m_landed : m_queue.size();
    while (m_inFlightRecords < most && !m_queue.empty()) {
        const std::string &record = m_queue.front();
        const std::size_t size = segment.size() + record.size() + 1;
        if (!segment.empty() && size > m_settings.maxSegmentBytes)
            break;
        segment += record;
        segment += '\n';
        m_queue.pop_front();
        ++m_inFlightRecords;
    }
    if (segment.empty())
        return;
    ++m_nextRow.head;
    m_inFlightBytes = segment.size();
    t.writes.push_back({segmentKey(m_nextRow.head), std::move(segment)});
}

void Journal::addSnapshot(Transaction &)
{
    if (!m_snapshot || !m_snapshot->stored)
        return;
    m_nextRow.snapshot = *m_snapshot->sequence;
    m_nextRow.object = objectName();
}

void Journal::addDeletes(Transaction &t)
{
    // What is covered may go only once the row that refers to the snapshot is confirmed or is
    // written by this same transaction.
    const std::uint64_t end =
        std::min(m_nextRow.snapshot + 1, m_row.first + m_settings.deletesPerCommit);
    for (; m_nextRow.first < end; ++m_nextRow.first)
        t.writes.push_back({segmentKey(m_nextRow.first), std::nullopt});
}

JournalEvent Journal::committed(const CommitResult &result, Instant now)
{
    if (m_phase != Phase::InFlight)
        return event();
    switch (result.outcome) {
    case CommitOutcome::Committed:
        return land(result.version);
    case CommitOutcome::Conflict:
        m_phase = Phase::ReadingBack;
        break;
    case CommitOutcome::Unavailable:
    case CommitOutcome::Unknown:
        m_phase = Phase::Retrying;
        m_retryAt = now + m_retryDelay;
        m_retryDelay = std::min(m_retryDelay * 2, m_settings.lastRetry);
        break;
    }
    return event();
}

JournalEvent Journal::readBack(const Row &shardRow, Instant)
{
    if (m_phase != Phase::ReadingBack)
        return event();
    if (shardRow.version != 0 && parseShardRow(shardRow).commit == m_nextRow.commit)
        return land(shardRow.version);
    return fence();
}

JournalEvent Journal::land(std::uint64_t version)
{
    const bool snapshotMoved = m_nextRow.object != m_row.object;
    if (snapshotMoved && !m_row.object.empty())
        m_staleObject = m_row.object;
    if (snapshotMoved) {
        m_snapshotBytes = m_snapshot->bytes;
        m_bytesSince = 0;
        m_snapshot.reset();
    }
    m_bytesSince += m_inFlightBytes;
    const bool givenUp = m_nextRow.owner.empty();
    m_row = m_nextRow;
    m_version = version;
    m_landed += m_inFlightRecords;
    m_inFlightRecords = 0;
    if (m_snapshot && !m_snapshot->sequence && m_snapshot->ticket == m_landed)
        m_snapshot->sequence = m_row.head;
    m_phase = givenUp ? Phase::Released : Phase::Idle;
    return event();
}

JournalEvent Journal::fence()
{
    m_phase = Phase::Fenced;
    m_queue.clear();
    m_inFlightRecords = 0;
    m_snapshot.reset();
    return event();
}

JournalEvent Journal::event() const
{
    return {m_landed, fenced(), released()};
}

bool Journal::snapshotDue() const
{
    const std::uint64_t length = m_row.head - m_row.snapshot;
    const bool worth = length >= m_settings.snapshotAfter && m_bytesSince >= m_snapshotBytes;
    const bool idle = !m_snapshot && !m_releasing && !fenced() && !released();
    return idle && (worth || length >= m_settings.longestJournal);
}

void Journal::beginSnapshot(std::string state)
{
    const std::size_t bytes = state.size();
    m_snapshot = Snapshot{std::move(state), m_appended, bytes, {}, false};
    if (m_appended == m_landed)
        m_snapshot->sequence = m_row.head;
}

std::optional<SnapshotObject> Journal::snapshotToPut() const
{
    if (!m_snapshot || !m_snapshot->sequence || m_snapshot->stored)
        return {};
    return SnapshotObject{objectName(), m_snapshot->state};
}

void Journal::snapshotStored()
{
    if (!m_snapshot || !m_snapshot->sequence)
        return;
    m_snapshot->stored = true;
    m_snapshot->state.clear();
}

std::optional<std::string> Journal::objectToRemove()
{
    auto name = std::move(m_staleObject);
    m_staleObject.reset();
    return name;
}

std::string Journal::segmentKey(std::uint64_t sequence) const
{
    return segmentKeyOf(m_shard, sequence);
}

std::string Journal::objectName() const
{
    // The epoch keeps two owners from writing one object.
    return "snapshot/" + std::to_string(m_shard) + "/" + std::to_string(*m_snapshot->sequence) + "."
        + std::to_string(m_row.epoch);
}

JournalReader::JournalReader(const OwnedShard &owned)
    : m_shard(owned.shard)
    , m_row(owned.row)
    , m_last(owned.row.snapshot)
{ }

std::string JournalReader::prefix() const
{
    return segmentPrefix(m_shard);
}

std::string JournalReader::after() const
{
    return segmentKeyOf(m_shard, m_last);
}

std::vector<std::string> JournalReader::read(std::span<const Row> segments)
{
    std::vector<std::string> records;
    for (const Row &row : segments) {
        if (finished())
            return records;
        if (row.key != segmentKeyOf(m_shard, m_last + 1))
            break;
        ++m_last;
        for (std::size_t n = 0; n < row.value.size();) {
            const std::size_t end = row.value.find('\n', n);
            records.push_back(row.value.substr(n, end - n));
            n = end + 1;
        }
    }
    if (records.empty() && !finished())
        throw Error(ErrorKind::NotFound,
                    "segment " + segmentKeyOf(m_shard, m_last + 1) + " of the journal is missing",
                    "take the shard out of service and restore the row from a backup");
    return records;
}

} // namespace savorywick
