#include "savorywick/steps/stragglerdetector.h"

#include <doctest/doctest.h>

#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

// Guards against duplicates that take the capacity of all other work when many tasks are slow, of
// tasks that take as long as usual, and of any others than the last task of a step.
TEST_CASE("A share of the runs may be duplicated and the last task of a step comes first")
{
    struct Case
    {
        double shareOfRuns;
        int runs;
        std::vector<int> selected;
    };
    constexpr Instant now{1'000'000};
    JobSpec job;
    job.steps.resize(1);
    job.steps.front().estimatedDuration = Millis{10'000};
    DurationEstimator durations({});
    for (int i = 0; i < 100; ++i)
        durations.observe(job, 0, Millis{9'000 + 20 * i}, now);
    const auto keyOf = [](int index) { return RunKey{{"a", 0, 0, index}, 1}; };
    const std::vector<RunningTask> running{
        {keyOf(0), &job, Millis{70'000}, 0, 5},  {keyOf(1), &job, Millis{9'000}, 0, 1},
        {keyOf(2), &job, Millis{60'000}, 0, 1},  {keyOf(3), &job, Millis{80'000}, 0, 5},
        {keyOf(4), &job, Millis{60'000}, 95, 1},
    };
    for (const Case &it :
         {Case{0.1, 9, {}}, Case{0.1, 21, {2, 3}}, Case{0.1, 999, {2, 3, 0}}, Case{0, 999, {}}}) {
        CAPTURE(it.runs);
        StragglerDetector stragglers({.shareOfRuns = it.shareOfRuns}, durations, now);
        for (int i = 0; i < it.runs; ++i)
            stragglers.addRun(keyOf(i), now);
        CHECK(stragglers.isDue(now) == !it.selected.empty());
        std::vector<int> selected;
        for (const RunningTask &task : stragglers.select(running, now)) {
            selected.push_back(task.run.task.index);
            stragglers.addDuplicate({task.run.task, 2}, now);
        }
        CHECK(selected == it.selected);
    }
}
