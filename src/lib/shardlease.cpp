#include "savorywick/shardlease.h"

#include "jsontext.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <json/json.h>
#include <set>

namespace savorywick {

namespace {

constexpr std::string_view entryPrefix = "entry/";
// An entry whose row has not changed for this many renewal intervals is not waited for.
constexpr int maxMissedRenewals = 3;

Json::Value parseObject(std::string_view text)
{
    Json::Value json = internal::parseJsonText(text);
    if (!json.isObject())
        throw Error(ErrorKind::InvalidInput, "the text is no JSON object",
                    "pass the text of one JSON object");
    return json;
}

std::string serializeEntry(std::string_view fields, std::uint64_t heartbeat, bool draining)
{
    Json::Value json = parseObject(fields);
    json["beat"] = Json::UInt64(heartbeat);
    if (draining)
        json["draining"] = true;
    return internal::toJsonText(json);
}

std::uint64_t heartbeatOf(const Row &row)
{
    return row.version == 0 ? 0 : parseObject(row.value)["beat"].asUInt64();
}

// Spreads the entries over the shards, so that their claims conflict less often.
std::size_t firstShardToTry(const std::string &session, int shards)
{
    return std::hash<std::string>{}(session) % static_cast<std::size_t>(shards);
}

} // namespace

ShardLeaseManager::ShardLeaseManager(std::string session, std::string peer,
                                     ShardLeaseSettings settings)
    : m_session(std::move(session))
    , m_peer(std::move(peer))
    , m_settings(settings)
    , m_fields("{}")
    , m_preference(settings.preference)
{ }

void ShardLeaseManager::setEntryFields(std::string_view json)
{
    parseObject(json);
    m_fields = json;
    m_capacity = parseEntryRow(json).capacity;
}

std::optional<Transaction> ShardLeaseManager::nextRenewal(Instant now)
{
    if (m_fenced || m_inFlight || m_needsReadBack)
        return {};
    if (!m_pendingRenewal) {
        if (m_confirmedRenewalSentAt && !m_renewAtOnce
            && now - *m_confirmedRenewalSentAt < m_settings.renewalInterval)
            return {};
        ++m_heartbeat;
        const std::string key = entryKey(m_session);
        const std::string text = serializeEntry(m_fields, m_heartbeat, !m_claiming);
        m_pendingRenewal = Transaction{{{key, m_rowVersion}}, {{key, text}}};
        m_renewalFirstSentAt = now;
        m_renewAtOnce = false;
        m_renewalMayHaveCommitted = false;
    }
    m_inFlight = true;
    return m_pendingRenewal;
}

void ShardLeaseManager::handleRenewalResult(const CommitResult &result, Instant)
{
    m_inFlight = false;
    if (result.outcome == CommitOutcome::Committed)
        confirmRenewal(result.version);
    else if (result.outcome == CommitOutcome::Conflict)
        m_needsReadBack = true;
    else if (result.outcome == CommitOutcome::Unknown)
        m_renewalMayHaveCommitted = true;
    else if (!m_renewalMayHaveCommitted)
        m_pendingRenewal.reset();
}

void ShardLeaseManager::handleReadBack(const Row &ownRow, Instant)
{
    m_needsReadBack = false;
    if (ownRow.version != 0 && heartbeatOf(ownRow) == m_heartbeat)
        confirmRenewal(ownRow.version);
    else
        m_fenced = true;
}

void ShardLeaseManager::confirmRenewal(std::uint64_t version)
{
    m_rowVersion = version;
    m_confirmedRenewalSentAt = m_renewalFirstSentAt;
    m_pendingRenewal.reset();
}

bool ShardLeaseManager::holdsLease(Instant now) const
{
    return now < leaseValidUntil();
}

Instant ShardLeaseManager::leaseValidUntil() const
{
    if (m_fenced || !m_confirmedRenewalSentAt)
        return Instant{};
    return *m_confirmedRenewalSentAt + (m_settings.term - m_settings.clockDriftMargin);
}

void ShardLeaseManager::observe(std::span<const Row> entries, std::span<const Row> shards,
                                Instant now, bool inconclusive)
{
    const Millis maxGap = m_settings.renewalInterval * 2;
    const bool restart = inconclusive || !m_lastObservedAt || now - *m_lastObservedAt > maxGap;
    m_lastObservedAt = now;

    observeEntries(entries, restart, inconclusive, now);

    m_shardRows.clear();
    for (const Row &row : shards) {
        const int shard = parseShardKey(row.key);
        if (shard >= 0 && shard < m_settings.shardCount)
            m_shardRows[shard] = {shard, parseShardRow(row), row.version};
    }
    for (int shard = 0; shard < m_settings.shardCount; ++shard)
        m_preference.observeShard(shard, isOwnerless(observedShard(shard)), now);
}

// An entry that renewed during a gap in the observations of this one is taken to have been steady:
// an owner that is too loaded to observe regularly is the one that should hand its shards over.
void ShardLeaseManager::observeEntries(std::span<const Row> entries, bool restart,
                                       bool inconclusive, Instant now)
{
    const Millis maxSteadyGap = m_settings.renewalInterval * maxMissedRenewals;
    std::map<std::string, ObservedEntry> seen;
    for (const Row &row : entries) {
        const std::string session = row.key.substr(entryPrefix.size());
        const auto known = m_entries.find(session);
        const bool isNew = known == m_entries.end();
        if (!isNew && !restart && known->second.version == row.version) {
            seen[session] = known->second;
            continue;
        }
        const bool changed = !isNew && known->second.version != row.version;
        const bool steady =
            changed && (restart || now - known->second.unchangedSince < maxSteadyGap);
        const bool countsAsChanged = isNew || changed || inconclusive;
        seen[session] = {row.version, now, countsAsChanged ? now : known->second.lastChangeSeenAt,
                         steady ? known->second.steadySince : now, parseEntryRow(row.value)};
    }
    m_entries = std::move(seen);
}

OwnedShard ShardLeaseManager::observedShard(int shard) const
{
    const auto it = m_shardRows.find(shard);
    return it == m_shardRows.end() ? OwnedShard{shard, {}, 0} : it->second;
}

std::map<std::string, std::size_t> ShardLeaseManager::shardCounts() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[shard, seen] : m_shardRows)
        ++counts[seen.row.owner];
    return counts;
}

