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

// One live entry process. The id must name the process, not its host: one that starts again comes
// back under another id.
struct EntryInfo
{
    std::string id;
    std::string availabilityZone;
    std::string region;
};

// Says from which entries the owner of a slot is taken, if there are any there.
enum class ShareLocality { Anywhere, SameRegion, SameZone };

// Returns the owner of one slot of an instance as an index into `entries`, the same in every
// process for the same set of entries in any order; nothing if `entries` is empty. An entry that
// joins or leaves moves only the slots that it gains or had.
std::optional<std::size_t> slotOwner(const InstanceInfo &instance, int slot,
                                     std::span<const EntryInfo> entries, ShareLocality locality);

struct SlotSharesSettings
{
    std::string self; // This entry's id.
    ShareLocality locality = ShareLocality::SameRegion;
    // A list older than this is not trusted: no slot may be used until a new one comes, or until
    // peers have confirmed it; see ListTrust.
    Millis longestListAge{3'000};
    // The longest time that an attempt may occupy a slot, the hold after a timeout included.
    Millis longestAttempt{5'000};
};

// Shares the slots of all instances among the entries without a shared lock.
//
// Every entry works out the same owner for each slot from the list of live entries. A slot that is
// lost is given up at once. One that is gained is used only after handover(): by then its former
// owner has seen a list without it or has stopped trusting its old one, and its last attempt there
// is over. So all entries together never use more slots than an instance has, however much their
// lists lag within `longestListAge`, as long as these rules are kept: others drop an entry that no
// longer renews its row after more than `longestListAge`, not sooner; an entry that shuts down
// takes no more slots before it removes its row; no attempt lasts longer than `longestAttempt`.
//
// Not thread-safe.
//
// Example:
//   SlotShares shares({.self = "entry-a"});
//   shares.update(entries, instances, takenAt, now);
//   router.setInstances(shares.usable(now), now);
class SlotShares
{
public:
    explicit SlotShares(SlotSharesSettings settings);

    // Takes in a list. `takenAt`, on this process's clock, is when its reading was begun or when
    // this entry's last successful renewal of its own row was begun, whichever is the earlier: the
    // others may drop an entry from their lists once it no longer renews. Where the table may be
    // down, pass ListTrust::goodSince(), and again whenever that changes.
    void update(std::span<const EntryInfo> entries, std::span<const InstanceInfo> instances,
                Instant takenAt, Instant now);

    // Returns the time between the gain of a slot and its first use.
    Millis handover() const;

    // Returns every listed instance with `slots` lowered to what this entry may use now; those of
    // which it may use none are left out. All are left out when the list is too old.
    std::vector<InstanceInfo> usable(Instant now) const;
    // Returns the slots that this entry may use now, over all instances.
    int usableSlots(Instant now) const;
    // Returns when usable() changes by itself next: a handover ends or the list becomes too old.
    std::optional<Instant> nextChange(Instant now) const;

    // Returns the peer to forward to when the own slots are full: of two random ones of this region
    // the one with more free slots as last heard; one of another region only if none here has any.
    // Nothing if no peer has any, as far as is known; then queue.
    // `draw` is a random number. A forwarded request must not be forwarded again.
    std::optional<std::string> peerWithRoom(std::span<const std::string> excluded,
                                            std::uint64_t draw, Instant now);
    // Notes what a peer said of its free slots, alone or along with an answer.
    void notePeer(std::string_view entry, int freeSlots, Instant now);

private:
    struct Share
    {
        InstanceInfo info;
        std::vector<std::optional<Instant>> ownedSince; // One a slot; nothing for others' slots.
    };
    struct Peer
    {
        EntryInfo info;
        int freeSlots = 0;
        bool known = false;
        Instant heardAt;
    };

    void updatePeers(std::span<const EntryInfo> entries);
    static std::vector<std::optional<Instant>> ownership(const std::vector<bool> &owned,
                                                         const Share *before, Instant now);
    int usableOf(const Share &share, Instant now) const;
    bool trusted(Instant now) const;
    std::vector<Peer *> peersWithRoom(std::span<const std::string> excluded, bool sameRegion,
                                      Instant now);
    int expectedRoom(const Peer &peer, Instant now) const;

    SlotSharesSettings m_settings;
    std::vector<Share> m_shares;
    std::vector<Peer> m_peers;
    std::string m_region; // This entry's.
    int m_slotsPerEntry = 0; // Of all instances; stands in for a peer that was not heard of.
    std::optional<Instant> m_listTakenAt;
};

} // namespace savorywick
