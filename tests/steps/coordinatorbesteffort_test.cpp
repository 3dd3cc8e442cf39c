#include "interferencesimulation.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

CoordinatorSettings settingsWith(bool limited)
{
    CoordinatorSettings settings;
    settings.bestEffortLimit.enabled = limited;
    return settings;
}

InterferenceResult resultOf(const InterferenceLoad &load, bool limited)
{
    InterferenceSimulation simulation(load, settingsWith(limited));
    simulation.advance(Millis{40'000});
    return simulation.result();
}

// Checks that with the limit runs are rarely stopped and targets are missed for a quarter of the
// time at most.
void checkFewerMisses(const InterferenceLoad &load)
{
    const InterferenceResult without = resultOf(load, false);
    const InterferenceResult with = resultOf(load, true);
    CHECK(without.missedSeconds > 0);
    CHECK(with.missedSeconds * 4 <= without.missedSeconds);
    CHECK(with.stopped * 100 < with.started * 3);
    CHECK(with.completed > 0);
}

InterferenceLoad tripledInterference()
{
    InterferenceLoad load;
    load.headroom = 2;
    load.costPerCore = 0.06;
    load.strongFrom = Millis{15'000};
    load.strongUntil = Millis{23'000};
    return load;
}

} // namespace

// Load: more best-effort tasks than fit, of an image that interferes strongly. Without a limit a
// worker is given the same load again after each miss.
TEST_CASE("A burst of an image with strong interference causes few misses")
{
    InterferenceLoad load;
    load.costPerCore = 0.15;
    load.arrivalsPerSecond = 26;
    checkFewerMisses(load);
}

// Load: the interference of the image triples for 8 s, on workers that bore the load before.
TEST_CASE("An image whose interference triples for some seconds causes few misses")
{
    checkFewerMisses(tripledInterference());
}

// Load: as before. A limit that stays low after the interference has ceased would hold tasks up.
TEST_CASE("An image whose interference triples for some seconds has no less work completed")
{
    const InterferenceResult without = resultOf(tripledInterference(), false);
    const InterferenceResult with = resultOf(tripledInterference(), true);
    CHECK(with.completed >= without.completed);
}

// Load: tasks that fit and hardly interfere. A limit that grows too slowly would hold them up.
TEST_CASE("A load that fits without interference is completed as without a limit")
{
    for (const double headroom : {2.2, 1.6}) {
        CAPTURE(headroom);
        InterferenceLoad load;
        load.headroom = headroom;
        load.headroomSwing = 0.2;
        load.costPerCore = 0.005;
        CHECK(resultOf(load, true).completed == resultOf(load, false).completed);
    }
}

// Failure: the owner is replaced under full load, so all limits are lost while runs continue.
TEST_CASE("A new owner learns the limits under full load without stopping many runs")
{
    InterferenceLoad load;
    load.costPerCore = 0.15;
    load.arrivalsPerSecond = 26;
    double missedSeconds[2] = {};
    for (const bool limited : {false, true}) {
        InterferenceSimulation simulation(load, settingsWith(limited));
        simulation.advance(Millis{20'000});
        const double before = simulation.result().missedSeconds;
        simulation.harness.replaceOwner();
        simulation.advance(Millis{20'000});
        const CoordinatorCounters &counters = simulation.harness.coordinator().counters();
        missedSeconds[limited ? 1 : 0] = simulation.result().missedSeconds - before;
        CHECK(counters.runsAdopted > 0);
        if (limited)
            CHECK(counters.runsStoppedForInterference * 100 < counters.runsStarted * 3);
    }
    CHECK(missedSeconds[1] < missedSeconds[0] / 2);
}
