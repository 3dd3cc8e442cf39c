#include "savorywick/steps/unplaceablesteps.h"

#include <doctest/doctest.h>

#include <functional>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

StepSpec step()
{
    StepSpec s;
    s.demand = {4'000, 1'000, 1};
    s.image = "refresh";
    return s;
}

StepSpec bestEffortStep()
{
    StepSpec s = step();
    s.bestEffort = true;
    return s;
}

} // namespace

// Guards against both an owner that tries hundreds of like steps in vain in every placement pass,
// and steps that are passed over although a worker may have room for them.
TEST_CASE("A step is passed over only if a like one that is no harder to place found no worker")
{
    constexpr double minHeadroom = 1;
    struct Case
    {
        const char *what;
        StepSpec unplaceable;
        std::function<void(StepSpec &)> change; // From the unplaceable step to the one in question.
        bool covered = false;
    };
    const std::vector<Case> cases{
        {"equal", step(), [](StepSpec &) {}, true},
        {"larger", step(), [](StepSpec &s) { s.demand.milliCores = 5'000; }, true},
        {"fewer cores", step(), [](StepSpec &s) { s.demand.milliCores = 3'999; }, false},
        {"less memory", step(), [](StepSpec &s) { s.demand.memoryMb = 999; }, false},
        {"fewer accelerators", step(), [](StepSpec &s) { s.demand.accelerators = 0; }, false},
        {"other image", step(), [](StepSpec &s) { s.image = "other"; }, true},
        {"needs a label", step(), [](StepSpec &s) { s.neededLabel = "ssd"; }, true},
        {"limited tasks per worker", step(), [](StepSpec &s) { s.maxTasksPerWorker = 1; }, true},
        {"best-effort instead", step(), [](StepSpec &s) { s.bestEffort = true; }, false},
        {"equal best-effort", bestEffortStep(), [](StepSpec &) {}, true},
        {"best-effort other image", bestEffortStep(), [](StepSpec &s) { s.image = "x"; }, false},
        {"booking instead", bestEffortStep(), [](StepSpec &s) { s.bestEffort = false; }, false},
    };
    for (const Case &it : cases) {
        CAPTURE(it.what);
        UnplaceableSteps unplaceable;
        unplaceable.add(it.unplaceable, "matching", minHeadroom);
        StepSpec asked = it.unplaceable;
        it.change(asked);
        CHECK(unplaceable.covers(asked, "matching", minHeadroom) == it.covered);
        CHECK_FALSE(unplaceable.covers(asked, "another service", minHeadroom));
    }
}

TEST_CASE("A best-effort step that may leave less headroom is tried although a stricter one failed")
{
    const StepSpec spec = bestEffortStep();
    UnplaceableSteps unplaceable;
    unplaceable.add(spec, "matching", 1.05);
    CHECK(unplaceable.covers(spec, "matching", 1.05));
    CHECK_FALSE(unplaceable.covers(spec, "matching", 0.8));
}

TEST_CASE("A failure says nothing about others if it may be due to its own label or limit")
{
    StepSpec labelled = step();
    labelled.neededLabel = "ssd";
    StepSpec limited = step();
    limited.maxTasksPerWorker = 1;
    UnplaceableSteps unplaceable;
    unplaceable.add(labelled, "matching", 1);
    unplaceable.add(limited, "matching", 1);
    CHECK_FALSE(unplaceable.covers(step(), "matching", 1));
    CHECK(unplaceable.covers(labelled, "matching", 1));
    CHECK_FALSE(unplaceable.covers(limited, "matching", 1));
}
