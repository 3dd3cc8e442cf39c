#pragma once

#include "savorywick/clock.h"
#include "savorywick/entryrow.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace savorywick {

// How long an entry waits for a stronger one, that is one that offers clearly more capacity.
struct OwnerPreferenceSettings
{
    // How long a free shard is left to stronger entries, for each class of them: if one of them is
    // stronger than another, there are two classes.
    Millis deferralPerClass{700};
    Millis maxDeferral{1'000}; // The upper limit of the deferral.
    Millis steadyBeforeHandover{5'000}; // How long a stronger entry must have renewed steadily.
    // How long this entry waits from one handover to the next, and for how long an entry that left
    // a free shard unclaimed is not preferred.
    Millis handoverInterval{30'000};
};

// A live entry that offers clearly more capacity than this one and has room for a shard.
struct StrongerEntry
{
    std::string session;
    EntryCapacity capacity;
    Instant steadySince; // Since when its renewals have been seen without a gap.
};

// A free shard that this entry does not claim yet, so that a stronger one may.
struct ClaimDeferral
{
    int shard = 0;
    std::string to; // The session of the strongest of the stronger entries.
    EntryCapacity capacity; // That entry's.
    Instant since; // When the shard was first seen without an owner.
    Instant until;
};

// A shard that this entry releases so that a stronger one may claim it.
struct ShardHandover
{
    int shard = 0;
    std::string to; // The session of the strongest of the stronger entries.
    EntryCapacity capacity; // That entry's.
    Instant decidedAt;
};

// Decides for one session of an entry when it leaves a shard to a stronger entry.
//
// The owner of a shard serves all its workers and jobs, so it should be an entry with much
// capacity. A free shard must nevertheless never wait long for one that does not take it. Pure
// preference: which claims are safe is decided by ShardLeaseManager, which uses this class.
//
// Example:
//   OwnerPreference preference({});
//   preference.observeShard(0, isOwnerless, now);
//   if (!preference.deferral(0, stronger, now))
//       claim(0);
class OwnerPreference
{
public:
    explicit OwnerPreference(const OwnerPreferenceSettings &settings)
        : m_settings(settings)
    { }

    // Records whether the shard was seen without an owner.
    void observeShard(int shard, bool isOwnerless, Instant now);
    // Returns the deferral of the claim on a shard, or nothing if it may be claimed now. `stronger`
    // are all entries that are stronger than this one.
    std::optional<ClaimDeferral> deferral(int shard, std::span<const StrongerEntry> stronger,
                                          Instant now) const;
    // Records a claim on the shard that is sent now.
    void noteClaim(int shard, std::span<const StrongerEntry> stronger, Instant now);
    // Records that the claim was successful: the entries it was deferred to did not claim the
    // shard, so they are not preferred for a time.
    void noteClaimCommitted(int shard);

    // Returns the handover of the shard, one of those that this entry owns, or nothing if it should
    // stay. A handover that was decided is returned again until noteReleased().
    std::optional<ShardHandover> handover(int shard, std::span<const StrongerEntry> stronger,
                                          Instant now);
    // Returns the shard's handover if one was decided and the shard is not released yet.
    std::optional<ShardHandover> pendingHandover(int shard) const;
    // Records that this entry has released or lost the shard.
    void noteReleased(int shard);

private:
    struct PassedOver
    {
        std::vector<std::string> sessions;
        Instant at;
    };

    bool isPreferred(const StrongerEntry &it, Instant now) const;

    OwnerPreferenceSettings m_settings;
    std::map<int, Instant> m_ownerlessSince; // By shard.
    std::map<int, PassedOver> m_passedOver; // By shard: whom the claim in flight was deferred to.
    std::map<std::string, Instant> m_notPreferredUntil; // By session.
    std::optional<ShardHandover> m_handover; // Decided, but the shard is not released yet.
    std::optional<Instant> m_lastHandoverAt;
};

} // namespace savorywick
