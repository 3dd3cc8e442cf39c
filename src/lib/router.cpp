#include "savorywick/router.h"

#include <algorithm>
#include <cmath>

namespace savorywick {

namespace {

// Weights of a new sample in the exponential moving averages: of one instance's latency, of the
// means over all instances, and of one instance's failure and slow rates. A failed connection
// counts twice as much as another failure.
constexpr double latencySmoothing = 0.2;
constexpr double meanSmoothing = 0.01;
constexpr double failureSmoothing = 0.2;
constexpr double connectFailureSmoothing = 0.4;
constexpr double slowLatencyMarginMs = 10; // Keeps jitter of short latencies from counting as slow.
constexpr double failureCostFactor = 10; // An instance that always fails costs 11 times as much.
constexpr double meanRateFactor = 1.5; // Rise of the ejection threshold with the mean rate.
constexpr double maxEjectionThreshold = 0.98;
constexpr double minRateAboveMean = 0.3; // An outlier exceeds the mean rate by at least this much.
constexpr double maxRateAfterProbe = 0.25; // A successful probe lowers the rates to this.
constexpr double cheaperCostRatio = 0.9; // Smaller differences are noise; the first draw wins.
constexpr int maxDrawsPerCandidate = 8; // Random draws before the fallback to a linear search.

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
    runDueTimers(now);
    for (auto &[id, instance] : m_instances) {
        removeFromFreeList(instance); // Before the new list changes its tier.
        instance.listed = false;
    }
    for (const InstanceInfo &info : instances) {
        Instance &instance = m_instances[info.id];
        instance.info = info;
        instance.tier = tierOf(info);
        instance.listed = true;
    }
    for (auto it = m_instances.begin(); it != m_instances.end();) {
        Instance &instance = (it++)->second; // eraseIfIdle() may invalidate the iterator.
        updateFreeList(instance);
        eraseIfIdle(instance.info.id);
    }
}

std::optional<std::string> Router::pick(std::span<const std::string> excluded, Instant now)
{
    runDueTimers(now);
    for (const auto &candidates : m_free) {
        if (Instance *instance = chooseCandidate(candidates, excluded, now)) {
            ++instance->inFlight;
            --m_freeSlots;
            updateFreeList(*instance);
            return instance->info.id;
        }
    }
    return std::nullopt;
}

void Router::recordCompletion(std::string_view id, AttemptOutcome outcome, Millis latency,
                              Instant now)
{
    runDueTimers(now);
    const auto it = m_instances.find(id);
    if (it == m_instances.end() || it->second.inFlight == 0)
        return;
    Instance &instance = it->second;
    removeFromFreeList(instance);
    --instance.inFlight;
    if (outcome == AttemptOutcome::TimedOut) {
        ++instance.heldAfterTimeout;
        m_timers.push({now + m_settings.slotHoldAfterTimeout, it->first, true});
    }
    const bool slow = isSlow(instance, latency);
    if (outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::TimedOut)
        recordLatency(instance, latency, now);
    if (outcome == AttemptOutcome::Answered)
        recordSuccess(instance, slow, now);
    else
        recordFailure(instance, outcome, now);
    updateFreeList(instance);
    eraseIfIdle(it->first);
}

int Router::slotsInUse(std::string_view id) const
{
    const auto it = m_instances.find(id);
    return it == m_instances.end() ? 0 : it->second.inFlight + it->second.heldAfterTimeout;
}

int Router::freeSlots(Instant now)
{
    runDueTimers(now);
    return m_freeSlots;
}

int Router::ejectedInstances(Instant now)
{
    runDueTimers(now);
    return m_ejectedCount;
}

void Router::runDueTimers(Instant now)
{
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        const auto it = m_instances.find(timer.id);
        if (it == m_instances.end())
            continue;
        Instance &instance = it->second;
        if (timer.releasesSlot) {
            removeFromFreeList(instance);
            --instance.heldAfterTimeout;
        } else if (instance.ejected && instance.ejectedUntil <= now) {
            instance.ejected = false;
            --m_ejectedCount;
        }
        updateFreeList(instance);
        eraseIfIdle(timer.id);
    }
}

