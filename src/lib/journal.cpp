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

std::string segmentRowKey(int shard, std::uint64_t sequence)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%010llu", static_cast<unsigned long long>(sequence));
    return segmentPrefix(shard) + buf;
}

void checkRecord(const std::string &record)
{
    if (record.empty() || record.find('\n') != std::string::npos)
        throw Error(ErrorKind::InvalidInput, "a journal record is empty or contains a line break",
                    "write the record as one line");
}

} // namespace

Journal::Journal(const OwnedShard &owned, JournalSettings settings)
    : m_shard(owned.shard)
    , m_settings(settings)
    , m_confirmedRow(owned.row)
    , m_rowVersion(owned.version)
    , m_retryDelay(settings.initialRetryDelay)
{ }

void Journal::setRestoredBytes(std::size_t snapshotBytes, std::size_t segmentBytes)
{
    m_lastSnapshotBytes = snapshotBytes;
    m_bytesSinceSnapshot = segmentBytes;
}

LogSequenceNumber Journal::append(std::span<const std::string> records)
{
    if (fenced() || released() || (m_releasing && !records.empty()))
        throw Error(ErrorKind::Fenced,
                    "shard " + std::to_string(m_shard)
                        + " is lost or released; its journal takes no more records",
                    "send the request to the shard's new owner");
    std::for_each(records.begin(), records.end(), checkRecord);
    m_queuedRecords.insert(m_queuedRecords.end(), records.begin(), records.end());
    m_appendedLsn += records.size();
    return m_appendedLsn;
}

bool Journal::hasWork() const
{
    const bool raisesLeaseLimit =
        m_wantedLeaseLimitMs - m_confirmedRow.leasesEndMs >= m_settings.leaseLimitStep.count();
    return !m_queuedRecords.empty() || m_releasing || (m_snapshot && m_snapshot->stored)
        || raisesLeaseLimit;
}

std::optional<Instant> Journal::nextCommitAt() const
{
    if (m_phase == Phase::Retrying)
        return m_retryAt;
    if (m_phase != Phase::Idle || !hasWork())
        return {};
    return m_nextCommitAt.value_or(Instant{});
}

std::optional<Transaction> Journal::nextCommit(Instant now)
{
    const auto due = nextCommitAt();
    if (!due || now < *due)
        return {};
    if (m_phase == Phase::Idle) {
        m_inFlightTransaction = buildTransaction();
        // Spaces the commits by commitInterval on average. The schedule lags behind `now` by at
        // most commitBurst - 1 intervals, so that many more commits may follow at once.
        const Instant earliest = now - m_settings.commitInterval * (m_settings.commitBurst - 1);
        m_nextCommitAt =
            std::max(m_nextCommitAt.value_or(earliest), earliest) + m_settings.commitInterval;
        m_retryDelay = m_settings.initialRetryDelay;
    }
    m_phase = Phase::InFlight;
    return m_inFlightTransaction;
}

Transaction Journal::buildTransaction()
{
    Transaction t;
    m_inFlightRow = m_confirmedRow;
    m_inFlightRecords = 0;
    m_inFlightBytes = 0;
    addSegment(t);
    addSnapshot(t);
    addDeletes(t);
    m_inFlightRow.leasesEndMs = std::max(m_inFlightRow.leasesEndMs, m_wantedLeaseLimitMs);
    if (m_releasing && m_queuedRecords.empty()) {
        m_inFlightRow.owner.clear();
        m_inFlightRow.peer.clear();
    }
    m_inFlightRow.commit = m_confirmedRow.owner + ":" + std::to_string(m_confirmedRow.epoch) + ":"
        + std::to_string(++m_commitCount);
    t.conditions.push_back({rowKey(), m_rowVersion});
    t.writes.push_back({rowKey(), serializeShardRow(m_inFlightRow)});
    return t;
}

void Journal::addSegment(Transaction &t)
{
    std::string segment;
    // A snapshot covers whole segments, so a segment ends at the last record that it covers.
    const bool endsAtSnapshot = m_snapshot && m_snapshot->coveredLsn > m_durableLsn;
    const std::size_t maxRecords =
        endsAtSnapshot ? m_snapshot->coveredLsn - m_durableLsn : m_queuedRecords.size();
    while (m_inFlightRecords < maxRecords && !m_queuedRecords.empty()) {
        const std::string &record = m_queuedRecords.front();
        const std::size_t size = segment.size() + record.size() + 1;
        if (!segment.empty() && size > m_settings.maxSegmentBytes)
            break;
        segment += record;
        segment += '\n';
        m_queuedRecords.pop_front();
        ++m_inFlightRecords;
    }
    if (segment.empty())
        return;
    ++m_inFlightRow.head;
    m_inFlightBytes = segment.size();
    t.writes.push_back({segmentKey(m_inFlightRow.head), std::move(segment)});
}

void Journal::addSnapshot(Transaction &)
{
    if (!m_snapshot || !m_snapshot->stored)
        return;
    m_inFlightRow.snapshot = *m_snapshot->lastCoveredSegment;
    m_inFlightRow.object = objectName();
}

void Journal::addDeletes(Transaction &t)
{
    // A segment may be deleted only once the row that refers to the snapshot covering it is
    // confirmed, or in the transaction that writes that row.
    const std::uint64_t end =
        std::min(m_inFlightRow.snapshot + 1, m_confirmedRow.first + m_settings.maxDeletesPerCommit);
    for (; m_inFlightRow.first < end; ++m_inFlightRow.first)
        t.writes.push_back({segmentKey(m_inFlightRow.first), std::nullopt});
}

