#pragma once

#include "savorywick/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// Why an urgent request was refused without being run. Each reason has its own counter.
enum class RefusalReason {
    DeadlineTooShort, // The request could not be answered by its deadline if it were admitted.
    QueueFull, // Its team's share of the queue already holds the maximum number of requests.
    QueueBytesFull, // Its team's share of the queue already holds the maximum number of bytes.
    ExpiredInQueue, // It was queued and can no longer be answered by its deadline.
    NoInstance, // No instance of the service is available to this entry.
    StoreUnavailable, // It needs a durable claim and the store does not answer.
    ClaimsFull, // It needs a durable claim and its shard holds the maximum number of claims.
    Draining, // This entry is shutting down; another entry can serve the request.
};

inline constexpr std::array refusalReasons{
    RefusalReason::DeadlineTooShort, RefusalReason::QueueFull,  RefusalReason::QueueBytesFull,
    RefusalReason::ExpiredInQueue,   RefusalReason::NoInstance, RefusalReason::StoreUnavailable,
    RefusalReason::ClaimsFull,       RefusalReason::Draining,
};

// Returns the reason's name as it appears in answers and counters, such as "queue-full".
std::string_view toString(RefusalReason reason);

// The limits of one team's use of a service. The team with the empty name stands for all teams
// without limits of their own.
struct TeamLimits
{
    std::string team;
    int weight = 1; // Relative to the other teams' weights; divides the slots and the queue.
    int maxInFlight = 0; // Largest number of requests that run at once; 0 means no limit.
};

// The queue bounds and the estimates of an AdmissionQueue.
struct AdmissionSettings
{
    std::size_t maxQueuedRequests = 2'000; // Requests of all teams together.
    std::size_t maxQueuedBytes = 64U << 20U; // Bytes of all teams together.
    // The longest expected wait at which a request is queued, as a fraction of the time until it
    // must start to meet its deadline. The rest of that time is a reserve.
    double maxWaitFraction = 0.5;
    Millis initialServiceTime{20}; // The mean service time before any is measured.
    Millis minRetryAfter{50}; // Lower bound of AdmissionDecision::retryAfter.
    Millis maxRetryAfter{30'000}; // Upper bound of AdmissionDecision::retryAfter.
};

// A request that asks for a slot of the service.
struct AdmissionRequest
{
    std::uint64_t id = 0; // Set by the user of the queue; unique among the queued requests.
    std::string team;
    std::size_t bytes = 0; // Memory that the request occupies while it is queued.
    Instant deadline; // The time by which its answer is due.
};

// What happens to a request that was submitted to an AdmissionQueue.
enum class AdmissionVerdict { Admitted, Queued, Refused };

// The answer to one request for a slot.
struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Refused;
    RefusalReason reason = RefusalReason::QueueFull; // Valid only if the request was refused.
    Millis retryAfter; // Delay after which a retry may succeed; valid only if refused.
};

// Decides whether a request runs, waits or is refused, so that overload is shed early and fairly.
//
// Use one for each service in each entry. Scheduling is weighted fair queueing between teams and
// earliest deadline first within a team. It is work-conserving: a team that is alone may use every
// slot up to its own limit. A request is queued only if the rate at which its team's requests start
// lets it be answered by its deadline. The settings bound the memory, whatever the load.
//
// Not thread-safe. A call costs O(log n) in the length of the queue plus a walk over the teams;
// submit() also walks over the 32 ms deadline buckets of the request's team. dispatch() and
// expire() cost that for each request that they return.
//
// Example:
//   AdmissionQueue queue({}, teams);
//   const auto decision = queue.submit({7, "derwent", 512, deadline}, freeSlots, now);
//   queue.recordCompletion("derwent", Millis{12}, later); // Once for each request that ran.
//   for (const AdmissionRequest &it : queue.dispatch(freeSlots, later))
//       run(it);
class AdmissionQueue
{
public:
    // Creates an empty queue. Requests of a team that is not in `teams` share the limits of the
    // team with the empty name, which has weight 1 and no quota unless `teams` holds it.
    AdmissionQueue(AdmissionSettings settings, std::span<const TeamLimits> teams);

    // Replaces the limits of all teams. Requests of a team that is no longer in `teams` stay in
    // that team's queue until they are dispatched, expire or are cancelled.
    void setTeams(std::span<const TeamLimits> teams);

    // Returns the decision on one request. An admitted request takes one of the `freeSlots` at
    // once; a request is admitted only if no queued request could run now.
    AdmissionDecision submit(const AdmissionRequest &request, int freeSlots, Instant now);

    // Removes and returns at most `freeSlots` requests, which the caller must run now. Never
    // returns a request that can no longer be answered by its deadline; expire() returns those.
    std::vector<AdmissionRequest> dispatch(int freeSlots, Instant now);

    // Removes and returns the queued requests that can no longer be answered by their deadlines.
    std::vector<AdmissionRequest> expire(Instant now);
    // Removes a queued request, for example because its caller has disconnected. `deadline` must be
    // the one that it was queued with. Returns false if it is not queued.
    bool cancel(std::string_view team, std::uint64_t id, Instant deadline);

    // Records the end of a request that was admitted or dispatched for `team`. Call it once for
    // each. `serviceTime` is the time for which the request held its slot.
    void recordCompletion(std::string_view team, Millis serviceTime, Instant now);

    // Return the number and the total size of the queued requests of all teams.
    std::size_t queuedRequests() const { return m_queued; }
    std::size_t queuedBytes() const { return m_queuedBytes; }
    // Returns the number of requests that were admitted or dispatched and have not ended.
    int runningRequests() const { return m_running; }
    // Returns the expected time between a request's start and its answer, with a margin for its
    // variation.
    Millis expectedServiceTime() const;

private:
    struct Team
    {
        TeamLimits limits;
        std::multimap<Instant, AdmissionRequest> queue; // Keyed by deadline.
        // Request counts, which estimate a wait without a walk over the queue.
        std::map<std::int64_t, std::size_t> queuedByDeadlineBucket;
        std::size_t queuedBytes = 0;
        int running = 0;
        // Slots taken divided by the weight; the team with the smallest value is served next.
        double virtualTime = 0;
    };

    Team &teamOf(std::string_view name);
    bool belowConcurrencyLimit(const Team &team) const;
    bool canMeetDeadline(Instant deadline, Instant now) const;
    Team *nextTeam(Instant now);
    void catchUpIfIdle(Team &team) const;
    void chargeSlot(Team &team);
    void countStarted(Team &team);
    AdmissionRequest remove(Team &team, std::multimap<Instant, AdmissionRequest>::iterator it);
    void insert(Team &team, const AdmissionRequest &request);
    std::optional<RefusalReason> exceededLimit(const Team &team,
                                               const AdmissionRequest &request) const;
    std::size_t requestsAhead(const Team &team, Instant deadline) const;
    double slotShare(const Team &team) const;
    double startsPerMs(const Team &team) const;
    AdmissionDecision refuse(RefusalReason reason, double waitMs) const;

    AdmissionSettings m_settings;
    std::map<std::string, Team, std::less<>> m_teams;
    int m_totalWeight = 0;
    std::size_t m_queued = 0;
    std::size_t m_queuedBytes = 0;
    int m_running = 0;
    double m_virtualTime = 0; // The virtual time at which an idle team resumes.
    double m_meanServiceMs = 0;
    double m_meanDeviationMs = 0;
};

} // namespace savorywick