Router::Tier Router::tierOf(const InstanceInfo &info) const
{
    if (info.region != m_settings.region)
        return Tier::OtherRegion;
    return info.availabilityZone == m_settings.availabilityZone ? Tier::SameZone : Tier::SameRegion;
}

int Router::freeSlotsOf(const Instance &instance)
{
    if (!instance.listed || instance.info.draining || instance.ejected)
        return 0;
    const int limit = instance.probing ? std::min(1, instance.info.slots) : instance.info.slots;
    return std::max(0, limit - instance.inFlight - instance.heldAfterTimeout);
}

// Puts the instance into its tier's free list if it has a free slot, and removes it otherwise.
void Router::updateFreeList(Instance &instance)
{
    const int freeSlots = freeSlotsOf(instance);
    if (freeSlots == 0) {
        removeFromFreeList(instance);
        return;
    }
    if (instance.freeIndex != notInFreeList)
        return;
    auto &free = m_free[static_cast<std::size_t>(instance.tier)];
    instance.freeIndex = free.size();
    free.push_back(&instance);
    m_freeSlots += freeSlots;
}

// Must be called before any change to what freeSlotsOf() returns, since it subtracts that from
// m_freeSlots. Only pick() adjusts m_freeSlots itself.
void Router::removeFromFreeList(Instance &instance)
{
    if (instance.freeIndex == notInFreeList)
        return;
    auto &free = m_free[static_cast<std::size_t>(instance.tier)];
    Instance *last = free.back();
    free[instance.freeIndex] = last;
    last->freeIndex = instance.freeIndex;
    free.pop_back();
    instance.freeIndex = notInFreeList;
    m_freeSlots -= freeSlotsOf(instance);
}

void Router::eraseIfIdle(const std::string &id)
{
    const auto it = m_instances.find(id);
    const Instance &instance = it->second;
    if (instance.listed || instance.inFlight + instance.heldAfterTimeout > 0)
        return;
    if (instance.ejected)
        --m_ejectedCount;
    m_instances.erase(it);
}

// Returns the instance's mean latency, which decays towards its tier's mean as it ages.
double Router::expectedLatencyMs(const Instance &instance, Instant now) const
{
    const double age = static_cast<double>((now - instance.latencyAt).count());
    const double halfLife = static_cast<double>(m_settings.latencyHalfLife.count());
    const double sampleWeight = instance.hasLatencySample ? std::exp2(-age / halfLife) : 0;
    const double tierMean = m_tierLatency[static_cast<std::size_t>(instance.tier)].meanMs;
    return tierMean + (instance.latencyMs - tierMean) * sampleWeight;
}

double Router::cost(const Instance &instance, Instant now) const
{
    const double load = static_cast<double>(instance.inFlight + instance.heldAfterTimeout + 1)
        / static_cast<double>(std::max(1, instance.info.slots));
    return (expectedLatencyMs(instance, now) + 1) * load
        * (1 + failureCostFactor * instance.failureRate);
}

Router::Instance *Router::chooseCandidate(const std::vector<Instance *> &candidates,
                                          std::span<const std::string> excluded, Instant now)
{
    const std::size_t choices = static_cast<std::size_t>(std::max(1, m_settings.candidatesPerPick));
    if (candidates.size() <= choices + excluded.size())
        return cheapestCandidate(candidates, excluded, now);
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    Instance *best = nullptr;
    double bestCost = 0;
    std::size_t compared = 0;
    for (std::size_t n = 0; n < choices * maxDrawsPerCandidate && compared < choices; ++n) {
        Instance *drawn = candidates[any(m_random)];
        if (drawn == best || contains(excluded, drawn->info.id))
            continue;
        ++compared;
        const double drawnCost = cost(*drawn, now);
        if (!best || drawnCost < bestCost * cheaperCostRatio) {
            best = drawn;
            bestCost = drawnCost;
        }
    }
    return best ? best : cheapestCandidate(candidates, excluded, now);
}

