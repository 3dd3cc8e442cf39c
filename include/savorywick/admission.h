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

// Why an urgent request was refused before it was run. Each has its own counter.
enum class RefusalReason {
    DeadlineTooShort, // It could not be answered in time, even if it were taken in.
    QueueFull, // Its team's part of the queue holds as many requests as it may.
    QueueBytesFull, // Its team's part of the queue holds as many bytes as it may.
    ExpiredInQueue, // It was queued, and can no longer be answered in time.
    NoInstance, // No instance of the service may be used now.
    StoreUnavailable, // It needs a durable claim and the store does not answer.
    ClaimsFull, // It needs a durable claim and its shard holds as many as it may.
    Draining, // This entry is shutting down; another one will take it.
};

inline constexpr std::array refusalReasons{
    RefusalReason::DeadlineTooShort, RefusalReason::QueueFull,  RefusalReason::QueueBytesFull,
    RefusalReason::ExpiredInQueue,   RefusalReason::NoInstance, RefusalReason::StoreUnavailable,
    RefusalReason::ClaimsFull,       RefusalReason::Draining,
};

// Returns the reason's name as it appears in answers and counters, such as "queue-full".
std::string_view toString(RefusalReason reason);

// What one team may take of a service. The team with the empty name stands for all unnamed ones.
struct TeamLimits
{
    std::string team;
    int weight = 1; // Its part of the slots and of the queue, against the other teams' weights.
    int maxInFlight = 0; // Its quota of requests run at once; 0 sets none.
};

struct AdmissionSettings
{
    std::size_t maxQueued = 2'000; // Requests, over all teams.
    std::size_t maxQueuedBytes = 64U << 20U; // Over all teams.
    double longestWaitShare = 0.5; // Of the time left before it must start; the rest is a reserve.
    Millis firstServiceTime{20}; // Stands in until service times are measured.
    Millis shortestRetryAfter{50};
    Millis longestRetryAfter{30'000};
};

// A request that asks to be run.
struct Offer
{
    std::uint64_t id = 0; // The caller's, unique among all that are queued.
    std::string team;
    std::size_t bytes = 0; // What it occupies in memory while it waits.
    Instant deadline; // By when its answer is due.
};

enum class AdmissionVerdict { Admitted, Queued, Refused };

struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Refused;
    RefusalReason reason = RefusalReason::QueueFull; // Set only if refused.
    Millis retryAfter; // When coming back may help; set only if refused.
};

// Decides which requests run, wait or are refused, so that overload is shed early and fairly.
//
// Use one for each service in each entry. Teams share free slots by weight, without holding slots
// back from a team that is alone; within a team the earliest deadline goes first. A request is
// taken in only if its team's measured drain rate lets it be answered in time. Memory is bounded
// by the settings, whatever is offered.
//
// Not thread-safe. All calls cost O(log n) in the queue's length but for expire(), which costs that
// for each request it returns.
//
// Example:
//   AdmissionQueue queue({}, teams);
//   const auto decision = queue.offer({7, "derwent", 512, deadline}, freeSlots, now);
//   queue.finished("derwent", Millis{12}, later); // Once for each request admitted or dispatched.
//   for (const Offer &it : queue.dispatch(freeSlots, later))
//       run(it);
class AdmissionQueue
{
public:
    AdmissionQueue(AdmissionSettings settings, std::span<const TeamLimits> teams);

    // Replaces the teams' limits. What is queued under a team that is gone stays queued under it.
    void setTeams(std::span<const TeamLimits> teams);

    // Decides on one request. Admitted takes one of the `freeSlots` at once; it is given only if
    // nothing that could run now is queued.
    AdmissionDecision offer(const Offer &offer, int freeSlots, Instant now);

    // Takes at most `freeSlots` requests out of the queue, to be run now. Never returns a request
    // that can no longer be answered in time; expire() returns those.
    std::vector<Offer> dispatch(int freeSlots, Instant now);

    // Removes and returns the queued requests that can no longer be answered in time.
    std::vector<Offer> expire(Instant now);
    // Removes a queued request whose caller has gone; false if it is not queued.
    bool cancel(std::string_view team, std::uint64_t id, Instant deadline);

    // Notes that a request admitted or dispatched for `team` has ended. `serviceTime` is the time
    // that it held its slot.
    void finished(std::string_view team, Millis serviceTime, Instant now);

    std::size_t queued() const { return m_queued; }
    std::size_t queuedBytes() const { return m_queuedBytes; }
    int running() const { return m_running; }
    // Returns the expected time between a request's start and its answer.
    Millis serviceTime() const;

private:
    struct Team
    {
        TeamLimits limits;
        std::multimap<Instant, Offer> queue; // By deadline.
        std::map<std::int64_t, std::size_t> queuedByBucket; // Counts, to estimate a wait quickly.
        std::size_t bytes = 0;
        int running = 0;
        double served = 0; // Slots taken over the weight; the least served goes next.
    };

    Team &teamOf(std::string_view name);
    bool mayRun(const Team &team) const;
    bool inTime(Instant deadline, Instant now) const;
    Team *nextTeam(Instant now);
    void wakeUp(Team &team) const;
    void charge(Team &team);
    void start(Team &team);
    Offer remove(Team &team, std::multimap<Instant, Offer>::iterator it);
    void insert(Team &team, const Offer &offer);
    std::optional<RefusalReason> overBounds(const Team &team, const Offer &offer) const;
    std::size_t aheadOf(const Team &team, Instant deadline) const;
    double teamShare(const Team &team) const;
    double slotsPerMs(const Team &team) const;
    AdmissionDecision refuse(RefusalReason reason, double waitMs) const;

    AdmissionSettings m_settings;
    std::map<std::string, Team, std::less<>> m_teams;
    int m_weights = 0; // Of all teams.
    std::size_t m_queued = 0;
    std::size_t m_queuedBytes = 0;
    int m_running = 0;
    double m_served = 0; // Where a team that was idle starts from.
    double m_serviceMs = 0;
    double m_deviationMs = 0;
};

} // namespace savorywick
