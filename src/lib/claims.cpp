#include "savorywick/claims.h"

#include "claimcodec.h"

#include <algorithm>
#include <utility>

namespace savorywick {

namespace {

// The logical time is recorded at least each such part of the retention at which expire() is
// called. The time that passed since the last record is lost with the owner, so a key may be kept
// longer.
constexpr std::int64_t timeRecordsPerRetention = 64;
constexpr std::size_t claimOverheadBytes = 256; // Approximate memory of a claim besides its texts.

} // namespace

std::string_view toString(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Granted:
        return "granted";
    case ClaimVerdict::Finished:
        return "finished";
    case ClaimVerdict::InFlight:
        return "in-flight";
    case ClaimVerdict::Unknown:
        return "unknown";
    case ClaimVerdict::KeyReused:
        return "key-reused";
    case ClaimVerdict::Full:
        return "full";
    }
    return "unnamed";
}

ClaimLedger::ClaimLedger(ClaimSettings settings, Instant now)
    : m_settings(settings)
    , m_logicalTimeAsOf(now)
{ }

ClaimDecision ClaimLedger::open(const ClaimRequest &request, Instant now,
                                std::vector<std::string> &records)
{
    const auto it = find(request.service, request.key);
    if (it == m_claims.end()) {
        if (m_claims.size() >= m_settings.maxClaims || m_counts.bytes >= m_settings.maxBytes)
            return {ClaimVerdict::Full, {}, {}};
        insertOpen(request);
        IdempotencyRecord record;
        record.kind = IdempotencyRecordKind::Open;
        record.request = request;
        appendRecord(std::move(record), now, records);
        return {ClaimVerdict::Granted, request.requestId, {}};
    }
    const IdempotencyClaim &claim = it->second;
    if (claim.bodyHash != request.bodyHash)
        return {ClaimVerdict::KeyReused, claim.requestId, {}};
    switch (claim.state) {
    case IdempotencyState::Open:
        return {ClaimVerdict::InFlight, claim.requestId, {}};
    case IdempotencyState::Finished:
        return {ClaimVerdict::Finished, claim.requestId, claim.response};
    case IdempotencyState::Unknown:
        break;
    }
    return {ClaimVerdict::Unknown, claim.requestId, {}};
}

bool ClaimLedger::finish(std::string_view service, std::string_view key,
                         const ClaimAnswer &response, Instant now,
                         std::vector<std::string> &records)
{
    const auto it = find(service, key);
    if (it == m_claims.end() || it->second.state == IdempotencyState::Finished)
        return false;
    IdempotencyRecord record = makeRecord(IdempotencyRecordKind::Finish, it->first);
    record.response = response;
    resolve(it, IdempotencyState::Finished, response, logicalTime(now));
    appendRecord(std::move(record), now, records);
    return true;
}

bool ClaimLedger::release(std::string_view service, std::string_view key, Instant now,
                          std::vector<std::string> &records)
{
    const auto it = find(service, key);
    if (it == m_claims.end() || it->second.state != IdempotencyState::Open)
        return false;
    IdempotencyRecord record = makeRecord(IdempotencyRecordKind::Release, it->first);
    erase(it);
    appendRecord(std::move(record), now, records);
    return true;
}

bool ClaimLedger::markUnknown(std::string_view service, std::string_view key, Instant now,
                              std::vector<std::string> &records)
{
    const auto it = find(service, key);
    if (it == m_claims.end() || it->second.state != IdempotencyState::Open)
        return false;
    IdempotencyRecord record = makeRecord(IdempotencyRecordKind::Unknown, it->first);
    resolve(it, IdempotencyState::Unknown, {}, logicalTime(now));
    appendRecord(std::move(record), now, records);
    return true;
}

void ClaimLedger::apply(std::string_view text, Instant now)
{
    const IdempotencyRecord record = parseIdempotencyRecord(text);
    advanceLogicalTime(record.time, now);
    if (record.kind == IdempotencyRecordKind::Open) {
        insertOpen(record.request);
        return;
    }
    const auto it = find(record.request.service, record.request.key);
    if (it == m_claims.end())
        return;
    switch (record.kind) {
    case IdempotencyRecordKind::Finish:
        resolve(it, IdempotencyState::Finished, record.response, record.time);
        break;
    case IdempotencyRecordKind::Unknown:
        resolve(it, IdempotencyState::Unknown, {}, record.time);
        break;
    case IdempotencyRecordKind::Release:
    case IdempotencyRecordKind::Expire:
        erase(it);
        break;
    case IdempotencyRecordKind::Open:
    case IdempotencyRecordKind::Time:
        break;
    }
}

void ClaimLedger::takeOver(Instant now, std::vector<std::string> &records)
{
    for (auto it = m_claims.begin(); it != m_claims.end(); ++it) {
        if (it->second.state != IdempotencyState::Open)
            continue;
        resolve(it, IdempotencyState::Unknown, {}, logicalTime(now));
        appendRecord(makeRecord(IdempotencyRecordKind::Unknown, it->first), now, records);
    }
}

