#include "savorywick/claims.h"

#include "claimcodec.h"

#include <algorithm>
#include <utility>

namespace savorywick {

namespace {

constexpr std::int64_t timeNotesPerRetention = 64;
constexpr std::size_t claimOverhead = 256; // Bytes of one claim besides its texts, about.

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
    , m_timeAt(now)
{ }

ClaimDecision ClaimLedger::open(const ClaimRequest &request, Instant now,
                                std::vector<std::string> &records)
{
    const auto it = find(request.service, request.key);
    if (it == m_claims.end()) {
        if (m_claims.size() >= m_settings.maxClaims || m_counts.bytes >= m_settings.maxBytes)
            return {ClaimVerdict::Full, {}, {}};
        setOpen(request);
        ClaimRecord record;
        record.kind = ClaimRecordKind::Open;
        record.request = request;
        append(std::move(record), now, records);
        return {ClaimVerdict::Granted, request.requestId, {}};
    }
    const Claim &claim = it->second;
    if (claim.bodyHash != request.bodyHash)
        return {ClaimVerdict::KeyReused, claim.requestId, {}};
    switch (claim.state) {
    case ClaimState::Open:
        return {ClaimVerdict::InFlight, claim.requestId, {}};
    case ClaimState::Finished:
        return {ClaimVerdict::Finished, claim.requestId, claim.answer};
    case ClaimState::Unknown:
        break;
    }
    return {ClaimVerdict::Unknown, claim.requestId, {}};
}

bool ClaimLedger::finish(std::string_view service, std::string_view key, const ClaimAnswer &answer,
                         Instant now, std::vector<std::string> &records)
{
    const auto it = find(service, key);
    if (it == m_claims.end() || it->second.state == ClaimState::Finished)
        return false;
    ClaimRecord record = recordFor(ClaimRecordKind::Finish, it->first);
    record.answer = answer;
    resolve(it, ClaimState::Finished, answer, ledgerTime(now));
    append(std::move(record), now, records);
    return true;
}

bool ClaimLedger::release(std::string_view service, std::string_view key, Instant now,
                          std::vector<std::string> &records)
{
    const auto it = find(service, key);
    if (it == m_claims.end() || it->second.state != ClaimState::Open)
        return false;
    ClaimRecord record = recordFor(ClaimRecordKind::Release, it->first);
    erase(it);
    append(std::move(record), now, records);
    return true;
}

bool ClaimLedger::markUnknown(std::string_view service, std::string_view key, Instant now,
                              std::vector<std::string> &records)
{
    const auto it = find(service, key);
    if (it == m_claims.end() || it->second.state != ClaimState::Open)
        return false;
    ClaimRecord record = recordFor(ClaimRecordKind::Unknown, it->first);
    resolve(it, ClaimState::Unknown, {}, ledgerTime(now));
    append(std::move(record), now, records);
    return true;
}

void ClaimLedger::apply(std::string_view text, Instant now)
{
    const ClaimRecord record = parseClaimRecord(text);
    catchUp(record.time, now);
    if (record.kind == ClaimRecordKind::Open) {
        setOpen(record.request);
        return;
    }
    const auto it = find(record.request.service, record.request.key);
    if (it == m_claims.end())
        return;
    switch (record.kind) {
    case ClaimRecordKind::Finish:
        resolve(it, ClaimState::Finished, record.answer, record.time);
        break;
    case ClaimRecordKind::Unknown:
        resolve(it, ClaimState::Unknown, {}, record.time);
        break;
    case ClaimRecordKind::Release:
    case ClaimRecordKind::Expire:
        erase(it);
        break;
    case ClaimRecordKind::Open:
    case ClaimRecordKind::Time:
        break;
    }
}

void ClaimLedger::takeOver(Instant now, std::vector<std::string> &records)
{
    for (auto it = m_claims.begin(); it != m_claims.end(); ++it) {
        if (it->second.state != ClaimState::Open)
            continue;
        resolve(it, ClaimState::Unknown, {}, ledgerTime(now));
        append(recordFor(ClaimRecordKind::Unknown, it->first), now, records);
    }
}

std::size_t ClaimLedger::expire(Instant now, std::size_t limit, std::vector<std::string> &records)
{
    const Millis time = ledgerTime(now);
    std::size_t expired = 0;
    while (expired < limit && !m_resolved.empty()
           && m_resolved.begin()->at + m_settings.retention <= time) {
        const auto it = m_claims.find(m_resolved.begin()->key);
        ClaimRecord record = recordFor(ClaimRecordKind::Expire, it->first);
        erase(it);
        append(std::move(record), now, records);
        ++expired;
    }
    if (!m_resolved.empty() && time - m_notedTime > m_settings.retention / timeNotesPerRetention)
        append(ClaimRecord{}, now, records);
    return expired;
}

std::string ClaimLedger::snapshot(Instant now) const
{
    return writeClaimSnapshot({ledgerTime(now), m_claims});
}

ClaimLedger ClaimLedger::restore(std::string_view snapshot, ClaimSettings settings, Instant now)
{
    ClaimSnapshot content = parseClaimSnapshot(snapshot);
    ClaimLedger ledger(settings, now);
    ledger.catchUp(content.time, now);
    ledger.m_claims = std::move(content.claims);
    for (const auto &entry : ledger.m_claims)
        ledger.enter(entry);
    return ledger;
}

Millis ClaimLedger::ledgerTime(Instant now) const
{
    return m_time + std::max(Millis{0}, now - m_timeAt);
}

// Moves the ledger's time on to that of a record; it never goes back.
void ClaimLedger::catchUp(Millis time, Instant now)
{
    m_notedTime = std::max(m_notedTime, time);
    if (time <= ledgerTime(now))
        return;
    m_time = time;
    m_timeAt = now;
}

void ClaimLedger::append(ClaimRecord record, Instant now, std::vector<std::string> &records)
{
    record.time = ledgerTime(now);
    m_notedTime = record.time;
    records.push_back(writeClaimRecord(record));
}

ClaimRecord ClaimLedger::recordFor(ClaimRecordKind kind, const ClaimKey &key)
{
    ClaimRecord record;
    record.kind = kind;
    record.request.service = key.service;
    record.request.key = key.key;
    return record;
}

void ClaimLedger::setOpen(const ClaimRequest &request)
{
    Claim claim;
    claim.bodyHash = request.bodyHash;
    claim.requestId = request.requestId;
    const auto [it, isNew] = m_claims.emplace(ClaimKey{request.service, request.key}, claim);
    if (isNew)
        enter(*it);
}

void ClaimLedger::resolve(Claims::iterator it, ClaimState state, ClaimAnswer answer, Millis time)
{
    leave(*it);
    it->second.state = state;
    it->second.answer = std::move(answer);
    it->second.resolvedAt = time;
    enter(*it);
}

void ClaimLedger::erase(Claims::iterator it)
{
    leave(*it);
    m_claims.erase(it);
}

// Counts a claim and, if it is resolved, notes from when on its retention runs.
void ClaimLedger::enter(const Claims::value_type &entry)
{
    ++counter(entry.second.state);
    m_counts.bytes += bytesOf(entry);
    if (entry.second.state != ClaimState::Open)
        m_resolved.insert({entry.second.resolvedAt, entry.first});
}

// Undoes enter(); must be called before the claim changes.
void ClaimLedger::leave(const Claims::value_type &entry)
{
    --counter(entry.second.state);
    m_counts.bytes -= bytesOf(entry);
    if (entry.second.state != ClaimState::Open)
        m_resolved.erase({entry.second.resolvedAt, entry.first});
}

std::size_t &ClaimLedger::counter(ClaimState state)
{
    switch (state) {
    case ClaimState::Finished:
        return m_counts.finished;
    case ClaimState::Unknown:
        return m_counts.unknown;
    case ClaimState::Open:
        break;
    }
    return m_counts.open;
}

std::size_t ClaimLedger::bytesOf(const Claims::value_type &entry)
{
    const auto &[key, claim] = entry;
    return claimOverhead + key.service.size() + key.key.size() + claim.bodyHash.size()
        + claim.requestId.size() + claim.answer.body.size();
}

ClaimLedger::Claims::iterator ClaimLedger::find(std::string_view service, std::string_view key)
{
    return m_claims.find({std::string(service), std::string(key)});
}

} // namespace savorywick
