#pragma once

#include "savorywick/clock.h"
#include "savorywick/router.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorywick {

// One live entry process. The id must name the process, not its host: a process that restarts must
// use a new id.
struct EntryInfo
{
    std::string id;
    std::string availabilityZone;
    std::string region;
};

// Restricts the owners of an instance's slots to the entries in its zone or region. Without an
// entry in the zone those of the region may own them, and without one in the region all entries.
enum class SlotLocality { Anywhere, SameRegion, SameZone };

// Returns the owner of one slot of an instance as an index into `entries`, or nothing if `entries`
// is empty. The owner is chosen by rendezvous hashing: every process finds the same one for the
// same set of entries in any order, and an entry that joins or leaves moves only its own slots.
std::optional<std::size_t> slotOwner(const InstanceInfo &instance, int slot,
                                     std::span<const EntryInfo> entries, SlotLocality locality);

// The identity of an entry and the time limits of its SlotAssignment.
struct SlotAssignmentSettings
{
    std::string entryId; // This entry's id.
    SlotLocality locality = SlotLocality::SameRegion;
    // The age above which a list of entries is stale: no slot may be used until there is a newer
    // list or until the peers have confirmed this one; see EntryListFreshness.
    Millis maxListAge{3'000};
    // The longest time that an attempt may occupy a slot, including the hold after a timeout.
    Millis maxAttemptTime{5'000};
};

// Assigns the slots of all instances to the entries without a shared lock.
//
// Use one for each service in each entry. Every entry computes the same owner of each slot from the
// list of live entries. An entry stops using a slot as soon as it no longer owns it, and starts
// using a slot handoverDelay() after it became the owner. By then the former owner has either read
// a list that gives the slot away or found its own list stale, and its last attempt there has
// ended.
//
// All entries together therefore never use more slots than an instance has, even if their lists lag
// by up to `maxListAge`, under these conditions:
//   - Others drop an entry that no longer renews its row after more than `maxListAge`, not sooner.
//   - An entry that shuts down takes no more slots before it removes its row.
//   - No attempt lasts longer than `maxAttemptTime`.
//
// Not thread-safe.
//
// Example:
//   SlotAssignment assignment({.entryId = "entry-a"});
//   assignment.update(entries, instances, asOf, now);
//   router.setInstances(assignment.usableInstances(now), now);
class SlotAssignment
{
public:
    explicit SlotAssignment(SlotAssignmentSettings settings);

    // Replaces the lists. `asOf` is the earlier of two times on this process's clock: the start of
    // the read that returned `entries`, and the start of this entry's last successful renewal of
    // its own row, since others may drop an entry from their lists once it no longer renews. If the
    // table may be down, pass EntryListFreshness::confirmedAt(), and call this again when that
    // changes.
    void update(std::span<const EntryInfo> entries, std::span<const InstanceInfo> instances,
                Instant asOf, Instant now);

    // Returns the time between becoming the owner of a slot and its first use.
    Millis handoverDelay() const;

    // Returns the instances of which this entry may use slots now, with `slots` reduced to that
    // number. Returns none if the list of entries is stale.
    std::vector<InstanceInfo> usableInstances(Instant now) const;
    // Returns the number of slots that this entry may use now at all instances together.
    int usableSlots(Instant now) const;
    // Returns the next time at which usableInstances() changes without a call of update(), because
    // a handover ends or the list becomes stale. Returns nothing if the list is stale already.
    std::optional<Instant> nextChangeAt(Instant now) const;

    // Returns the id of the peer to forward a request to if this entry has no free slot, and counts
    // one free slot of that peer as taken. The peer is the one with more expected free slots of two
    // random peers of this region, or of other regions if none here has any. Returns nothing if no
    // peer is expected to have a free slot; queue the request then.
    // `random` is a random number. A forwarded request must not be forwarded again.
    std::optional<std::string> pickPeer(std::span<const std::string> excluded, std::uint64_t random,
                                        Instant now);
    // Records the number of free slots that a peer reported, by itself or with an answer.
    void recordPeerFreeSlots(std::string_view entry, int freeSlots, Instant now);

private:
    struct OwnedSlots
    {
        InstanceInfo info;
        // One element for each slot; empty for a slot that another entry owns.
        std::vector<std::optional<Instant>> ownedSince;
    };
    struct Peer
    {
        EntryInfo info;
        int freeSlots = 0;
        bool reported = false; // Whether the peer has ever reported its free slots.
        Instant reportedAt;
    };

    void updatePeers(std::span<const EntryInfo> entries);
    static std::vector<std::optional<Instant>>
    ownershipTimes(const std::vector<bool> &owned, const OwnedSlots *before, Instant now);
    int usableSlotsOf(const OwnedSlots &owned, Instant now) const;
    bool isListFresh(Instant now) const;
    std::vector<Peer *> peersWithFreeSlots(std::span<const std::string> excluded, bool sameRegion,
                                           Instant now);
    int expectedFreeSlots(const Peer &peer, Instant now) const;

    SlotAssignmentSettings m_settings;
    std::vector<OwnedSlots> m_ownedSlots;
    std::vector<Peer> m_peers;
    std::string m_ownRegion;
    int m_meanSlotsPerEntry = 0; // The estimate for a peer without a recent report.
    std::optional<Instant> m_listAsOf;
};

} // namespace savorywick
