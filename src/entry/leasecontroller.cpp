#include "entry/leasecontroller.h"

#include "core/hash.h"
#include "core/log.h"
#include "savorywick/errors.h"
#include "store/json.h"

#include <future>

namespace savorywick {

namespace {

constexpr int sessionSuffixDigits = 8;
constexpr std::size_t rowsPerScan = 500;
constexpr int maxClaimCommits = 3;
constexpr std::size_t maxConcurrentPeerCalls = 16;

std::vector<Row> scanAll(Table &table, std::string_view prefix)
{
    std::vector<Row> rows;
    for (std::vector<Row> page;;) {
        page = table.scan(prefix, page.empty() ? std::string() : page.back().key, rowsPerScan);
        rows.insert(rows.end(), page.begin(), page.end());
        if (page.size() < rowsPerScan)
            return rows;
    }
}

} // namespace

LeaseController::LeaseController(const LeaseControllerSettings &settings, const Clock &clock,
                                 Table &table, PeerClient &peers, Topology &topology,
                                 ShardSupervisor &supervisor, PeerEntry self, Callbacks listeners)
    : m_settings(settings)
    , m_clock(clock)
    , m_table(table)
    , m_peers(peers)
    , m_topology(topology)
    , m_shardSupervisor(supervisor)
    , m_self(std::move(self))
    , m_listeners(std::move(listeners))
    , m_listTrust(settings.maxListAge)
{
    startSession();
}

void LeaseController::runOnce()
{
    processStoppedShards();
    renewSession();
    if (m_leases->fenced()) {
        logWarning("session-fenced", {{"session", m_leases->session()}});
        m_shardSupervisor.setLeaseValidUntil(Instant{});
        m_shardSupervisor.stopAll();
        startSession();
        return;
    }
    if (m_hasRead && m_clock.now() - m_lastReadAt < m_settings.observeInterval)
        return;
    m_lastReadAt = m_clock.now();
    m_hasRead = true;
    readTable();
}

void LeaseController::noteShardStopped(int shard)
{
    const std::lock_guard lock(m_mutex);
    m_stoppedShards.push_back(shard);
}

void LeaseController::drain()
{
    m_draining = true;
}

bool LeaseController::endSession()
{
    processStoppedShards();
    if (!m_leases->ownedShards().empty())
        return false;
    m_table.commit(m_leases->endSessionTransaction());
    return true;
}

std::string LeaseController::session() const
{
    const std::lock_guard lock(m_mutex);
    return m_session;
}

void LeaseController::startSession()
{
    const std::string session = m_self.name + "." + randomHexDigits(sessionSuffixDigits);
    m_leases = std::make_unique<ShardLeaseManager>(session, m_self.peerAddress, m_settings.lease);
    m_self.session = session;
    {
        const std::lock_guard lock(m_mutex);
        m_session = session;
        m_stoppedShards.clear();
    }
    logInfo("session-started", {{"session", session}});
    m_listeners.sessionChanged(session);
}

void LeaseController::renewSession()
{
    m_self.documentIndexVersion = m_listeners.documentIndexVersion();
    m_self.draining = m_draining;
    m_leases->setEntryFields(entryRowFields(m_self));
    if (const auto renewal = m_leases->nextRenewal(m_clock.now()))
        m_leases->handleRenewalResult(m_table.commit(*renewal), m_clock.now());
    if (m_leases->needsReadBack()) {
        try {
            const std::vector<std::string> keys{entryKey(m_leases->session())};
            m_leases->handleReadBack(m_table.read(keys).front(), m_clock.now());
        } catch (const Error &) {
            logDebug("renewal-not-read-back");
        }
    }
    m_shardSupervisor.setLeaseValidUntil(m_leases->leaseValidUntil());
}

void LeaseController::readTable()
{
    const Instant start = m_clock.now();
    try {
        // ShardLeaseManager::observe() needs shard rows that were read before the entry rows.
        const std::vector<Row> shards = scanAll(m_table, "shard/");
        const std::vector<Row> entries = scanAll(m_table, "entry/");
        m_leases->observe(entries, shards, m_clock.now());
        std::vector<PeerEntry> peers;
        peers.reserve(entries.size());
        for (const Row &it : entries)
            peers.push_back(parseEntryRow(it));
        m_topology.setEntries(std::move(peers), m_clock.now());
        m_topology.setOwners(shards);
        m_storeAvailable = true;
        if (m_leases->holdsLease(m_clock.now()))
            recordEntryList(start);
        rebalanceShards();
    } catch (const Error &error) {
        m_storeAvailable = false;
        logDebug("observation-failed", {{"why", error.what()}});
    }
    m_minShardCount = m_leases->minShards();
}

void LeaseController::rebalanceShards()
{
    for (const Transaction &it : m_leases->expiryTransactions(m_clock.now()))
        m_table.commit(it);
    if (m_draining) {
        m_leases->stopClaiming();
        for (const int it : m_leases->ownedShards())
            m_shardSupervisor.send(it, ReleaseShard{});
        return;
    }
    for (const ShardClaim &it : m_leases->claimFreeShards(m_clock.now()))
        acquireShard(it);
    for (const int it : m_leases->shardsToRelease(m_clock.now()))
        m_shardSupervisor.send(it, ReleaseShard{});
}

void LeaseController::acquireShard(const ShardClaim &claim)
{
    std::optional<OwnedShard> owned;
    CommitResult result;
    for (int i = 0; i < maxClaimCommits; ++i) {
        result = m_table.commit(claim.transaction);
        if (result.outcome != CommitOutcome::Unknown)
            break;
    }
    owned = m_leases->handleClaimResult(claim, result);
    if (!owned && result.outcome == CommitOutcome::Conflict) {
        try {
            const std::vector<std::string> keys{shardKey(claim.owned.shard)};
            owned = m_leases->handleClaimReadBack(claim, m_table.read(keys).front());
        } catch (const Error &) {
            return; // If the row names this session, a later call claims the shard again.
        }
    }
    if (!owned)
        return;
    logInfo("shard-taken", {{"shard", owned->shard}, {"epoch", owned->row.epoch}});
    m_topology.setOwner(owned->shard, {m_leases->session(), m_self.peerAddress});
    m_shardSupervisor.startShard(*owned);
}

void LeaseController::processStoppedShards()
{
    std::vector<int> stopped;
    {
        const std::lock_guard lock(m_mutex);
        stopped.swap(m_stoppedShards);
    }
    for (const int it : stopped)
        m_leases->forgetShard(it);
}

// The time of the list limits how long this entry uses its request slots without the store. While
// the store is down for all entries none can be expired, so no other entry can take these slots.
void LeaseController::recordEntryList(Instant takenAt)
{
    const Topology::Entries entries = m_topology.entries();
    std::vector<std::string> sessions;
    for (const PeerEntry &it : *entries) {
        if (!it.draining)
            sessions.push_back(it.session);
    }
    const std::lock_guard lock(m_mutex);
    m_listTrust.recordRead(entryListFingerprint(sessions), takenAt);
}

Instant LeaseController::listConfirmedAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_listTrust.confirmedAt().value_or(Instant{});
}

