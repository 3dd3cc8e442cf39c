// The part of Coordinator that stops runs which make no progress.

#include "savorywick/steps/coordinator.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;

} // namespace

// Returns from when on the run counts as stalled if it makes no progress until then, or nothing if
// it can't stall.
std::optional<Instant> Coordinator::stalledAt(const Run &run) const
{
    const bool atWork = run.longRunning && run.progressPercent >= fullPercent;
    if (run.phase != RunPhase::Running || run.stopRequested || run.bestEffort || atWork)
        return {};
    const Millis durationShare = run.longDuration * m_settings.stallEstimatePercent / fullPercent;
    const Millis timeout = run.longRunning ? m_settings.longRunningStartTimeout
                                           : std::max(m_settings.stallTimeout, durationShare);
    return run.lastProgressAt + timeout + Millis{1};
}

// Lets stopStalledRuns() look at the run when it may have stalled. Call it when a run starts to
// work or falls behind; progress only puts the time off, which is seen by then.
void Coordinator::scheduleStallCheck(const Run &run)
{
    if (const auto at = stalledAt(run))
        m_stallChecks.schedule(run.key, *at);
}

// Lets the time for which the worker did not tell of its runs count for none of them.
void Coordinator::excuseSilence(const std::string &worker, Millis silence, Instant now)
{
    for (const RunKey &key : m_runs.onWorker(worker)) {
        Run &run = *m_runs.find(key);
        run.lastProgressAt = std::min(now, run.lastProgressAt + silence);
    }
}

void Coordinator::stopStalledRuns(ClockReading now)
{
    for (const RunKey &key : m_stallChecks.takeDue(now.monotonic)) {
        ++m_counters.runsExamined;
        const Run &run = *m_runs.find(key);
        const auto at = stalledAt(run);
        const auto worker = m_workers.find(run.workerId);
        const bool silent = worker != m_workers.end() && !worker->second.session.responsive();
        if (at && silent) { // It may be making progress.
            m_stallChecks.schedule(key, now.monotonic + m_settings.stallTimeout);
            continue;
        }
        if (!at || now.monotonic < *at) {
            scheduleStallCheck(run);
            continue;
        }
        ++m_counters.runsStalled;
        recordFailure(run, "stalled", now);
        requestStop(key, "stalled");
    }
}

} // namespace savorywick::steps
