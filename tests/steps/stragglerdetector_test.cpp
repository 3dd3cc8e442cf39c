#include "savorywick/steps/stragglerdetector.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr Instant now{1'000'000};

JobSpec jobOf()
{
    JobSpec job;
    job.id = "a";
    job.policy.queue = "q";
    job.steps.resize(1);
    job.steps.front().estimatedDuration = Millis{10'000};
    return job;
}

RunKey keyOf(int index)
{
    return {{"a", 0, 0, index}, 1};
}

// Knows that tasks of the job take ten seconds.
struct Fixture
{
    explicit Fixture(const StragglerSettings &settings, int runs)
        : stragglers(settings, durations, now)
    {
        for (int i = 0; i < 100; ++i)
            durations.observe(job, 0, Millis{9'000 + 20 * i}, now);
        for (int i = 0; i < runs; ++i)
            stragglers.addRun(keyOf(i), now);
    }

    // Returns the indexes of the selected tasks.
    std::vector<int> select(const std::vector<RunningTask> &running)
    {
        std::vector<int> indexes;
        for (const RunningTask &it : stragglers.select(running, now))
            indexes.push_back(it.run.task.index);
        return indexes;
    }

    JobSpec job = jobOf();
    DurationEstimator durations{DurationEstimatorSettings{}};
    StragglerDetector stragglers;
};

} // namespace

// Guards against duplicates that take the capacity of all other work when many tasks are slow, and
// against any duplicates though they are disabled.
TEST_CASE("The number of duplicates is a share of the runs")
{
    struct Case
    {
        double shareOfRuns;
        int runs;
        std::size_t selected;
    };
    for (const Case &it :
         {Case{0.1, 9, 0}, Case{0.1, 21, 2}, Case{0.1, 1'000, 5}, Case{0, 1'000, 0}}) {
        CAPTURE(it.shareOfRuns);
        CAPTURE(it.runs);
        Fixture fixture({.shareOfRuns = it.shareOfRuns}, it.runs);
        std::vector<RunningTask> running;
        running.reserve(it.runs);
        for (int i = 0; i < it.runs; ++i)
            running.push_back({keyOf(i), &fixture.job, Millis{60'000}});
        CHECK(fixture.stragglers.isDue(now) == (it.selected > 0));
        CHECK(fixture.select(running).size() == it.selected);
        for (std::size_t i = 0; i < it.selected; ++i)
            fixture.stragglers.addDuplicate({keyOf(0).task, 2}, now);
        CHECK(fixture.select(running).empty());
    }
}

// Guards against a step that waits for its last task while others get the duplicates, and against
// duplicates of tasks that take as long as usual.
TEST_CASE("The last task of a step comes first and usual ones do not come at all")
{
    Fixture fixture({}, 50);
    const std::vector<RunningTask> running{
        {keyOf(0), &fixture.job, Millis{70'000}, 0, 5},
        {keyOf(1), &fixture.job, Millis{9'000}, 0, 1},
        {keyOf(2), &fixture.job, Millis{60'000}, 0, 1},
        {keyOf(3), &fixture.job, Millis{80'000}, 0, 5},
        {keyOf(4), &fixture.job, Millis{60'000}, 95, 1},
    };
    CHECK(fixture.select(running) == std::vector<int>{2, 3, 0});
    CHECK_FALSE(fixture.stragglers.isDue(now + Millis{100}));
    CHECK(fixture.stragglers.isDue(now + Millis{250}));
}
