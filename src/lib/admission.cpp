#include "savorywick/admission.h"

#include <algorithm>
#include <cmath>

namespace savorywick {

namespace {

constexpr std::int64_t bucketMs = 32; // Width of the deadline buckets that estimate a wait.
constexpr double serviceWeight = 0.05; // Of a new service time against all before it.
constexpr double deviationsInTime = 2; // Margin over the mean service time.

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
    , m_serviceMs(static_cast<double>(settings.firstServiceTime.count()))
{
    setTeams(teams);
}

void AdmissionQueue::setTeams(std::span<const TeamLimits> teams)
{
    for (auto &[name, team] : m_teams)
        team.limits.weight = 0;
    m_teams[""].limits = TeamLimits{};
    for (const TeamLimits &limits : teams) {
        Team &team = m_teams[limits.team];
        team.limits = limits;
        team.limits.weight = std::max(1, limits.weight);
    }
    m_weights = 0;
    for (auto it = m_teams.begin(); it != m_teams.end();) {
        const bool gone = it->second.limits.weight == 0;
        m_weights += it->second.limits.weight;
        it = gone && it->second.queue.empty() && it->second.running == 0 ? m_teams.erase(it)
                                                                         : std::next(it);
    }
}

AdmissionDecision AdmissionQueue::offer(const Offer &offer, int freeSlots, Instant now)
{
    Team &team = teamOf(offer.team);
    if (!inTime(offer.deadline, now))
        return refuse(RefusalReason::DeadlineTooShort, 0);
    if (freeSlots > 0 && mayRun(team) && !nextTeam(now)) {
        charge(team);
        start(team);
        return {AdmissionVerdict::Admitted, {}, {}};
    }
    const double ahead = static_cast<double>(aheadOf(team, offer.deadline));
    const double waitMs = (ahead + 1) / slotsPerMs(team);
    if (const auto reason = overBounds(team, offer))
        return refuse(*reason, waitMs);
    const double slackMs = static_cast<double>((offer.deadline - now - serviceTime()).count());
    const double longestWaitMs = m_settings.longestWaitShare * slackMs;
    if (waitMs > longestWaitMs)
        return refuse(RefusalReason::DeadlineTooShort, waitMs - longestWaitMs);
    insert(team, offer);
    return {AdmissionVerdict::Queued, {}, {}};
}

std::vector<Offer> AdmissionQueue::dispatch(int freeSlots, Instant now)
{
    std::vector<Offer> result;
    while (static_cast<int>(result.size()) < freeSlots) {
        Team *team = nextTeam(now);
        if (!team)
            break;
        const Instant earliest = now + serviceTime();
        charge(*team);
        result.push_back(remove(*team, team->queue.lower_bound(earliest)));
        start(*team);
    }
    return result;
}

std::vector<Offer> AdmissionQueue::expire(Instant now)
{
    std::vector<Offer> result;
    for (auto &[name, team] : m_teams) {
        while (!team.queue.empty() && !inTime(team.queue.begin()->first, now))
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

void AdmissionQueue::finished(std::string_view name, Millis serviceTime, Instant)
{
    Team &named = teamOf(name);
    // It may have been started for the unnamed team, and its own been set since.
    Team &team = named.running > 0 ? named : teamOf("");
    if (team.running == 0)
        return;
    --team.running;
    --m_running;
    const double error = static_cast<double>(serviceTime.count()) - m_serviceMs;
    m_serviceMs += serviceWeight * error;
    m_deviationMs += serviceWeight * (std::abs(error) - m_deviationMs);
}

Millis AdmissionQueue::serviceTime() const
{
    return Millis{std::llround(m_serviceMs + deviationsInTime * m_deviationMs)};
}

AdmissionQueue::Team &AdmissionQueue::teamOf(std::string_view name)
{
    const auto it = m_teams.find(name);
    return it == m_teams.end() ? m_teams.find("")->second : it->second;
}

bool AdmissionQueue::mayRun(const Team &team) const
{
    return team.limits.maxInFlight == 0 || team.running < team.limits.maxInFlight;
}

bool AdmissionQueue::inTime(Instant deadline, Instant now) const
{
    return now + serviceTime() <= deadline;
}

// Lets a team that had nothing queued start level with the others, not with what it did not use.
void AdmissionQueue::wakeUp(Team &team) const
{
    if (team.queue.empty())
        team.served = std::max(team.served, m_served);
}

// Returns the least served team that may run one more and has one that can still be in time.
AdmissionQueue::Team *AdmissionQueue::nextTeam(Instant now)
{
    Team *best = nullptr;
    if (m_queued == 0)
        return best;
    for (auto &[name, team] : m_teams) {
        if (team.queue.empty() || !mayRun(team) || !inTime(team.queue.rbegin()->first, now))
            continue;
        if (!best || team.served < best->served)
            best = &team;
    }
    return best;
}

void AdmissionQueue::charge(Team &team)
{
    wakeUp(team);
    m_served = std::max(m_served, team.served);
    team.served += 1.0 / std::max(1, team.limits.weight);
}

void AdmissionQueue::start(Team &team)
{
    ++team.running;
    ++m_running;
}

Offer AdmissionQueue::remove(Team &team, std::multimap<Instant, Offer>::iterator it)
{
    Offer offer = std::move(it->second);
    team.queue.erase(it);
    const auto bucket = team.queuedByBucket.find(offer.deadline.count() / bucketMs);
    if (--bucket->second == 0)
        team.queuedByBucket.erase(bucket);
    team.bytes -= offer.bytes;
    m_queuedBytes -= offer.bytes;
    --m_queued;
    return offer;
}

void AdmissionQueue::insert(Team &team, const Offer &offer)
{
    wakeUp(team);
    team.queue.emplace(offer.deadline, offer);
    ++team.queuedByBucket[offer.deadline.count() / bucketMs];
    team.bytes += offer.bytes;
    m_queuedBytes += offer.bytes;
    ++m_queued;
}

std::optional<RefusalReason> AdmissionQueue::overBounds(const Team &team, const Offer &offer) const
{
    const double share = static_cast<double>(team.limits.weight) / std::max(1, m_weights);
    if (static_cast<double>(team.queue.size() + 1)
        > share * static_cast<double>(m_settings.maxQueued))
        return RefusalReason::QueueFull;
    if (static_cast<double>(team.bytes + offer.bytes)
        > share * static_cast<double>(m_settings.maxQueuedBytes))
        return RefusalReason::QueueBytesFull;
    return std::nullopt;
}

std::size_t AdmissionQueue::aheadOf(const Team &team, Instant deadline) const
{
    std::size_t ahead = 0;
    for (const auto &[bucket, count] : team.queuedByBucket) {
        if (bucket > deadline.count() / bucketMs)
            break;
        ahead += count;
    }
    return ahead;
}

// Returns the part of all slots that the team gets while every team that waits now goes on waiting.
double AdmissionQueue::teamShare(const Team &team) const
{
    int weights = std::max(1, team.limits.weight);
    for (const auto &[name, other] : m_teams) {
        if (&other != &team && !other.queue.empty())
            weights += std::max(1, other.limits.weight);
    }
    return static_cast<double>(std::max(1, team.limits.weight)) / weights;
}

// Returns how many of the team's requests are started in a millisecond while it has some queued.
double AdmissionQueue::slotsPerMs(const Team &team) const
{
    double slots = std::max(1, m_running) * teamShare(team);
    if (team.limits.maxInFlight > 0)
        slots = std::min(slots, static_cast<double>(team.limits.maxInFlight));
    return slots / std::max(1.0, m_serviceMs);
}

AdmissionDecision AdmissionQueue::refuse(RefusalReason reason, double waitMs) const
{
    const Millis wait{std::llround(std::ceil(std::min(waitMs, 1e12)))};
    return {AdmissionVerdict::Refused, reason,
            std::clamp(wait, m_settings.shortestRetryAfter, m_settings.longestRetryAfter)};
}

} // namespace savorywick
