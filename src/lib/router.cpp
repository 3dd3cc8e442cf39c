#include "savorywick/router.h"

#include <algorithm>
#include <cmath>

namespace savorywick {

namespace {

constexpr double latencyWeight = 0.2; // Of a new sample against all before it.
constexpr double typicalWeight = 0.01; // Of one sample in what is typical of all instances.
constexpr double latencyNoiseMs = 10; // A smaller difference makes no answer slow.
constexpr double failureWeight = 0.2;
constexpr double connectFailureWeight = 0.4;
constexpr double failureCost = 10; // How much a failing instance costs more than a sound one.
constexpr double typicalShareFactor = 1.5; // Raises the threshold when many instances do.
constexpr double highestThreshold = 0.98;
constexpr double clearMargin = 0.3; // Above what is typical.
constexpr double shareAfterProbe = 0.25;
constexpr double clearlyCheaper = 0.9; // Smaller differences are noise: the first draw wins.
constexpr int drawsPerChoice = 8; // Random draws before a choice falls back to a scan.

bool contains(std::span<const std::string> ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

Router::Router(RouterSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
{ }

void Router::setInstances(std::span<const InstanceInfo> instances, Instant now)
{
    runWakes(now);
    for (auto &[id, instance] : m_instances) {
        leaveFreeList(instance); // Its tier may change.
        instance.listed = false;
    }
    for (const InstanceInfo &info : instances) {
        Instance &instance = m_instances[info.id];
        instance.info = info;
        instance.tier = tierOf(info);
        instance.listed = true;
    }
    for (auto it = m_instances.begin(); it != m_instances.end();) {
        Instance &instance = (it++)->second; // Forgetting erases it.
        refresh(instance);
        forgetIfDone(instance.info.id);
    }
}

std::optional<std::string> Router::pick(std::span<const std::string> excluded, Instant now)
{
    runWakes(now);
    for (const auto &candidates : m_free) {
        if (Instance *instance = choose(candidates, excluded, now)) {
            ++instance->inFlight;
            --m_freeSlots;
            refresh(*instance);
            return instance->info.id;
        }
    }
    return std::nullopt;
}

void Router::finished(std::string_view id, AttemptOutcome outcome, Millis latency, Instant now)
{
    runWakes(now);
    const auto it = m_instances.find(id);
    if (it == m_instances.end() || it->second.inFlight == 0)
        return;
    Instance &instance = it->second;
    leaveFreeList(instance);
    --instance.inFlight;
    if (outcome == AttemptOutcome::TimedOut) {
        ++instance.held;
        m_wakes.push({now + m_settings.slotHoldAfterTimeout, it->first, true});
    }
    const bool slow = isSlow(instance, latency);
    if (outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::TimedOut)
        learnLatency(instance, latency, now);
    if (outcome == AttemptOutcome::Answered)
        learnSuccess(instance, slow, now);
    else
        learnFailure(instance, outcome, now);
    refresh(instance);
    forgetIfDone(it->first);
}

int Router::inFlight(std::string_view id) const
{
    const auto it = m_instances.find(id);
    return it == m_instances.end() ? 0 : it->second.inFlight + it->second.held;
}

int Router::freeSlots(Instant now)
{
    runWakes(now);
    return m_freeSlots;
}

int Router::suspendedInstances(Instant now)
{
    runWakes(now);
    return m_suspended;
}

void Router::runWakes(Instant now)
{
    while (!m_wakes.empty() && m_wakes.top().at <= now) {
        const Wake wake = m_wakes.top();
        m_wakes.pop();
        const auto it = m_instances.find(wake.id);
        if (it == m_instances.end())
            continue;
        Instance &instance = it->second;
        if (wake.releasesSlot) {
            leaveFreeList(instance);
            --instance.held;
        } else if (instance.suspended && instance.suspendedUntil <= now) {
            instance.suspended = false;
            --m_suspended;
        }
        refresh(instance);
        forgetIfDone(wake.id);
    }
}

Router::Tier Router::tierOf(const InstanceInfo &info) const
{
    if (info.region != m_settings.region)
        return Tier::Elsewhere;
    return info.availabilityZone == m_settings.availabilityZone ? Tier::SameZone : Tier::SameRegion;
}

int Router::spareSlots(const Instance &instance)
{
    if (!instance.listed || instance.info.leaving || instance.suspended)
        return 0;
    const int limit = instance.probing ? std::min(1, instance.info.slots) : instance.info.slots;
    return std::max(0, limit - instance.inFlight - instance.held);
}

// Puts the instance into its tier's free list if and only if it has a spare slot.
void Router::refresh(Instance &instance)
{
    const int spare = spareSlots(instance);
    if (spare == 0) {
        leaveFreeList(instance);
        return;
    }
    if (instance.freeIndex != notFree)
        return;
    auto &free = m_free[static_cast<std::size_t>(instance.tier)];
    instance.freeIndex = free.size();
    free.push_back(&instance);
    m_freeSlots += spare;
}

// Must be called before anything changes what spareSlots() returns, but for pick().
void Router::leaveFreeList(Instance &instance)
{
    if (instance.freeIndex == notFree)
        return;
    auto &free = m_free[static_cast<std::size_t>(instance.tier)];
    Instance *last = free.back();
    free[instance.freeIndex] = last;
    last->freeIndex = instance.freeIndex;
    free.pop_back();
    instance.freeIndex = notFree;
    m_freeSlots -= spareSlots(instance);
}

void Router::forgetIfDone(const std::string &id)
{
    const auto it = m_instances.find(id);
    const Instance &instance = it->second;
    if (instance.listed || instance.inFlight + instance.held > 0)
        return;
    if (instance.suspended)
        --m_suspended;
    m_instances.erase(it);
}

// Returns what was learned of the instance; it fades into the typical latency as it ages.
double Router::latencyOf(const Instance &instance, Instant now) const
{
    const double age = static_cast<double>((now - instance.latencyAt).count());
    const double halfLife = static_cast<double>(m_settings.latencyHalfLife.count());
    const double memory = instance.sampled ? std::exp2(-age / halfLife) : 0;
    const double typical = m_typicalLatency[static_cast<std::size_t>(instance.tier)].ms;
    return typical + (instance.latencyMs - typical) * memory;
}

double Router::cost(const Instance &instance, Instant now) const
{
    const double load = static_cast<double>(instance.inFlight + instance.held + 1)
        / static_cast<double>(std::max(1, instance.info.slots));
    return (latencyOf(instance, now) + 1) * load * (1 + failureCost * instance.failureShare);
}

Router::Instance *Router::choose(const std::vector<Instance *> &candidates,
                                 std::span<const std::string> excluded, Instant now)
{
    const std::size_t choices = static_cast<std::size_t>(std::max(1, m_settings.choices));
    if (candidates.size() <= choices + excluded.size())
        return scan(candidates, excluded, now);
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    Instance *best = nullptr;
    double bestCost = 0;
    std::size_t compared = 0;
    for (std::size_t n = 0; n < choices * drawsPerChoice && compared < choices; ++n) {
        Instance *drawn = candidates[any(m_random)];
        if (drawn == best || contains(excluded, drawn->info.id))
            continue;
        ++compared;
        const double drawnCost = cost(*drawn, now);
        if (!best || drawnCost < bestCost * clearlyCheaper) {
            best = drawn;
            bestCost = drawnCost;
        }
    }
    return best ? best : scan(candidates, excluded, now);
}

Router::Instance *Router::scan(const std::vector<Instance *> &candidates,
                               std::span<const std::string> excluded, Instant now) const
{
    Instance *best = nullptr;
    for (Instance *it : candidates) {
        if (contains(excluded, it->info.id))
            continue;
        if (!best || cost(*it, now) < cost(*best, now))
            best = it;
    }
    return best;
}

void Router::learnLatency(Instance &instance, Millis latency, Instant now)
{
    const double sample = static_cast<double>(latency.count());
    const bool startsAnew = !instance.sampled || instance.probing;
    const double before = startsAnew ? sample : latencyOf(instance, now);
    instance.latencyMs = before + latencyWeight * (sample - before);
    instance.latencyAt = now;
    instance.sampled = true;
    TypicalLatency &typical = m_typicalLatency[static_cast<std::size_t>(instance.tier)];
    ++typical.samples;
    typical.ms += std::max(typicalWeight, 1 / typical.samples) * (sample - typical.ms);
}

bool Router::isSlow(const Instance &instance, Millis latency) const
{
    const TypicalLatency &typical = m_typicalLatency[static_cast<std::size_t>(instance.tier)];
    const double threshold = m_settings.slowLatencyFactor * typical.ms + latencyNoiseMs;
    return typical.samples * typicalWeight >= 1 && static_cast<double>(latency.count()) > threshold;
}

void Router::learnSuccess(Instance &instance, bool slow, Instant now)
{
    const double slowSample = slow ? 1 : 0;
    instance.slowShare += failureWeight * (slowSample - instance.slowShare);
    m_typicalSlowShare += typicalWeight * (slowSample - m_typicalSlowShare);
    instance.failureShare *= 1 - failureWeight;
    m_typicalFailureShare *= 1 - typicalWeight;
    if (instance.suspended)
        return; // Sent before the suspension.
    if (instance.probing ? slow : isOutlier(instance.slowShare, m_typicalSlowShare)) {
        suspend(instance, now);
        return;
    }
    instance.suspensionsInRow = 0;
    if (!instance.probing)
        return;
    instance.probing = false;
    instance.failureShare = std::min(instance.failureShare, shareAfterProbe);
    instance.slowShare = std::min(instance.slowShare, shareAfterProbe);
}

void Router::learnFailure(Instance &instance, AttemptOutcome outcome, Instant now)
{
    const bool unreachable = outcome == AttemptOutcome::ConnectFailed;
    const double weight = unreachable ? connectFailureWeight : failureWeight;
    instance.failureShare += weight * (1 - instance.failureShare);
    m_typicalFailureShare += typicalWeight * (1 - m_typicalFailureShare);
    if (instance.probing || isOutlier(instance.failureShare, m_typicalFailureShare))
        suspend(instance, now);
}

// Tells whether an instance fails, or is slow, clearly more often than what is typical. When all
// are alike, the fault is not an instance's, and a suspension would only cost slots.
bool Router::isOutlier(double share, double typicalShare) const
{
    const double raised = m_settings.suspendAboveShare + typicalShareFactor * typicalShare;
    return share > std::min(raised, highestThreshold) && share > typicalShare + clearMargin;
}

void Router::suspend(Instance &instance, Instant now)
{
    const double most = m_settings.largestSuspendedShare * static_cast<double>(m_instances.size());
    if (instance.suspended || m_suspended + 1 > most)
        return;
    Millis span = m_settings.firstSuspension;
    for (int n = 0; n < instance.suspensionsInRow && span < m_settings.longestSuspension; ++n)
        span = span * 2;
    span = std::min(span, m_settings.longestSuspension);
    ++instance.suspensionsInRow;
    instance.suspended = true;
    instance.probing = true;
    instance.suspendedUntil = now + span;
    ++m_suspended;
    m_wakes.push({instance.suspendedUntil, instance.info.id, false});
}

} // namespace savorywick
