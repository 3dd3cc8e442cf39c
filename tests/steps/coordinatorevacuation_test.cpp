#include "coordinatorharness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

CoordinatorSettings settingsWithBound()
{
    CoordinatorSettings settings;
    settings.zoneEvacuation.bound = Millis{5'000};
    return settings;
}

// One worker in each of the zones "a" and "b", in this order, and no evacuation at first.
class ZonesHarness : public CoordinatorHarness
{
public:
    ZonesHarness()
        : CoordinatorHarness(2, settingsWithBound())
    {
        setZone(0, "a");
        setZone(1, "b");
        report({});
    }

    // Tells the owner of the zones that operators evacuate, as of now.
    void report(const ZoneNames &names)
    {
        m_zones.update({names, now().monotonic}, now().monotonic);
        coordinator().setEvacuatedZones(m_zones, now());
    }
    // Advances the time while the requests are read again and again.
    void advanceReading(const ZoneNames &names, Millis span)
    {
        for (Millis t{0}; t < span; t = t + Millis{800}) {
            report(names);
            advance(Millis{800});
        }
    }
    std::ptrdiff_t startsOn(const std::string &worker) const
    {
        return std::count_if(starts.begin(), starts.end(),
                             [&](const auto &it) { return it.target.worker.workerId == worker; });
    }

private:
    EvacuatedZones m_zones{settingsWithBound().zoneEvacuation};
};

} // namespace

// Guards against starts in a zone that the operator has emptied, by any way in which runs start:
// first runs, retries, gangs, slow starts of best-effort tasks, long-running tasks.
TEST_CASE("Nothing is started in an evacuated zone and runs there go on")
{
    StepSpec gang = tasks(2, 1'000);
    gang.gang = true;
    for (const StepSpec &spec : {tasks(3, 1'000), gang, longRunningTask(), bestEffortTask()}) {
        ZonesHarness harness;
        harness.submit("before", tasks(2, 9'000)); // One on each of the workers.
        REQUIRE(harness.startsOn("w0") == 1);
        harness.report({"a"});
        harness.submit("after", spec);
        harness.reportFailure(harness.starts.front());
        harness.advanceReading({"a"}, Millis{6'000});
        CHECK(harness.startsOn("w0") == 1);
        CHECK(harness.workersStartedOn("after").size() == static_cast<std::size_t>(spec.taskCount));
        CHECK(harness.coordinator().counters().startsWithheld == 0); // None was even placed.
        CHECK(harness.stops.empty());
    }
}

// Guards against a probe of a quarantined worker, which no placement chooses, in such a zone.
TEST_CASE("No quarantined worker of an evacuated zone is probed")
{
    ZonesHarness harness;
    harness.setDraining(1);
    harness.failingWorkers = {"w0"};
    for (const char *id : {"f1", "f2", "f3"})
        harness.submit(id, task(1'000));
    harness.advance(Millis{500});
    REQUIRE(harness.coordinator().counters().workersQuarantined == 1);
    harness.failingWorkers.clear();
    for (const char *id : {"f1", "f2", "f3"})
        harness.coordinator().cancel(id, harness.now());
    harness.report({"a"});
    harness.submit("probe", task(1'000));
    harness.advanceReading({"a"}, Millis{40'000});
    CHECK(harness.workersStartedOn("probe").empty());
    CHECK(harness.coordinator().counters().startsWithheld == 0); // It was not even placed.
    harness.advanceReading({}, Millis{8'000});
    CHECK(harness.workersStartedOn("probe").size() == 1);
}

// Guards against a start order that is sent when its commit is durable, after the evacuation. The
// owner may fail then: its successor has read the record of the run, but not yet the requests.
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
            CHECK(harness.starts.empty()); // Nothing is known of the zones.
        }
        harness.report({"a"});
        harness.advanceReading({"a"}, Millis{4'000});
        CHECK(harness.startsOn("w0") == 0);
        CHECK(harness.startsOn("w1") >= 1);
        CHECK((harness.coordinator().counters().startsWithheld > 0) == !ownerFails);
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
    harness.report({"a"});
    harness.step();
    CHECK(harness.highestFence("w0") > before);
    harness.idleWorkers.clear();
    harness.advanceReading({"a"}, Millis{3'000});
    CHECK(harness.startsOn("w0") == 0);
}

// Guards against an owner that starts tasks in a zone whose evacuation it can't read, since the
// store is down, slow, or has lost its history, and against runs that end for that.
TEST_CASE("While the requests can't be read nothing is started and renewals go on")
{
    ZonesHarness harness;
    harness.submit("before", task(1'000));
    harness.advance(Millis{4'100});
    harness.renewals.clear();
    harness.submit("during", task(1'000));
    harness.advance(Millis{8'000});
    CHECK(harness.workersStartedOn("during").empty());
    CHECK(harness.coordinator().counters().runsEnded.empty());
    CHECK_FALSE(harness.renewals.empty());
    harness.report({"a"});
    harness.step();
    CHECK(harness.workersStartedOn("during") == std::vector<std::string>{"w1"});
}

// Guards against a zone that is taken for usable while nobody can know, and against cold workers
// that are filled at once.
TEST_CASE("A zone returns once the removal of its row is read and is filled gradually")
{
    ZonesHarness harness;
    harness.setZone(1, "a");
    harness.report({"a"});
    CHECK(harness.coordinator().areAllWorkersEvacuated());
    harness.submit("waits", tasks(32, 1'000));
    harness.advance(Millis{10'000}); // The row is removed, but the store can't be read.
    CHECK(harness.starts.empty());
    harness.report({});
    CHECK_FALSE(harness.coordinator().areAllWorkersEvacuated());
    harness.advance(Millis{300});
    CHECK_FALSE(harness.starts.empty());
    CHECK(harness.starts.size() < 16);
    harness.advanceReading({}, Millis{6'000});
    CHECK(harness.starts.size() == 32);
}

// Guards against an operator who can't see whether the evacuation is in force.
TEST_CASE("The begin and the end of an evacuation are noted with what is in the zone")
{
    ZonesHarness harness;
    harness.submit("long", tasks(2, 9'000));
    harness.coordinator().takeNotes();
    harness.report({"a"});
    harness.report({"a"});
    harness.report({});
    const std::vector<SchedulerEvent> notes = harness.coordinator().takeNotes();
    REQUIRE(notes.size() == 2);
    CHECK(toString(notes[0].kind) == "zone-evacuated");
    CHECK(toString(notes[1].kind) == "zone-returned");
    CHECK(notes[0].zone == "a");
    CHECK(notes[0].workerCount == 1);
    CHECK(notes[0].value == 1); // Runs.
}
