#pragma once

#include "node/shardrequest.h"
#include "savorywick/clock.h"
#include "savorywick/steps/jobadmission.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace savorywick {

struct AdmissionDigestSettings
{
    // It is off by default: an entry can't tell a new job from one that another entry has passed
    // on and whose caller repeats the request here, so a known job might get a 503.
    bool enabled = false;
    Millis maxAge{1'000}; // An older reply says nothing about the present backlog.
    std::size_t maxJobs = 4'096; // Bounds the memory of jobs that were passed on or refused.
};

// What an entry knows of the owners' backlogs from their latest replies, for each shard and queue.
//
// Use one in an entry, for the requests that it passes on to owners in other entries. A new job is
// refused at once if the same owner has refused one of its queue less than `maxAge` ago that had at
// least as much time and no more work. A job that this entry has passed on or refused before is
// always passed on: the owner may know it, and puts it before new ones. It is pure and not
// thread-safe.
//
// Example:
//   if (const auto refusal = digest.refusalOf(owner, shard, request, now))
//       return onReply(*refusal);
//   send(request, [&](const ShardReply &it) { digest.observe(owner, shard, request, it, now()); });
class AdmissionDigest
{
public:
    explicit AdmissionDigest(const AdmissionDigestSettings &settings);

    // Returns the refusal of the request, or nothing if the owner is to be asked.
    std::optional<ShardReply> refusalOf(const std::string &owner, int shard,
                                        const ShardRequest &request, Instant now);
    // Takes in the owner's reply. A job that was accepted ends the refusals.
    void observe(const std::string &owner, int shard, const ShardRequest &request,
                 const ShardReply &reply, Instant now);
    // Returns how many jobs were refused.
    std::uint64_t refusals() const { return m_refusals; }

private:
    struct Place
    {
        int shard = 0;
        std::string queue;

        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
        auto operator<=>(const Place &) const = default;
    };
    struct Refusal
    {
        std::string owner;
        Instant at;
        int priority = 0;
        steps::JobDemand demand;
        Millis retryAfter;
    };

    bool noteJob(const std::string &id);
    bool covers(const Refusal &refusal, const steps::JobSpec &spec) const;

    const AdmissionDigestSettings m_settings;
    const steps::BacklogEstimator m_demands; // Only to compute what a job requires.
    std::map<Place, Refusal> m_refusalsByPlace;
    std::set<std::string> m_jobs; // That were passed on or refused.
    std::deque<std::string> m_jobOrder; // The same, the earliest first.
    std::uint64_t m_refusals = 0;
};

} // namespace savorywick
