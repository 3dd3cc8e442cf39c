#include "historyonfailure.h"
#include "shardsimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

constexpr int workers = 8;

// Returns a job of one step, which is long-running in one of four.
JobSpec randomJob(ShardSimulation &simulation, const std::string &id)
{
    StepSpec step;
    step.taskCount = 1 + simulation.randomBelow(4);
    step.demand = {500 + simulation.randomBelow(4'000), 1'000, 0};
    step.estimatedDuration = Millis{500};
    if (simulation.randomBelow(4) == 0) {
        step.longRunning = true;
        step.demand.milliCores = 300;
    }
    JobSpec spec;
    spec.id = id;
    spec.policy = {"checks", "matching", 0, 3, 1.5, Millis{500}};
    spec.steps = {step};
    return spec;
}

// Submits jobs, one of five of which crashes workers, while time passes. Their ids begin with
// `prefix`.
void submitJobs(ShardSimulation &simulation, const std::string &prefix, bool faults)
{
    const int jobs = *rc::gen::inRange(4, 25);
    for (int i = 0; i < jobs; ++i) {
        const bool crashes = simulation.randomBelow(5) == 0;
        const std::string id = prefix + (crashes ? "crashing" : "job") + std::to_string(i);
        const JobSpec spec = randomJob(simulation, id);
        if (crashes)
            simulation.submitCrashing(spec);
        else
            simulation.submit(spec);
        simulation.advance(*rc::gen::inRange(1, 40), faults);
    }
}

} // namespace

// Guards against a task that is started for ever although each worker that starts it crashes, and
// against jobs that are given up without a cause.
TEST_CASE("Despite faults a task that crashes its workers stays within its budget")
{
    CHECK(rc::check("while owners are replaced and workers fail by themselves", [] {
        ShardSimulation simulation(*rc::gen::inRange(0U, 1'000'000'000U), workers);
        const HistoryOnFailure history(simulation);
        submitJobs(simulation, "", true);
        simulation.finishAndVerify();
        RC_CLASSIFY(simulation.takeoverCount() > 1, "several owners");
    }));
}

// Guards against jobs that are given up since their workers were cut off and ran on.
TEST_CASE("Workers that refuse connections and run on end no job")
{
    CHECK(rc::check("while owners are replaced and some workers crash", [] {
        ShardSimulation simulation(*rc::gen::inRange(0U, 1'000'000'000U), workers);
        const HistoryOnFailure history(simulation);
        simulation.refuseWhenCutOff();
        submitJobs(simulation, "", true);
        simulation.finishAndVerify();
    }));
}

// Guards against takeovers that forget crashes, or hold them against others.
TEST_CASE("With takeovers alone just the jobs that crash workers are given up")
{
    CHECK(rc::check("while owners are replaced", [] {
        ShardSimulation simulation(*rc::gen::inRange(0U, 1'000'000'000U), workers);
        const HistoryOnFailure history(simulation);
        const int owners = *rc::gen::inRange(1, 6);
        for (int i = 0; i < owners; ++i) {
            submitJobs(simulation, "owner" + std::to_string(i), false);
            simulation.replaceOwner();
        }
        simulation.finishAndVerify();
    }));
}

// Guards against starts that count on room that a worker no longer has, with what it still stops.
TEST_CASE("No start exceeds a capacity that has shrunk")
{
    CHECK(rc::check("while capacities change and owners are replaced", [] {
        ShardSimulation simulation(*rc::gen::inRange(0U, 1'000'000'000U), workers);
        const HistoryOnFailure history(simulation);
        simulation.changeCapacities();
        const int jobs = *rc::gen::inRange(5, 40);
        for (int i = 0; i < jobs; ++i) {
            simulation.submit(randomJob(simulation, "job" + std::to_string(i)));
            simulation.advance(*rc::gen::inRange(1, 60), true);
            if (simulation.randomBelow(5) == 0)
                simulation.cancel("job" + std::to_string(simulation.randomBelow(i + 1)));
        }
        simulation.finishAndVerify();
    }));
}
