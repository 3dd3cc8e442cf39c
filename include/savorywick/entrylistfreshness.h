#pragma once

#include "savorywick/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace savorywick {

// A fingerprint of a list of live entries, for comparing the lists of two processes.
struct EntryListFingerprint
{
    std::uint64_t digest = 0; // The sum of the hashes of the ids.
    std::size_t entryCount = 0; // The number of ids.
    bool operator==(const EntryListFingerprint &) const = default;
};

// Returns the fingerprint of a list of ids. It is the same in every process and for every order.
EntryListFingerprint entryListFingerprint(std::span<const std::string> ids);

// Keeps track of when an entry's list of live entries was last known to be up to date.
//
// Use it to obtain the time that SlotAssignment::update() takes. While the table service is down,
// no entry can read a new list. The entries then compare their lists with each other, and a list
// stays up to date as long as, without a gap, more than half of the entries have the same one.
// docs/design/urgent.md describes the remaining risk if only some entries lose the table service.
//
// Not thread-safe.
//
// Example:
//   EntryListFreshness freshness(Millis{3'000});
//   freshness.recordRead(entryListFingerprint(ids), takenAt);
//   freshness.recordPeerReply("entry-b", peerFingerprint, askedAt, now);
//   if (freshness.confirmedAt())
//       assignment.update(entries, instances, *freshness.confirmedAt(), now);
class EntryListFreshness
{
public:
    // A list that was last confirmed more than `maxAge` ago can't be confirmed again. `maxAge` must
    // be the age after which SlotAssignment no longer uses a list.
    explicit EntryListFreshness(Millis maxAge);

    // Records that a new list was read. `takenAt` has the meaning that SlotAssignment::update()
    // gives it. Earlier answers of peers no longer count.
    void recordRead(const EntryListFingerprint &fingerprint, Instant takenAt);
    // Records the fingerprint of a peer that asks for this entry's. If the peer's list differs and
    // is longer, the majority is counted over the longer list, so confirmedAt() may move back.
    void recordPeerQuery(const EntryListFingerprint &peerFingerprint);
    // Records the fingerprint with which a peer replied to a query sent at `askedAt`. While the
    // list can't be read, query all other entries on it several times within `maxAge`. An entry
    // that is shutting down must not query. Has no effect on a list that is older than `maxAge`.
    void recordPeerReply(std::string_view peer, const EntryListFingerprint &peerFingerprint,
                         Instant askedAt, Instant now);

    // Returns the fingerprint of the last list read, to be sent to peers.
    EntryListFingerprint fingerprint() const { return m_fingerprint; }
    // Returns the latest time at which the list is known to have been up to date, or nothing before
    // the first list.
    std::optional<Instant> confirmedAt() const { return m_confirmedAt; }

private:
    void updateConfirmedAt();

    Millis m_maxAge;
    EntryListFingerprint m_fingerprint;
    std::size_t m_longestDifferingList = 0; // The number of entries on the list of a peer.
    // The peers that have the same list, with the time of the latest query that they confirmed.
    std::map<std::string, Instant, std::less<>> m_agreedAt;
    std::optional<Instant> m_takenAt;
    std::optional<Instant> m_confirmedAt;
};

} // namespace savorywick
