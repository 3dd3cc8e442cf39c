#include "savorywick/steps/coordinator.h"

#include "shardsimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

constexpr auto queue = "checks";

// A shard with one worker and one job of one task. The test decides what becomes of the task's
// first start, one step at a time.
class SingleJobShard
{
public:
    SingleJobShard()
    {
        m_worker.incarnation = {"w", 1};
        m_worker.service = "matching";
        m_worker.address = "10.0.0.1:1";
        m_worker.capacity = {16'000, 32'000, 0};
        replaceOwner();
        answerRenewal({});
        submitJob();
    }

    Coordinator &owner() { return *m_owner; }
    ClockReading now() const { return {m_now, m_now.count()}; }
    int pendingCount() const { return m_owner->pendingJobCount(queue); }
    // Returns whether the journal has the start of the job's first run.
    bool startIsRecorded() const
    {
        const Task *known = m_owner->jobTable().find("j")->findTask(task);
        return known && known->lastRunNumber == firstRun;
    }

    // Sends the start order of the first run and leaves it without a reply.
    void sendStart()
    {
        for (const WorkerCommand &it : m_owner->takeOrders(now())) {
            if (const auto *order = std::get_if<StartRunCommand>(&it))
                m_start = *order;
        }
        REQUIRE(m_start.run == firstRun);
    }
    void replyToStart(CommandOutcome outcome)
    {
        m_owner->handleStartReply(m_start, {outcome, m_now.count()}, now());
        commit();
    }
    // Lets the next renewal fail.
    void failRenewal() { handleRenewal({}); }
    void answerRenewal(const WorkerReport &report)
    {
        RenewLeaseReply reply{CommandOutcome::Done, report};
        reply.report.clockMs = m_now.count();
        reply.report.startedWallMs = 1;
        handleRenewal(reply);
    }
    // The worker drains, so that no further run is placed there.
    void drainWorker()
    {
        m_worker.draining = true;
        m_owner->setWorkers({&m_worker, 1}, now());
    }
    // Lets time pass without a word from the worker.
    void letLeaseLapse()
    {
        drainWorker();
        m_now = m_now + Millis{30'000};
        m_owner->tick(now());
        commit();
    }
    void replaceOwner()
    {
        m_owner = std::make_unique<Coordinator>(++m_epoch, m_now, CoordinatorSettings{});
        for (const std::string &it : m_journal)
            m_owner->restore(decodeRecord(it));
        m_owner->takeOver(now());
        m_owner->setWorkers({&m_worker, 1}, now());
    }
    void commit()
    {
        for (std::string &it : m_owner->takeRecords())
            m_journal.push_back(std::move(it));
        m_owner->recordsAppended(static_cast<LogSequenceNumber>(m_journal.size()));
        m_owner->recordsDurable(static_cast<LogSequenceNumber>(m_journal.size()));
    }

    static WorkerReport runningReport()
    {
        WorkerReport report;
        report.running.push_back({task, firstRun, "", 50, {}});
        return report;
    }
    static WorkerReport endReport(RunOutcome outcome)
    {
        WorkerReport report;
        report.ended.push_back({1, task, firstRun, outcome, ""});
        return report;
    }

private:
    static inline const TaskRef task{"j", 0, 0, 0};
    static constexpr int firstRun = 1;

    void submitJob()
    {
        JobSpec spec;
        spec.id = "j";
        spec.policy = {queue, "matching", 0, 2, 2.0, Millis{500}};
        spec.steps.resize(1);
        spec.steps[0].demand = {1'000, 1'000, 0};
        m_owner->submit(spec, now());
        m_owner->tick(now());
        commit();
    }

    void handleRenewal(const RenewLeaseReply &reply)
    {
        m_now = m_now + Millis{3'000};
        for (const WorkerCommand &it : m_owner->takeRenewals(now())) {
            const auto &order = std::get<RenewLeaseCommand>(it);
            m_owner->handleRenewReply(order, reply, now());
        }
        commit();
    }

    Instant m_now{1'000'000};
    WorkerInfo m_worker;
    std::uint64_t m_epoch = 0;
    std::unique_ptr<Coordinator> m_owner;
    std::vector<std::string> m_journal;
    StartRunCommand m_start;
};

// What becomes of a job's first start.
struct StartCase
{
    std::string what;
    std::function<void(SingleJobShard &)> play;
};

const std::vector<StartCase> unconfirmedStarts = {
    {"its order is not sent yet", [](SingleJobShard &) {}},
    {"its order is in flight", [](SingleJobShard &shard) { shard.sendStart(); }},
    {"the worker hangs",
     [](SingleJobShard &shard) {
         shard.sendStart();
         shard.replyToStart(CommandOutcome::Unknown);
         shard.failRenewal();
     }},
    {"the worker refused it",
     [](SingleJobShard &shard) {
         shard.sendStart();
         shard.drainWorker();
         shard.replyToStart(CommandOutcome::Rejected);
     }},
    {"the worker does not have it",
     [](SingleJobShard &shard) {
         shard.sendStart();
         shard.replyToStart(CommandOutcome::Unknown);
         shard.drainWorker();
         shard.answerRenewal({});
     }},
    {"the worker was lost before it replied",
     [](SingleJobShard &shard) {
         shard.sendStart();
         shard.replyToStart(CommandOutcome::Unknown);
         shard.letLeaseLapse();
     }},
};

} // namespace

// Guards against jobs that are left out of the pending count from the moment in which a start is
// decided, although the worker hangs or refuses it and they go on waiting.
TEST_CASE("A job is pending until a worker has confirmed a start")
{
    for (const StartCase &it : unconfirmedStarts) {
        CAPTURE(it.what);
        SingleJobShard shard;
        it.play(shard);
        REQUIRE(shard.startIsRecorded());
        CHECK(shard.pendingCount() == 1);
    }
}

// Guards against a new owner that takes the recorded start of its predecessor for a fact.
TEST_CASE("A job whose start was not confirmed is pending after a takeover")
{
    for (const StartCase &it : unconfirmedStarts) {
        CAPTURE(it.what);
        SingleJobShard shard;
        it.play(shard);
        shard.replaceOwner();
        REQUIRE(shard.startIsRecorded());
        CHECK(shard.pendingCount() == 1);
        shard.drainWorker();
        shard.answerRenewal({});
        CHECK(shard.pendingCount() == 1);
    }
}

TEST_CASE("A job is no longer pending once a worker has confirmed a start")
{
    for (const StartCase &it :
         {StartCase{"replied to the order",
                    [](SingleJobShard &shard) { shard.replyToStart(CommandOutcome::Done); }},
          StartCase{"reported it as running",
                    [](SingleJobShard &shard) {
                        shard.replyToStart(CommandOutcome::Unknown);
                        shard.answerRenewal(SingleJobShard::runningReport());
                    }},
          StartCase{"reported its end", [](SingleJobShard &shard) {
                        shard.drainWorker();
                        shard.answerRenewal(SingleJobShard::endReport(RunOutcome::Stopped));
                    }}}) {
        CAPTURE(it.what);
        SingleJobShard shard;
        shard.sendStart();
        it.play(shard);
        CHECK(shard.pendingCount() == 0);
    }
}

TEST_CASE("Runs count as unconfirmed until a worker has confirmed them")
{
    SingleJobShard shard;
    CHECK(shard.owner().runs().unconfirmedCount() == 1);
    shard.sendStart();
    CHECK(shard.owner().runs().unconfirmedCount() == 1);
    shard.replyToStart(CommandOutcome::Done);
    CHECK(shard.owner().runs().unconfirmedCount() == 0);
}

TEST_CASE("A job that has ended is not pending")
{
    SingleJobShard shard;
    shard.owner().cancel("j", shard.now());
    shard.commit();
    CHECK(shard.pendingCount() == 0);
    shard.replaceOwner();
    CHECK(shard.pendingCount() == 0);
}

TEST_CASE("A new owner learns from the journal or from the worker which jobs have started")
{
    SUBCASE("An end that the worker reported")
    {
        SingleJobShard shard;
        shard.sendStart();
        shard.drainWorker();
        shard.answerRenewal(SingleJobShard::endReport(RunOutcome::Failed));
        shard.replaceOwner();
        CHECK(shard.pendingCount() == 0);
    }
    SUBCASE("A run that the worker reports")
    {
        SingleJobShard shard;
        shard.sendStart();
        shard.replyToStart(CommandOutcome::Done);
        shard.replaceOwner();
        shard.answerRenewal(SingleJobShard::runningReport());
        CHECK(shard.pendingCount() == 0);
    }
}

TEST_CASE("Despite faults no job is left out of the pending count before a task has started")
{
    CHECK(rc::check("replaced owners and failing workers and late orders", [] {
        const auto seed = *rc::gen::inRange(0U, 1'000'000'000U);
        ShardSimulation simulation(seed);
        const int jobs = *rc::gen::inRange(1, 25);
        for (int n = 0; n < jobs; ++n) {
            JobSpec spec;
            spec.id = "job" + std::to_string(n);
            spec.policy = {queue, "matching", 0, 3, 1.5, Millis{500}};
            spec.steps.resize(1);
            spec.steps[0].taskCount = 1 + simulation.randomBelow(3);
            spec.steps[0].demand = {500 + simulation.randomBelow(12'000), 1'000, 0};
            spec.steps[0].estimatedDuration = Millis{500};
            simulation.submit(spec);
            for (int i = *rc::gen::inRange(1, 60); i > 0; --i) {
                simulation.advance(1, true);
                RC_ASSERT(simulation.owner().pendingJobCount(queue)
                          >= simulation.unstartedJobCount());
            }
        }
        constexpr int stepsOfSlowCommit = 400;
        simulation.advance(stepsOfSlowCommit, false);
        simulation.finishAndVerify();
        simulation.advance(stepsOfSlowCommit, false);
        RC_ASSERT(simulation.owner().pendingJobCount(queue) == 0);
    }));
}