EntryListFingerprint LeaseController::handleCompareLists(const EntryListFingerprint &theirs)
{
    const std::lock_guard lock(m_mutex);
    m_listTrust.recordPeerQuery(theirs);
    return m_listTrust.fingerprint();
}

void LeaseController::confirmEntryList()
{
    EntryListFingerprint ours;
    std::string session;
    {
        const std::lock_guard lock(m_mutex);
        const auto good = m_listTrust.confirmedAt();
        if (m_draining || !good || m_clock.now() - *good < m_settings.maxListAge / 2)
            return;
        ours = m_listTrust.fingerprint();
        session = m_session;
    }
    const Topology::Entries entries = m_topology.entries();
    std::vector<std::future<void>> calls; // The destructors wait for the calls.
    for (const PeerEntry &it : *entries) {
        if (it.session == session || it.draining)
            continue;
        if (calls.size() == maxConcurrentPeerCalls)
            calls.clear();
        calls.push_back(std::async(std::launch::async, [&] { compareListsWith(it, ours); }));
    }
}

void LeaseController::compareListsWith(const PeerEntry &peer, const EntryListFingerprint &ours)
{
    const Instant askedAt = m_clock.now();
    const PeerReply reply = m_peers.call(peer.peerAddress, "compareLists", formatListView(ours),
                                         m_settings.peerTimeout);
    if (reply.outcome != PeerOutcome::Answered)
        return;
    const auto theirs = parseListView(reply.result);
    if (!theirs)
        return;
    const std::lock_guard lock(m_mutex);
    m_listTrust.recordPeerReply(peer.session, *theirs, askedAt, m_clock.now());
}

} // namespace savorywick