Router::Instance *Router::cheapestCandidate(const std::vector<Instance *> &candidates,
                                            std::span<const std::string> excluded,
                                            Instant now) const
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

void Router::recordLatency(Instance &instance, Millis latency, Instant now)
{
    const double sample = static_cast<double>(latency.count());
    const bool replacesMean = !instance.hasLatencySample || instance.probing;
    const double before = replacesMean ? sample : expectedLatencyMs(instance, now);
    instance.latencyMs = before + latencySmoothing * (sample - before);
    instance.latencyAt = now;
    instance.hasLatencySample = true;
    TierLatency &tierLatency = m_tierLatency[static_cast<std::size_t>(instance.tier)];
    ++tierLatency.samples;
    tierLatency.meanMs +=
        std::max(meanSmoothing, 1 / tierLatency.samples) * (sample - tierLatency.meanMs);
}

bool Router::isSlow(const Instance &instance, Millis latency) const
{
    const TierLatency &tierLatency = m_tierLatency[static_cast<std::size_t>(instance.tier)];
    const double threshold =
        m_settings.slowLatencyFactor * tierLatency.meanMs + slowLatencyMarginMs;
    return tierLatency.samples * meanSmoothing >= 1
        && static_cast<double>(latency.count()) > threshold;
}

void Router::recordSuccess(Instance &instance, bool slow, Instant now)
{
    const double slowSample = slow ? 1 : 0;
    instance.slowRate += failureSmoothing * (slowSample - instance.slowRate);
    m_meanSlowRate += meanSmoothing * (slowSample - m_meanSlowRate);
    instance.failureRate *= 1 - failureSmoothing;
    m_meanFailureRate *= 1 - meanSmoothing;
    if (instance.ejected)
        return; // The attempt started before the ejection.
    if (instance.probing ? slow : isOutlier(instance.slowRate, m_meanSlowRate)) {
        eject(instance, now);
        return;
    }
    instance.consecutiveEjections = 0;
    if (!instance.probing)
        return;
    instance.probing = false;
    instance.failureRate = std::min(instance.failureRate, maxRateAfterProbe);
    instance.slowRate = std::min(instance.slowRate, maxRateAfterProbe);
}

void Router::recordFailure(Instance &instance, AttemptOutcome outcome, Instant now)
{
    const bool connectFailed = outcome == AttemptOutcome::ConnectFailed;
    const double weight = connectFailed ? connectFailureSmoothing : failureSmoothing;
    instance.failureRate += weight * (1 - instance.failureRate);
    m_meanFailureRate += meanSmoothing * (1 - m_meanFailureRate);
    if (instance.probing || isOutlier(instance.failureRate, m_meanFailureRate))
        eject(instance, now);
}

// Returns whether an instance fails, or is slow, clearly more often than the mean. If all instances
// do so alike, the cause lies elsewhere and an ejection would only reduce capacity.
bool Router::isOutlier(double rate, double meanRate) const
{
    const double threshold = m_settings.ejectionThreshold + meanRateFactor * meanRate;
    return rate > std::min(threshold, maxEjectionThreshold) && rate > meanRate + minRateAboveMean;
}

void Router::eject(Instance &instance, Instant now)
{
    const double maxEjected =
        m_settings.maxEjectedFraction * static_cast<double>(m_instances.size());
    if (instance.ejected || m_ejectedCount + 1 > maxEjected)
        return;
    Millis duration = m_settings.baseEjectionTime;
    for (int n = 0; n < instance.consecutiveEjections && duration < m_settings.maxEjectionTime; ++n)
        duration = duration * 2;
    duration = std::min(duration, m_settings.maxEjectionTime);
    ++instance.consecutiveEjections;
    instance.ejected = true;
    instance.probing = true;
    instance.ejectedUntil = now + duration;
    ++m_ejectedCount;
    m_timers.push({instance.ejectedUntil, instance.info.id, false});
}

} // namespace savorywick
