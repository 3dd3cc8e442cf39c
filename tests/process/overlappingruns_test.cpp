#include "harness.h"

#include <doctest/doctest.h>

#include <functional>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{60'000};
constexpr Millis leaseExpiryWait{3'000};
constexpr int runCount = 6;

// The faults that are injected around a set of runs.
struct FaultScenario
{
    std::string name;
    std::function<void(Cluster &)> beforeSubmit;
    std::function<void(Cluster &)> whileRunning; // Called once all runs have started, if set.
};

void noFault(Cluster & /*cluster*/) { }

int runningTaskCount(Cluster &cluster)
{
    int n = 0;
    for (int i = 0; i < 4; ++i)
        n += int(cluster.stats(cluster.worker(i))["running"].size());
    return n;
}

// Submits runs, injects the scenario's faults, and checks that all runs finish and that no run was
// ever executed twice at once.
void checkRunsDoNotOverlap(const FaultScenario &scenario)
{
    CAPTURE(scenario.name);
    Cluster cluster({.upstreams = 0, .workers = 4});
    scenario.beforeSubmit(cluster);
    std::vector<std::string> ids(runCount);
    for (int i = 0; i < runCount; ++i)
        ids[std::size_t(i)] = cluster.submit(0, "runs", "refresh", R"({"durationMs":4000})",
                                             "run-" + std::to_string(i));
    if (scenario.whileRunning)
        REQUIRE(eventually(waitLimit, [&] { return runningTaskCount(cluster) == runCount; }));
    if (scenario.whileRunning)
        scenario.whileRunning(cluster);
    for (const std::string &it : ids)
        CHECK(cluster.waitForFinalState(1, "runs", it, waitLimit) == "finished");
    for (const std::string &it : cluster.overlappingRuns())
        FAIL_CHECK("two executions of one run overlapped: " << it);
}

} // namespace

TEST_CASE("A run on an unreachable worker moves only after the worker has stopped it")
{
    checkRunsDoNotOverlap({"worker unreachable", noFault, [](Cluster &cluster) {
                               cluster.setFaults(cluster.worker(0), R"({"refuse":true})");
                           }});
}

TEST_CASE("A run whose worker is paused past its lease moves once")
{
    checkRunsDoNotOverlap({"worker paused", noFault, [](Cluster &cluster) {
                               cluster.pauseWorker(0);
                               sleepFor(leaseExpiryWait);
                               cluster.worker(0).resume();
                           }});
}

TEST_CASE("A run whose entry is killed right after accepting it never runs twice at once")
{
    checkRunsDoNotOverlap(
        {"entry killed", noFault, [](Cluster &cluster) { cluster.entry(0).kill(); }});
    checkRunsDoNotOverlap({"entry killed before the start",
                           [](Cluster &cluster) {
                               for (int i = 0; i < 4; ++i)
                                   cluster.setFaults(cluster.worker(i), R"({"delayBeforeMs":300})");
                           },
                           [](Cluster &cluster) {
                               cluster.entry(0).kill();
                               for (int i = 0; i < 4; ++i)
                                   cluster.setFaults(cluster.worker(i), R"({"delayBeforeMs":0})");
                           }});
}

TEST_CASE("A run whose start reply is lost never runs twice at once")
{
    checkRunsDoNotOverlap({"start reply lost",
                           [](Cluster &cluster) {
                               for (int i = 0; i < 4; ++i)
                                   cluster.setFaults(cluster.worker(i), R"({"loseReplies":2})");
                           },
                           nullptr});
}

TEST_CASE("Runs finish and never run twice at once across a store outage")
{
    checkRunsDoNotOverlap({"store down", noFault, [](Cluster &cluster) {
                               cluster.setFaults(cluster.platform(), R"({"down":true})");
                               sleepFor(leaseExpiryWait + leaseExpiryWait);
                               cluster.setFaults(cluster.platform(), R"({"down":false})");
                           }});
}

TEST_CASE("A run on a live host that leaves the membership list never runs twice at once")
{
    checkRunsDoNotOverlap({"host removed from the membership list", noFault, [](Cluster &cluster) {
                               call({.address = cluster.platform().address(),
                                     .method = "DELETE",
                                     .path = "/membership/worker-0"});
                           }});
}