std::vector<StrongerEntry> ShardLeaseManager::strongerEntries(Instant now) const
{
    std::vector<StrongerEntry> stronger;
    std::map<std::string, std::size_t> counts = shardCounts();
    const Millis maxAge = m_settings.renewalInterval * maxMissedRenewals;
    for (const auto &[session, it] : m_entries) {
        const bool isLive = !it.row.draining && now - it.unchangedSince < maxAge;
        if (isLive && clearlyExceeds(it.row.capacity, m_capacity) && counts[session] < maxShards())
            stronger.push_back({session, it.row.capacity, it.steadySince});
    }
    return stronger;
}

std::vector<EntryRow> ShardLeaseManager::livePeers(Instant now) const
{
    std::vector<EntryRow> live;
    const Millis maxAge = m_settings.renewalInterval * maxMissedRenewals;
    for (const auto &[session, it] : m_entries) {
        const bool isOther = session != m_session && !isEarlierSession(session);
        if (isOther && !it.row.draining && now - it.lastChangeSeenAt < maxAge)
            live.push_back(it.row);
    }
    return live;
}

bool ShardLeaseManager::hasEarlierSession() const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [this](const auto &it) {
        return it.first != m_session && isEarlierSession(it.first);
    });
}

std::vector<Transaction> ShardLeaseManager::expiryTransactions(Instant now) const
{
    std::vector<Transaction> all;
    for (const auto &[session, observed] : m_entries) {
        const bool expired =
            now - observed.unchangedSince >= m_settings.term + m_settings.clockDriftMargin;
        if (session == m_session || !(expired || isEarlierSession(session)))
            continue;
        const std::string key = entryKey(session);
        all.push_back({{{key, observed.version}}, {{key, std::nullopt}}});
    }
    return all;
}

// Only one process runs under an entry's name, so an earlier session of that name is over.
bool ShardLeaseManager::isEarlierSession(const std::string &session) const
{
    const std::size_t dot = m_session.rfind('.');
    return dot != std::string::npos && session.rfind('.') == dot
        && session.compare(0, dot, m_session, 0, dot) == 0;
}

bool ShardLeaseManager::isOwnerless(const OwnedShard &seen) const
{
    const std::string &owner = seen.row.owner;
    return owner.empty() || (owner != m_session && !m_entries.contains(owner));
}

bool ShardLeaseManager::isClaimable(const OwnedShard &seen) const
{
    if (m_owned.contains(seen.shard) || m_pendingClaims.contains(seen.shard))
        return false;
    return seen.row.owner == m_session || isOwnerless(seen);
}

std::vector<ShardClaim> ShardLeaseManager::claimFreeShards(Instant now)
{
    std::vector<ShardClaim> all;
    if (!holdsLease(now) || !m_claiming || !m_lastObservedAt)
        return all;
    const std::size_t limit = maxShards();
    const std::size_t first = firstShardToTry(m_session, m_settings.shardCount);
    const std::vector<StrongerEntry> stronger = strongerEntries(now);
    for (int n = 0; n < m_settings.shardCount; ++n) {
        const int shard = (static_cast<int>(first) + n) % m_settings.shardCount;
        const OwnedShard seen = observedShard(shard);
        // A shard whose row names this session (the reply to its claim was lost) is claimed even
        // beyond the limit: no other entry can claim it while this session lives.
        const bool isOwn = seen.row.owner == m_session;
        const bool room = m_owned.size() + m_pendingClaims.size() < limit;
        if (!isClaimable(seen) || !(isOwn || (room && mayClaim(shard, stronger, now))))
            continue;
        m_preference.noteClaim(shard, stronger, now);
        all.push_back(makeClaim(seen));
    }
    return all;
}

