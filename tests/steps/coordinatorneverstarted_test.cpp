#include "savorywick/steps/coordinator.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr int allMilliCores = 16'000;

// A shard with one worker, in virtual time and with a journal that commits at once. The test sets
// how the worker replies to start orders. It has the runs whose start it confirmed.
class OneWorkerShard
{
public:
    OneWorkerShard()
        : m_coordinator(1, m_now, {})
    {
        WorkerInfo worker;
        worker.incarnation = {"w", 1};
        worker.service = "matching";
        worker.capacity = {allMilliCores, 32'000, 0};
        m_coordinator.takeOver(now());
        m_coordinator.setWorkers({&worker, 1}, now());
        advance(Millis{100});
    }

    // Submits a job of one task and lets some time pass.
    void submit(const std::string &id, StepSpec step)
    {
        JobSpec spec;
        spec.id = id;
        spec.policy = {"q", "matching", 0, 1, 2.0, Millis{500}};
        step.demand.memoryMb = 1'000;
        spec.steps = {step};
        m_coordinator.submit(spec, now());
        advance(Millis{200});
    }

    // Makes the worker report that the job's run has ended.
    void endRun(const std::string &job, RunOutcome outcome)
    {
        const std::vector<RunKey> keys = m_coordinator.runs().ofJob(job);
        REQUIRE(keys.size() == 1);
        m_running.erase(keys.front());
        m_ended.push_back({static_cast<std::int64_t>(m_ended.size()) + 1, keys.front().task,
                           keys.front().number, outcome, ""});
        advance(Millis{200});
    }

    void advance(Millis span)
    {
        constexpr Millis stepTime{20};
        for (Millis t{0}; t < span; t = t + stepTime) {
            m_now = m_now + stepTime;
            m_coordinator.tick(now());
            m_lsn += m_coordinator.takeRecords().size();
            m_coordinator.recordsAppended(m_lsn);
            m_coordinator.recordsDurable(m_lsn);
            for (const WorkerCommand &it : m_coordinator.takeOrders(now()))
                std::visit([this](const auto &order) { respond(order); }, it);
        }
    }

    bool isRunning(const std::string &job) const
    {
        return std::any_of(m_running.begin(), m_running.end(),
                           [&](const RunKey &it) { return it.task.job == job; });
    }
    const Coordinator &coordinator() const { return m_coordinator; }

    // The next start order gets this reply and has no effect.
    std::optional<CommandOutcome> nextStartFailure;

private:
    ClockReading now() const { return {m_now, m_now.count()}; }

    void respond(const RenewLeaseCommand &order)
    {
        RenewLeaseReply reply{CommandOutcome::Done, {}};
        reply.report.clockMs = m_now.count();
        reply.report.startedWallMs = 1;
        reply.report.ended = m_ended;
        for (const RunKey &it : m_running)
            reply.report.running.push_back({it.task, it.number, "", 100, {}});
        m_coordinator.handleRenewReply(order, reply, now());
    }
    void respond(const StartRunCommand &order)
    {
        const auto failure = std::exchange(nextStartFailure, std::nullopt);
        if (!failure)
            m_running.insert({order.task, order.run});
        const CommandOutcome outcome = failure.value_or(CommandOutcome::Done);
        m_coordinator.handleStartReply(order, {outcome, m_now.count()}, now());
    }
    void respond(const StopRunCommand &) { }
    void respond(const ThrottleRunCommand &) { }

    Instant m_now{1'000'000};
    Coordinator m_coordinator;
    LogSequenceNumber m_lsn = 0;
    std::set<RunKey> m_running;
    std::vector<RunEndReport> m_ended;
};

StepSpec task(int milliCores)
{
    StepSpec s;
    s.demand.milliCores = milliCores;
    s.estimatedDuration = Millis{60'000};
    return s;
}

StepSpec longRunningTask(int milliCores)
{
    StepSpec s = task(milliCores);
    s.longRunning = true;
    return s;
}

struct FailedStart
{
    std::string what;
    CommandOutcome reply;
};

const std::vector<FailedStart> failedStarts = {
    {"the worker refuses it", CommandOutcome::Rejected},
    {"the worker does not reply and does not have it", CommandOutcome::Unknown},
};

} // namespace

// Guards against starvation: a long-running task whose start fails again and again must not begin
// to wait anew each time, behind tasks that were submitted later.
TEST_CASE("A long-running task whose start had no effect keeps its turn")
{
    for (const FailedStart &it : failedStarts) {
        CAPTURE(it.what);
        OneWorkerShard shard;
        shard.submit("first", task(allMilliCores));
        REQUIRE(shard.isRunning("first"));
        shard.submit("older", longRunningTask(allMilliCores));
        shard.submit("younger", longRunningTask(allMilliCores));
        shard.nextStartFailure = it.reply;
        shard.endRun("first", RunOutcome::Done);
        shard.advance(Millis{2'000});
        REQUIRE_FALSE(shard.nextStartFailure.has_value());
        CHECK(shard.isRunning("older"));
        CHECK_FALSE(shard.isRunning("younger"));
    }
}

// Guards against workers that take no tasks for ten minutes because the one that was to show
// whether they have recovered was never started.
TEST_CASE("A quarantined worker is probed again if the start of the probe had no effect")
{
    const QuarantineOptions options;
    for (const FailedStart &it : failedStarts) {
        CAPTURE(it.what);
        OneWorkerShard shard;
        for (int i = 0; i < options.workerFailureThreshold; ++i) {
            const std::string id = "failing" + std::to_string(i);
            shard.submit(id, task(allMilliCores));
            shard.endRun(id, RunOutcome::Failed);
        }
        REQUIRE(shard.coordinator().counters().workersQuarantined == 1);
        shard.submit("probe", task(1'000));
        shard.nextStartFailure = it.reply;
        shard.advance(options.initialProbeDelay + Millis{5'000});
        REQUIRE_FALSE(shard.nextStartFailure.has_value());
        CHECK(shard.isRunning("probe"));
    }
}
