// Measures how far the predicted ends of tasks are off, with the callers' estimates and with
// learned durations. The callers of a queue are off by a constant factor, and each of its tasks
// deviates by up to a tenth from what is usual there; one in thirty takes seven times as long.

#include "report.h"

#include "savorywick/steps/durationestimator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::bench;
using namespace savorywick::steps;

namespace {

constexpr std::array factors{0.5, 0.8, 1.0, 1.25, 2.0}; // Actual duration by estimate, of a queue.
constexpr int tasksPerQueue = 600;
constexpr Millis taskInterval{1'000};
constexpr double slowFactor = 7;

struct Load
{
    std::string name;
    bool offByQueue = false; // Estimates are off by the queue's factor.
    bool hasSlowTasks = false;
};

JobSpec jobOf(std::size_t queue)
{
    JobSpec job;
    job.policy.queue = "q" + std::to_string(queue);
    job.steps.resize(1);
    job.steps.front().demand = {2'000, 1'000, 0};
    job.steps.front().estimatedDuration = Millis{5'000};
    return job;
}

double errorOf(Millis predicted, double actualMs)
{
    return std::abs(static_cast<double>(predicted.count()) - actualMs) / actualMs;
}

double shareWithinQuarter(const std::vector<double> &errors)
{
    constexpr double quarter = 0.25;
    const auto count =
        std::count_if(errors.begin(), errors.end(), [](double error) { return error <= quarter; });
    return 100.0 * static_cast<double>(count) / static_cast<double>(errors.size());
}

void measure(const Load &load)
{
    constexpr int slowOneIn = 30;
    std::mt19937 random(1);
    std::uniform_real_distribution<double> deviation(0.9, 1.1);
    std::uniform_int_distribution<int> slowness(1, slowOneIn);
    DurationEstimator durations({});
    std::vector<double> before;
    std::vector<double> after;
    Instant now{};
    for (int i = 0; i < tasksPerQueue; ++i) {
        now = now + taskInterval;
        for (std::size_t queue = 0; queue < factors.size(); ++queue) {
            const JobSpec job = jobOf(queue);
            const Millis estimate = job.steps.front().estimatedDuration;
            const bool slow = load.hasSlowTasks && slowness(random) == slowOneIn;
            const double ratio = deviation(random) * (load.offByQueue ? factors[queue] : 1)
                * (slow ? slowFactor : 1);
            const double actualMs = ratio * static_cast<double>(estimate.count());
            before.push_back(errorOf(estimate, actualMs));
            after.push_back(errorOf(durations.expectedDuration(job, 0, now), actualMs));
            durations.observe(job, 0, Millis{std::llround(actualMs)}, now);
        }
    }
    report("durations", load.name,
           {{"median_error_before", quantile(before, 0.5)},
            {"median_error_after", quantile(after, 0.5)},
            {"p90_error_before", quantile(before, 0.9)},
            {"p90_error_after", quantile(after, 0.9)},
            {"within_quarter_before_percent", shareWithinQuarter(before)},
            {"within_quarter_after_percent", shareWithinQuarter(after)}});
}

} // namespace

int main()
{
    reportTableHeader("load",
                      {"median error before", "after", "p90 before", "after",
                       "% within a quarter before", "after"});
    for (const Load &it : {
             Load{"exact estimates", false, false},
             Load{"off by up to two", true, false},
             Load{"one in thirty slow", false, true},
             Load{"both", true, true},
         })
        measure(it);
    return 0;
}
