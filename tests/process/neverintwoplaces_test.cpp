#include "harness.h"

#include <doctest/doctest.h>

#include <functional>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{60'000};
constexpr Millis pastLease{3'000};
constexpr int runs = 6;

struct Trouble
{
    std::string name;
    std::function<void(Cluster &)> before; // Before the runs are submitted.
    std::function<void(Cluster &)> during; // While they run.
};

void nothing(Cluster & /*cluster*/) { }

int runningOn(Cluster &cluster)
{
    int n = 0;
    for (int i = 0; i < 4; ++i)
        n += int(cluster.stats(cluster.worker(i))["running"].size());
    return n;
}

// Submits runs, makes trouble while they run, and checks that all finish and none ever overlaps.
void checkTrouble(const Trouble &trouble)
{
    CAPTURE(trouble.name);
    Cluster cluster({.upstreams = 0, .workers = 4});
    trouble.before(cluster);
    std::vector<std::string> ids(runs);
    for (int i = 0; i < runs; ++i)
        ids[std::size_t(i)] = cluster.submit(0, "runs", "refresh", R"({"durationMs":4000})",
                                             "run-" + std::to_string(i));
    if (trouble.during)
        REQUIRE(eventually(waitLimit, [&] { return runningOn(cluster) == runs; }));
    if (trouble.during)
        trouble.during(cluster);
    for (const std::string &it : ids)
        CHECK(cluster.endState(1, "runs", it, waitLimit) == "finished");
    for (const std::string &it : cluster.doubledTasks())
        FAIL_CHECK("ran twice at once: " << it);
}

} // namespace

TEST_CASE("A run whose worker is cut off moves only after the worker has stopped it")
{
    checkTrouble({"cut off", nothing, [](Cluster &cluster) {
                      cluster.fault(cluster.worker(0), R"({"refuse":true})");
                  }});
}

TEST_CASE("A run whose worker is paused past its lease moves once")
{
    checkTrouble({"paused", nothing, [](Cluster &cluster) {
                      cluster.pauseWorker(0);
                      passTime(pastLease);
                      cluster.worker(0).resume();
                  }});
}

TEST_CASE("A run whose entry is killed right after it was accepted runs in one place")
{
    checkTrouble({"entry killed", nothing, [](Cluster &cluster) { cluster.entry(0).kill(); }});
    checkTrouble({"entry killed before the start",
                  [](Cluster &cluster) {
                      for (int i = 0; i < 4; ++i)
                          cluster.fault(cluster.worker(i), R"({"delayBeforeMs":300})");
                  },
                  [](Cluster &cluster) {
                      cluster.entry(0).kill();
                      for (int i = 0; i < 4; ++i)
                          cluster.fault(cluster.worker(i), R"({"delayBeforeMs":0})");
                  }});
}

TEST_CASE("A run whose start is not answered runs in one place")
{
    checkTrouble({"start reply lost",
                  [](Cluster &cluster) {
                      for (int i = 0; i < 4; ++i)
                          cluster.fault(cluster.worker(i), R"({"loseReplies":2})");
                  },
                  nullptr});
}

TEST_CASE("Runs go through an outage of the store in one place each")
{
    checkTrouble({"store down", nothing, [](Cluster &cluster) {
                      cluster.fault(cluster.platform(), R"({"down":true})");
                      passTime(pastLease + pastLease);
                      cluster.fault(cluster.platform(), R"({"down":false})");
                  }});
}

TEST_CASE("A run on a host that left the list but lives runs in one place")
{
    checkTrouble({"gone from the list", nothing, [](Cluster &cluster) {
                      call({.address = cluster.platform().address(),
                            .method = "DELETE",
                            .path = "/membership/worker-0"});
                  }});
}
