#pragma once

#include "savorywick/clock.h"
#include "savorywick/entrylistfreshness.h"
#include "savorywick/platform.h"
#include "savorywick/shardrow.h"
#include "savorywick/slotassignment.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace savorywick {

// What an entry publishes about itself in its row of the table.
struct PeerEntry
{
    std::string session; // Identifies one session of the process: NAME.RANDOM.
    std::string name; // The entry's id from its settings.
    std::string callerAddress; // Address that serves clients.
    std::string peerAddress; // Address that serves other entries.
    std::string availabilityZone;
    std::string region;
    std::uint64_t documentIndexVersion =
        0; // Version of the document index that the entry has applied.
    bool draining = false;
};

// The entry that owns a shard, and the address at which other entries reach it.
struct ShardOwner
{
    std::string session;
    std::string peerAddress;
};

// Caches the latest known hosts, entries and shard owners of the cluster.
//
// Request threads use it to find a peer or a worker without I/O; the pollers replace its contents
// with what they have read. Thread-safe.
//
// Example:
//   if (const auto owner = topology.owner(shard))
//       peers.call(owner->peerAddress, "report", {}, timeout);
class Topology
{
public:
    using Hosts = std::shared_ptr<const std::vector<HostInfo>>;
    using Entries = std::shared_ptr<const std::vector<PeerEntry>>;

    // Replaces the list of hosts.
    void setHosts(std::vector<HostInfo> hosts);
    // Replaces the list of entries by one that was read at `now`.
    void setEntries(std::vector<PeerEntry> entries, Instant now);
    // Replaces the owners of all shards by those in `shardRows`, the `shard/` rows of the table.
    void setOwners(const std::vector<Row> &shardRows);
    // Sets the owner of one shard.
    void setOwner(int shard, ShardOwner owner);

    // Return the latest lists; empty before the first one is set. Never null.
    Hosts hosts() const;
    Entries entries() const;
    // Returns the distinct names of the entries that were listed at some time within `period`
    // before `now`, since an entry may still serve requests for a while after its row is gone.
    // Returns nothing if the first list was read later than `period` before `now`: an entry may
    // have left before that.
    std::optional<std::vector<std::string>> entriesListedWithin(Millis period, Instant now) const;
    // Returns the last known owner of a shard, or nothing if it has none or its row was never read.
    std::optional<ShardOwner> owner(int shard) const;
    // Returns the address of a worker or upstream, or an empty string if it was never listed.
    // A host that has left the list keeps its last address.
    std::string addressOf(const std::string &host) const;

private:
    mutable std::mutex m_mutex;
    Hosts m_hosts = std::make_shared<std::vector<HostInfo>>();
    Entries m_entries = std::make_shared<std::vector<PeerEntry>>();
    std::optional<Instant> m_entriesFirstReadAt; // When the first list was read.
    std::map<std::string, Instant> m_lastListedAt; // By name of the entry.
    std::map<int, ShardOwner> m_owners;
    std::map<std::string, std::string> m_addresses;
};

// Parses an `entry/` row. Throws Error(InvalidInput) if its key or value is malformed.
PeerEntry parseEntryRow(const Row &row);
// Returns the fields of the entry's row as a JSON object, for ShardLeaseManager::setEntryFields().
std::string entryRowFields(const PeerEntry &entry);

// Returns `view` as a JSON object.
std::string formatListView(const EntryListFingerprint &view);
// Parses the output of formatListView(). Returns nothing if `text` is malformed.
std::optional<EntryListFingerprint> parseListView(std::string_view text);

} // namespace savorywick
