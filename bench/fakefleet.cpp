#include "fakefleet.h"

#include <algorithm>
#include <utility>

namespace savorywick::bench {

namespace {

constexpr int fullPercent = 100;
constexpr Millis longRunningStartTime{400};
// Share of the latency target that a run needs alone, and for each best-effort core beside it.
constexpr double baseLatencyShare = 0.55;
constexpr double latencySharePerCore = 0.006;
constexpr double milliPerCore = 1'000;

} // namespace

FakeWorker::FakeWorker(EventQueue &events, steps::WorkerInfo info)
    : m_events(events)
    , m_info(std::move(info))
{ }

steps::CommandReply FakeWorker::start(const FakeRunSpec &spec)
{
    m_runs.push_back({spec, m_events.now()});
    if (!spec.longRunning) {
        m_events.scheduleAfter(
            spec.duration.count() * EventQueue::microsPerMilli,
            [this, task = spec.task, run = spec.run] { end(task, run, steps::RunOutcome::Done); });
    }
    return {steps::CommandOutcome::Done, clockMs()};
}

steps::CommandReply FakeWorker::stop(const steps::TaskRef &task, int run)
{
    end(task, run, steps::RunOutcome::Stopped);
    return {steps::CommandOutcome::Done, clockMs()};
}

void FakeWorker::end(const steps::TaskRef &task, int run, steps::RunOutcome outcome)
{
    const auto it = std::find_if(m_runs.begin(), m_runs.end(), [&](const Run &known) {
        return known.spec.run == run && known.spec.task == task;
    });
    if (it == m_runs.end())
        return;
    m_runs.erase(it);
    m_ended.push_back({++m_lastEndNumber, task, run, outcome, {}});
    if (m_onReply)
        answer();
}

void FakeWorker::renew(const steps::RenewLeaseCommand &command,
                       std::function<void(const steps::RenewLeaseReply &)> onReply)
{
    std::erase_if(m_ended, [&](const steps::RunEndReport &it) {
        return it.endNumber <= command.ackedEndNumber;
    });
    m_onReply = std::move(onReply);
    const bool hasNews = m_lastReportedEnd < m_lastEndNumber;
    if (command.maxWait == Millis{0} || hasNews)
        return answer();
    m_events.scheduleAfter(command.maxWait.count() * EventQueue::microsPerMilli,
                           [this, renewal = ++m_renewalCount] {
                               if (m_onReply && renewal == m_renewalCount)
                                   answer();
                           });
}

void FakeWorker::answer()
{
    ++m_renewalCount;
    m_lastReportedEnd = m_lastEndNumber;
    double cores = 0;
    for (const Run &it : m_runs)
        cores += it.spec.bestEffortCores;
    steps::RenewLeaseReply reply{steps::CommandOutcome::Done, {}};
    reply.report.clockMs = clockMs();
    reply.report.startedWallMs = m_info.incarnation.startedWallMs;
    for (const Run &it : m_runs)
        reply.report.running.push_back(reportOf(it, cores));
    reply.report.ended = m_ended;
    std::exchange(m_onReply, {})(reply);
}

steps::RunningReport FakeWorker::reportOf(const Run &run, double bestEffortCores) const
{
    const FakeRunSpec &spec = run.spec;
    const Millis age = m_events.now() - run.startedAt;
    const Millis whole = spec.longRunning ? longRunningStartTime : spec.duration;
    const auto percent = static_cast<int>(age.count() * fullPercent / whole.count());
    steps::RunningReport report{spec.task, spec.run, {}, std::min(percent, fullPercent), {}};
    if (spec.longRunning)
        report.measurement =
            static_cast<int>(static_cast<double>(spec.latencyTarget.count())
                             * (baseLatencyShare + latencySharePerCore * bestEffortCores));
    else if (spec.bestEffortCores > 0)
        report.measurement = static_cast<int>(spec.bestEffortCores * milliPerCore);
    return report;
}

} // namespace savorywick::bench