// An entry claims its equal share of the shards whatever its capacity.
bool ShardLeaseManager::mayClaim(int shard, std::span<const StrongerEntry> stronger,
                                 Instant now) const
{
    return m_owned.size() + m_pendingClaims.size() < minShards()
        || !m_preference.deferral(shard, stronger, now);
}

std::vector<ClaimDeferral> ShardLeaseManager::claimDeferrals(Instant now) const
{
    std::vector<ClaimDeferral> all;
    const std::size_t claimed = m_owned.size() + m_pendingClaims.size();
    if (!holdsLease(now) || !m_claiming || claimed < minShards() || claimed >= maxShards())
        return all;
    const std::vector<StrongerEntry> stronger = strongerEntries(now);
    for (int shard = 0; shard < m_settings.shardCount; ++shard) {
        const auto deferral = m_preference.deferral(shard, stronger, now);
        if (deferral && isClaimable(observedShard(shard)))
            all.push_back(*deferral);
    }
    return all;
}

ShardClaim ShardLeaseManager::makeClaim(const OwnedShard &seen)
{
    ShardClaim claim{seen, {}};
    claim.owned.version = 0;
    claim.owned.row.owner = m_session;
    claim.owned.row.peer = m_peer;
    claim.owned.row.epoch = seen.row.epoch + 1;
    claim.owned.row.commit = m_session + ":claim:" + std::to_string(++m_claimCount);
    Transaction &t = claim.transaction;
    t.conditions.push_back({shardKey(seen.shard), seen.version});
    t.writes.push_back({shardKey(seen.shard), serializeShardRow(claim.owned.row)});
    m_pendingClaims.insert(seen.shard);
    return claim;
}

std::optional<OwnedShard> ShardLeaseManager::handleClaimResult(const ShardClaim &claim,
                                                               const CommitResult &result)
{
    m_pendingClaims.erase(claim.owned.shard);
    if (result.outcome != CommitOutcome::Committed)
        return {};
    OwnedShard owned = claim.owned;
    owned.version = result.version;
    m_owned[owned.shard] = owned.row.epoch;
    m_preference.noteClaimCommitted(owned.shard);
    return owned;
}

std::optional<OwnedShard> ShardLeaseManager::handleClaimReadBack(const ShardClaim &claim,
                                                                 const Row &shardRow)
{
    if (parseShardRow(shardRow).commit != claim.owned.row.commit)
        return {};
    return handleClaimResult(claim, {CommitOutcome::Committed, shardRow.version});
}

std::vector<int> ShardLeaseManager::shardsToRelease(Instant now)
{
    std::vector<int> all;
    if (!holdsLease(now))
        return all;
    // All shards beyond the limit are released at once, but only one at a time for an entry that
    // has too few.
    const std::size_t limit = maxShards();
    std::size_t excess = m_owned.size() > limit ? m_owned.size() - limit : 0;
    if (excess == 0 && m_owned.size() > minShards() && anotherEntryHasTooFew())
        excess = 1;
    for (auto it = m_owned.rbegin(); all.size() < excess; ++it)
        all.push_back(it->first);
    if (excess == 0 && m_owned.size() > minShards()
        && m_preference.handover(m_owned.rbegin()->first, strongerEntries(now), now))
        all.push_back(m_owned.rbegin()->first);
    return all;
}

std::optional<ShardHandover> ShardLeaseManager::handoverOf(int shard) const
{
    return m_preference.pendingHandover(shard);
}

bool ShardLeaseManager::anotherEntryHasTooFew() const
{
    std::map<std::string, std::size_t> counts = shardCounts();
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &it) {
        return it.first != m_session && counts[it.first] < minShards();
    });
}

void ShardLeaseManager::forgetShard(int shard)
{
    m_owned.erase(shard);
    m_preference.noteReleased(shard);
}

void ShardLeaseManager::stopClaiming()
{
    m_renewAtOnce = m_renewAtOnce || m_claiming;
    m_claiming = false;
}

Transaction ShardLeaseManager::endSessionTransaction() const
{
    const std::string key = entryKey(m_session);
    return {{{key, m_rowVersion}}, {{key, std::nullopt}}};
}

std::vector<int> ShardLeaseManager::ownedShards() const
{
    std::vector<int> all;
    for (const auto &[shard, epoch] : m_owned)
        all.push_back(shard);
    return all;
}

std::size_t ShardLeaseManager::liveEntries() const
{
    return m_entries.size() + (m_entries.contains(m_session) ? 0 : 1);
}

std::size_t ShardLeaseManager::maxShards() const
{
    const std::size_t live = liveEntries();
    return (static_cast<std::size_t>(m_settings.shardCount) + live - 1) / live;
}

std::size_t ShardLeaseManager::minShards() const
{
    return static_cast<std::size_t>(m_settings.shardCount) / liveEntries();
}

} // namespace savorywick
