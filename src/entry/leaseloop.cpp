#include "entry/leaseloop.h"

#include "core/hash.h"
#include "core/log.h"
#include "savorywick/errors.h"
#include "store/json.h"

#include <future>

namespace savorywick {

namespace {

constexpr int sessionDigits = 8;
constexpr std::size_t rowsPerScan = 500;
constexpr int claimTries = 3;
constexpr std::size_t callsAtOnce = 16;

std::vector<Row> scanAll(Table &table, std::string_view prefix)
{
    std::vector<Row> rows;
    for (std::vector<Row> part;;) {
        part = table.scan(prefix, part.empty() ? std::string() : part.back().key, rowsPerScan);
        rows.insert(rows.end(), part.begin(), part.end());
        if (part.size() < rowsPerScan)
            return rows;
    }
}

} // namespace

LeaseLoop::LeaseLoop(const LeaseLoopSettings &settings, const Clock &clock, Table &table,
                     PeerClient &peers, Topology &topology, ShardHost &host, PeerEntry self,
                     Listeners listeners)
    : m_settings(settings)
    , m_clock(clock)
    , m_table(table)
    , m_peers(peers)
    , m_topology(topology)
    , m_host(host)
    , m_self(std::move(self))
    , m_listeners(std::move(listeners))
    , m_listTrust(settings.longestListAge)
{
    newSession();
}

void LeaseLoop::step()
{
    takeOverNotes();
    renew();
    if (m_keeper->fenced()) {
        logWarning("session-fenced", {{"session", m_keeper->session()}});
        m_host.setActsUntil(Instant{});
        m_host.dropAll();
        newSession();
        return;
    }
    if (m_observed && m_clock.now() - m_lastObserved < m_settings.observeEvery)
        return;
    m_lastObserved = m_clock.now();
    m_observed = true;
    observe();
}

void LeaseLoop::shardOver(int shard)
{
    const std::lock_guard lock(m_mutex);
    m_over.push_back(shard);
}

void LeaseLoop::drain()
{
    m_draining = true;
}

bool LeaseLoop::farewell()
{
    takeOverNotes();
    if (!m_keeper->ownedShards().empty())
        return false;
    m_table.commit(m_keeper->endSessionTransaction());
    return true;
}

std::string LeaseLoop::session() const
{
    const std::lock_guard lock(m_mutex);
    return m_session;
}

void LeaseLoop::newSession()
{
    const std::string session = m_self.name + "." + randomDigits(sessionDigits);
    m_keeper = std::make_unique<ShardLeaseManager>(session, m_self.peers, m_settings.lease);
    m_self.session = session;
    {
        const std::lock_guard lock(m_mutex);
        m_session = session;
        m_over.clear();
    }
    logInfo("session-started", {{"session", session}});
    m_listeners.sessionChanged(session);
}

void LeaseLoop::renew()
{
    m_self.documentsSeen = m_listeners.documentsSeen();
    m_self.draining = m_draining;
    m_keeper->setEntryFields(toFields(m_self));
    if (const auto renewal = m_keeper->nextRenewal(m_clock.now()))
        m_keeper->handleRenewalResult(m_table.commit(*renewal), m_clock.now());
    if (m_keeper->needsReadBack()) {
        try {
            const std::vector<std::string> keys{entryKey(m_keeper->session())};
            m_keeper->handleReadBack(m_table.read(keys).front(), m_clock.now());
        } catch (const Error &) {
            logDebug("renewal-not-read-back");
        }
    }
    m_host.setActsUntil(m_keeper->leaseValidUntil());
}

void LeaseLoop::observe()
{
    const Instant start = m_clock.now();
    try {
        const std::vector<Row> shards = scanAll(m_table, "shard/"); // First: see observe().
        const std::vector<Row> entries = scanAll(m_table, "entry/");
        m_keeper->observe(entries, shards, m_clock.now());
        std::vector<PeerEntry> peers;
        peers.reserve(entries.size());
        for (const Row &it : entries)
            peers.push_back(parseEntryRow(it));
        m_topology.setEntries(std::move(peers), m_clock.now());
        m_topology.setOwners(shards);
        m_storeUp = true;
        if (m_keeper->holdsLease(m_clock.now()))
            noteList(start);
        takeShards();
    } catch (const Error &error) {
        m_storeUp = false;
        logDebug("observation-failed", {{"why", error.what()}});
    }
    m_fewestShards = m_keeper->minShards();
}

void LeaseLoop::takeShards()
{
    for (const Transaction &it : m_keeper->expiryTransactions(m_clock.now()))
        m_table.commit(it);
    if (m_draining) {
        m_keeper->stopClaiming();
        for (const int it : m_keeper->ownedShards())
            m_host.send(it, ReleaseShard{});
        return;
    }
    for (const ShardClaim &it : m_keeper->claimFreeShards(m_clock.now()))
        openIfOwned(it);
    for (const int it : m_keeper->shardsToRelease(m_clock.now()))
        m_host.send(it, ReleaseShard{});
}

void LeaseLoop::openIfOwned(const ShardClaim &claim)
{
    std::optional<OwnedShard> owned;
    CommitResult result;
    for (int i = 0; i < claimTries; ++i) {
        result = m_table.commit(claim.transaction);
        if (result.outcome != CommitOutcome::Unknown)
            break;
    }
    owned = m_keeper->handleClaimResult(claim, result);
    if (!owned && result.outcome == CommitOutcome::Conflict) {
        try {
            const std::vector<std::string> keys{shardKey(claim.owned.shard)};
            owned = m_keeper->handleClaimReadBack(claim, m_table.read(keys).front());
        } catch (const Error &) {
            return; // A row that names this session is claimed anew later.
        }
    }
    if (!owned)
        return;
    logInfo("shard-taken", {{"shard", owned->shard}, {"epoch", owned->row.epoch}});
    m_topology.setOwner(owned->shard, {m_keeper->session(), m_self.peers});
    m_host.open(*owned);
}

void LeaseLoop::takeOverNotes()
{
    std::vector<int> over;
    {
        const std::lock_guard lock(m_mutex);
        over.swap(m_over);
    }
    for (const int it : over)
        m_keeper->forgetShard(it);
}

// An entry that can't reach the store may only go on using its slots if nobody can take them:
// while the store is down for all, no entry can be expired.
void LeaseLoop::noteList(Instant takenAt)
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

Instant LeaseLoop::listTakenAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_listTrust.confirmedAt().value_or(Instant{});
}

