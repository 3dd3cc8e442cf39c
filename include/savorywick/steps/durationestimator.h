#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/job.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savorywick::steps {

// How fast a DurationEstimator learns and forgets.
struct DurationEstimatorSettings
{
    bool enabled = true; // Otherwise every duration is as the caller estimated it.
    Millis halfLife{120'000}; // The weight of a sample halves in this time.
    // With samples of this total weight, what is learned and the caller's estimate count alike.
    double estimateWeight = 10;
    // Below this total weight the distribution is not used to compare two runs.
    double minWeight = 20;
    std::size_t maxClasses = 1'024; // Beyond this, the class that was updated first is discarded.
};

// Tasks that are expected to deviate alike from their callers' estimates.
struct DurationClass
{
    std::string queue;
    int step = 0; // The position of the step in its job.
    // The power of two of the processors that the tasks request, apart for best-effort tasks and
    // for tasks with accelerators.
    int size = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
    auto operator<=>(const DurationClass &) const = default;
};

// Returns the class of the tasks of the job's step.
DurationClass durationClassOf(const JobSpec &job, int step);

// What is known of a run that may be overtaken by a new run of its task.
struct RunAge
{
    Millis elapsed; // Since it was started.
    int progressPercent = 0; // 0 if it has reported none.
    Millis startDelay; // Until the new run would start.
};

// Learns, for each class of tasks, the distribution of the ratio of actual duration to the
// caller's estimate.
//
// Use one for each owned shard, to correct the estimates that scheduling decisions rest on. A few
// samples change little; old samples lose their weight. Samples must be of complete runs at full
// speed that started from the beginning. Ratios are taken as between 1/16 and 16. Memory is
// bounded. Not thread-safe.
//
// Example:
//   DurationEstimator durations({});
//   durations.observe(job, 0, Millis{5'200}, now);
//   const Millis expected = durations.expectedDuration(job, 0, now);
class DurationEstimator
{
public:
    explicit DurationEstimator(const DurationEstimatorSettings &settings);
    ~DurationEstimator();
    DurationEstimator(const DurationEstimator &) = delete;
    DurationEstimator &operator=(const DurationEstimator &) = delete;

    // Records how long a task of the job's step took.
    void observe(const JobSpec &job, int step, Millis actual, Instant now);

    // Returns how long a task of the step is expected to take: the median. It is the caller's
    // estimate while nothing is known, and between a quarter of it and four times it.
    Millis expectedDuration(const JobSpec &job, int step, Instant now) const;
    // Returns the same for all steps of the job.
    std::vector<Millis> expectedDurations(const JobSpec &job, Instant now) const;
    // Returns how long all but one task in twenty take at most, within the same limits.
    Millis longDuration(const JobSpec &job, int step, Instant now) const;
    // Returns the probability that a new run of the task ends before the run that is described; 0
    // if too little is known. A run that has taken longer than all that are known is expected to
    // take as long again. If the run reports progress, the remaining time that follows from it
    // counts as well, and the lower probability is returned.
    double chanceToOvertake(const JobSpec &job, int step, const RunAge &run, Instant now) const;

    std::size_t classCount() const { return m_classes.size(); }

private:
    struct ClassState;

    const ClassState *find(const JobSpec &job, int step) const;
    double weightOf(const ClassState &state, Instant now) const;
    Millis corrected(const JobSpec &job, int step, const ClassState *state, double ratio,
                     Instant now) const;
    void discardOldestClass();

    DurationEstimatorSettings m_settings;
    std::map<DurationClass, std::unique_ptr<ClassState>> m_classes;
};

} // namespace savorywick::steps