std::size_t ClaimLedger::expire(Instant now, std::size_t limit, std::vector<std::string> &records)
{
    const Millis time = logicalTime(now);
    std::size_t expired = 0;
    while (expired < limit && !m_resolved.empty()
           && m_resolved.begin()->at + m_settings.retention <= time) {
        const auto it = m_claims.find(m_resolved.begin()->key);
        IdempotencyRecord record = makeRecord(IdempotencyRecordKind::Expire, it->first);
        erase(it);
        appendRecord(std::move(record), now, records);
        ++expired;
    }
    if (!m_resolved.empty()
        && time - m_recordedTime > m_settings.retention / timeRecordsPerRetention)
        appendRecord(IdempotencyRecord{}, now, records);
    return expired;
}

std::string ClaimLedger::snapshot(Instant now) const
{
    return serializeIdempotencySnapshot({logicalTime(now), m_claims});
}

ClaimLedger ClaimLedger::restore(std::string_view snapshot, ClaimSettings settings, Instant now)
{
    IdempotencySnapshot content = parseIdempotencySnapshot(snapshot);
    ClaimLedger registry(settings, now);
    registry.advanceLogicalTime(content.time, now);
    registry.m_claims = std::move(content.claims);
    for (const auto &entry : registry.m_claims)
        registry.addToIndexes(entry);
    return registry;
}

Millis ClaimLedger::logicalTime(Instant now) const
{
    return m_logicalTime + std::max(Millis{0}, now - m_logicalTimeAsOf);
}

// Advances the logical time to that of a record. It never goes back.
void ClaimLedger::advanceLogicalTime(Millis time, Instant now)
{
    m_recordedTime = std::max(m_recordedTime, time);
    if (time <= logicalTime(now))
        return;
    m_logicalTime = time;
    m_logicalTimeAsOf = now;
}

void ClaimLedger::appendRecord(IdempotencyRecord record, Instant now,
                               std::vector<std::string> &records)
{
    record.time = logicalTime(now);
    m_recordedTime = record.time;
    records.push_back(serializeIdempotencyRecord(record));
}

IdempotencyRecord ClaimLedger::makeRecord(IdempotencyRecordKind kind, const ClaimKey &key)
{
    IdempotencyRecord record;
    record.kind = kind;
    record.request.service = key.service;
    record.request.key = key.key;
    return record;
}

void ClaimLedger::insertOpen(const ClaimRequest &request)
{
    IdempotencyClaim claim;
    claim.bodyHash = request.bodyHash;
    claim.requestId = request.requestId;
    const auto [it, isNew] = m_claims.emplace(ClaimKey{request.service, request.key}, claim);
    if (isNew)
        addToIndexes(*it);
}

void ClaimLedger::resolve(Claims::iterator it, IdempotencyState state, ClaimAnswer response,
                          Millis time)
{
    removeFromIndexes(*it);
    it->second.state = state;
    it->second.response = std::move(response);
    it->second.resolvedAt = time;
    addToIndexes(*it);
}

void ClaimLedger::erase(Claims::iterator it)
{
    removeFromIndexes(*it);
    m_claims.erase(it);
}

// Adds a claim to the counts and, if it is resolved, to the order of retention.
void ClaimLedger::addToIndexes(const Claims::value_type &entry)
{
    ++counter(entry.second.state);
    m_counts.bytes += bytesOf(entry);
    if (entry.second.state != IdempotencyState::Open)
        m_resolved.insert({entry.second.resolvedAt, entry.first});
}

// Undoes addToIndexes(). Must be called before the claim changes, since its key in the order of
// retention depends on its fields.
void ClaimLedger::removeFromIndexes(const Claims::value_type &entry)
{
    --counter(entry.second.state);
    m_counts.bytes -= bytesOf(entry);
    if (entry.second.state != IdempotencyState::Open)
        m_resolved.erase({entry.second.resolvedAt, entry.first});
}

std::size_t &ClaimLedger::counter(IdempotencyState state)
{
    switch (state) {
    case IdempotencyState::Finished:
        return m_counts.finished;
    case IdempotencyState::Unknown:
        return m_counts.unknown;
    case IdempotencyState::Open:
        break;
    }
    return m_counts.open;
}

std::size_t ClaimLedger::bytesOf(const Claims::value_type &entry)
{
    const auto &[key, claim] = entry;
    return claimOverheadBytes + key.service.size() + key.key.size() + claim.bodyHash.size()
        + claim.requestId.size() + claim.response.body.size();
}

ClaimLedger::Claims::iterator ClaimLedger::find(std::string_view service, std::string_view key)
{
    return m_claims.find({std::string(service), std::string(key)});
}

} // namespace savorywick
