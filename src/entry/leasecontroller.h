#pragma once

#include "entry/shardsupervisor.h"
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

struct LeaseControllerSettings
{
    ShardLeaseSettings lease;
    Millis observeInterval{1'000};
    Millis peerTimeout{500};
    Millis maxListAge{3'000}; // Equals SlotAssignmentSettings::maxListAge.
};

// Maintains this entry's session and decides which shards it owns.
//
// It renews the session's lease in the table, reads the rows of the other entries and of the
// shards, claims free shards and releases those beyond an even share. If the session is fenced, it
// stops all shards and starts a new session.
//
// Call runOnce() periodically from one thread, which blocks on the store, and confirmEntryList()
// from another one, which blocks on peers. All other functions are thread-safe, except
// endSession(), which must not run at the same time as runOnce().
//
// Example:
//   executor.schedule(Millis{250}, [&] { controller.runOnce(); });
//   executor.schedule(Millis{250}, [&] { controller.confirmEntryList(); });
class LeaseController
{
public:
    struct Callbacks
    {
        std::function<std::uint64_t()>
            documentIndexVersion; // Its result is published in the entry's row.
        // Called with the id of each new session, also from the constructor.
        std::function<void(const std::string &session)> sessionChanged;
    };

    // Starts the first session. All references must outlive this object. `self.session` is
    // overwritten.
    LeaseController(const LeaseControllerSettings &settings, const Clock &clock, Table &table,
                    PeerClient &peers, Topology &topology, ShardSupervisor &supervisor,
                    PeerEntry self, Callbacks listeners);

    // Renews the session and, once every `observeInterval`, reads the table and claims or releases
    // shards. Call it several times in each renewal period.
    void runOnce();
    // Asks the other entries whether they have the same list of entries if ours is older than half
    // of `maxListAge`, which happens while the store is down. Call it several times within
    // `maxListAge`.
    void confirmEntryList();
    // Handles a peer's compareLists call: records its view of the list and returns ours.
    EntryListFingerprint handleCompareLists(const EntryListFingerprint &theirs);
    // Reports that a shard was lost or released here. The next runOnce() takes it into account.
    void noteShardStopped(int shard);

    // Makes runOnce() claim no more shards and release those that are owned.
    void drain();
    // Ends the session in the table unless a shard is still owned. Returns true if and only if no
    // shard is owned. Call it after drain().
    bool endSession();

    // Returns the id of the current session.
    std::string session() const;
    // Returns when it was last confirmed that the list of entries is current and that this entry is
    // on it; Instant{} if never.
    Instant listConfirmedAt() const;
    // Returns whether the last read of the table succeeded.
    bool isStoreAvailable() const { return m_storeAvailable; }
    // Returns how many shards every entry owns at least once they are spread evenly.
    std::size_t minShardCount() const { return m_minShardCount; }

private:
    void startSession();
    void renewSession();
    void readTable();
    void rebalanceShards();
    void acquireShard(const ShardClaim &claim);
    void processStoppedShards();
    void recordEntryList(Instant takenAt);
    void compareListsWith(const PeerEntry &peer, const EntryListFingerprint &ours);

    const LeaseControllerSettings m_settings;
    const Clock &m_clock;
    Table &m_table;
    PeerClient &m_peers;
    Topology &m_topology;
    ShardSupervisor &m_shardSupervisor;
    PeerEntry m_self;
    const Callbacks m_listeners;

    std::unique_ptr<ShardLeaseManager> m_leases;
    Instant m_lastReadAt;
    bool m_hasRead = false;
    std::atomic<bool> m_storeAvailable{false};
    std::atomic<bool> m_draining{false};
    std::atomic<std::size_t> m_minShardCount{0};

    mutable std::mutex m_mutex; // Guards the members below.
    std::string m_session;
    std::vector<int> m_stoppedShards;
    EntryListFreshness m_listTrust;
};

} // namespace savorywick
