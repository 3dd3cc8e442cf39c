#include "admissionsimulation.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

constexpr int cores = 20;
constexpr double capacity = cores * 1'000; // In thousandths of a core.

// Without admission, so that the backlog grows as the load demands.
constexpr bool admissionOff = false;

AdmissionSimulation simulation()
{
    return AdmissionSimulation(cores, {.enabled = admissionOff});
}

} // namespace

TEST_CASE("After a step of the load the rate is the capacity whatever the size of the step")
{
    for (const double perSecond : {25.0, 40.0, 80.0}) {
        CAPTURE(perSecond);
        AdmissionSimulation s = simulation();
        s.submitAtRate({}, 10, Millis{5'000});
        CHECK_FALSE(s.backlog().hasRate); // Nothing waits: the capacity is unknown.
        s.submitAtRate({}, perSecond, Millis{15'000});
        REQUIRE(s.backlog().hasRate);
        CHECK(s.backlog().rate >= 0.9 * capacity);
        CHECK(s.backlog().rate <= 1.1 * capacity);
    }
}

// Guards against a rate that counts time in which workers were idle: it would be too low, and jobs
// that could complete would be refused.
TEST_CASE("On a ramp and in a pulse the rate is never taken for lower than the capacity")
{
    AdmissionSimulation s = simulation();
    for (int perSecond = 4; perSecond < 60; perSecond += 4) {
        s.submitAtRate({}, perSecond, Millis{1'000});
        CHECK((!s.backlog().hasRate || s.backlog().rate >= 0.9 * capacity));
    }
    s.runFor(Millis{60'000});
    CHECK(s.backlog().work == 0);
    for (int i = 0; i < 20; ++i) {
        s.submitAtRate({.duration = Millis{3'000}}, i % 4 == 0 ? 60 : 0, Millis{1'000});
        CHECK((!s.backlog().hasRate || s.backlog().rate >= 0.9 * capacity));
    }
}

TEST_CASE("The rate follows the loss of a fifth of the workers")
{
    AdmissionSimulation s = simulation();
    s.submitAtRate({}, 60, Millis{20'000});
    s.setCores(cores * 4 / 5);
    s.submitAtRate({}, 60, Millis{15'000});
    REQUIRE(s.backlog().hasRate);
    CHECK(s.backlog().rate >= 0.7 * capacity);
    CHECK(s.backlog().rate <= 0.9 * capacity);
}

// Guards against a backlog that drifts from the jobs as they start, end, fail and are cancelled.
TEST_CASE("The backlog is that of the open jobs and empty once all have ended")
{
    BacklogEstimator estimator({});
    const ProcessorPool pool{"s", ProcessorClass::Booked};
    JobTable table;
    const auto apply = [&](const Record &record) {
        table.apply(record);
        if (const auto *it = std::get_if<JobAccepted>(&record))
            estimator.addJob(*table.find(it->spec.id));
        if (const auto *it = std::get_if<RunStarted>(&record))
            estimator.recordStart(it->task);
        if (const auto *it = std::get_if<RunEnded>(&record))
            estimator.recordEnd(*table.find(it->task.job), it->task);
    };
    for (const std::string id : {"done", "failed", "cancelled"}) {
        JobSpec spec;
        spec.id = id;
        spec.policy = {"q", "s", 0, 1, 2.0, Millis{500}};
        spec.steps = {{.taskCount = 2, .demand = {2'000, 0, 0}, .estimatedDuration = Millis{100}}};
        apply(JobAccepted{spec, 0});
    }
    const auto work = [&] { return estimator.backlogBefore(pool, {0, 1'000'000}).work; };
    CHECK(work() == 3 * 2 * 200'000);
    for (const std::string id : {"done", "failed"}) {
        apply(RunStarted{{id, 0, 0, 0}, 1, {"w", 1}});
        apply(RunStarted{{id, 0, 0, 1}, 1, {"w", 1}});
    }
    CHECK(work() == 2 * 200'000 + 2 * 2 * 100'000); // A running task counts as half done.
    apply(RunEnded{{"failed", 0, 0, 0}, 1, RunOutcome::Failed, {}, 0});
    apply(RunEnded{{"done", 0, 0, 0}, 1, RunOutcome::Stopped, {}, 0});
    CHECK(work() == 2 * 200'000 + 200'000 + 100'000);
    apply(RunStarted{{"done", 0, 0, 0}, 2, {"w", 1}});
    apply(RunEnded{{"done", 0, 0, 0}, 2, RunOutcome::Done, {}, 0});
    apply(RunEnded{{"done", 0, 0, 1}, 1, RunOutcome::Done, {}, 0});
    CHECK(work() == 2 * 200'000);
    estimator.removeJob("cancelled");
    CHECK(work() == 0);
    CHECK(estimator.backlogBefore(pool, {9, 1'000'000}).inTimeAhead == 0);
}
