#include "savorywick/admission.h"

#include <algorithm>
#include <cmath>

namespace savorywick {

namespace {

constexpr std::int64_t deadlineBucketMs = 32; // Resolution of the wait estimate.
constexpr double serviceTimeSmoothing = 0.05; // Weight of a new sample in the moving averages.
// Mean absolute deviations added to the mean service time, so that most requests stay below it.
constexpr double serviceTimeMarginDeviations = 2;
constexpr double maxWaitMs = 1e12; // Keeps the conversion of a wait to an integer in range.

} // namespace

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::DeadlineTooShort:
        return "deadline-too-short";
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::QueueBytesFull:
        return "queue-bytes-full";
    case RefusalReason::ExpiredInQueue:
        return "expired-in-queue";
    case RefusalReason::NoInstance:
        return "no-instance";
    case RefusalReason::StoreUnavailable:
        return "store-unavailable";
    case RefusalReason::ClaimsFull:
        return "claims-full";
    case RefusalReason::Draining:
        return "draining";
    }
    return "unnamed";
}

AdmissionQueue::AdmissionQueue(AdmissionSettings settings, std::span<const TeamLimits> teams)
    : m_settings(settings)
    , m_meanServiceMs(static_cast<double>(settings.initialServiceTime.count()))
{
    setTeams(teams);
}

void AdmissionQueue::setTeams(std::span<const TeamLimits> teams)
{
    for (auto &[name, team] : m_teams)
        team.limits.weight = 0; // Marks the team as removed until it is found in the new list.
    m_teams[""].limits = TeamLimits{};
    for (const TeamLimits &limits : teams) {
        Team &team = m_teams[limits.team];
        team.limits = limits;
        team.limits.weight = std::max(1, limits.weight);
    }
    m_totalWeight = 0;
    for (auto it = m_teams.begin(); it != m_teams.end();) {
        const bool removed = it->second.limits.weight == 0;
        m_totalWeight += it->second.limits.weight;
        it = removed && it->second.queue.empty() && it->second.running == 0 ? m_teams.erase(it)
                                                                            : std::next(it);
    }
}

AdmissionDecision AdmissionQueue::submit(const AdmissionRequest &request, int freeSlots,
                                         Instant now)
{
    Team &team = teamOf(request.team);
    if (!canMeetDeadline(request.deadline, now))
        return refuse(RefusalReason::DeadlineTooShort, 0);
    if (freeSlots > 0 && belowConcurrencyLimit(team) && !nextTeam(now)) {
        chargeSlot(team);
        countStarted(team);
        return {AdmissionVerdict::Admitted, {}, {}};
    }
    const double ahead = static_cast<double>(requestsAhead(team, request.deadline));
    const double waitMs = (ahead + 1) / startsPerMs(team);
    if (const auto reason = exceededLimit(team, request))
        return refuse(*reason, waitMs);
    const double slackMs =
        static_cast<double>((request.deadline - now - expectedServiceTime()).count());
    const double longestWaitMs = m_settings.maxWaitFraction * slackMs;
    if (waitMs > longestWaitMs)
        return refuse(RefusalReason::DeadlineTooShort, waitMs - longestWaitMs);
    insert(team, request);
    return {AdmissionVerdict::Queued, {}, {}};
}

std::vector<AdmissionRequest> AdmissionQueue::dispatch(int freeSlots, Instant now)
{
    std::vector<AdmissionRequest> result;
    while (static_cast<int>(result.size()) < freeSlots) {
        Team *team = nextTeam(now);
        if (!team)
            break;
        const Instant earliest = now + expectedServiceTime();
        chargeSlot(*team);
        result.push_back(remove(*team, team->queue.lower_bound(earliest)));
        countStarted(*team);
    }
    return result;
}

std::vector<AdmissionRequest> AdmissionQueue::expire(Instant now)
{
    std::vector<AdmissionRequest> result;
    for (auto &[name, team] : m_teams) {
        while (!team.queue.empty() && !canMeetDeadline(team.queue.begin()->first, now))
            result.push_back(remove(team, team.queue.begin()));
    }
    return result;
}

bool AdmissionQueue::cancel(std::string_view name, std::uint64_t id, Instant deadline)
{
    Team &team = teamOf(name);
    const auto [first, last] = team.queue.equal_range(deadline);
    const auto it =
        std::find_if(first, last, [&](const auto &entry) { return entry.second.id == id; });
    if (it == last)
        return false;
    remove(team, it);
    return true;
}

void AdmissionQueue::recordCompletion(std::string_view name, Millis serviceTime, Instant)
{
    Team &named = teamOf(name);
    // The request may have started under the team with the empty name, before setTeams() added its
    // own team.
    Team &team = named.running > 0 ? named : teamOf("");
    if (team.running == 0)
        return;
    --team.running;
    --m_running;
    const double error = static_cast<double>(serviceTime.count()) - m_meanServiceMs;
    m_meanServiceMs += serviceTimeSmoothing * error;
    m_meanDeviationMs += serviceTimeSmoothing * (std::abs(error) - m_meanDeviationMs);
}

