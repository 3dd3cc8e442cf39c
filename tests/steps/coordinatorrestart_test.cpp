#include "savorywick/steps/coordinator.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

// A shard with one worker that has confirmed a long-running run, in virtual time and with a journal
// that commits at once.
class ConfirmedRunShard
{
public:
    ConfirmedRunShard()
        : m_coordinator(1, m_now, {})
    {
        m_worker.incarnation = {"w", 1};
        m_worker.service = "matching";
        m_worker.capacity = {16'000, 32'000, 0};
        m_coordinator.takeOver(now());
        m_coordinator.setWorkers({&m_worker, 1}, now());
        advance(Millis{400});
        JobSpec spec;
        spec.id = "j";
        spec.policy = {"q", "matching", 0, 1, 2.0, Millis{500}};
        spec.steps.resize(1);
        spec.steps[0].demand = {1'000, 1'000, 0};
        spec.steps[0].longRunning = true;
        m_coordinator.submit(spec, now());
        advance(Millis{14'000}); // Leases of earlier owners are over.
    }

    // The worker answers nothing any more.
    void fallSilent() { m_answers = false; }
    // The list shows that the worker has started again.
    void restart()
    {
        ++m_worker.incarnation.startedWallMs;
        m_coordinator.setWorkers({&m_worker, 1}, now());
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
    bool hasRun() const { return !m_coordinator.runs().all().empty(); }

private:
    ClockReading now() const { return {m_now, m_now.count()}; }

    void respond(const RenewLeaseCommand &order)
    {
        RenewLeaseReply reply;
        if (m_answers) {
            reply.outcome = CommandOutcome::Done;
            reply.report.clockMs = m_now.count();
            reply.report.startedWallMs = m_worker.incarnation.startedWallMs;
            if (m_run)
                reply.report.running.push_back({m_run->task, m_run->number, "", 100, {}});
        }
        m_coordinator.handleRenewReply(order, reply, now());
    }
    void respond(const StartRunCommand &order)
    {
        m_run = RunKey{order.task, order.run};
        m_coordinator.handleStartReply(order, {CommandOutcome::Done, m_now.count()}, now());
    }
    void respond(const StopRunCommand &) { }
    void respond(const ThrottleRunCommand &) { }

    Instant m_now{1'000'000};
    WorkerInfo m_worker;
    Coordinator m_coordinator;
    LogSequenceNumber m_lsn = 0;
    bool m_answers = true;
    std::optional<RunKey> m_run;
};

} // namespace

// Guards against a task that is believed to run on a worker that has gone: each start of the worker
// put off the end of the lease of the life before, so that the task was never started elsewhere.
TEST_CASE("A run ends with the lease of its worker's life although the worker starts again")
{
    struct Case
    {
        std::string what;
        int restartCount;
    };
    constexpr Millis restartInterval{1'000};
    // The lease term of 6 s by the slowest clock, the margin and the interval of ticks.
    constexpr Millis leaseEnd{7'000};
    for (const Case &it :
         {Case{"no restart", 0}, Case{"one restart", 1}, Case{"five restarts", 5}}) {
        CAPTURE(it.what);
        ConfirmedRunShard shard;
        REQUIRE(shard.hasRun());
        shard.fallSilent();
        Millis silence{0};
        for (int i = 0; i < it.restartCount; ++i) {
            shard.advance(restartInterval);
            silence = silence + restartInterval;
            shard.restart();
        }
        shard.advance(leaseEnd - silence);
        CHECK_FALSE(shard.hasRun());
    }
}