JournalStatus Journal::handleCommitResult(const CommitResult &result, Instant now)
{
    if (m_phase != Phase::InFlight)
        return status();
    switch (result.outcome) {
    case CommitOutcome::Committed:
        return applyCommit(result.version);
    case CommitOutcome::Conflict:
        m_phase = Phase::ReadingBack;
        break;
    case CommitOutcome::Unavailable:
    case CommitOutcome::Unknown:
        m_phase = Phase::Retrying;
        m_retryAt = now + m_retryDelay;
        m_retryDelay = std::min(m_retryDelay * 2, m_settings.maxRetryDelay);
        break;
    }
    return status();
}

JournalStatus Journal::handleReadBack(const Row &shardRow, Instant)
{
    if (m_phase != Phase::ReadingBack)
        return status();
    if (shardRow.version != 0 && parseShardRow(shardRow).commit == m_inFlightRow.commit)
        return applyCommit(shardRow.version);
    return fence();
}

JournalStatus Journal::applyCommit(std::uint64_t version)
{
    const bool snapshotReplaced = m_inFlightRow.object != m_confirmedRow.object;
    if (snapshotReplaced && !m_confirmedRow.object.empty())
        m_obsoleteObject = m_confirmedRow.object;
    if (snapshotReplaced) {
        m_lastSnapshotBytes = m_snapshot->sizeBytes;
        m_bytesSinceSnapshot = 0;
        m_snapshot.reset();
    }
    m_bytesSinceSnapshot += m_inFlightBytes;
    const bool rowReleased = m_inFlightRow.owner.empty();
    m_confirmedRow = m_inFlightRow;
    m_rowVersion = version;
    m_durableLsn += m_inFlightRecords;
    m_inFlightRecords = 0;
    if (m_snapshot && !m_snapshot->lastCoveredSegment && m_snapshot->coveredLsn == m_durableLsn)
        m_snapshot->lastCoveredSegment = m_confirmedRow.head;
    m_phase = rowReleased ? Phase::Released : Phase::Idle;
    return status();
}

JournalStatus Journal::fence()
{
    m_phase = Phase::Fenced;
    m_queuedRecords.clear();
    m_inFlightRecords = 0;
    m_snapshot.reset();
    return status();
}

JournalStatus Journal::status() const
{
    return {m_durableLsn, fenced(), released()};
}

bool Journal::snapshotDue() const
{
    const std::uint64_t segments = m_confirmedRow.head - m_confirmedRow.snapshot;
    const bool largeEnough =
        segments >= m_settings.snapshotMinSegments && m_bytesSinceSnapshot >= m_lastSnapshotBytes;
    const bool available = !m_snapshot && !m_releasing && !fenced() && !released();
    return available && (largeEnough || segments >= m_settings.snapshotMaxSegments);
}

void Journal::beginSnapshot(std::string state)
{
    const std::size_t bytes = state.size();
    m_snapshot = Snapshot{std::move(state), m_appendedLsn, bytes, {}, false};
    if (m_appendedLsn == m_durableLsn)
        m_snapshot->lastCoveredSegment = m_confirmedRow.head;
}

std::optional<SnapshotObject> Journal::snapshotToStore() const
{
    if (!m_snapshot || !m_snapshot->lastCoveredSegment || m_snapshot->stored)
        return {};
    return SnapshotObject{objectName(), m_snapshot->state};
}

void Journal::markSnapshotStored()
{
    if (!m_snapshot || !m_snapshot->lastCoveredSegment)
        return;
    m_snapshot->stored = true;
    m_snapshot->state.clear();
}

std::optional<std::string> Journal::takeObsoleteObject()
{
    auto name = std::move(m_obsoleteObject);
    m_obsoleteObject.reset();
    return name;
}

std::string Journal::segmentKey(std::uint64_t sequence) const
{
    return segmentRowKey(m_shard, sequence);
}

std::string Journal::objectName() const
{
    // The epoch in the name keeps a former owner from overwriting the object of the present one.
    return "snapshot/" + std::to_string(m_shard) + "/"
        + std::to_string(*m_snapshot->lastCoveredSegment) + "."
        + std::to_string(m_confirmedRow.epoch);
}

JournalReader::JournalReader(const OwnedShard &owned)
    : m_shard(owned.shard)
    , m_row(owned.row)
    , m_lastReadSegment(owned.row.snapshot)
{ }

std::string JournalReader::scanPrefix() const
{
    return segmentPrefix(m_shard);
}

std::string JournalReader::scanAfter() const
{
    return segmentRowKey(m_shard, m_lastReadSegment);
}

std::vector<std::string> JournalReader::parseSegments(std::span<const Row> segments)
{
    std::vector<std::string> records;
    for (const Row &row : segments) {
        if (finished())
            return records;
        if (row.key != segmentRowKey(m_shard, m_lastReadSegment + 1))
            break;
        ++m_lastReadSegment;
        m_segmentBytes += row.value.size();
        for (std::size_t n = 0; n < row.value.size();) {
            const std::size_t end = row.value.find('\n', n);
            records.push_back(row.value.substr(n, end - n));
            n = end + 1;
        }
    }
    if (records.empty() && !finished())
        throw Error(ErrorKind::NotFound,
                    "segment " + segmentRowKey(m_shard, m_lastReadSegment + 1)
                        + " is missing from the journal",
                    "take the shard out of service and restore the row from a backup");
    return records;
}

} // namespace savorywick