Millis AdmissionQueue::expectedServiceTime() const
{
    return Millis{std::llround(m_meanServiceMs + serviceTimeMarginDeviations * m_meanDeviationMs)};
}

AdmissionQueue::Team &AdmissionQueue::teamOf(std::string_view name)
{
    const auto it = m_teams.find(name);
    return it == m_teams.end() ? m_teams.find("")->second : it->second;
}

bool AdmissionQueue::belowConcurrencyLimit(const Team &team) const
{
    return team.limits.maxInFlight == 0 || team.running < team.limits.maxInFlight;
}

bool AdmissionQueue::canMeetDeadline(Instant deadline, Instant now) const
{
    return now + expectedServiceTime() <= deadline;
}

// Brings an idle team to the current virtual time, so that it gets no credit for slots that it did
// not use while it was idle.
void AdmissionQueue::catchUpIfIdle(Team &team) const
{
    if (team.queue.empty())
        team.virtualTime = std::max(team.virtualTime, m_virtualTime);
}

// Returns the team with the smallest virtual time among those that are below their concurrency
// limit and have a queued request that can still meet its deadline.
AdmissionQueue::Team *AdmissionQueue::nextTeam(Instant now)
{
    Team *best = nullptr;
    if (m_queued == 0)
        return best;
    for (auto &[name, team] : m_teams) {
        if (team.queue.empty() || !belowConcurrencyLimit(team)
            || !canMeetDeadline(team.queue.rbegin()->first, now))
            continue;
        if (!best || team.virtualTime < best->virtualTime)
            best = &team;
    }
    return best;
}

// Advances the team's virtual time by one slot.
void AdmissionQueue::chargeSlot(Team &team)
{
    catchUpIfIdle(team);
    m_virtualTime = std::max(m_virtualTime, team.virtualTime);
    team.virtualTime += 1.0 / std::max(1, team.limits.weight);
}

void AdmissionQueue::countStarted(Team &team)
{
    ++team.running;
    ++m_running;
}

AdmissionRequest AdmissionQueue::remove(Team &team,
                                        std::multimap<Instant, AdmissionRequest>::iterator it)
{
    AdmissionRequest request = std::move(it->second);
    team.queue.erase(it);
    const auto bucket =
        team.queuedByDeadlineBucket.find(request.deadline.count() / deadlineBucketMs);
    if (--bucket->second == 0)
        team.queuedByDeadlineBucket.erase(bucket);
    team.queuedBytes -= request.bytes;
    m_queuedBytes -= request.bytes;
    --m_queued;
    return request;
}

void AdmissionQueue::insert(Team &team, const AdmissionRequest &request)
{
    catchUpIfIdle(team);
    team.queue.emplace(request.deadline, request);
    ++team.queuedByDeadlineBucket[request.deadline.count() / deadlineBucketMs];
    team.queuedBytes += request.bytes;
    m_queuedBytes += request.bytes;
    ++m_queued;
}

std::optional<RefusalReason> AdmissionQueue::exceededLimit(const Team &team,
                                                           const AdmissionRequest &request) const
{
    const double share = static_cast<double>(team.limits.weight) / std::max(1, m_totalWeight);
    if (static_cast<double>(team.queue.size() + 1)
        > share * static_cast<double>(m_settings.maxQueuedRequests))
        return RefusalReason::QueueFull;
    if (static_cast<double>(team.queuedBytes + request.bytes)
        > share * static_cast<double>(m_settings.maxQueuedBytes))
        return RefusalReason::QueueBytesFull;
    return std::nullopt;
}

// Returns the number of the team's queued requests that are due no later than `deadline`, rounded
// up to a whole deadline bucket.
std::size_t AdmissionQueue::requestsAhead(const Team &team, Instant deadline) const
{
    std::size_t ahead = 0;
    for (const auto &[bucket, count] : team.queuedByDeadlineBucket) {
        if (bucket > deadline.count() / deadlineBucketMs)
            break;
        ahead += count;
    }
    return ahead;
}

// Returns the fraction of all slots that the team gets while the teams with queued requests stay
// the same.
double AdmissionQueue::slotShare(const Team &team) const
{
    int weights = std::max(1, team.limits.weight);
    for (const auto &[name, other] : m_teams) {
        if (&other != &team && !other.queue.empty())
            weights += std::max(1, other.limits.weight);
    }
    return static_cast<double>(std::max(1, team.limits.weight)) / weights;
}

// Returns the rate at which the team's requests start while it has some queued.
double AdmissionQueue::startsPerMs(const Team &team) const
{
    double slots = std::max(1, m_running) * slotShare(team);
    if (team.limits.maxInFlight > 0)
        slots = std::min(slots, static_cast<double>(team.limits.maxInFlight));
    return slots / std::max(1.0, m_meanServiceMs);
}

AdmissionDecision AdmissionQueue::refuse(RefusalReason reason, double waitMs) const
{
    const Millis wait{std::llround(std::ceil(std::min(waitMs, maxWaitMs)))};
    return {AdmissionVerdict::Refused, reason,
            std::clamp(wait, m_settings.minRetryAfter, m_settings.maxRetryAfter)};
}

} // namespace savorywick
