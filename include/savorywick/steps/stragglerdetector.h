#pragma once

#include "savorywick/clock.h"
#include "savorywick/retrybudget.h"
#include "savorywick/steps/durationestimator.h"
#include "savorywick/steps/runtable.h"

#include <set>
#include <span>
#include <vector>

namespace savorywick::steps {

// When a task that takes long gets a second run.
struct StragglerSettings
{
    // Duplicates that each other run of a step that allows them adds to the budget; 0 disables
    // duplicates.
    double shareOfRuns = 0.1;
    double maxBalance = 5; // Duplicates that the budget holds at most.
    // The probability with which the duplicate must end before the first run.
    double minChance = 0.75;
    Millis startDelay{500}; // From the decision until the duplicate is assumed to start.
    Millis checkInterval{250};
};

// A run of a task that may get a duplicate.
struct RunningTask
{
    RunKey run;
    const JobSpec *job = nullptr; // Must not be null.
    Millis elapsed; // Since the run was started.
    int progressPercent = 0;
    int unfinishedTasks = 1; // Of its step, including this one.
};

// Decides which running tasks take so long that a second run is likely to end before the first, and
// how many such duplicates may be started.
//
// Use one for each owned shard. The budget is a share of the runs of steps that allow duplicates.
// It starts empty. Not thread-safe.
//
// Example:
//   StragglerDetector stragglers({}, durations, now);
//   stragglers.addRun(key, now);
//   for (const RunningTask &it : stragglers.select(running, later)) {
//       if (startElsewhere(it))
//           stragglers.addDuplicate(key, later);
//   }
class StragglerDetector
{
public:
    // `durations` must outlive the object.
    StragglerDetector(const StragglerSettings &settings, const DurationEstimator &durations,
                      Instant now);

    // Adds a run of a step that allows duplicates. Every run but duplicates and those of earlier
    // owners adds to the budget.
    void addRun(const RunKey &key, Instant now);
    void addAdopted(const RunKey &key) { m_runs.insert(key); }
    // Adds a duplicate and takes it off the budget.
    void addDuplicate(const RunKey &key, Instant now);
    void remove(const RunKey &key) { m_runs.erase(key); }
    // Returns the runs that were added and not removed.
    const std::set<RunKey> &runs() const { return m_runs; }

    // Returns true if and only if there are runs, the budget allows a duplicate, and the last
    // select() is long enough ago.
    bool isDue(Instant now);
    // Returns the tasks that should get a duplicate, as many as the budget allows. Those whose
    // steps wait for the fewest tasks are first, and of these the one that has run longest.
    std::vector<RunningTask> select(std::span<const RunningTask> running, Instant now);

private:
    StragglerSettings m_settings;
    const DurationEstimator &m_durations;
    RetryBudget m_budget;
    std::set<RunKey> m_runs;
    Instant m_nextCheckAt;
};

} // namespace savorywick::steps
