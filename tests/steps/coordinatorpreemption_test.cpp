#include "coordinatorharness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

CoordinatorSettings settingsWith(bool enabled)
{
    CoordinatorSettings settings;
    settings.preemption.enabled = enabled;
    return settings;
}

// A task that fills half a worker and, in its own job, must start within 1.5 s.
StepSpec urgentTask()
{
    StepSpec spec = task(8'000);
    spec.estimatedDuration = Millis{1'000};
    return spec;
}

// A checkpointing task that fills a worker.
StepSpec batchTask()
{
    StepSpec spec = task(16'000);
    spec.checkpointing = true;
    return spec;
}

// Workers full of checkpointing tasks of queues with a low priority, and urgent jobs.
struct Shard : CoordinatorHarness
{
    explicit Shard(int workers, const StepSpec &filler = batchTask(), int fillerPriority = 5,
                   bool enabled = true)
        : CoordinatorHarness(workers, settingsWith(enabled))
    {
        progressPercent = 20;
        savedCheckpoint = "saved";
        for (int i = 0; i < workers; ++i)
            submitWith(fillerPriority, "batch" + std::to_string(i), filler);
        advance(Millis{1'000});
        REQUIRE(starts.size() == static_cast<std::size_t>(workers) * filler.taskCount);
    }

    void submitWith(int priority, const std::string &id, const StepSpec &stepSpec)
    {
        JobSpec spec;
        spec.id = id;
        spec.policy = {"q" + std::to_string(priority), "matching", priority, 2, 2.0, Millis{500}};
        spec.steps = {stepSpec};
        coordinator().submit(spec, now());
        step();
    }

    std::uint64_t ended(ReservationEnd how)
    {
        const auto &all = coordinator().counters().reservationsEnded;
        return all.contains(how) ? all.at(how) : 0;
    }
};

} // namespace

// Guards against urgent jobs that miss their deadlines behind work that could wait, and preempted
// work that starts from its beginning or behind later work of its class.
TEST_CASE("A burst of urgent jobs on full workers starts in time and the preempted work resumes")
{
    Shard shard(3);
    shard.stopsEndRuns = true;
    shard.submitWith(5, "abatch", batchTask()); // Waits, and its id comes first.
    for (const char *id : {"u0", "u1", "u2"})
        shard.submitWith(0, id, urgentTask());
    shard.advance(Millis{1'000});
    CHECK(shard.coordinator().counters().runsPreempted == 2); // Two urgent tasks fit on a worker.
    for (const char *id : {"u0", "u1", "u2"}) {
        CAPTURE(id);
        REQUIRE(shard.workersStartedOn(id).size() == 1);
        shard.reportEnd(shard.workersStartedOn(id)[0], {{id, 0, 0, 0}, 1}, RunOutcome::Done);
    }
    shard.advance(Millis{1'000});
    REQUIRE(shard.starts.size() == 8);
    for (const std::size_t i : {6, 7}) {
        CHECK(shard.starts[i].run == 2);
        CHECK(shard.starts[i].checkpoint == "saved");
    }
    CHECK(shard.workersStartedOn("abatch").empty());
}

// Guards against preemption where it is not allowed.
TEST_CASE("Runs of other kinds and priorities are not preempted")
{
    struct Case
    {
        const char *what;
        StepSpec filler;
        bool preempts = false;
        int fillerPriority = 5;
        bool enabled = true;
    };
    StepSpec longRunning = batchTask();
    longRunning.longRunning = true;
    StepSpec gang = batchTask();
    gang.gang = true;
    StepSpec bestEffort = batchTask();
    bestEffort.bestEffort = true;
    bestEffort.demand = {2'000, 32'000, 0};
    for (const Case &it :
         {Case{"checkpointing", batchTask(), true}, Case{"no checkpoints", task(16'000)},
          Case{"same priority", batchTask(), false, 0},
          Case{"disabled", batchTask(), false, 5, false}, Case{"long-running", longRunning},
          Case{"gang", gang}, Case{"best-effort that holds the memory", bestEffort, true}}) {
        CAPTURE(it.what);
        Shard shard(1, it.filler, it.fillerPriority, it.enabled);
        shard.submitWith(0, "u", urgentTask());
        shard.advance(Millis{500});
        CHECK(shard.stops.empty() == !it.preempts);
    }
}

// Guards against tasks that make no progress since they are preempted again and again, and against
// two queues that preempt each other in turn.
TEST_CASE("Of two queues one never preempts the other and none of its tasks is preempted twice")
{
    Shard shard(1);
    shard.stopsEndRuns = true;
    StepSpec urgent = batchTask();
    urgent.estimatedDuration = Millis{1'500};
    shard.submitWith(1, "low", urgent);
    shard.advance(Millis{500});
    for (const char *id : {"high0", "high1"}) {
        CAPTURE(id);
        shard.submitWith(0, id, urgent);
        shard.advance(Millis{500});
        const std::size_t isFirst = id == std::string("high0") ? 1 : 0;
        REQUIRE(shard.workersStartedOn(id).size() == isFirst); // "low" has resumed since.
        if (isFirst == 1)
            shard.reportEnd("w0", {{id, 0, 0, 0}, 1}, RunOutcome::Done);
        shard.advance(Millis{500});
    }
    CHECK(shard.startCount({"low", 0, 0, 0}) == 2);
    CHECK(shard.stops.size() == 2); // Of "batch0" and "low".
    shard.reportEnd("w0", {{"low", 0, 0, 0}, 2}, RunOutcome::Done);
    shard.advance(Millis{500});
    CHECK(shard.workersStartedOn("high1").size() == 1);
}

// Guards against vacated room that goes to other steps, and against room that stays reserved for a
// worker that does not stop its runs.
TEST_CASE("A worker that answers a stop late keeps room reserved for a bounded time only")
{
    StepSpec halves = tasks(2, 8'000);
    halves.checkpointing = true;
    Shard shard(1, halves);
    StepSpec urgent = urgentTask();
    urgent.demand.milliCores = 16'000;
    shard.submitWith(0, "u", urgent);
    REQUIRE(shard.coordinator().counters().runsPreempted == 2);
    shard.reportEnd("w0", {{"batch0", 0, 0, 1}, 1}, RunOutcome::Stopped);
    shard.advance(Millis{1'400});
    CHECK(shard.startCount({"batch0", 0, 0, 1}) == 1); // The other half has not been vacated yet.
    CHECK(shard.ended(ReservationEnd::Expired) == 0);
    shard.advance(Millis{600});
    CHECK(shard.startCount({"batch0", 0, 0, 1}) == 2);
    CHECK(shard.ended(ReservationEnd::Expired) == 1);
    shard.reportEnd("w0", {{"batch0", 0, 0, 0}, 1}, RunOutcome::Stopped);
    shard.advance(Millis{1'000});
    CHECK(shard.startCount({"batch0", 0, 0, 0}) == 2);
    CHECK(shard.coordinator().counters().runsPreempted == 2);
}

// Guards against lost or repeated work when the reservation is lost with the owner.
TEST_CASE("If the owner is lost between the stop and the start both tasks still run")
{
    Shard shard(1);
    shard.submitWith(0, "u", urgentTask());
    REQUIRE(shard.stops.size() == 1);
    shard.replaceOwner();
    shard.reportEnd("w0", {shard.stops[0].task, 1}, RunOutcome::Stopped);
    shard.advance(Millis{1'000});
    REQUIRE(shard.startCount({"u", 0, 0, 0}) == 1);
    shard.reportEnd("w0", {{"u", 0, 0, 0}, 1}, RunOutcome::Done);
    shard.advance(Millis{1'000});
    CHECK(shard.startCount({"batch0", 0, 0, 0}) == 2);
    CHECK(shard.starts.back().checkpoint == "saved");
}
