#include "savorywick/steps/coordinator.h"

#include "coordinatorharness.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

const TaskRef firstTask{"a", 0, 0, 0};

// What else may happen before a worker is back.
enum class OwnerLoss { None, FromJournal, FromSnapshot };

// Job "a", the first start of which w0 left unanswered.
class UnansweredStartPlay
{
public:
    explicit UnansweredStartPlay(const StepSpec &step = longRunningTask(), int workers = 2)
        : m_harness(workers)
    {
        m_harness.advance(Millis{12'000}); // The leases of earlier owners are over.
        m_harness.listWorkers({0});
        m_harness.silentWorkers = {"w0"};
        m_harness.startOutcomes = {{"w0", CommandOutcome::Unknown}};
        m_harness.submit("a", step);
        m_sentAt = m_harness.now().monotonic;
        REQUIRE_FALSE(m_harness.refusedStarts.empty());
        m_harness.coordinator().setWorkers(m_harness.workers(), m_harness.now());
    }

    CoordinatorHarness &harness() { return m_harness; }

    void loseOwner(OwnerLoss loss)
    {
        if (loss == OwnerLoss::FromJournal)
            m_harness.replaceOwner();
        else if (loss == OwnerLoss::FromSnapshot)
            m_harness.replaceOwnerFromSnapshot();
    }

    // Lets the worker answer again, in its next life.
    void returnInNextLife()
    {
        m_harness.restartUnlisted(0);
        m_harness.silentWorkers.clear();
        m_harness.startOutcomes.clear();
    }

    // Returns how long after the unanswered start the job's first other start was sent.
    Millis nextStartAfter()
    {
        constexpr Millis patience{20'000};
        while (m_harness.workersStartedOn("a").empty()
               && m_harness.now().monotonic - m_sentAt < patience)
            m_harness.advance(Millis{20});
        return m_harness.now().monotonic - m_sentAt;
    }

private:
    CoordinatorHarness m_harness;
    Instant m_sentAt;
};

} // namespace

// Guards against two runs of a task at a time (review/11): one life of the worker answers with a
// higher fence, the task is started elsewhere, and the next life executes the late start.
TEST_CASE("A task whose start got no answer starts again on the worker that may execute it late")
{
    for (const OwnerLoss loss :
         {OwnerLoss::None, OwnerLoss::FromJournal, OwnerLoss::FromSnapshot}) {
        CAPTURE(static_cast<int>(loss));
        UnansweredStartPlay play;
        CoordinatorHarness &harness = play.harness();
        harness.advance(Millis{100});
        play.loseOwner(loss);
        play.returnInNextLife();
        harness.advance(Millis{1'000});
        REQUIRE(harness.workersStartedOn("a") == std::vector<std::string>{"w0"});

        // The second next life has forgotten the fence, and executes the first start.
        play.loseOwner(loss);
        harness.restartUnlisted(0);
        harness.strays["w0"] = {{firstTask, 1, "", 100, 10}};
        harness.advance(Millis{2'000});
        CHECK(harness.workersStartedOn("a").empty());
        CHECK(harness.stops.empty());
        const Run *run = harness.coordinator().runs().find({firstTask, 1});
        REQUIRE(run);
        CHECK((run->phase == RunPhase::Running));
        CHECK(harness.coordinator().counters().lateStartsAdopted == 1);
    }
}

// Guards against two runs at a time if the start is late once more: the run that was lost in
// between does not start elsewhere either.
TEST_CASE("A task starts again on its worker as long as a late start may reach a next life")
{
    UnansweredStartPlay play;
    CoordinatorHarness &harness = play.harness();
    for (int i = 0; i < 3; ++i) {
        play.returnInNextLife();
        harness.advance(Millis{2'000});
        CHECK(harness.workersStartedOn("a") == std::vector<std::string>{"w0"});
    }
}

// Guards against a late run that goes on beside the task's next one, or that is taken over although
// its job needs it no more.
TEST_CASE("A late start that can't be taken over is stopped")
{
    for (const bool cancelled : {false, true}) {
        CAPTURE(cancelled);
        UnansweredStartPlay play;
        CoordinatorHarness &harness = play.harness();
        harness.advance(Millis{3'000});
        REQUIRE(harness.workersStartedOn("a") == std::vector<std::string>{"w1"});
        if (cancelled)
            harness.coordinator().cancel("a", harness.now());
        play.returnInNextLife();
        harness.strays["w0"] = {{firstTask, 1, "", 100, 10}};
        harness.advance(Millis{500});
        REQUIRE_FALSE(harness.stops.empty());
        CHECK(harness.stops.back().target.worker.workerId == "w0");
        CHECK(harness.coordinator().counters().lateStartsAdopted == 0);
    }
}

// Guards against tasks that wait for a worker that is of no use, beyond the time that they may be
// without a run.
TEST_CASE("A task waits for the worker that left its start unanswered for a limited time")
{
    struct Case
    {
        std::string what;
        void (*change)(CoordinatorHarness &);
        Millis least;
        Millis most;
    };
    const std::vector<Case> cases = {
        {"it stays silent", [](CoordinatorHarness &) {}, Millis{2'000}, Millis{2'900}},
        {"its host refuses connections", [](CoordinatorHarness &it) { it.cutOff("w0"); },
         Millis{2'900}, Millis{5'700}},
        {"it answers, and leaves starts unanswered",
         [](CoordinatorHarness &it) { it.silentWorkers.clear(); }, Millis{0}, Millis{700}},
        {"it answers, and has no room",
         [](CoordinatorHarness &it) {
             it.silentWorkers.clear();
             it.startOutcomes = {{"w0", CommandOutcome::NoRoom}};
         },
         Millis{0}, Millis{700}},
        {"it answers, and drains",
         [](CoordinatorHarness &it) {
             it.silentWorkers.clear();
             it.setDraining(0);
         },
         Millis{0}, Millis{700}},
        {"another worker is at its address",
         [](CoordinatorHarness &it) { it.crash("w0", Millis{100}); }, Millis{0}, Millis{700}},
    };
    for (const Case &it : cases) {
        CAPTURE(it.what);
        UnansweredStartPlay play;
        it.change(play.harness());
        const Millis waited = play.nextStartAfter();
        CHECK(waited >= it.least);
        CHECK(waited <= it.most);
        CHECK(play.harness().workersStartedOn("a").front() != "w0");
    }
}

// Guards against tasks that wait for one worker without need, or that are kept from it.
TEST_CASE("Other tasks are not tied to a worker that left a start unanswered")
{
    UnansweredStartPlay play;
    CoordinatorHarness &harness = play.harness();
    harness.submit("b", task(1'000));
    harness.advance(Millis{100});
    CHECK(harness.workersStartedOn("b") == std::vector<std::string>{"w1"});
}

// Guards against a second member of a gang that is started late beside it.
TEST_CASE("The members of a gang whose starts got no answer start again on their worker")
{
    StepSpec gang = tasks(3, 1'000);
    gang.gang = true;
    UnansweredStartPlay play(gang);
    CoordinatorHarness &harness = play.harness();
    play.returnInNextLife();
    harness.advance(Millis{500});
    CHECK(harness.workersStartedOn("a") == std::vector<std::string>{"w0", "w0", "w0"});
    CHECK(harness.starts.front().run == 2);
}

// Guards against a job that is handed over while one of its tasks may still start here.
TEST_CASE("A job is not handed over while a task of it waits for its worker")
{
    UnansweredStartPlay play;
    CoordinatorHarness &harness = play.harness();
    play.returnInNextLife();
    harness.setCapacity(1, {0, 0, 0});
    harness.setCapacity(0, {0, 0, 0});
    harness.advance(Millis{600});
    REQUIRE(harness.coordinator().runs().ofJob("a").empty());
    CHECK_FALSE(harness.coordinator().handOver("a", 1, harness.now()));
    CHECK(harness.coordinator().waitingJobs(Millis{0}, harness.now()).empty());
    harness.advance(Millis{2'000});
    CHECK(harness.coordinator().handOver("a", 1, harness.now()));
}
