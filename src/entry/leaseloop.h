#pragma once

#include "entry/shardhost.h"
#include "entry/topology.h"
#include "peer/peerclient.h"
#include "savorywick/entrylistfreshness.h"
#include "savorywick/shardlease.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace savorywick {

struct LeaseLoopSettings
{
    ShardLeaseSettings lease;
    Millis observeEvery{1'000};
    Millis peerTimeout{500};
    Millis longestListAge{3'000}; // As in SlotSharesSettings.
};

// Keeps this entry's session and its shards: renews, watches the others, takes and releases.
//
// step() is called by one thread and blocks on the store, confirmList() by another one and blocks
// on peers; everything else is thread-safe.
class LeaseLoop
{
public:
    struct Listeners
    {
        std::function<std::uint64_t()> documentsSeen; // Published in the entry's row.
        std::function<void(const std::string &session)> sessionChanged;
    };

    // All references must outlive this object. `self` has no session yet.
    LeaseLoop(const LeaseLoopSettings &settings, const Clock &clock, Table &table,
              PeerClient &peers, Topology &topology, ShardHost &host, PeerEntry self,
              Listeners listeners);

    // Does what is due now. Call it several times in each renewal period.
    void step();
    // Asks the other entries whether they have the same list of entries, once ours is no longer
    // new: the store may be down. Call it several times within the longest age of a list.
    void confirmList();
    // Notes the list of a peer that asks so, and returns ours.
    EntryListFingerprint noteQuestion(const EntryListFingerprint &theirs);
    // Notes that a shard was lost or released.
    void shardOver(int shard);

    // Takes no more shards and releases those that are owned, from the next step() on.
    void drain();
    // Ends the session, if drained. Returns true if and only if no shard is owned any more.
    bool farewell();

    std::string session() const;
    // Returns when the list of entries and this entry's right to be on it were last known good.
    Instant listTakenAt() const;
    bool storeUp() const { return m_storeUp; }
    // Returns how many shards this entry has once they are spread evenly.
    std::size_t fewestShards() const { return m_fewestShards; }

private:
    void newSession();
    void renew();
    void observe();
    void takeShards();
    void openIfOwned(const ShardClaim &claim);
    void takeOverNotes();
    void noteList(Instant takenAt);
    void askForList(const PeerEntry &peer, const EntryListFingerprint &ours);

    const LeaseLoopSettings m_settings;
    const Clock &m_clock;
    Table &m_table;
    PeerClient &m_peers;
    Topology &m_topology;
    ShardHost &m_host;
    PeerEntry m_self;
    const Listeners m_listeners;

    std::unique_ptr<ShardLeaseManager> m_keeper;
    Instant m_lastObserved;
    bool m_observed = false;
    std::atomic<bool> m_storeUp{false};
    std::atomic<bool> m_draining{false};
    std::atomic<std::size_t> m_fewestShards{0};

    mutable std::mutex m_mutex; // For the members below.
    std::string m_session;
    std::vector<int> m_over;
    EntryListFreshness m_listTrust;
};

} // namespace savorywick
