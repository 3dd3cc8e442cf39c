#include "coordinatorharness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

const CoordinatorSettings withBound{.zoneEvacuation = {.bound = Millis{5'000}}};

// A worker "w0" in zone "a" and a worker "w1" in zone "b", and no evacuation at first.
class ZonesHarness : public CoordinatorHarness
{
public:
    ZonesHarness()
        : CoordinatorHarness(2, withBound)
    {
        setZone(0, "a");
        setZone(1, "b");
        evacuate({}, Millis{0});
    }

    // Advances the time while the owner reads that these zones are evacuated, at once first.
    void evacuate(const ZoneNames &names, Millis span)
    {
        for (Millis t{0}; t <= span; t = t + Millis{800}) {
            m_zones.update({names, now().monotonic}, now().monotonic);
            coordinator().setEvacuatedZones(m_zones, now());
            advance(std::min(span, Millis{800}));
        }
    }
    std::ptrdiff_t startsInA() const
    {
        return std::count_if(starts.begin(), starts.end(), [](const StartRunCommand &it) {
            return it.target.worker.workerId == "w0";
        });
    }
    const CoordinatorCounters &counters() { return coordinator().counters(); }

private:
    EvacuatedZones m_zones{withBound.zoneEvacuation};
};

} // namespace

// Guards against starts in a zone that the operator has emptied, by any way in which runs start:
// first runs, retries, gangs, slow starts of best-effort tasks, long-running tasks.
TEST_CASE("Nothing is started in an evacuated zone and runs there go on")
{
    StepSpec gang = tasks(2, 1'000);
    gang.gang = true;
    for (const StepSpec &spec : {tasks(2, 1'000), gang, longRunningTask(), bestEffortTask()}) {
        ZonesHarness harness;
        harness.submit("before", tasks(2, 9'000)); // One on each of the workers.
        REQUIRE(harness.startsInA() == 1);
        harness.evacuate({"a"}, Millis{0});
        harness.submit("after", spec);
        harness.reportFailure(harness.starts.front());
        harness.evacuate({"a"}, Millis{6'000});
        CHECK(harness.startsInA() == 1);
        CHECK(harness.workersStartedOn("after").size() == static_cast<std::size_t>(spec.taskCount));
        CHECK(harness.counters().startsWithheld == 0); // Nothing was even placed.
        CHECK(harness.stops.empty());
    }
}

// Guards against a probe of a quarantined worker, which no placement chooses, in such a zone.
TEST_CASE("No quarantined worker of an evacuated zone is probed")
{
    ZonesHarness harness;
    harness.setDraining(1);
    harness.failingWorkers = {"w0"};
    for (const char *id : {"f1", "f2", "f3"}) {
        harness.submit(id, task(1'000));
        harness.advance(Millis{500});
        harness.coordinator().cancel(id, harness.now());
    }
    REQUIRE(harness.counters().workersQuarantined == 1);
    harness.evacuate({"a"}, Millis{0});
    harness.submit("probe", task(1'000));
    harness.evacuate({"a"}, Millis{40'000});
    CHECK(harness.workersStartedOn("probe").empty());
    CHECK(harness.counters().startsWithheld == 0);
    harness.evacuate({}, Millis{8'000});
    CHECK_FALSE(harness.workersStartedOn("probe").empty());
}

// Guards against a start order that is sent when its commit is durable, after the evacuation. The
// owner may fail then: its successor has the record of the run, and has not read the requests yet.
TEST_CASE("A run that was placed before the evacuation and not yet started is started elsewhere")
{
    for (const bool ownerFails : {false, true}) {
        CAPTURE(ownerFails);
        ZonesHarness harness;
        harness.commits = false;
        harness.submit("waits", tasks(2, 9'000)); // One on each of the workers.
        harness.commits = true;
        if (ownerFails) {
            harness.replaceOwner();
            harness.submit("other", task(1'000));
            harness.advance(Millis{4'000});
            CHECK(harness.starts.empty());
        }
        harness.evacuate({"a"}, Millis{4'000});
        CHECK(harness.startsInA() == 0);
        CHECK_FALSE(harness.starts.empty());
        CHECK((harness.counters().startsWithheld > 0) == !ownerFails);
    }
}

// Guards against orders that a worker carries out seconds after they were sent: the renewal after
// the evacuation makes it refuse them.
TEST_CASE("Start orders without an answer are void once the zone is evacuated")
{
    ZonesHarness harness;
    harness.idleWorkers = {"w0"};
    harness.submit("late", tasks(2, 9'000));
    const Fence before = harness.highestFence("w0");
    harness.evacuate({"a"}, Millis{0});
    harness.step();
    CHECK(harness.highestFence("w0") > before);
}

// Guards against starts while the store is down, slow, or has lost its history, so that the row of
// a zone can't be read, and against runs that end for that.
TEST_CASE("While the requests can't be read nothing is started and renewals go on")
{
    ZonesHarness harness;
    harness.submit("before", task(1'000));
    harness.advance(Millis{4'100});
    harness.renewals.clear();
    harness.submit("during", task(1'000));
    harness.advance(Millis{8'000});
    CHECK(harness.workersStartedOn("during").empty());
    CHECK(harness.counters().runsEnded.empty());
    CHECK_FALSE(harness.renewals.empty());
    harness.evacuate({"a"}, Millis{20});
    CHECK(harness.workersStartedOn("during") == std::vector<std::string>{"w1"});
}

// Guards against a zone that is taken for usable while its row's removal can't be read, against
// cold workers that are filled at once, and against operators who can't see what is in force.
TEST_CASE("A zone returns once the removal of its row is read and is filled gradually")
{
    ZonesHarness harness;
    harness.setZone(1, "a");
    harness.evacuate({"a"}, Millis{0});
    CHECK(harness.coordinator().areAllWorkersEvacuated());
    harness.submit("waits", tasks(32, 1'000)); // All processors.
    harness.advance(Millis{10'000});
    CHECK(harness.starts.empty());
    harness.coordinator().takeNotes();
    harness.evacuate({}, Millis{300});
    const SchedulerEvent returned = harness.coordinator().takeNotes().front();
    CHECK(toString(returned.kind) == "zone-returned");
    CHECK(returned.workerCount == 2);
    CHECK_FALSE(harness.starts.empty());
    CHECK(harness.starts.size() < 16);
    harness.evacuate({}, Millis{6'000});
    CHECK(harness.starts.size() == 32);
}
