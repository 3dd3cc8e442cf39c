#include "historyonfailure.h"
#include "shardsimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

JobSpec duplicableJob(ShardSimulation &simulation, const std::string &id)
{
    StepSpec step;
    step.taskCount = 2 + simulation.randomBelow(6);
    step.demand = {1'000, 1'000, 0};
    step.estimatedDuration = Millis{500};
    step.checkpointing = simulation.randomBelow(2) == 0;
    step.maxTasksPerWorker = simulation.randomBelow(2) == 0 ? 3 : 0;
    step.allowDuplicates = true;
    JobSpec spec;
    spec.id = id;
    spec.policy = {"checks", "matching", 0, 3, 1.5, Millis{500}};
    spec.steps = {step, step};
    spec.steps[1].dependsOn = {0};
    return spec;
}

} // namespace

// Guards against a third run of a task, a run that no owner stops, a limit of tasks for each worker
// that duplicates exceed, and a job that fails or never ends because of them.
TEST_CASE("Despite faults no task has more than two runs and every job ends")
{
    CHECK(rc::check("replaced owners and failing workers and late orders", [] {
        ShardSimulation simulation(*rc::gen::inRange(0U, 1'000'000'000U), 6);
        const HistoryOnFailure history(simulation);
        const int jobs = *rc::gen::inRange(4, 16);
        for (int i = 0; i < jobs; ++i) {
            simulation.submit(duplicableJob(simulation, "job" + std::to_string(i)));
            simulation.advance(*rc::gen::inRange(1, 60), true);
        }
        simulation.finishAndVerify();
        RC_CLASSIFY(simulation.owner().counters().duplicatesStarted > 0, "duplicates");
    }));
}
