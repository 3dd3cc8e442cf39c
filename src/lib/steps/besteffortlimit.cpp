#include "savorywick/steps/besteffortlimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savorywick::steps {

namespace {

constexpr double missHeadroom = 1; // Below it the target is missed.
constexpr int negligibleMilliCores = 300; // A smaller load is not taken for the cause of a miss.
constexpr double nearlyUsed = 0.8; // Share of the limit.
constexpr double mostlySteady = 0.6; // Share of the load.
constexpr double cautiousScale = 0.25; // Of the step, near the load of a recent miss.
constexpr double headroomPerStep = 0.2; // Further headroom for each further step.

} // namespace

// Returns the limit before anything is known of the load that the worker bears.
double BestEffortLimit::initialLimit(int roomMilliCores, double headroom) const
{
    const double share = (headroom - missHeadroom) / (m_settings.ampleHeadroom - missHeadroom);
    return roomMilliCores * std::clamp(share, m_settings.minInitialShare, 1.0);
}

void BestEffortLimit::observe(const Measurement &measurement, Instant now)
{
    const auto it = m_workers.try_emplace(std::string(measurement.worker)).first;
    WorkerState &state = it->second;
    const int used = measurement.usedMilliCores;
    if (state.measuredAt == Instant{} || state.images != measurement.images) {
        state = {};
        state.images = measurement.images;
        if (measurement.lowestHeadroom < m_settings.ampleHeadroom)
            state.limit = initialLimit(measurement.roomMilliCores, measurement.lowestHeadroom);
        if (state.limit && measurement.lowestHeadroom >= m_settings.increaseAboveHeadroom)
            state.limit = std::max<double>(*state.limit, used);
        state.lastUsed = used;
    } else if (state.limit) {
        state.limit = limitFor({measurement.worker, measurement.images, measurement.roomMilliCores,
                                measurement.lowestHeadroom},
                               now);
    }
    // The headroom was measured beside at most this load. After a decrease that takes the load
    // down, the same load is the cause again, so the limit doesn't fall twice for it.
    const int peak = std::max(used, state.lastUsed);
    if (measurement.lowestHeadroom < m_settings.decreaseBelowHeadroom)
        decrease(state, peak, measurement.lowestHeadroom, now);
    else
        increase(state, measurement, now);
    state.lastUsed = used;
    state.measuredAt = now;
    state.prevented = false;
}

void BestEffortLimit::decrease(WorkerState &state, double load, double headroom, Instant now) const
{
    if (load < negligibleMilliCores)
        return;
    double factor = m_settings.decreaseFactor;
    if (headroom < missHeadroom) {
        factor = std::max(m_settings.missFactor * headroom, m_settings.minMissFactor);
        state.missedLoad = load;
        state.missedAt = now;
    }
    const double lowered = std::max<double>(load * factor, m_settings.minLimitMilliCores);
    state.limit = state.limit ? std::min(*state.limit, lowered) : lowered;
}

void BestEffortLimit::increase(WorkerState &state, const Measurement &measurement,
                               Instant now) const
{
    const double excess = measurement.lowestHeadroom - m_settings.increaseAboveHeadroom;
    if (!state.limit || excess < 0)
        return;
    const bool isUsed = state.prevented || measurement.usedMilliCores >= *state.limit * nearlyUsed;
    // Otherwise much of the load is so new that the measurement tells little about it.
    const bool isSteady = measurement.steadyMilliCores >= measurement.usedMilliCores * mostlySteady;
    if (!isUsed || !isSteady)
        return;
    double scale = std::clamp(excess / headroomPerStep, 1.0, m_settings.maxStepScale);
    const bool missedLately = state.missedAt && now - *state.missedAt < m_settings.missMemory;
    const double cautiousLimit = state.missedLoad * m_settings.cautiousAboveMiss;
    const bool nearMiss = missedLately && *state.limit > cautiousLimit;
    if (nearMiss)
        scale = cautiousScale;
    const double step =
        std::max<double>(*state.limit * m_settings.increaseStep, m_settings.minIncreaseMilliCores);
    *state.limit += step * scale;
    if (*state.limit >= measurement.roomMilliCores)
        state.limit.reset();
}

int BestEffortLimit::limitFor(const Prospect &prospect, Instant now) const
{
    const int room = prospect.roomMilliCores;
    const auto it = m_workers.find(prospect.worker);
    if (it == m_workers.end() || it->second.images != prospect.images)
        return static_cast<int>(initialLimit(room, prospect.expectedHeadroom));
    const WorkerState &state = it->second;
    if (!state.limit)
        return room;
    const Millis unmeasured = std::max(now - state.measuredAt - m_settings.holdTime, Millis{0});
    const double doublings = static_cast<double>(unmeasured.count())
        / static_cast<double>(m_settings.doublingTime.count());
    return static_cast<int>(std::min<double>(room, *state.limit * std::exp2(doublings)));
}

bool BestEffortLimit::notePrevented(std::string_view worker)
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && !std::exchange(it->second.prevented, true);
}

void BestEffortLimit::noteStop(const TaskRef &task, std::string_view images, Instant now)
{
    std::erase_if(m_stops, [&](const auto &it) { return it.second.until <= now; });
    m_stops[task] = {std::string(images), now + m_settings.stopMemory};
}

std::vector<std::string> BestEffortLimit::avoidedImages(const StepRef &step, Instant now) const
{
    std::vector<std::string> images;
    const TaskRef first{step.job, step.occurrence, step.step, 0};
    for (auto it = m_stops.lower_bound(first); it != m_stops.end() && it->first.stepRef() == step;
         ++it) {
        if (now < it->second.until)
            images.push_back(it->second.images);
    }
    return images;
}

void BestEffortLimit::removeWorker(std::string_view worker)
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end())
        m_workers.erase(it);
}

std::size_t BestEffortLimit::limitedWorkerCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_workers.begin(), m_workers.end(),
                      [](const auto &it) { return it.second.limit.has_value(); }));
}

} // namespace savorywick::steps
