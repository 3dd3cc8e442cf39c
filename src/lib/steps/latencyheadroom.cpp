#include "savorywick/steps/latencyheadroom.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr double unknownPairCost = 0.02; // Headroom lost per processor of an unknown pair.
constexpr double maxCostPerCore = 0.7;
constexpr double costLearningRate = 0.1; // Part of an error that one observation corrects.
constexpr double costRegularization = 0.02; // Keeps small loads from getting a large cost.
constexpr double noisyHeadroom = 2; // Above it errors are mostly noise and get less weight.

constexpr double levelGain = 0.5;
constexpr double slopeGain = 0.3;
constexpr double slopeDecay = 0.98; // Factor on the slope at each observation.
// The more of the headroom best-effort work costs, the less an observation tells about the job.
constexpr double costUncertainty = 4;
constexpr double minSlopeSeconds = 0.5; // Shorter intervals would amplify noise in the slope.
constexpr double maxForecastSeconds = 2; // The slope is not extrapolated any further.
constexpr double initialTypicalLowest = 1.5; // Used until a job has been observed.
constexpr double lowestRiseRate = 0.004; // Rise of the lowest level to the current one, each time.
constexpr double typicalLowestRate = 0.01; // Weight of one observation in the moving average.

double secondsBetween(Instant from, Instant to)
{
    return static_cast<double>((to - from).count()) / 1'000;
}

} // namespace

LatencyHeadroomEstimator::LatencyHeadroomEstimator()
    : m_typicalLowest(initialTypicalLowest)
{ }

double LatencyHeadroomEstimator::HeadroomTrend::levelAt(Instant now) const
{
    return level + slope * std::min(secondsBetween(at, now), maxForecastSeconds);
}

double LatencyHeadroomEstimator::costPerCore(std::string_view longRunning,
                                             std::string_view bestEffort) const
{
    const auto costs = m_costPerCore.find(longRunning);
    if (costs == m_costPerCore.end())
        return unknownPairCost;
    const auto it = costs->second.find(bestEffort);
    return it == costs->second.end() ? unknownPairCost : it->second;
}

double LatencyHeadroomEstimator::headroomCost(std::string_view longRunning,
                                              const BestEffortLoad &bestEffort) const
{
    return costPerCore(longRunning, bestEffort.image) * bestEffort.cores;
}

double LatencyHeadroomEstimator::headroomCost(std::string_view longRunning,
                                              std::span<const BestEffortLoad> bestEffort) const
{
    double sum = 0;
    for (const BestEffortLoad &it : bestEffort)
        sum += headroomCost(longRunning, it);
    return sum;
}

LatencyHeadroomEstimator::HeadroomTrend &
LatencyHeadroomEstimator::findOrAddTrend(const Observation &observation, double headroomAlone,
                                         Instant now)
{
    const auto it = m_jobs.find(observation.job);
    if (it != m_jobs.end())
        return it->second;
    const HeadroomTrend trend{headroomAlone, 0, std::min(headroomAlone, m_typicalLowest), now};
    return m_jobs.emplace(observation.job, trend).first->second;
}

// Corrects the forecast of level and slope by the part of the error that is trusted.
void LatencyHeadroomEstimator::updateTrend(HeadroomTrend &trend, double headroomAlone, double cost,
                                           Instant now)
{
    const double seconds = secondsBetween(trend.at, now);
    const double forecast = trend.levelAt(now);
    const double correction = (headroomAlone - forecast) / (1 + costUncertainty * cost * cost);
    trend.level = forecast + levelGain * correction;
    trend.slope =
        (trend.slope + slopeGain * correction / std::max(seconds, minSlopeSeconds)) * slopeDecay;
    trend.lowest += (trend.level - trend.lowest) * lowestRiseRate;
    trend.lowest = std::min(trend.lowest, trend.level);
    trend.at = now;
    m_typicalLowest += (trend.lowest - m_typicalLowest) * typicalLowestRate;
}

void LatencyHeadroomEstimator::observe(const Observation &observation,
                                       std::span<const BestEffortLoad> bestEffort, Instant now)
{
    const double cost = headroomCost(observation.image, bestEffort);
    const double headroomAlone = observation.headroom + cost;
    HeadroomTrend &trend = findOrAddTrend(observation, headroomAlone, now);
    const double error = trend.levelAt(now) - headroomAlone;
    updateTrend(trend, headroomAlone, cost, now);
    updateCosts(observation, error, bestEffort);
}

// Distributes the error over the pairs of images in proportion to their share of the known cost.
void LatencyHeadroomEstimator::updateCosts(const Observation &observation, double error,
                                           std::span<const BestEffortLoad> bestEffort)
{
    const double scale = std::max(1.0, observation.headroom / noisyHeadroom);
    const double weightedError = std::clamp(error, -1.0, 1.0) / (scale * scale);
    double power = costRegularization;
    for (const BestEffortLoad &it : bestEffort)
        power += (costPerCore(observation.image, it.image) + unknownPairCost) * it.cores * it.cores;
    for (const BestEffortLoad &it : bestEffort) {
        const double cost = costPerCore(observation.image, it.image);
        const double share = (cost + unknownPairCost) * it.cores / power;
        m_costPerCore[std::string(observation.image)][it.image] =
            std::clamp(cost + costLearningRate * weightedError * share, 0.0, maxCostPerCore);
    }
}

double LatencyHeadroomEstimator::currentHeadroom(std::string_view job, Instant now) const
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? m_typicalLowest : it->second.levelAt(now);
}

double LatencyHeadroomEstimator::expectedHeadroom(std::string_view job, Instant now) const
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return m_typicalLowest;
    const double level = it->second.levelAt(now);
    return std::min(level, (level + it->second.lowest) / 2);
}

void LatencyHeadroomEstimator::forgetJob(std::string_view job)
{
    const auto it = m_jobs.find(job);
    if (it != m_jobs.end())
        m_jobs.erase(it);
}

} // namespace savorywick::steps
