#pragma once

#include "savorywick/clock.h"

#include <map>
#include <optional>

namespace savorywick::steps {

// When an owner gives up shards whose commits the store rejects.
struct StoreRejectionSettings
{
    bool handOver = true; // If false, it keeps them.
    // It gives them up once all commits of a shard have been rejected for this time, and so many of
    // them at least.
    Millis handOverAfter{1'500};
    int minRejections = 4;
    // For this time it claims no shards, so that they don't come back at once.
    Millis stayAwayFor{10'000};
};

// Decides when an entry whose commits the store rejects leaves its shards to other entries.
//
// A shard whose commits are rejected can't be released, since that is a commit too: the entry ends
// its session instead. It does so only if a renewal of another entry was seen after the rejections
// began, so that another entry can write to the store; an outage for all moves no shard. An unknown
// outcome is no rejection. Use one for each entry. It is pure and not thread-safe.
//
// Example:
//   rejection.commitEnded(shard, result.outcome == CommitOutcome::Unavailable, clock.now());
//   if (rejection.shardToHandOver(clock.now()))
//       endSession();
class StoreRejection
{
public:
    explicit StoreRejection(const StoreRejectionSettings &settings)
        : m_settings(settings)
    { }

    // Records that the store rejected a commit of the shard without effect, or answered it.
    void commitEnded(int shard, bool rejected, Instant now);
    // Forgets a shard that is not owned any more.
    void shardEnded(int shard);
    // Records when the last renewal of another entry was seen.
    void renewalSeen(Instant at);

    // Returns a shard because of which the entry must end its session now, or std::nullopt.
    std::optional<int> shardToHandOver(Instant now) const;
    // Records that the session was ended for it. All shards are forgotten.
    void handedOver(Instant now);
    // Returns true if and only if the entry may claim shards.
    bool mayClaim(Instant now) const;

private:
    struct Rejections
    {
        Instant since;
        int count = 0;
    };

    const StoreRejectionSettings m_settings;
    std::map<int, Rejections> m_rejected; // By shard.
    std::optional<Instant> m_renewalSeenAt;
    std::optional<Instant> m_handedOverAt;
};

} // namespace savorywick::steps
