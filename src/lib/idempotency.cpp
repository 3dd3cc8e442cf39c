#include "savorywick/idempotency.h"

#include "idempotencycodec.h"

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

std::string_view toString(IdempotencyOutcome verdict)
{
    switch (verdict) {
    case IdempotencyOutcome::Granted:
        return "granted";
    case IdempotencyOutcome::Finished:
        return "finished";
    case IdempotencyOutcome::InFlight:
        return "in-flight";
    case IdempotencyOutcome::Unknown:
        return "unknown";
    case IdempotencyOutcome::KeyReused:
        return "key-reused";
    case IdempotencyOutcome::Full:
        return "full";
    }
    return "unnamed";
}

IdempotencyRegistry::IdempotencyRegistry(IdempotencySettings settings, Instant now)
    : m_settings(settings)
    , m_logicalTimeAsOf(now)
{ }

IdempotencyResult IdempotencyRegistry::open(const KeyedRequest &request, Instant now,
                                            std::vector<std::string> &records)
{
    const auto it = find(request.service, request.key);
    if (it == m_claims.end()) {
        if (m_claims.size() >= m_settings.maxClaims || m_counts.bytes >= m_settings.maxBytes)
            return {IdempotencyOutcome::Full, {}, {}};
        insertOpen(request);
        IdempotencyRecord record;
        record.kind = IdempotencyRecordKind::Open;
        record.request = request;
        appendRecord(std::move(record), now, records);
        return {IdempotencyOutcome::Granted, request.requestId, {}};
    }
    const IdempotencyClaim &claim = it->second;
    if (claim.bodyHash != request.bodyHash)
        return {IdempotencyOutcome::KeyReused, claim.requestId, {}};
    switch (claim.state) {
    case IdempotencyState::Open:
        return {IdempotencyOutcome::InFlight, claim.requestId, {}};
    case IdempotencyState::Finished:
        return {IdempotencyOutcome::Finished, claim.requestId, claim.response};
    case IdempotencyState::Unknown:
        break;
    }
    return {IdempotencyOutcome::Unknown, claim.requestId, {}};
}

bool IdempotencyRegistry::finish(std::string_view service, std::string_view key,
                                 const StoredResponse &response, Instant now,
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

bool IdempotencyRegistry::release(std::string_view service, std::string_view key, Instant now,
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

bool IdempotencyRegistry::markUnknown(std::string_view service, std::string_view key, Instant now,
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

void IdempotencyRegistry::apply(std::string_view text, Instant now)
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

void IdempotencyRegistry::takeOver(Instant now, std::vector<std::string> &records)
{
    for (auto it = m_claims.begin(); it != m_claims.end(); ++it) {
        if (it->second.state != IdempotencyState::Open)
            continue;
        resolve(it, IdempotencyState::Unknown, {}, logicalTime(now));
        appendRecord(makeRecord(IdempotencyRecordKind::Unknown, it->first), now, records);
    }
}

std::size_t IdempotencyRegistry::expire(Instant now, std::size_t limit,
                                        std::vector<std::string> &records)
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

std::string IdempotencyRegistry::snapshot(Instant now) const
{
    return serializeIdempotencySnapshot({logicalTime(now), m_claims});
}

IdempotencyRegistry IdempotencyRegistry::restore(std::string_view snapshot,
                                                 IdempotencySettings settings, Instant now)
{
    IdempotencySnapshot content = parseIdempotencySnapshot(snapshot);
    IdempotencyRegistry registry(settings, now);
    registry.advanceLogicalTime(content.time, now);
    registry.m_claims = std::move(content.claims);
    for (const auto &entry : registry.m_claims)
        registry.addToIndexes(entry);
    return registry;
}

Millis IdempotencyRegistry::logicalTime(Instant now) const
{
    return m_logicalTime + std::max(Millis{0}, now - m_logicalTimeAsOf);
}

// Advances the logical time to that of a record. It never goes back.
void IdempotencyRegistry::advanceLogicalTime(Millis time, Instant now)
{
    m_recordedTime = std::max(m_recordedTime, time);
    if (time <= logicalTime(now))
        return;
    m_logicalTime = time;
    m_logicalTimeAsOf = now;
}

void IdempotencyRegistry::appendRecord(IdempotencyRecord record, Instant now,
                                       std::vector<std::string> &records)
{
    record.time = logicalTime(now);
    m_recordedTime = record.time;
    records.push_back(serializeIdempotencyRecord(record));
}

IdempotencyRecord IdempotencyRegistry::makeRecord(IdempotencyRecordKind kind,
                                                  const IdempotencyKey &key)
{
    IdempotencyRecord record;
    record.kind = kind;
    record.request.service = key.service;
    record.request.key = key.key;
    return record;
}

void IdempotencyRegistry::insertOpen(const KeyedRequest &request)
{
    IdempotencyClaim claim;
    claim.bodyHash = request.bodyHash;
    claim.requestId = request.requestId;
    const auto [it, isNew] = m_claims.emplace(IdempotencyKey{request.service, request.key}, claim);
    if (isNew)
        addToIndexes(*it);
}

void IdempotencyRegistry::resolve(Claims::iterator it, IdempotencyState state,
                                  StoredResponse response, Millis time)
{
    removeFromIndexes(*it);
    it->second.state = state;
    it->second.response = std::move(response);
    it->second.resolvedAt = time;
    addToIndexes(*it);
}

void IdempotencyRegistry::erase(Claims::iterator it)
{
    removeFromIndexes(*it);
    m_claims.erase(it);
}

// Adds a claim to the counts and, if it is resolved, to the order of retention.
void IdempotencyRegistry::addToIndexes(const Claims::value_type &entry)
{
    ++counter(entry.second.state);
    m_counts.bytes += bytesOf(entry);
    if (entry.second.state != IdempotencyState::Open)
        m_resolved.insert({entry.second.resolvedAt, entry.first});
}

// Undoes addToIndexes(). Must be called before the claim changes, since its key in the order of
// retention depends on its fields.
void IdempotencyRegistry::removeFromIndexes(const Claims::value_type &entry)
{
    --counter(entry.second.state);
    m_counts.bytes -= bytesOf(entry);
    if (entry.second.state != IdempotencyState::Open)
        m_resolved.erase({entry.second.resolvedAt, entry.first});
}

std::size_t &IdempotencyRegistry::counter(IdempotencyState state)
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

std::size_t IdempotencyRegistry::bytesOf(const Claims::value_type &entry)
{
    const auto &[key, claim] = entry;
    return claimOverheadBytes + key.service.size() + key.key.size() + claim.bodyHash.size()
        + claim.requestId.size() + claim.response.body.size();
}

IdempotencyRegistry::Claims::iterator IdempotencyRegistry::find(std::string_view service,
                                                                std::string_view key)
{
    return m_claims.find({std::string(service), std::string(key)});
}

} // namespace savorywick
