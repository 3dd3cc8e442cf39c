#include "node/ownership.h"

#include "core/hash.h"
#include "core/log.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <utility>

namespace savorywick {

namespace {

constexpr int sessionSuffixDigits = 8;
constexpr std::size_t rowsPerScan = 500;
constexpr int roundTripSmoothing = 4; // The newest sample weighs one part in this many.

} // namespace

Ownership::Ownership(const OwnershipSettings &settings, EventLoop &loop, const Clock &clock,
                     AsyncTable &table, std::string entry, std::string peer, Listeners listeners)
    : m_settings(settings)
    , m_loop(loop)
    , m_clock(clock)
    , m_table(table)
    , m_entryName(std::move(entry))
    , m_peerAddress(std::move(peer))
    , m_listeners(std::move(listeners))
    , m_shardCount(settings.lease.shardCount)
    , m_candidates(settings.candidates, m_peerAddress, settings.capacity, clock.now())
    , m_rejection(settings.rejection)
{
    m_settings.lease.shardCount = std::max(m_shardCount, 1);
    beginSession();
}

Ownership::~Ownership() = default;

void Ownership::beginSession()
{
    m_leaseManager = std::make_unique<ShardLeaseManager>(
        m_entryName + "." + randomHexDigits(sessionSuffixDigits), m_peerAddress, m_settings.lease);
    m_leaseManager->setEntryFields(serializeEntryFields(m_peerAddress, m_settings.capacity));
    if (m_draining)
        m_leaseManager->stopClaiming();
    m_sessionToken = std::make_shared<int>(0);
    m_observing = false;
    m_readingOwnRow = false;
    m_claimPending = false;
    m_deferredClaimPending = false;
    m_isCandidate = false;
}

void Ownership::setShardCount(int shards)
{
    m_shardCount = shards;
    m_settings.lease.shardCount = shards;
    m_leaseManager->setShardCount(shards);
    logInfo("shard-count-agreed", {{"shards", shards}});
    m_listeners.shardCountAgreed();
}

void Ownership::proposeShardCount(int shards)
{
    if (m_shardCount != 0 || std::exchange(m_proposing, true))
        return;
    m_table.commit(shardCountTransaction(shards), [this, shards](const CommitResult &result) {
        m_proposing = false;
        if (result.outcome == CommitOutcome::Committed && m_shardCount == 0)
            setShardCount(shards);
        observeNow(); // Another number may have been agreed on, or this one without an answer.
    });
}

void Ownership::updateCandidacy()
{
    const Instant now = m_clock.now();
    m_candidates.observe(m_leaseManager->livePeers(now),
                         static_cast<std::size_t>(m_settings.lease.shardCount), now);
    if (m_draining || !m_rejection.mayClaim(now))
        return;
    if (!m_isCandidate && m_leaseManager->hasEarlierSession())
        return join("restarted");
    if (!m_isCandidate && m_candidates.shouldJoin(now))
        return join("needed");
    const bool ownsNothing =
        m_leaseManager->ownedShards().empty() && !m_claimPending && !m_deferredClaimPending;
    if (m_isCandidate && ownsNothing && m_candidates.shouldLeave(now))
        leave();
}

void Ownership::join(std::string_view why)
{
    m_isCandidate = true;
    logInfo("session-begins",
            {{"session", m_leaseManager->session()},
             {"why", why},
             {"milliCores", m_settings.capacity.milliCores},
             {"linkKbps", m_settings.capacity.linkKbps}});
    renewLease();
}

// Ends the session in the store. If that fails, the others expire it.
void Ownership::leave()
{
    logInfo("session-ends", {{"session", m_leaseManager->session()}, {"why", "not-needed"}});
    m_table.commit(m_leaseManager->endSessionTransaction(), [](const CommitResult &) {});
    beginSession();
}

Millis Ownership::observeInterval() const
{
    const bool closely = m_isCandidate || m_shardCount == 0;
    return closely ? m_settings.observeInterval : m_settings.idleObserveInterval;
}

void Ownership::start()
{
    tick();
}

void Ownership::tick()
{
    if (m_leaseManager->fenced()) {
        logWarning("session-expired", {{"session", m_leaseManager->session()}});
        m_listeners.sessionLost();
        beginSession();
        join("expired");
    }
    handOverIfRejected();
    renewLease();
    if (m_clock.now() >= m_nextObservationAt)
        observe();
    m_loop.runAfter(m_settings.tickInterval, [this] { tick(); });
}

void Ownership::renewLease()
{
    if (!m_isCandidate)
        return;
    readOwnRow();
    const Instant sentAt = m_clock.now();
    const auto t = m_leaseManager->nextRenewal(sentAt);
    if (!t)
        return;
    m_table.commit(
        *t, [this, sentAt, session = std::weak_ptr<int>(m_sessionToken)](const auto &result) {
            if (session.expired())
                return;
            const bool firstRoundTrip = !m_smoothedRoundTrip;
            if (result.outcome == CommitOutcome::Committed)
                recordRoundTrip(m_clock.now() - sentAt);
            m_leaseManager->handleRenewalResult(result, m_clock.now());
            if (firstRoundTrip && m_lastObservedAt)
                scheduleClaim();
            readOwnRow();
        });
}

void Ownership::recordRoundTrip(Millis taken)
{
    if (!m_smoothedRoundTrip)
        m_smoothedRoundTrip = taken;
    else
        m_smoothedRoundTrip =
            (*m_smoothedRoundTrip * (roundTripSmoothing - 1) + taken) / roundTripSmoothing;
}

void Ownership::readOwnRow()
{
    if (m_readingOwnRow || !m_leaseManager->needsReadBack())
        return;
    m_readingOwnRow = true;
    m_table.read({entryKey(m_leaseManager->session())},
                 [this, session = std::weak_ptr<int>(m_sessionToken)](const auto &rows) {
                     if (session.expired())
                         return;
                     m_readingOwnRow = false;
                     if (rows)
                         m_leaseManager->handleReadBack(rows->front(), m_clock.now());
                 });
}

void Ownership::observeNow()
{
    if (m_observing) {
        m_observeAgain = true;
        return;
    }
    m_nextObservationAt =
        std::min(m_nextObservationAt, m_lastObservationSentAt + m_settings.minObserveInterval);
    if (m_clock.now() >= m_nextObservationAt)
        observe();
}

void Ownership::observe()
{
    if (m_observing)
        return;
    m_observing = true;
    m_lastObservationSentAt = m_clock.now();
    m_nextObservationAt = m_lastObservationSentAt + observeInterval();
    if (!m_isCandidate && m_lastObservationSentAt < m_candidates.mayJoinAt())
        m_nextObservationAt = std::min(m_nextObservationAt, m_candidates.mayJoinAt());
    std::vector<std::string> keys;
    keys.reserve(static_cast<std::size_t>(m_settings.lease.shardCount) + 1);
    for (int shard = 0; shard < m_settings.lease.shardCount; ++shard)
        keys.push_back(shardKey(shard));
    if (m_shardCount == 0)
        keys.emplace_back(shardCountKey);
    // Read shards before entries, as ShardLeaseManager::observe() requires.
    const std::weak_ptr<int> session = m_sessionToken;
    m_table.read(keys, [this, session](const auto &shards) {
        if (session.expired())
            return;
        if (!shards)
            return endFailedObservation();
        m_table.scan("entry/", "", rowsPerScan,
                     [this, session, shards = *shards](const auto &rows) {
                         if (session.expired())
                             return;
                         if (!rows)
                             return endFailedObservation();
                         m_observing = false;
                         applyReadableRows(shards, *rows);
                     });
    });
}

// A row that can't be read leaves this entry with what it knew, rather than ending it.
void Ownership::applyReadableRows(const std::vector<Row> &shards, const std::vector<Row> &entries)
{
    try {
        applyRows(shards, entries);
    } catch (const std::exception &e) {
        logError("ownership-unreadable", {{"why", e.what()}});
    }
}

void Ownership::endFailedObservation()
{
    m_observing = false;
    m_storeWasBad = true;
    m_nextObservationAt = m_lastObservationSentAt + m_settings.observeInterval;
}

void Ownership::applyRows(const std::vector<Row> &shards, const std::vector<Row> &entries)
{
    m_lastObservedAt = m_clock.now();
    std::vector<Row> present;
    for (const Row &row : shards) {
        if (row.key == shardCountKey) {
            if (const auto count = parseShardCount(row); count && m_shardCount == 0)
                setShardCount(*count);
            continue;
        }
        m_shardRows[parseShardKey(row.key)] = parseShardRow(row);
        if (row.version != 0)
            present.push_back(row);
    }
    const bool isSlow = *m_lastObservedAt - m_lastObservationSentAt > m_settings.slowObservation;
    const bool wasBad = std::exchange(m_storeWasBad, isSlow);
    m_leaseManager->observe(entries, present, *m_lastObservedAt, isSlow || wasBad);
    if (!isSlow && !wasBad) // Otherwise all entries count as live.
        noteOtherRenewals();
    m_otherPeerAddresses.clear();
    for (const auto &[session, it] : m_leaseManager->entries()) {
        if (!it.row.error.empty())
            logWarning("entry-row-unreadable", {{"key", entryKey(session)}, {"why", it.row.error}});
        else if (!it.row.peer.empty() && it.row.peer != m_peerAddress)
            m_otherPeerAddresses.push_back(it.row.peer);
    }
    updateCandidacy();
    if (m_isCandidate) {
        expireDeadEntries();
        scheduleClaim();
        releaseExcessShards();
    }
    if (std::exchange(m_observeAgain, false))
        observeNow();
}

void Ownership::expireDeadEntries()
{
    for (const Transaction &t : m_leaseManager->expiryTransactions(m_clock.now())) {
        const std::string key = t.conditions.front().key;
        m_table.commit(
            t, [this, key, session = std::weak_ptr<int>(m_sessionToken)](const auto &result) {
                if (session.expired() || result.outcome != CommitOutcome::Committed)
                    return;
                logInfo("entry-expired", {{"row", key}});
                observeNow();
                m_listeners.entryExpired();
            });
    }
}

Millis Ownership::claimDelay() const
{
    const Millis roundTrip = m_smoothedRoundTrip.value_or(Millis{0});
    return std::min(roundTrip * m_settings.claimDelayRoundTrips, m_settings.maxClaimDelay);
}

void Ownership::scheduleClaim()
{
    // Before the first renewal is confirmed there is neither a lease nor a claim delay.
    if (m_claimPending || m_draining || !m_smoothedRoundTrip)
        return;
    m_claimPending = true;
    m_loop.runAfter(claimDelay(), [this, session = std::weak_ptr<int>(m_sessionToken)] {
        if (session.expired())
            return;
        m_claimPending = false;
        claimFreeShards();
    });
}

void Ownership::claimFreeShards()
{
    for (const ShardClaim &it : m_leaseManager->claimFreeShards(m_clock.now())) {
        m_table.commit(
            it.transaction,
            [this, it, session = std::weak_ptr<int>(m_sessionToken)](const auto &result) {
                if (!session.expired())
                    finishClaim(it, result);
            });
    }
    claimAfterDeferral();
}

// Of the entries whose deferral is over, the one nearest to the store claims first as well.
void Ownership::claimAfterDeferral()
{
    const Instant now = m_clock.now();
    std::optional<Instant> next;
    for (const ClaimDeferral &it : m_leaseManager->claimDeferrals(now)) {
        logDeferral(it);
        next = next ? std::min(*next, it.until) : it.until;
    }
    if (!next || std::exchange(m_deferredClaimPending, true))
        return;
    m_loop.runAfter(*next - now + claimDelay(),
                    [this, session = std::weak_ptr<int>(m_sessionToken)] {
                        if (session.expired())
                            return;
                        m_deferredClaimPending = false;
                        claimFreeShards();
                    });
}

void Ownership::logDeferral(const ClaimDeferral &deferral)
{
    Instant &logged = m_loggedDeferrals[deferral.shard];
    if (std::exchange(logged, deferral.since) == deferral.since)
        return;
    logInfo("claim-deferred",
            {{"shard", deferral.shard},
             {"to", deferral.to},
             {"milliCores", deferral.capacity.milliCores},
             {"linkKbps", deferral.capacity.linkKbps},
             {"ownMilliCores", m_settings.capacity.milliCores},
             {"ownLinkKbps", m_settings.capacity.linkKbps},
             {"forMs", (deferral.until - deferral.since).count()}});
}

void Ownership::finishClaim(const ShardClaim &claim, const CommitResult &result)
{
    const auto owned = m_leaseManager->handleClaimResult(claim, result);
    if (!owned)
        return observeNow();
    m_shardRows[owned->shard] = owned->row;
    logInfo("shard-taken",
            {{"shard", owned->shard},
             {"epoch", owned->row.epoch},
             {"milliCores", m_settings.capacity.milliCores},
             {"linkKbps", m_settings.capacity.linkKbps}});
    m_listeners.shardAcquired(*owned);
    if (m_draining)
        m_listeners.releaseRequested(owned->shard);
}

void Ownership::releaseExcessShards()
{
    if (m_draining)
        return;
    for (const int shard : m_leaseManager->shardsToRelease(m_clock.now())) {
        if (const auto handover = m_leaseManager->handoverOf(shard))
            logInfo("shard-handover",
                    {{"shard", shard},
                     {"to", handover->to},
                     {"milliCores", handover->capacity.milliCores},
                     {"linkKbps", handover->capacity.linkKbps}});
        m_listeners.releaseRequested(shard);
    }
}

void Ownership::commitEnded(int shard, bool rejected)
{
    m_rejection.commitEnded(shard, rejected, m_clock.now());
}

void Ownership::noteOtherRenewals()
{
    for (const auto &[session, it] : m_leaseManager->entries()) {
        const bool isNewlySeen = it.lastChangeSeenAt == *m_lastObservedAt;
        if (session != m_leaseManager->session() && !it.row.draining && isNewlySeen)
            m_rejection.renewalSeen(*m_lastObservedAt);
    }
}

// Ends the session, so that the other entries can claim the shards at once.
void Ownership::handOverIfRejected()
{
    const auto shard = m_rejection.shardToHandOver(m_clock.now());
    if (!shard || m_draining)
        return;
    logWarning("session-ends",
               {{"session", m_leaseManager->session()},
                {"why", "store-rejects"},
                {"shard", *shard},
                {"shards", static_cast<int>(m_leaseManager->ownedShards().size())}});
    ++m_rejectionHandovers;
    m_rejection.handedOver(m_clock.now());
    m_listeners.sessionLost();
    const Transaction end = m_leaseManager->endSessionTransaction();
    beginSession();
    m_table.commit(end, [this, session = std::weak_ptr<int>(m_sessionToken)](const auto &result) {
        if (!session.expired() && result.outcome == CommitOutcome::Committed)
            m_listeners.entryExpired();
    });
}

std::optional<ShardOwnerLocation> Ownership::ownerOf(int shard) const
{
    const auto it = m_shardRows.find(shard);
    if (it == m_shardRows.end() || it->second.owner.empty())
        return {};
    return ShardOwnerLocation{it->second.peer, it->second.owner == m_leaseManager->session()};
}

std::vector<std::string> Ownership::otherPeerAddresses() const
{
    return m_otherPeerAddresses;
}

void Ownership::shardEnded(int shard)
{
    m_leaseManager->forgetShard(shard);
    m_rejection.shardEnded(shard);
    m_shardRows.erase(shard);
    observeNow();
}

void Ownership::drain()
{
    m_draining = true;
    m_leaseManager->stopClaiming();
    renewLease(); // Tells the others not to wait for this entry.
    for (const int shard : m_leaseManager->ownedShards())
        m_listeners.releaseRequested(shard);
}

void Ownership::endSession(std::function<void()> done)
{
    if (!m_isCandidate)
        return done();
    m_table.commit(m_leaseManager->endSessionTransaction(),
                   [done = std::move(done)](const CommitResult &) { done(); });
}

} // namespace savorywick
