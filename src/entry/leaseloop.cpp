#include "entry/leaseloop.h"

#include "core/hash.h"
#include "core/log.h"
#include "platform/json.h"
#include "savorywick/errors.h"

#include <algorithm>

namespace savorywick {

namespace {

constexpr int sessionDigits = 8;
constexpr std::size_t rowsPerScan = 500;
constexpr int claimTries = 3;

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
    if (!m_keeper->owned().empty())
        return false;
    m_table.commit(m_keeper->farewell());
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
    m_keeper = std::make_unique<LeaseKeeper>(session, m_self.peers, m_settings.lease);
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
    m_keeper->setFields(toFields(m_self));
    if (const auto renewal = m_keeper->nextRenewal(m_clock.now()))
        m_keeper->renewed(m_table.commit(*renewal), m_clock.now());
    if (m_keeper->needsReadBack()) {
        try {
            const std::vector<std::string> keys{entryKey(m_keeper->session())};
            m_keeper->readBack(m_table.read(keys).front(), m_clock.now());
        } catch (const Error &) {
            logDebug("renewal-not-read-back");
        }
    }
    m_host.setActsUntil(m_keeper->actsUntil());
}

void LeaseLoop::observe()
{
    const Instant start = m_clock.now();
    try {
        const std::vector<Row> entries = scanAll(m_table, "entry/");
        const std::vector<Row> shards = scanAll(m_table, "shard/");
        m_keeper->observe(entries, shards, m_clock.now());
        std::vector<PeerEntry> peers;
        peers.reserve(entries.size());
        for (const Row &it : entries)
            peers.push_back(parseEntryRow(it));
        m_topology.setEntries(std::move(peers));
        m_topology.setOwners(shards);
        m_storeUp = true;
        if (m_keeper->mayAct(m_clock.now()))
            m_listTakenAt = std::min(start, m_clock.now()).count();
        takeShards();
    } catch (const Error &error) {
        m_storeUp = false;
        logDebug("observation-failed", {{"why", error.what()}});
        if (peersAgreeStoreIsDown())
            m_listTakenAt = start.count();
    }
    m_fairShare = m_keeper->fairShare();
}

void LeaseLoop::takeShards()
{
    for (const Transaction &it : m_keeper->expiries(m_clock.now()))
        m_table.commit(it);
    if (m_draining) {
        m_keeper->stopClaiming();
        for (const int it : m_keeper->owned())
            m_host.send(it, ReleaseShard{});
        return;
    }
    for (const ShardClaim &it : m_keeper->claims(m_clock.now()))
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
    owned = m_keeper->claimed(claim, result);
    if (!owned && result.outcome == CommitOutcome::Conflict) {
        try {
            const std::vector<std::string> keys{shardKey(claim.taken.shard)};
            owned = m_keeper->claimReadBack(claim, m_table.read(keys).front());
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
        m_keeper->dropped(it);
}

// An entry that can't reach the store may only go on using its slots if nobody can take them:
// while the store is down for all, no entry can be expired.
bool LeaseLoop::peersAgreeStoreIsDown()
{
    for (const PeerEntry &it : *m_topology.entries()) {
        if (it.session == m_keeper->session() || it.region != m_self.region)
            continue;
        const PeerReply reply = m_peers.call(it.peers, "status", "{}", m_settings.peerTimeout);
        if (reply.outcome != PeerOutcome::Answered)
            continue;
        if (platform::fromText(reply.result)["storeUp"].asBool())
            return false;
    }
    return true;
}

} // namespace savorywick
