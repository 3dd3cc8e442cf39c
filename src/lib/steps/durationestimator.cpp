#include "savorywick/steps/durationestimator.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace savorywick::steps {

namespace {

namespace histogram = boost::histogram;

constexpr double minRatio = 1.0 / 16;
constexpr double maxRatio = 16;
// An odd number, so that the ratio 1 of an exact estimate is the centre of a bin. A bin is 6 %
// wide.
constexpr int binCount = 97;
// Limits the effect of a distribution on a duration.
constexpr double minCorrection = 1.0 / 4;
constexpr double maxCorrection = 4;

constexpr double longQuantile = 0.95;
constexpr int fullPercent = 100;
constexpr int minProgressPercent = 5; // Less progress tells too little of the remaining time.

using RatioAxis = histogram::axis::regular<double, histogram::axis::transform::log,
                                           boost::use_default, histogram::axis::option::none_t>;

auto makeRatioHistogram()
{
    return histogram::make_histogram_with(histogram::dense_storage<double>(),
                                          RatioAxis(binCount, minRatio, maxRatio));
}

using RatioHistogram = decltype(makeRatioHistogram());

double toDouble(Millis duration)
{
    return static_cast<double>(duration.count());
}

Millis scaled(Millis duration, double factor)
{
    return Millis{std::llround(toDouble(duration) * factor)};
}

// Returns the ratio below which the share `q` of the weight is; geometric within a bin.
double quantile(const RatioHistogram &ratios, double weight, double q)
{
    double below = 0;
    for (int i = 0; i < binCount; ++i) {
        const double inBin = ratios.at(i);
        if (inBin > 0 && below + inBin >= q * weight) {
            const auto bin = ratios.axis().bin(i);
            const double share = (q * weight - below) / inBin;
            return bin.lower() * std::pow(bin.upper() / bin.lower(), share);
        }
        below += inBin;
    }
    return maxRatio;
}

// Returns the share of the weight in the bins whose centre is below `ratio`.
double shareBelow(const RatioHistogram &ratios, double weight, double ratio)
{
    double below = 0;
    for (int i = 0; i < binCount && ratios.axis().bin(i).center() < ratio; ++i)
        below += ratios.at(i);
    return below / weight;
}

} // namespace

struct DurationEstimator::ClassState
{
    RatioHistogram ratios = makeRatioHistogram();
    double weight = 0; // Sum over the bins, as of `updatedAt`.
    double median = 1;
    double longRatio = 1;
    Instant updatedAt;

    // Returns the probability that a run which has taken `elapsed` so far takes longer than it
    // takes a new run, which starts after `delay`, to end; all as ratios to the estimate.
    double chanceByElapsed(double elapsed, double delay) const;
};

double DurationEstimator::ClassState::chanceByElapsed(double elapsed, double delay) const
{
    constexpr double minTail = 0.5; // Less than one recent sample is no distribution.
    double tail = 0;
    double overtaken = 0;
    for (int i = 0; i < binCount; ++i) {
        const double total = ratios.axis().bin(i).center();
        const double inBin = ratios.at(i);
        if (total <= elapsed || inBin <= 0)
            continue;
        tail += inBin;
        overtaken += inBin * shareBelow(ratios, weight, total - elapsed - delay);
    }
    return tail < minTail ? shareBelow(ratios, weight, elapsed - delay) : overtaken / tail;
}

DurationClass durationClassOf(const JobSpec &job, int step)
{
    constexpr int milliCoresPerUnit = 500;
    constexpr int bestEffortSizes = 100; // Above all powers of two of the others.
    constexpr int acceleratorSizes = 200;
    const StepSpec &spec = job.steps[step];
    const auto units =
        static_cast<unsigned>(std::max(spec.demand.milliCores, 0) / milliCoresPerUnit);
    const int size = static_cast<int>(std::bit_width(units))
        + (spec.bestEffort ? bestEffortSizes : 0)
        + (spec.demand.accelerators > 0 ? acceleratorSizes : 0);
    return {job.policy.queue, step, size};
}

DurationEstimator::DurationEstimator(const DurationEstimatorSettings &settings)
    : m_settings(settings)
{ }

