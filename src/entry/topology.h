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

// What an entry's own row says of it to the others.
struct PeerEntry
{
    std::string session; // Names one run of one process.
    std::string name; // The entry's id in its settings.
    std::string callers; // Address for callers.
    std::string peers; // Address for other entries.
    std::string availabilityZone;
    std::string region;
    std::uint64_t documentsSeen = 0; // Version of the documents' index that is in force there.
    bool draining = false;
};

struct ShardOwner
{
    std::string session;
    std::string peer;
};

// The latest view of the world around one entry: hosts, entries and shard owners.
//
// The polling actors replace parts of it; request threads read it. Thread-safe.
class Topology
{
public:
    using Hosts = std::shared_ptr<const std::vector<HostInfo>>;
    using Entries = std::shared_ptr<const std::vector<PeerEntry>>;

    void setHosts(std::vector<HostInfo> hosts);
    // Replaces the list of entries as read at `now`.
    void setEntries(std::vector<PeerEntry> entries, Instant now);
    void setOwners(const std::vector<Row> &shardRows);
    void setOwner(int shard, ShardOwner owner);

    Hosts hosts() const;
    Entries entries() const;
    // Returns the names of the entries that were listed within `span` before `now`, each once: an
    // entry whose row is gone may go on serving for a while. Nothing if the list has been read for
    // a shorter time than that, since an entry may have left it before.
    std::optional<std::vector<std::string>> listedWithin(Millis span, Instant now) const;
    // Returns the last known owner of a shard; nothing if it is free or was never seen.
    std::optional<ShardOwner> owner(int shard) const;
    // Returns the address of a worker or upstream, or an empty text if it was never listed.
    // A host that has left the list keeps its last address.
    std::string addressOf(const std::string &host) const;

private:
    mutable std::mutex m_mutex;
    Hosts m_hosts = std::make_shared<std::vector<HostInfo>>();
    Entries m_entries = std::make_shared<std::vector<PeerEntry>>();
    std::optional<Instant> m_entriesSince; // When the list was first read.
    std::map<std::string, Instant> m_lastListed; // By name.
    std::map<int, ShardOwner> m_owners;
    std::map<std::string, std::string> m_addresses;
};

// Returns what an `entry/` row says. Throws Error(InvalidInput) if the row is no entry's.
PeerEntry parseEntryRow(const Row &row);
// Returns the row's fields as the text of a JSON object, for LeaseKeeper::setFields().
std::string toFields(const PeerEntry &entry);

// Return a view of the entries as the text of a JSON object, and back; nothing if it is none.
std::string listViewText(const EntryListFingerprint &view);
std::optional<EntryListFingerprint> parseListView(std::string_view text);

} // namespace savorywick
