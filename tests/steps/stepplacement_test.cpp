#include "savorywick/steps/placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

WorkerInfo info(const std::string &id, const std::string &rack, const std::string &label = "a")
{
    WorkerInfo it;
    it.incarnation = {id, 1};
    it.service = "matching";
    it.rack = rack;
    it.labels = {label, rack};
    return it;
}

// Three workers with 16, 8 and 32 free processors.
struct Workers
{
    WorkerInfo middle = info("middle", "r1");
    WorkerInfo small = info("small", "r2", "b");
    WorkerInfo large = info("large", "r1");
    std::vector<CandidateWorker> candidates{{&middle, {16'000, 64'000, 0}, 16'000, {}},
                                            {&small, {8'000, 64'000, 0}, 8'000, {}},
                                            {&large, {32'000, 64'000, 0}, 32'000, {}}};

    // Returns the id of the chosen worker, or "none".
    std::string choose(const StepSpec &spec, const PlacementConstraints &constraints) const
    {
        const auto it = chooseWorker(spec, constraints, candidates);
        return it ? candidates[*it].info->incarnation.workerId : "none";
    }
};

StepSpec task(int milliCores)
{
    StepSpec s;
    s.demand = {milliCores, 1'000, 0};
    return s;
}

PlacementConstraints constraints()
{
    PlacementConstraints c;
    c.service = "matching";
    return c;
}

} // namespace

TEST_CASE("A task goes where it fits most tightly among the workers that may run it")
{
    struct Case
    {
        const char *what;
        StepSpec spec;
        PlacementConstraints constraints;
        const char *chosen;
    };
    Case label{"label", task(4'000), constraints(), "middle"};
    label.spec.neededLabel = "a";
    Case spread{"spread", task(4'000), constraints(), "middle"};
    spread.spec.maxTasksPerWorker = 1;
    spread.constraints.tasksPerWorker["small"] = 1;
    Case rack{"preferred rack", task(4'000), constraints(), "middle"};
    rack.spec.preferredRack = "r1";
    Case failed{"failed before", task(4'000), constraints(), "middle"};
    failed.constraints.avoidedWorkers = {"small"};
    Case together{"same-rack", task(4'000), constraints(), "middle"};
    together.spec.preferSameRack = true;
    together.constraints.currentRack = "r1";
    Case service{"other service", task(4'000), constraints(), "none"};
    service.constraints.service = "other";
    const std::vector<Case> cases{
        {"tightest", task(4'000), constraints(), "small"},
        {"only one is large enough", task(20'000), constraints(), "large"},
        {"none is", task(40'000), constraints(), "none"},
        label,
        spread,
        rack,
        failed,
        together,
        service};
    const Workers workers;
    for (const Case &it : cases) {
        CAPTURE(it.what);
        CHECK(workers.choose(it.spec, it.constraints) == it.chosen);
    }
}

TEST_CASE("A best-effort task goes where processors are idle and no latency target is endangered")
{
    Workers workers;
    // Observations of one job with and without best-effort work teach what the work costs.
    LatencyHeadroomEstimator estimator;
    const std::vector<BestEffortLoad> loads{{"noisy", 8}};
    for (std::int64_t i = 0; i < 20; ++i) {
        const Instant now{i * 500};
        estimator.observe({"job", "quotes", 3}, {}, now);
        estimator.observe({"job", "quotes", 1}, loads, now);
    }
    StepSpec bestEffort = task(8'000);
    bestEffort.bestEffort = true;
    bestEffort.image = "noisy";
    PlacementConstraints limits = constraints();
    limits.headroomEstimator = &estimator;
    limits.minHeadroom = 1.2;
    CHECK(workers.choose(bestEffort, limits) == "large");
    workers.candidates[2].latencyCriticalRuns = {{"quotes", 2}};
    CHECK(workers.choose(bestEffort, limits) == "middle");
    workers.candidates[0].acceptsBestEffort = false;
    CHECK(workers.choose(bestEffort, limits) == "small");
    workers.candidates[1].latencyCriticalRuns = {{"quotes", 2}};
    CHECK(workers.choose(bestEffort, limits) == "none");
    workers.candidates[1].latencyCriticalRuns = {{"quotes", 4}};
    CHECK(workers.choose(bestEffort, limits) == "small");
}

TEST_CASE("A task with a latency target avoids workers that run other images with a target")
{
    Workers workers;
    StepSpec longRunning = task(4'000);
    longRunning.longRunning = true;
    longRunning.latencyTarget = Millis{50};
    longRunning.image = "quotes";
    workers.candidates[1].latencyCriticalRuns = {{"checks", 2}};
    workers.candidates[0].latencyCriticalRuns = {{"quotes", 2}};
    CHECK(workers.choose(longRunning, constraints()) == "middle");
}

// Guards against missed deadlines in a burst on workers that long-running tasks nearly fill. Steps
// that can meet their deadline come before those that can't, whatever their priority, and short
// steps before long-running tasks of the same priority, which would hold freed processors for long.
TEST_CASE("Steps are ordered by what can still meet its deadline and then by priority")
{
    const StepSpec booking;
    StepSpec bestEffort;
    bestEffort.bestEffort = true;
    Job urgent;
    urgent.spec.policy.priority = 0;
    Job batch;
    batch.spec.policy.priority = 2;
    const auto step = [&](const Job &job, int laxityMs, int latenessMs) {
        ReadyStep it;
        it.job = &job;
        it.spec = &booking;
        it.laxity = Millis{laxityMs};
        it.lateness = Millis{latenessMs};
        it.relativeDeadline = Millis{1'000};
        return it;
    };
    const auto started = [](ReadyStep it) {
        it.occurrenceStarted = true;
        return it;
    };
    const auto longRunning = [](ReadyStep it) {
        it.longRunning = true;
        return it;
    };
    const auto starved = [](ReadyStep it) {
        it.longRunning = true;
        it.starved = true;
        return it;
    };
    const auto onIdleProcessors = [&](ReadyStep it) {
        it.spec = &bestEffort;
        return it;
    };
    const std::vector<ReadyStep> order{
        starved(step(batch, -4'000, 0)), // Whatever its priority.
        step(urgent, 100, -900), step(urgent, 500, -900), longRunning(step(urgent, -3'000, 0)),
        longRunning(started(step(urgent, -100, 0))),
        // Can meet its deadline, with a lower priority. Started occurrences come first, so that
        // under overload some jobs complete in time.
        started(step(batch, 300, -900)), step(batch, 50, -900), longRunning(step(batch, -100, 0)),
        // Books no processors.
        onIdleProcessors(started(step(urgent, 300, -900))),
        onIdleProcessors(step(urgent, 50, -900)),
        step(urgent, -10, 100), // Can't meet its deadline.
        step(batch, -10, 100), step(urgent, -3'000, 2'500), // So late that it makes no difference.
    };
    for (std::size_t i = 0; i + 1 < order.size(); ++i) {
        CAPTURE(i);
        CHECK(comesBefore(order[i], order[i + 1]));
        CHECK_FALSE(comesBefore(order[i + 1], order[i]));
    }
}

// Load: more best-effort jobs than can end in time. Those with the least laxity would go first, end
// late, and make the next ones late as well.
TEST_CASE("A best-effort job with too little laxity begins after those that can end in time")
{
    StepSpec bestEffort;
    bestEffort.bestEffort = true;
    const Job job;
    const auto step = [&](int laxityMs, bool started) {
        ReadyStep it;
        it.job = &job;
        it.spec = &bestEffort;
        it.laxity = Millis{laxityMs};
        it.relativeDeadline = Millis{1'000};
        it.minLaxityToBegin = Millis{300};
        it.occurrenceStarted = started;
        return it;
    };
    CHECK(comesBefore(step(300, false), step(299, false)));
    CHECK(comesBefore(step(0, true), step(299, false))); // What has begun is ended first.
    CHECK(comesBefore(step(300, false), step(-1, true)));
}

TEST_CASE("The relative deadline follows from the critical path of the steps")
{
    JobSpec spec;
    spec.policy.slackFactor = 2;
    spec.policy.targetDuration = Millis{500};
    spec.steps.resize(4);
    const int estimates[] = {100, 400, 200, 50};
    for (int i = 0; i < 4; ++i)
        spec.steps[i].estimatedDuration = Millis{estimates[i]};
    spec.steps[2].dependsOn = {0}; // 100 + 200
    spec.steps[3].dependsOn = {1, 2}; // 400 + 50, 300 + 50
    CHECK(relativeDeadlineOf(spec) == Millis{2 * 450 + 500});
    CHECK(criticalPathLengths(spec.steps)[0] == Millis{350});
}

// Guards against ranks that are not computed anew when a task changes them, so that tasks go where
// another worker is better, or where there is no room any more.
TEST_CASE("Each task of a step goes where it would go if the workers were ranked for it alone")
{
    CHECK(rc::check("random workers and steps", [] {
        const auto below = [](int n) { return *rc::gen::inRange(0, n); };
        std::vector<WorkerInfo> infos;
        const int workers = 1 + below(6);
        infos.reserve(workers);
        for (int i = 0; i < workers; ++i)
            infos.push_back(info("w" + std::to_string(i), "r" + std::to_string(below(3))));
        const LatencyHeadroomEstimator estimator;
        std::vector<CandidateWorker> candidates;
        for (const WorkerInfo &it : infos) {
            const int milliCores = 4'000 * below(5);
            candidates.push_back({&it, {milliCores, 64'000, below(2)}, milliCores, {}});
            if (below(2) == 0)
                candidates.back().latencyCriticalRuns.push_back({"quotes", 1.0 + 0.1 * below(5)});
        }
        StepSpec spec = task(4'000);
        spec.image = "refresh";
        spec.bestEffort = below(2) == 0;
        spec.preferSameRack = below(2) == 0;
        spec.maxTasksPerWorker = below(3);
        PlacementConstraints c = constraints();
        c.headroomEstimator = &estimator;
        c.minHeadroom = 1;
        WorkerChooser chooser(spec, c, candidates);
        for (auto chosen = chooser.choose(); chosen; chosen = chooser.choose()) {
            RC_ASSERT(chosen == chooseWorker(spec, c, candidates));
            CandidateWorker &worker = candidates[*chosen];
            worker.available.milliCores -= spec.bestEffort ? 0 : spec.demand.milliCores;
            worker.idleMilliCores -= spec.demand.milliCores;
            for (LatencyCriticalRun &it : worker.latencyCriticalRuns)
                it.expectedHeadroom -= 0.05;
            ++c.tasksPerWorker[worker.info->incarnation.workerId];
            c.currentRack = worker.info->rack;
            chooser.noteTask(*chosen);
        }
        RC_ASSERT(!chooseWorker(spec, c, candidates));
    }));
}