DurationEstimator::~DurationEstimator() = default;

void DurationEstimator::observe(const JobSpec &job, int step, Millis actual, Instant now)
{
    const Millis estimate = job.steps[step].estimatedDuration;
    if (!m_settings.enabled || estimate <= Millis{0} || actual <= Millis{0})
        return;
    std::unique_ptr<ClassState> &known = m_classes[durationClassOf(job, step)];
    if (!known)
        known = std::make_unique<ClassState>();
    ClassState &state = *known;
    if (state.weight > 0) {
        const double kept = weightOf(state, now) / state.weight;
        state.ratios *= kept;
        state.weight *= kept;
    }
    constexpr double belowMax = 0.999 * maxRatio; // The last bin does not contain its bound.
    state.ratios(std::clamp(toDouble(actual) / toDouble(estimate), minRatio, belowMax));
    state.weight += 1;
    state.updatedAt = now;
    constexpr double half = 0.5;
    state.median = quantile(state.ratios, state.weight, half);
    state.longRatio = quantile(state.ratios, state.weight, longQuantile);
    if (m_classes.size() > m_settings.maxClasses)
        discardOldestClass();
}

void DurationEstimator::discardOldestClass()
{
    m_classes.erase(
        std::min_element(m_classes.begin(), m_classes.end(), [](const auto &a, const auto &b) {
            return a.second->updatedAt < b.second->updatedAt;
        }));
}

const DurationEstimator::ClassState *DurationEstimator::find(const JobSpec &job, int step) const
{
    if (m_classes.empty())
        return nullptr;
    const auto it = m_classes.find(durationClassOf(job, step));
    return it == m_classes.end() ? nullptr : it->second.get();
}

double DurationEstimator::weightOf(const ClassState &state, Instant now) const
{
    const Millis age = now - state.updatedAt;
    return state.weight * std::exp2(-toDouble(age) / toDouble(m_settings.halfLife));
}

// Returns the step's duration if it is expected to be `ratio` times the estimate: the fewer samples
// there are, the closer to the estimate.
Millis DurationEstimator::corrected(const JobSpec &job, int step, const ClassState *state,
                                    double ratio, Instant now) const
{
    const Millis estimate = job.steps[step].estimatedDuration;
    if (!state)
        return estimate;
    const double weight = weightOf(*state, now);
    const double trust = weight / (weight + m_settings.estimateWeight);
    return scaled(estimate, std::clamp(std::pow(ratio, trust), minCorrection, maxCorrection));
}

Millis DurationEstimator::expectedDuration(const JobSpec &job, int step, Instant now) const
{
    const ClassState *state = find(job, step);
    return corrected(job, step, state, state ? state->median : 1, now);
}

std::vector<Millis> DurationEstimator::expectedDurations(const JobSpec &job, Instant now) const
{
    std::vector<Millis> durations;
    durations.reserve(job.steps.size());
    for (int i = 0; i < static_cast<int>(job.steps.size()); ++i)
        durations.push_back(expectedDuration(job, i, now));
    return durations;
}

Millis DurationEstimator::longDuration(const JobSpec &job, int step, Instant now) const
{
    const ClassState *state = find(job, step);
    return corrected(job, step, state, state ? state->longRatio : 1, now);
}

double DurationEstimator::chanceToOvertake(const JobSpec &job, int step, const RunAge &run,
                                           Instant now) const
{
    const ClassState *state = find(job, step);
    const Millis estimate = job.steps[step].estimatedDuration;
    if (!state || estimate <= Millis{0} || weightOf(*state, now) < m_settings.minWeight)
        return 0;
    const double elapsed = toDouble(run.elapsed) / toDouble(estimate);
    const double delay = toDouble(run.startDelay) / toDouble(estimate);
    const double chance = state->chanceByElapsed(elapsed, delay);
    if (run.progressPercent < minProgressPercent)
        return chance;
    const double remaining = elapsed * (fullPercent - run.progressPercent) / run.progressPercent;
    return std::min(chance, shareBelow(state->ratios, state->weight, remaining - delay));
}

} // namespace savorywick::steps