EntryListFingerprint LeaseLoop::noteQuestion(const EntryListFingerprint &theirs)
{
    const std::lock_guard lock(m_mutex);
    m_listTrust.recordPeerQuery(theirs);
    return m_listTrust.fingerprint();
}

void LeaseLoop::confirmList()
{
    EntryListFingerprint ours;
    std::string session;
    {
        const std::lock_guard lock(m_mutex);
        const auto good = m_listTrust.confirmedAt();
        if (m_draining || !good || m_clock.now() - *good < m_settings.longestListAge / 2)
            return;
        ours = m_listTrust.fingerprint();
        session = m_session;
    }
    const Topology::Entries entries = m_topology.entries();
    std::vector<std::future<void>> calls; // Each waits for its end when it is destroyed.
    for (const PeerEntry &it : *entries) {
        if (it.session == session || it.draining)
            continue;
        if (calls.size() == callsAtOnce)
            calls.clear();
        calls.push_back(std::async(std::launch::async, [&] { askForList(it, ours); }));
    }
}

void LeaseLoop::askForList(const PeerEntry &peer, const EntryListFingerprint &ours)
{
    const Instant askedAt = m_clock.now();
    const PeerReply reply =
        m_peers.call(peer.peers, "compareLists", listViewText(ours), m_settings.peerTimeout);
    if (reply.outcome != PeerOutcome::Answered)
        return;
    const auto theirs = parseListView(reply.result);
    if (!theirs)
        return;
    const std::lock_guard lock(m_mutex);
    m_listTrust.recordPeerReply(peer.session, *theirs, askedAt, m_clock.now());
}

} // namespace savorywick
