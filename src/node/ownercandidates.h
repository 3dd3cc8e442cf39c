#pragma once

#include "savorywick/clock.h"
#include "savorywick/entryrow.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace savorywick {

// How many entries stand ready to own shards.
struct OwnerCandidateSettings
{
    // The number of candidates: so many for each shard, and some spare ones.
    std::size_t candidatesPerShard = 2;
    std::size_t spareCandidates = 6;
    // How long an entry waits before it becomes a candidate, at most: the longer the weaker its
    // host is, so that stronger ones come first, and a time that a hash decides.
    Millis maxWeaknessDelay{600};
    Millis maxSpreadDelay{200};
    // A candidate that is not needed any more stays one for this time.
    Millis leaveAfter{5'000};
    std::size_t surplusToLeave = 2; // So many more than needed must be there meanwhile.
};

// Decides whether an entry is one of the candidates for owning shards.
//
// Only candidates have a session in the store: they renew it and watch each other closely, which
// costs the store calls for each pair of them. In a large deployment most entries only pass
// requests on. The strongest hosts are the candidates; of equal ones, a hash decides. It is pure
// and not thread-safe.
//
// Example:
//   candidates.observe(livePeers, shards, clock.now());
//   if (!isCandidate && candidates.shouldJoin(clock.now()))
//       beginSession();
class OwnerCandidates
{
public:
    // `peer` is this entry's address for others, and `startedAt` when it began to observe them.
    OwnerCandidates(const OwnerCandidateSettings &settings, std::string_view peer,
                    const EntryCapacity &capacity, Instant startedAt);

    // Takes in the live candidates other than this entry, and the number of shards.
    void observe(std::span<const EntryRow> others, std::size_t shards, Instant now);
    // Returns true if and only if this entry should become a candidate.
    bool shouldJoin(Instant now) const;
    // Returns true if and only if this entry, which owns no shard, should be a candidate no more.
    bool shouldLeave(Instant now) const;

    // Returns from when on the entry may become a candidate.
    Instant mayJoinAt() const { return m_mayJoinAt; }

private:
    bool comesBefore(const EntryRow &other) const;

    const OwnerCandidateSettings m_settings;
    const std::uint64_t m_peerHash; // Decides between equal hosts.
    const EntryCapacity m_capacity;
    const Instant m_mayJoinAt;
    bool m_observed = false;
    bool m_needed = false;
    std::optional<Instant> m_surplusSince; // Since when there are enough others.
};

} // namespace savorywick
