#include "node/ownership.h"

#include "core/hash.h"
#include "core/log.h"
#include "savorywick/errors.h"

#include <json/json.h>

#include <algorithm>
#include <utility>

namespace savorywick {

namespace {

constexpr int sessionDigits = 8;
constexpr std::size_t rowsPerScan = 500;
constexpr int roundTripWeight = 4; // One part in so many of the smoothed value is the newest.

std::string peerField(const std::string &peer)
{
    Json::Value json;
    json["peer"] = peer;
    return Json::writeString(Json::StreamWriterBuilder(), json);
}

// Returns the address in an entry's row; empty if the row holds none.
std::string peerOf(const Row &row)
{
    Json::Value json;
    std::string faults;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    const char *begin = row.value.data();
    if (!reader->parse(begin, begin + row.value.size(), &json, &faults) || !json.isObject()) {
        logWarning("entry-row-unreadable", {{"key", row.key}, {"why", faults}});
        return {};
    }
    return json["peer"].isString() ? json["peer"].asString() : std::string();
}

} // namespace

Ownership::Ownership(const OwnershipSettings &settings, EventLoop &loop, const Clock &clock,
                     AsyncTable &table, std::string entry, std::string peer, Listeners listeners)
    : m_settings(settings)
    , m_loop(loop)
    , m_clock(clock)
    , m_table(table)
    , m_entry(std::move(entry))
    , m_peer(std::move(peer))
    , m_listeners(std::move(listeners))
{
    newSession();
}

Ownership::~Ownership() = default;

void Ownership::newSession()
{
    m_keeper = std::make_unique<ShardLeaseManager>(m_entry + "." + randomDigits(sessionDigits),
                                                   m_peer, m_settings.lease);
    m_keeper->setEntryFields(peerField(m_peer));
    if (m_draining)
        m_keeper->stopClaiming();
    m_life = std::make_shared<int>(0);
    m_observing = false;
    m_readingOwnRow = false;
    m_claimPending = false;
    logInfo("session-begins", {{"session", m_keeper->session()}});
}

void Ownership::start()
{
    step();
}

void Ownership::step()
{
    if (m_keeper->fenced()) {
        logWarning("session-expired", {{"session", m_keeper->session()}});
        m_listeners.sessionOver();
        newSession();
    }
    renew();
    if (m_clock.now() >= m_nextObservation)
        observe();
    m_loop.after(m_settings.stepEvery, [this] { step(); });
}

void Ownership::renew()
{
    readOwnRow();
    const Instant sentAt = m_clock.now();
    const auto t = m_keeper->nextRenewal(sentAt);
    if (!t)
        return;
    m_table.commit(*t, [this, sentAt, alive = std::weak_ptr<int>(m_life)](const auto &result) {
        if (alive.expired())
            return;
        if (result.outcome == CommitOutcome::Committed)
            noteRoundTrip(m_clock.now() - sentAt);
        m_keeper->handleRenewalResult(result, m_clock.now());
        readOwnRow();
    });
}

void Ownership::noteRoundTrip(Millis taken)
{
    m_roundTrip = m_roundTrip == Millis{0}
        ? taken
        : (m_roundTrip * (roundTripWeight - 1) + taken) / roundTripWeight;
}

void Ownership::readOwnRow()
{
    if (m_readingOwnRow || !m_keeper->needsReadBack())
        return;
    m_readingOwnRow = true;
    m_table.read({entryKey(m_keeper->session())},
                 [this, alive = std::weak_ptr<int>(m_life)](const auto &rows) {
                     if (alive.expired())
                         return;
                     m_readingOwnRow = false;
                     if (rows)
                         m_keeper->handleReadBack(rows->front(), m_clock.now());
                 });
}

void Ownership::observeSoon()
{
    if (m_observing)
        m_observeAgain = true;
    else
        observe();
}

void Ownership::observe()
{
    if (m_observing)
        return;
    m_observing = true;
    m_nextObservation = m_clock.now() + m_settings.observeEvery;
    std::vector<std::string> keys;
    keys.reserve(static_cast<std::size_t>(m_settings.lease.shardCount));
    for (int shard = 0; shard < m_settings.lease.shardCount; ++shard)
        keys.push_back(shardKey(shard));
    // The shards first: see LeaseKeeper::observe().
    const std::weak_ptr<int> alive = m_life;
    m_table.read(keys, [this, alive](const auto &shards) {
        if (alive.expired())
            return;
        if (!shards) {
            m_observing = false;
            return;
        }
        m_table.scan("entry/", "", rowsPerScan, [this, alive, shards = *shards](const auto &rows) {
            if (alive.expired())
                return;
            m_observing = false;
            if (rows)
                takeRows(shards, *rows);
        });
    });
}

void Ownership::takeRows(const std::vector<Row> &shards, const std::vector<Row> &entries)
{
    m_observedAt = m_clock.now();
    std::vector<Row> present;
    for (const Row &row : shards) {
        m_owners[parseShardKey(row.key)] = parseShardRow(row);
        if (row.version != 0)
            present.push_back(row);
    }
    m_otherPeers.clear();
    for (const Row &row : entries) {
        const std::string peer = peerOf(row);
        if (!peer.empty() && peer != m_peer)
            m_otherPeers.push_back(peer);
    }
    m_keeper->observe(entries, present, *m_observedAt);
    expireOthers();
    claimAfterDelay();
    releaseExcess();
    if (std::exchange(m_observeAgain, false))
        observe();
}

void Ownership::expireOthers()
{
    for (const Transaction &t : m_keeper->expiryTransactions(m_clock.now())) {
        const std::string key = t.conditions.front().key;
        m_table.commit(t, [this, key, alive = std::weak_ptr<int>(m_life)](const auto &result) {
            if (alive.expired() || result.outcome != CommitOutcome::Committed)
                return;
            logInfo("entry-expired", {{"row", key}});
            observeSoon();
        });
    }
}

void Ownership::claimAfterDelay()
{
    if (m_claimPending || m_draining)
        return;
    m_claimPending = true;
    const Millis delay =
        std::min(m_roundTrip * m_settings.claimDelayRoundTrips, m_settings.longestClaimDelay);
    m_loop.after(delay, [this, alive = std::weak_ptr<int>(m_life)] {
        if (alive.expired())
            return;
        m_claimPending = false;
        claim();
    });
}

void Ownership::claim()
{
    for (const ShardClaim &it : m_keeper->claimFreeShards(m_clock.now())) {
        m_table.commit(it.transaction,
                       [this, it, alive = std::weak_ptr<int>(m_life)](const auto &result) {
                           if (!alive.expired())
                               claimEnded(it, result);
                       });
    }
}

void Ownership::claimEnded(const ShardClaim &claim, const CommitResult &result)
{
    const auto owned = m_keeper->handleClaimResult(claim, result);
    if (!owned)
        return observeSoon();
    m_owners[owned->shard] = owned->row;
    m_listeners.taken(*owned);
    if (m_draining)
        m_listeners.mustRelease(owned->shard);
}

void Ownership::releaseExcess()
{
    if (m_draining)
        return;
    for (const int shard : m_keeper->shardsToRelease(m_clock.now()))
        m_listeners.mustRelease(shard);
}

std::optional<ShardOwner> Ownership::ownerOf(int shard) const
{
    const auto it = m_owners.find(shard);
    if (it == m_owners.end() || it->second.owner.empty())
        return {};
    return ShardOwner{it->second.peer, it->second.owner == m_keeper->session()};
}

std::vector<std::string> Ownership::otherPeers() const
{
    return m_otherPeers;
}

void Ownership::shardOver(int shard)
{
    m_keeper->forgetShard(shard);
    m_owners.erase(shard);
    observeSoon();
}

void Ownership::drain()
{
    m_draining = true;
    m_keeper->stopClaiming();
    for (const int shard : m_keeper->ownedShards())
        m_listeners.mustRelease(shard);
}

void Ownership::farewell(std::function<void()> done)
{
    m_table.commit(m_keeper->endSessionTransaction(),
                   [done = std::move(done)](const CommitResult &) { done(); });
}

} // namespace savorywick
