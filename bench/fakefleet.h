#pragma once

#include "eventqueue.h"

#include "savorywick/steps/workercommands.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace savorywick::bench {

// What the fake fleet must know of a run to play it.
struct FakeRunSpec
{
    steps::TaskRef task;
    int run = 0;
    Millis duration; // Of a run that ends by itself.
    bool longRunning = false;
    double bestEffortCores = 0; // 0 for other runs.
    Millis latencyTarget;
};

// A worker that starts every run, holds a renewal until a run has ended or its wait is over, and
// reports progress and measurements. The latency of its long-running runs rises with the
// best-effort runs beside them. Calls never fail.
//
// Example:
//   worker.start({task, 1, Millis{1'000}});
//   worker.renew(command, [](const steps::RenewLeaseReply &it) { use(it); });
class FakeWorker
{
public:
    FakeWorker(EventQueue &events, steps::WorkerInfo info);

    const steps::WorkerInfo &info() const { return m_info; }
    // Starts the run and returns the answer.
    steps::CommandReply start(const FakeRunSpec &spec);
    // Ends the run, if there is one, as stopped.
    steps::CommandReply stop(const steps::TaskRef &task, int run);
    // Takes the renewal and passes the answer to `onReply`, at once or later.
    void renew(const steps::RenewLeaseCommand &command,
               std::function<void(const steps::RenewLeaseReply &)> onReply);

private:
    struct Run
    {
        FakeRunSpec spec;
        Instant startedAt;
    };

    std::int64_t clockMs() const { return m_events.now().count(); }
    void end(const steps::TaskRef &task, int run, steps::RunOutcome outcome);
    void answer();
    steps::RunningReport reportOf(const Run &run, double bestEffortCores) const;

    EventQueue &m_events;
    steps::WorkerInfo m_info;
    std::vector<Run> m_runs;
    std::vector<steps::RunEndReport> m_ended;
    std::int64_t m_lastEndNumber = 0;
    std::int64_t m_lastReportedEnd = 0;
    std::function<void(const steps::RenewLeaseReply &)> m_onReply; // Of the renewal that waits.
    int m_renewalCount = 0;
};

} // namespace savorywick::bench
