#include "savorywick/slowdownmodel.h"

#include <algorithm>
#include <cmath>

namespace savorywick {

namespace {

constexpr int loadLevels = 10; // Intervals into which the load is divided for baselines.
// The learning rate of a pair starts at the initial rate, is half of it after this many
// measurements, and never falls below the least one.
constexpr double initialLearningRate = 0.15;
constexpr double learningRateHalvingSamples = 50;
constexpr double minLearningRate = 0.02;
constexpr double baselineLearningRate = 0.05;
constexpr double meanShareRate = 0.01; // Weight of a measurement in the mean share of a class.
constexpr double regularisation = 0.02; // Bounds corrections if all shares are near their means.
constexpr double minSlowdown = -0.9;
constexpr double maxSlowdown = 10.0;
constexpr double maxError = 1.0; // Limits the effect of a single outlier.

// A load between two adjacent levels.
struct LoadPosition
{
    int level = 0; // The lower level.
    double fraction = 0; // Distance from the lower level, 0 to 1 for the upper one.
};

LoadPosition positionOf(double load)
{
    const double scaled = std::clamp(load, 0.0, 1.0) * loadLevels;
    const int level = std::min(static_cast<int>(scaled), loadLevels - 1);
    return {level, scaled - level};
}

// Returns the value at the known level nearest to `level`; `known` must not be empty.
double nearest(const std::map<int, double> &known, int level)
{
    const auto above = known.lower_bound(level);
    if (above == known.end())
        return known.rbegin()->second;
    if (above->first == level || above == known.begin())
        return above->second;
    const auto below = std::prev(above);
    return level - below->first <= above->first - level ? below->second : above->second;
}

double interpolate(const std::map<int, double> &known, const LoadPosition &position)
{
    const double lower = nearest(known, position.level);
    const double upper = nearest(known, position.level + 1);
    return lower + (upper - lower) * position.fraction;
}

} // namespace

double SlowdownModel::learn(std::string_view service, double load, double p99Ms,
                            std::span<const ClassShare> shares)
{
    if (!(p99Ms > 0) || !std::isfinite(p99Ms))
        return 0;
    Service &s = m_services[std::string(service)];
    const LoadPosition position = positionOf(load);
    const double predicted = predict(service, shares);
    for (const int level : {position.level, position.level + 1}) {
        if (!s.baselineMs.contains(level))
            s.baselineMs[level] = p99Ms / (1 + predicted);
    }
    const double baselineMs = interpolate(s.baselineMs, position);
    const double slowdown = std::clamp(p99Ms / baselineMs - 1, minSlowdown, maxSlowdown);
    const double error = std::clamp(slowdown - predicted, -maxError, maxError);
    s.baselineMs[position.level] *= 1 + baselineLearningRate * error * (1 - position.fraction);
    s.baselineMs[position.level + 1] *= 1 + baselineLearningRate * error * position.fraction;

    updateCoefficients(s, error, shares);
    return slowdown;
}

// Takes one step of normalised least mean squares. The inputs are the deviations of the shares from
// their means: if all hosts are equally full, a baseline that is too low must not be mistaken for a
// slowdown by every class.
void SlowdownModel::updateCoefficients(Service &service, double error,
                                       std::span<const ClassShare> shares)
{
    for (const ClassShare &it : shares)
        service.classes.try_emplace(it.runClass);
    double power = regularisation;
    for (auto &[runClass, state] : service.classes) {
        state.share = 0;
        for (const ClassShare &it : shares)
            state.share += it.runClass == runClass ? it.share : 0;
        state.meanShare += meanShareRate * (state.share - state.meanShare);
        const double deviation = state.share - state.meanShare;
        power += deviation * deviation;
    }
    for (auto &[runClass, state] : service.classes) {
        state.samples += state.share > 0 ? 1 : 0;
        const double rate =
            std::max(initialLearningRate / (1 + state.samples / learningRateHalvingSamples),
                     minLearningRate);
        const double correction = rate * error * (state.share - state.meanShare) / power;
        state.coefficient = std::clamp(state.coefficient + correction, 0.0, maxSlowdown);
    }
}

double SlowdownModel::predict(std::string_view service, std::span<const ClassShare> shares) const
{
    double sum = 0;
    for (const ClassShare &it : shares)
        sum += coefficient(service, it.runClass) * it.share;
    return sum;
}

double SlowdownModel::coefficient(std::string_view service, std::string_view runClass) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end())
        return 0;
    const auto it = known->second.classes.find(runClass);
    return it == known->second.classes.end() ? 0 : it->second.coefficient;
}

double SlowdownModel::baselineP99Ms(std::string_view service, double load) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end() || known->second.baselineMs.empty())
        return 0;
    return interpolate(known->second.baselineMs, positionOf(load));
}

} // namespace savorywick
