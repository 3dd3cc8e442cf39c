#include "savorywick/steps/coordinator.h"

#include "coordinatorharness.h"
#include "historyonfailure.h"
#include "shardsimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

constexpr Millis leasesLeft{4'000}; // At the takeover, as the shard's row tells.
constexpr int workerCount = 4;
constexpr Millis longestLeaseTerm{10'000};
constexpr Millis slack{200}; // Steps of the harness, and the placement.

// A long-running task whose worker is lost with the owner.
class LostRun
{
public:
    explicit LostRun(bool confirmed = true, bool longRunning = true)
        : m_harness(2)
    {
        StepSpec step;
        step.demand = {1'000, 1'000, 0};
        step.longRunning = longRunning;
        m_harness.submit("a", step);
        if (confirmed)
            m_harness.advance(Millis{2'000});
        m_worker = m_harness.starts.front().target.worker.workerId;
        m_harness.silentWorkers.insert(m_worker);
        m_harness.earlierLeasesEnd = m_harness.now().monotonic + leasesLeft;
        m_harness.replaceOwner();
    }

    CoordinatorHarness &harness() { return m_harness; }
    const std::string &worker() const { return m_worker; }
    // Returns how long after the takeover the task is started again.
    Millis restartAfter(Instant takenOverAt)
    {
        constexpr Millis patience{20'000};
        while (m_harness.starts.size() < 2 && m_harness.now().monotonic - takenOverAt < patience)
            m_harness.advance(Millis{20});
        return m_harness.now().monotonic - takenOverAt;
    }

private:
    CoordinatorHarness m_harness;
    std::string m_worker;
};

// Runs jobs, half of them long-running, while owners and workers are lost and the shard's row
// promises by when leases are over. Throws if a promise is broken.
void runJobsAmidLosses(ShardSimulation &simulation)
{
    const HistoryOnFailure history(simulation);
    simulation.promiseLeaseEnds(Millis{2'500 + simulation.randomBelow(5'000)});
    for (int i = 0; i < 8; ++i) {
        JobSpec job;
        job.id = "job" + std::to_string(i);
        job.policy = {"q", "matching", 0, 3, 2.0, Millis{500}};
        StepSpec step;
        step.taskCount = 1 + simulation.randomBelow(4);
        step.demand = {500 + simulation.randomBelow(2'500), 500, 0};
        step.estimatedDuration = Millis{500};
        step.longRunning = i % 2 == 0;
        job.steps = {step};
        simulation.submit(job);
        simulation.advance(60, true);
    }
    simulation.finishAndVerify();
}

} // namespace

// Guards against a wait for the longest lease that a worker takes, when it is known that all leases
// are over before.
TEST_CASE("A task whose worker is lost with the owner starts again once all leases are over")
{
    struct Case
    {
        std::string what;
        bool confirmed;
        bool longRunning;
        Millis expected;
    };
    constexpr Millis longestLease{10'567}; // By the slowest clock, with the margin.
    for (const Case &it :
         {Case{"confirmed", true, true, leasesLeft},
          Case{"not confirmed: a next life may have taken it over", false, true, longestLease},
          Case{"short: no confirmation is recorded", true, false, longestLease}}) {
        CAPTURE(it.what);
        LostRun lost(it.confirmed, it.longRunning);
        const Millis restart = lost.restartAfter(lost.harness().now().monotonic);
        CHECK(restart >= it.expected);
        CHECK(restart <= it.expected + slack);
    }
}

// Guards against a wait that begins anew with each owner.
TEST_CASE("A series of owners waits no longer for a silent worker than the first of them")
{
    LostRun lost;
    CoordinatorHarness &harness = lost.harness();
    const Instant firstTakeover = harness.now().monotonic;
    for (int i = 0; i < 3; ++i) {
        harness.advance(Millis{1'000});
        harness.earlierLeasesEnd = harness.now().monotonic + Millis{8'000}; // Raised for others.
        harness.replaceOwner();
    }
    CHECK(lost.restartAfter(firstTakeover) >= leasesLeft);
    CHECK(lost.restartAfter(firstTakeover) <= leasesLeft + slack);
}

// Guards against a second run beside one whose lease was renewed after the worker had been recorded
// as silent.
TEST_CASE("A worker that answers after all keeps its run and is waited for again")
{
    LostRun lost;
    CoordinatorHarness &harness = lost.harness();
    harness.advance(Millis{500});
    harness.commits = false;
    harness.silentWorkers.clear();
    harness.renewals.clear();
    harness.advance(Millis{1'000});
    for (const RenewLeaseCommand &it : harness.renewals) {
        if (it.target.worker.workerId == lost.worker())
            CHECK_FALSE(it.leaseUntilClockMs.has_value()); // The record is not withdrawn yet.
    }
    harness.commits = true;
    harness.advance(Millis{500});
    CHECK(harness.renewals.back().leaseUntilClockMs.has_value());
    harness.silentWorkers.insert(lost.worker());
    harness.earlierLeasesEnd = harness.now().monotonic + Millis{7'000};
    harness.replaceOwner();
    const Millis restart = lost.restartAfter(harness.now().monotonic);
    CHECK(restart >= Millis{7'000});
}

// Guards against a second run beside one that has a longer lease than its owner granted: a renewal
// for the worker's former life reached the next one, before the run was started there.
TEST_CASE("A successor waits for the lease that a worker took from a renewal for its former life")
{
    constexpr Millis rowPromise{7'800};
    constexpr Millis longestLease{10'000};
    constexpr Millis slowestClockDelay{204}; // Of a clock that is 2 % slow.
    constexpr Millis longestLeaseByOwner{10'567}; // With the owner's margins.
    constexpr Millis restartNoticed{500};
    for (const bool fromSnapshot : {false, true}) {
        CAPTURE(fromSnapshot);
        CoordinatorHarness harness(2);
        harness.listWorkers({0});
        harness.submit("a", longRunningTask());
        harness.advance(Millis{2'000});
        REQUIRE(harness.renewals.back().leaseUntilClockMs.has_value());
        // The next life takes the renewal on its way: its clock is far behind the lease's end.
        harness.restartUnlisted(0);
        const Instant leaseTakenAt = harness.now().monotonic;
        harness.advance(restartNoticed);
        REQUIRE(harness.starts.size() == 1); // In the next life, which has confirmed it.
        harness.silentWorkers.insert("w0");
        harness.earlierLeasesEnd = harness.now().monotonic + rowPromise;
        if (fromSnapshot)
            harness.replaceOwnerFromSnapshot();
        else
            harness.replaceOwner();
        while (harness.starts.size() < 2 && harness.now().monotonic - leaseTakenAt < Millis{30'000})
            harness.advance(Millis{20});
        const Millis startedAfter = harness.now().monotonic - leaseTakenAt;
        CHECK(startedAfter >= longestLease + slowestClockDelay);
        CHECK(startedAfter <= restartNoticed + longestLeaseByOwner + slack);
    }
}

// Guards against a second run beside one whose lease a start extended, while the journal still told
// the next owner that the worker had none.
TEST_CASE("No start grants a lease before the record of its worker's silence is withdrawn")
{
    CoordinatorHarness harness(1);
    harness.submit("y", longRunningTask());
    harness.advance(Millis{20'000});
    harness.silentWorkers.insert("w0");
    harness.earlierLeasesEnd = harness.now().monotonic + leasesLeft;
    harness.replaceOwner();
    harness.advance(Millis{100}); // Its silence is durable.
    harness.commits = false;
    harness.silentWorkers.clear();
    harness.advance(Millis{300}); // Its answer is not.
    harness.submit("x", task(1'000));
    harness.advance(Millis{100});
    const LogSequenceNumber placed = harness.appendedLsn();
    harness.silentWorkers.insert("w0");
    harness.advance(Millis{1'500});
    const LogSequenceNumber silentAgain = harness.appendedLsn();
    REQUIRE(silentAgain > placed);
    harness.silentWorkers.clear();
    harness.advance(Millis{600});
    REQUIRE(harness.appendedLsn() > silentAgain); // It has answered again.
    harness.coordinator().recordsDurable(silentAgain);
    for (const WorkerCommand &it : harness.coordinator().takeOrders(harness.now()))
        CHECK_FALSE(std::holds_alternative<StartRunCommand>(it));
}

// Guards against a second run beside one whose worker was forgotten between two of its lives: its
// next life executed an order for the one before.
TEST_CASE("A worker that comes back after it was forgotten may have inherited a lease")
{
    constexpr Millis longestLease{10'204}; // By a clock that is 2 % slow.
    CoordinatorHarness harness(2);
    harness.listWorkers({0});
    harness.submit("a", longRunningTask());
    harness.advance(Millis{40'000});
    harness.silentWorkers.insert("w0");
    harness.advance(Millis{500});
    harness.listWorkers({});
    while (harness.coordinator().workerCount() > 0)
        harness.advance(Millis{20});
    harness.restartUnlisted(0); // The next life executes the last renewal here.
    const Instant inheritedAt = harness.now().monotonic;
    harness.silentWorkers.clear();
    harness.listWorkers({0});
    harness.starts.clear();
    harness.advance(Millis{500});
    REQUIRE(harness.starts.size() == 1);
    harness.silentWorkers.insert("w0");
    harness.listWorkers({0, 1});
    while (harness.starts.size() < 2 && harness.now().monotonic - inheritedAt < Millis{40'000})
        harness.advance(Millis{20});
    CHECK(harness.now().monotonic - inheritedAt >= longestLease);
}

// Guards against a wait for leases that the worker is known not to have: the life that answers the
// new owner is the one that confirmed a run to the owner before.
TEST_CASE("A worker lost soon after a takeover is waited for no longer than it was granted")
{
    constexpr Millis longestGrant{7'000}; // A full lease and its margins.
    for (const Millis cutFor : {Millis{0}, Millis{2'000}, Millis{5'000}}) {
        CAPTURE(cutFor);
        CoordinatorHarness harness(2);
        harness.listWorkers({0});
        harness.submit("a", longRunningTask());
        harness.advance(Millis{20'000});
        harness.silentWorkers.insert("w0");
        harness.earlierLeasesEnd = harness.now().monotonic + Millis{7'800};
        harness.replaceOwner();
        harness.advance(cutFor);
        harness.silentWorkers.clear();
        harness.advance(Millis{1'000});
        harness.silentWorkers.insert("w0");
        const Instant lostAt = harness.now().monotonic;
        while (harness.starts.size() < 2 && harness.now().monotonic - lostAt < Millis{40'000})
            harness.advance(Millis{20});
        CHECK(harness.now().monotonic - lostAt <= longestGrant + slack);
    }
}

// Guards against two runs of a task at a time, whatever owners know of the leases of those before.
TEST_CASE("No promise is broken while owners count on what the shard's row tells of leases")
{
    CHECK(rc::check("random owners, workers and losses", [](unsigned seed) {
        ShardSimulation simulation(seed);
        runJobsAmidLosses(simulation);
    }));
}

// Guards against two runs of a task at a time, one of which has a lease that its worker took from
// an order for its former life.
TEST_CASE("No promise is broken while workers restart before their owner knows")
{
    CHECK(rc::check("random owners, workers and losses", [](unsigned seed) {
        ShardSimulation simulation(seed, workerCount, longestLeaseTerm);
        simulation.restartWorkersAtOnce();
        runJobsAmidLosses(simulation);
    }));
}

// Guards against two runs of a task at a time, one of which began seconds after its order was sent,
// in a life of the worker that the order wasn't meant for.
TEST_CASE("No promise is broken while late orders reach the next lives of their workers")
{
    CHECK(rc::check("random owners, workers and losses", [](unsigned seed) {
        ShardSimulation simulation(seed, workerCount, longestLeaseTerm);
        simulation.deliverLateOrdersToNextLives();
        runJobsAmidLosses(simulation);
    }));
}
