#include "savorywick/steps/preemption.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

using Indexes = std::vector<int>;
constexpr Instant now{1'000'000};

PreemptibleRun run(int index, int milliCores, Millis lostWork = Millis{1'000})
{
    return {{{"batch", 0, 0, index}, 1},
            5,
            {milliCores, 1'000, 0},
            lostWork,
            Millis{60'000},
            Millis{100'000},
            {}};
}

// An urgent step of 4 processors and workers without free processors, with these runs.
struct Fleet
{
    explicit Fleet(const std::vector<std::vector<PreemptibleRun>> &runs)
        : infos(runs.size())
        , candidates(runs.size())
    {
        job.spec.policy.priority = 1;
        spec.demand = {4'000, 1'000, 0};
        for (std::size_t i = 0; i < runs.size(); ++i) {
            candidates[i].info = &infos[i];
            candidates[i].available = {0, 8'000, 0};
            workers.push_back({&candidates[i], runs[i]});
        }
    }

    // Returns the indexes of the runs that are preempted, or nothing without a plan.
    std::optional<Indexes> preempted(const PreemptionPlanner &planner, Instant at = now) const
    {
        const auto plan = planner.plan(step, {}, workers, at);
        if (!plan)
            return {};
        Indexes indexes;
        for (const std::size_t it : plan->runs)
            indexes.push_back(workers[plan->worker].runs[it].key.task.index);
        return indexes;
    }

    Job job;
    StepSpec spec;
    ReadyStep step{.job = &job, .spec = &spec, .laxity = Millis{1'000}};
    std::vector<WorkerInfo> infos;
    std::vector<CandidateWorker> candidates;
    std::vector<PreemptionWorker> workers;
};

} // namespace

// Guards against a preemption that costs more than necessary, and against runs that are preempted
// although they must not be.
TEST_CASE("The runs with the least loss on one worker are preempted")
{
    const auto changed = [](void (*change)(PreemptibleRun &)) {
        PreemptibleRun it = run(0, 8'000, Millis{0});
        change(it);
        return it;
    };
    const auto late = changed([](PreemptibleRun &it) { it.laxity = Millis{-10'000}; });
    const auto equal = changed([](PreemptibleRun &it) { it.priority = 1; });
    const auto nearlyDone = changed([](PreemptibleRun &it) { it.remainingWork = Millis{900}; });
    const auto resumed = changed([](PreemptibleRun &it) { it.key.number = 2; });
    auto longResumed = resumed;
    longResumed.age = Millis{10'000};
    const auto memoryOnly = changed([](PreemptibleRun &it) { it.allocated = {0, 8'000, 0}; });
    struct Case
    {
        const char *what;
        std::vector<std::vector<PreemptibleRun>> runs; // By worker.
        std::optional<Indexes> preempted;
    };
    const std::vector<Case> cases{
        {"saved last", {{run(1, 4'000, Millis{500}), run(2, 4'000, Millis{100})}}, Indexes{2}},
        {"other worker", {{run(1, 4'000)}, {run(2, 4'000, Millis{100})}}, Indexes{2}},
        {"fewer runs", {{run(1, 2'000), run(2, 2'000)}, {run(3, 4'000)}}, Indexes{3}},
        {"no unneeded run", {{run(1, 1'000, Millis{0}), run(2, 4'000)}}, Indexes{2}},
        {"too small together", {{run(1, 2'000)}, {run(2, 2'000)}}, {}},
        {"late job costs more", {{late, run(1, 4'000, Millis{400})}}, Indexes{1}},
        {"same priority", {{equal}}, {}},
        {"nearly done", {{nearlyDone}}, {}},
        {"resumed lately", {{resumed}}, {}},
        {"resumed long ago", {{longResumed}}, Indexes{0}},
        {"holds nothing that is missing", {{memoryOnly}}, {}},
    };
    for (const Case &it : cases) {
        CAPTURE(it.what);
        CHECK(Fleet(it.runs).preempted(PreemptionPlanner({})) == it.preempted);
    }
}

// Guards against preemption for steps that gain nothing by it.
TEST_CASE("Only steps that are urgent and can complete in time may preempt runs")
{
    Fleet fleet({});
    for (const int laxityMs : {-1, 0, 249, 250, 2'000, 2'001}) {
        CAPTURE(laxityMs);
        fleet.step.laxity = Millis{laxityMs};
        const bool inBounds = laxityMs >= 250 && laxityMs <= 2'000;
        CHECK(PreemptionPlanner({}).isUrgent(fleet.step) == inBounds);
    }
    fleet.step.laxity = Millis{1'000};
    for (bool StepSpec::*kind : {&StepSpec::longRunning, &StepSpec::bestEffort, &StepSpec::gang}) {
        fleet.spec = {};
        fleet.spec.*kind = true;
        CHECK_FALSE(PreemptionPlanner({}).isUrgent(fleet.step));
    }
}

// Guards against a planner that stops more runs for a step whose room is being vacated already, or
// waits for a worker that does not stop its runs.
TEST_CASE("Room that is being vacated is used until the worker is overdue")
{
    PreemptionPlanner planner({});
    Fleet fleet({{run(0, 8'000), run(1, 4'000)}});
    planner.apply({0, {0}, {}}, fleet.step, fleet.workers, now);
    CHECK(planner.reservationCount(fleet.step.ref) == 1);
    CHECK(fleet.preempted(planner) == Indexes{});
    CHECK_FALSE(fleet.preempted(planner, now + Millis{2'000}));
    planner.noteEnd(run(0, 8'000).key, now);
    CHECK(planner.isPreempted({"batch", 0, 0}, now));
    CHECK_FALSE(planner.isPreempted({"batch", 0, 0}, now + Millis{30'000}));
}

// Guards against an owner that spends its time on searching for runs to preempt.
TEST_CASE("Plans are sought once per interval and only if preemption is enabled")
{
    CHECK_FALSE(PreemptionPlanner({}).mayPlan(now));
    PreemptionPlanner planner({.enabled = true});
    CHECK(planner.mayPlan(now));
    planner.notePlanning(now);
    CHECK_FALSE(planner.mayPlan(now + Millis{249}));
    CHECK(planner.mayPlan(now + Millis{250}));
}

// Guards against plans that stop runs without making room, or runs that are not needed for it.
TEST_CASE("Every plan makes room and needs each of its runs")
{
    CHECK(rc::check("for any runs", [] {
        std::vector<PreemptibleRun> runs(*rc::gen::inRange(0, 12));
        for (int i = 0; i < static_cast<int>(runs.size()); ++i)
            runs[i] = run(i, *rc::gen::inRange(0, 6'000), Millis{*rc::gen::inRange(0, 99)});
        const Indexes preempted =
            Fleet({runs}).preempted(PreemptionPlanner({})).value_or(Indexes{});
        RC_ASSERT(preempted.size() <= 4U);
        int freed = 0;
        for (const int it : preempted)
            freed += runs[it].allocated.milliCores;
        RC_ASSERT(preempted.empty() || freed >= 4'000);
        for (const int it : preempted)
            RC_ASSERT(freed - runs[it].allocated.milliCores < 4'000);
    }));
}
