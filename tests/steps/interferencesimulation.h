#pragma once

#include "coordinatorharness.h"

#include <cmath>
#include <cstddef>
#include <deque>
#include <numbers>

namespace savorywick::steps::testing {

// What best-effort work costs the long-running tasks beside it, in a simulation.
struct InterferenceLoad
{
    double headroom = 1.8; // Of long-running tasks without best-effort work, on average.
    double headroomSwing = 0.4; // By which it rises and falls every 14 s.
    double costPerCore = 0.08; // Headroom that a best-effort processor costs, on average.
    double costSwing = 0.5; // Share by which it rises and falls every 11 s.
    Millis strongFrom; // Between these times it is three times as high.
    Millis strongUntil;
    double arrivalsPerSecond = 18; // Of best-effort tasks.
    Millis burstEnd{60'000}; // No more arrive after that.
};

struct InterferenceResult
{
    double missedSeconds = 0; // Summed over workers.
    double coreSeconds = 0; // Of completed best-effort runs.
    int completed = 0;
    std::uint64_t started = 0;
    std::uint64_t stopped = 0; // Because of interference.
};

// Runs best-effort tasks of 2 cores and 1.7 s on workers full of long-running tasks, whose tail
// latency follows the load on the worker averaged over the last 0.5 s.
class InterferenceSimulation
{
public:
    InterferenceSimulation(const InterferenceLoad &load, const CoordinatorSettings &settings)
        : harness(workerCount, settings)
        , m_load(load)
    {
        harness.stopsEndRuns = true;
        StepSpec spread = longRunningTask();
        spread.taskCount = workerCount * tasksPerWorker;
        spread.maxTasksPerWorker = tasksPerWorker;
        harness.submit("s", spread);
        advance(Millis{3'000}, 0);
    }

    // Advances the time with `share` of the load's arrivals.
    void advance(Millis span, double share = 1)
    {
        for (Millis t; t < span; t = t + tick) {
            harness.advance(tick);
            m_time = m_time + tick;
            m_due += share * m_load.arrivalsPerSecond * seconds(tick);
            for (; m_due >= 1; m_due -= 1)
                harness.submit("f" + std::to_string(m_jobs++), refresh());
            proceed();
        }
    }

    InterferenceResult result() const
    {
        InterferenceResult all = m_result;
        const CoordinatorCounters &counters = harness.coordinator().counters();
        all.stopped = counters.runsStoppedForInterference;
        all.started = counters.runsStarted - std::size_t{workerCount} * tasksPerWorker;
        return all;
    }

    static constexpr int workerCount = 8;
    mutable CoordinatorHarness harness;

private:
    static constexpr int tasksPerWorker = 4;
    static constexpr Millis tick{20};
    static constexpr Millis workOfTask{1'700};
    static constexpr std::size_t windowTicks = 25;

    static double seconds(Millis span) { return static_cast<double>(span.count()) / 1'000; }

    static StepSpec refresh()
    {
        StepSpec spec = bestEffortTask();
        spec.estimatedDuration = workOfTask;
        return spec;
    }

    // Returns a wave between -1 and 1 whose phase differs by worker.
    double wave(double period, int worker) const
    {
        return std::sin(2 * std::numbers::pi * (seconds(m_time) / period + worker / 8.0));
    }

    // Lets all runs proceed for one tick, and updates the latencies.
    void proceed()
    {
        std::map<std::string, double> cores;
        std::vector<const Run *> done;
        for (const auto &[key, run] : harness.coordinator().runs().all()) {
            if (!run.bestEffort || run.phase != RunPhase::Running)
                continue;
            cores[run.workerId] += run.requested.milliCores * run.speedPercent / 100'000.0;
            double &work = m_work[key];
            work += seconds(tick) * run.speedPercent / 100;
            if (work >= seconds(workOfTask) && work < 1'000)
                done.push_back(&run);
        }
        for (const Run *run : done) {
            m_work[run->key] = 1'000; // Its end is reported once.
            harness.reportEnd(run->workerId, run->key, RunOutcome::Done);
            ++m_result.completed;
            m_result.coreSeconds += run->requested.milliCores * seconds(workOfTask) / 1'000;
        }
        for (int i = 0; i < workerCount; ++i)
            updateLatency(i, cores["w" + std::to_string(i)]);
    }

    void updateLatency(int worker, double cores)
    {
        const bool strong = m_time >= m_load.strongFrom && m_time < m_load.strongUntil;
        const double cost =
            m_load.costPerCore * (1 + m_load.costSwing * wave(11, worker)) * (strong ? 3 : 1);
        const double alone = m_load.headroom + m_load.headroomSwing * wave(14, worker);
        const double headroom = std::max(alone - cost * cores, 0.1);
        m_result.missedSeconds += headroom < 1 ? seconds(tick) : 0;
        std::deque<double> &window = m_windows[worker];
        window.push_back(1 / headroom);
        if (window.size() > windowTicks)
            window.pop_front();
        double sum = 0;
        for (const double it : window)
            sum += it;
        harness.tailLatencies["w" + std::to_string(worker)] =
            static_cast<int>(50 * sum / static_cast<double>(window.size()));
    }

    InterferenceLoad m_load;
    InterferenceResult m_result;
    Millis m_time;
    double m_due = 0;
    int m_jobs = 0;
    std::map<RunKey, double> m_work; // Done by each run, in seconds at full speed.
    std::map<int, std::deque<double>> m_windows;
};

} // namespace savorywick::steps::testing
