#include "coordinatorharness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

constexpr int jobCount = 40;

int bestEffortRunCount(CoordinatorHarness &harness)
{
    int n = 0;
    for (const auto &[key, run] : harness.coordinator().runs().all())
        n += run.bestEffort ? 1 : 0;
    return n;
}

struct Limit
{
    const char *what;
    std::optional<int> runsPerHundredWorkers;
    bool isKept; // Else all that wait may start at once.
};

} // namespace

// Load: best-effort jobs queue for longer than it takes to relax the headroom that they must leave,
// beside long-running tasks without headroom on every worker. Without a limit all of them start, do
// harm, are stopped and start again.
TEST_CASE("A long queue of best-effort jobs starts few runs where headroom is lacking")
{
    for (const Limit &it : {Limit{"no limit", {}, false}, Limit{"half of the workers", 50, true}}) {
        CAPTURE(it.what);
        CoordinatorSettings settings;
        settings.relaxedRunsPerHundredWorkers = it.runsPerHundredWorkers;
        CoordinatorHarness harness(4, settings);
        StepSpec spread = longRunningTask();
        spread.taskCount = 4;
        spread.maxTasksPerWorker = 1;
        harness.submit("s", spread);
        harness.tailLatencyMs = 48; // The target is met with less than the usual headroom.
        harness.advance(Millis{3'000});
        for (int i = 0; i < jobCount; ++i)
            harness.submit("f" + std::to_string(i), bestEffortTask());
        int most = 0;
        for (Millis t; t < Millis{8'000}; t = t + Millis{100}) {
            harness.advance(Millis{100});
            most = std::max(most, bestEffortRunCount(harness));
        }
        CHECK(most >= 1); // None is starved for ever.
        CHECK((most <= 2) == it.isKept);
    }
}
