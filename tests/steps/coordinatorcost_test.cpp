#include "savorywick/steps/coordinator.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

// A Coordinator whose workers each have one long-running run, and hold the renewals of their
// leases.
class HeldFleet
{
public:
    explicit HeldFleet(int workers)
        : m_coordinator(1, m_now, {})
    {
        std::vector<WorkerInfo> listed;
        for (int i = 0; i < workers; ++i) {
            WorkerInfo info;
            info.incarnation = {"w" + std::to_string(i), 1};
            info.service = "matching";
            info.capacity = {16'000, 32'000, 0};
            listed.push_back(info);
        }
        m_coordinator.takeOver(now());
        m_coordinator.setWorkers(listed, now());
        answerAll(process());
        submitOneRunForEach(workers);
        answerAll(process());
        m_now = m_now + Millis{1'000};
        answerAll(process()); // They confirm the runs.
        m_now = m_now + Millis{1'000};
        for (const WorkerCommand &it : process())
            m_held.push_back(std::get<RenewLeaseCommand>(it));
    }

    const Coordinator &coordinator() const { return m_coordinator; }
    std::size_t heldCount() const { return m_held.size(); }

    // Answers the renewal that one worker holds, after some time, and lets the coordinator decide.
    void answerOne(Millis after)
    {
        m_now = m_now + after;
        answer(m_held.back());
        m_held.pop_back();
        process();
    }

    // Returns how long the coordinator lets its user wait if it is not ticked for some time.
    Millis waitAfter(Millis withoutTick)
    {
        const Instant later = m_now + withoutTick;
        return m_coordinator.wakeAt(later) - later;
    }

    // Submits a job of one task that no worker has room for.
    void submitUnplaceable()
    {
        JobSpec spec;
        spec.id = "unplaceable";
        spec.policy = {"q", "matching", 0, 2, 2.0, Millis{500}};
        spec.steps.resize(1);
        spec.steps[0].demand = {32'000, 1'000, 0};
        m_coordinator.submit(spec, now());
        process();
    }

private:
    ClockReading now() const { return {m_now, m_now.count()}; }

    void submitOneRunForEach(int workers)
    {
        JobSpec spec;
        spec.id = "job";
        spec.policy = {"q", "matching", 0, 2, 2.0, Millis{500}};
        StepSpec step;
        step.taskCount = workers;
        step.maxTasksPerWorker = 1;
        step.longRunning = true;
        step.demand = {4'000, 1'000, 0};
        spec.steps = {step};
        m_coordinator.submit(spec, now());
    }

    // Does what follows every event, with a journal that commits at once.
    std::vector<WorkerCommand> process()
    {
        m_coordinator.tick(now());
        m_lsn += m_coordinator.takeRecords().size();
        m_coordinator.recordsAppended(m_lsn);
        m_coordinator.recordsDurable(m_lsn);
        return m_coordinator.takeOrders(now());
    }

    void answerAll(const std::vector<WorkerCommand> &orders)
    {
        for (const WorkerCommand &it : orders) {
            if (const auto *renewal = std::get_if<RenewLeaseCommand>(&it))
                answer(*renewal);
            if (const auto *start = std::get_if<StartRunCommand>(&it))
                m_coordinator.handleStartReply(*start, {CommandOutcome::Done, m_now.count()},
                                               now());
        }
    }

    void answer(const RenewLeaseCommand &order)
    {
        RenewLeaseReply reply{CommandOutcome::Done, {}};
        reply.report.clockMs = m_now.count();
        reply.report.startedWallMs = 1;
        for (const RunKey &it : m_coordinator.runs().onWorker(order.target.worker.workerId))
            reply.report.running.push_back({it.task, it.number, "", 100, {}});
        m_coordinator.handleRenewReply(order, reply, now());
    }

    Instant m_now{1'000'000};
    Coordinator m_coordinator;
    LogSequenceNumber m_lsn = 0;
    std::vector<RenewLeaseCommand> m_held;
};

} // namespace

// Guards against decisions that take ever more time as the fleet grows, until the owner of a shard
// answers neither its callers nor its workers in time.
TEST_CASE("The reply of one worker does not make the coordinator examine all workers and runs")
{
    constexpr std::uint64_t maxExaminedPerReply = 4;
    for (const int workers : {10, 200}) {
        CAPTURE(workers);
        HeldFleet fleet(workers);
        REQUIRE(fleet.coordinator().runs().all().size() == static_cast<std::size_t>(workers));
        REQUIRE(fleet.heldCount() == static_cast<std::size_t>(workers));
        const CoordinatorCounters before = fleet.coordinator().counters();
        fleet.answerOne(Millis{10});
        const CoordinatorCounters &after = fleet.coordinator().counters();
        CHECK(after.workersExamined - before.workersExamined <= maxExaminedPerReply);
        CHECK(after.runsExamined - before.runsExamined <= maxExaminedPerReply);
    }
}

// Guards against an overloaded owner that spends all its time on searching the fleet for room that
// is not there, once for every reply of a worker, and therefore falls further behind.
TEST_CASE("While steps wait for room the fleet is not searched again at each of many replies")
{
    constexpr int workers = 200;
    constexpr int replies = 40;
    const CoordinatorSettings settings;
    HeldFleet fleet(workers);
    fleet.submitUnplaceable();
    REQUIRE(fleet.coordinator().readyStepCount() == 1);
    const std::uint64_t before = fleet.coordinator().counters().workersExamined;
    for (int i = 0; i < replies; ++i)
        fleet.answerOne(Millis{1});
    const std::uint64_t examined = fleet.coordinator().counters().workersExamined - before;
    const auto passes = static_cast<std::uint64_t>(replies / settings.placementInterval.count());
    constexpr std::uint64_t maxExaminedPerReply = 4;
    CHECK(examined >= workers); // The step is tried again.
    CHECK(examined <= passes * workers + replies * maxExaminedPerReply);
}

// Guards against an owner that is woken every millisecond while it releases its shard, when it
// places no tasks any more.
TEST_CASE("A placement pass that is overdue is waited for no more often than passes are made")
{
    const CoordinatorSettings settings;
    HeldFleet fleet(1);
    fleet.submitUnplaceable();
    fleet.answerOne(Millis{1});
    const Millis overdue = settings.placementInterval * 2;
    CHECK(fleet.waitAfter(Millis{0}) < settings.placementInterval);
    CHECK(fleet.waitAfter(overdue) == settings.placementInterval);
}
