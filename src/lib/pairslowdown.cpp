#include "savorywick/pairslowdown.h"

#include <algorithm>
#include <cmath>

namespace savorywick {

namespace {

constexpr int loadSteps = 10;
constexpr double firstRate = 0.15; // Learning rate of a pair that is new, ...
constexpr double lastRate = 0.02; // ... and of one that is well known.
constexpr double rateHalvesAfter = 50; // Measurements of the pair.
constexpr double batchFreeRate = 0.05;
constexpr double meanShareRate = 0.01;
constexpr double largestExcess = 10.0;

// Where a load lies between two steps.
struct Knot
{
    int step = 0;
    double upperPart = 0;
};

Knot knotOf(double load)
{
    const double at = std::clamp(load, 0.0, 1.0) * loadSteps;
    const int step = std::min(static_cast<int>(at), loadSteps - 1);
    return {step, at - step};
}

// Returns the value of the nearest known step; `known` must not be empty.
double nearest(const std::map<int, double> &known, int step)
{
    const auto above = known.lower_bound(step);
    if (above == known.end())
        return known.rbegin()->second;
    if (above->first == step || above == known.begin())
        return above->second;
    const auto below = std::prev(above);
    return step - below->first <= above->first - step ? below->second : above->second;
}

double interpolate(const std::map<int, double> &known, const Knot &knot)
{
    const double lower = nearest(known, knot.step);
    const double upper = nearest(known, knot.step + 1);
    return lower + (upper - lower) * knot.upperPart;
}

} // namespace

double PairSlowdown::learn(std::string_view service, double load, double p99Ms,
                           std::span<const ClassShare> shares)
{
    if (!(p99Ms > 0) || !std::isfinite(p99Ms))
        return 0;
    Service &s = m_services[std::string(service)];
    const Knot knot = knotOf(load);
    const double known = expected(service, shares);
    for (const int step : {knot.step, knot.step + 1}) {
        if (!s.batchFree.contains(step))
            s.batchFree[step] = p99Ms / (1 + known);
    }
    const double batchFree = interpolate(s.batchFree, knot);
    const double excess = std::clamp(p99Ms / batchFree - 1, -0.9, largestExcess);
    const double error = std::clamp(excess - known, -1.0, 1.0);
    s.batchFree[knot.step] *= 1 + batchFreeRate * error * (1 - knot.upperPart);
    s.batchFree[knot.step + 1] *= 1 + batchFreeRate * error * knot.upperPart;

    blame(s, error, shares);
    return excess;
}

// Fits the classes to the error. Shares count as far as they differ from their mean: where all
// hosts are equally full, a batch-free p99 that is too low must not pass for slowdowns of every
// class.
void PairSlowdown::blame(Service &service, double error, std::span<const ClassShare> shares)
{
    for (const ClassShare &it : shares)
        service.byClass.try_emplace(it.runClass);
    double power = 0.02;
    for (auto &[runClass, pair] : service.byClass) {
        pair.share = 0;
        for (const ClassShare &it : shares)
            pair.share += it.runClass == runClass ? it.share : 0;
        pair.meanShare += meanShareRate * (pair.share - pair.meanShare);
        const double apart = pair.share - pair.meanShare;
        power += apart * apart;
    }
    for (auto &[runClass, pair] : service.byClass) {
        pair.samples += pair.share > 0 ? 1 : 0;
        const double rate = std::max(firstRate / (1 + pair.samples / rateHalvesAfter), lastRate);
        const double step = rate * error * (pair.share - pair.meanShare) / power;
        pair.slowdown = std::clamp(pair.slowdown + step, 0.0, largestExcess);
    }
}

double PairSlowdown::expected(std::string_view service, std::span<const ClassShare> shares) const
{
    double sum = 0;
    for (const ClassShare &it : shares)
        sum += slowdown(service, it.runClass) * it.share;
    return sum;
}

double PairSlowdown::slowdown(std::string_view service, std::string_view runClass) const
{
    const auto s = m_services.find(service);
    if (s == m_services.end())
        return 0;
    const auto it = s->second.byClass.find(runClass);
    return it == s->second.byClass.end() ? 0 : it->second.slowdown;
}

double PairSlowdown::batchFreeP99Ms(std::string_view service, double load) const
{
    const auto s = m_services.find(service);
    if (s == m_services.end() || s->second.batchFree.empty())
        return 0;
    return interpolate(s->second.batchFree, knotOf(load));
}

} // namespace savorywick
