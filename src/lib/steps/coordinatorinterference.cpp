// The part of Coordinator that limits the interference of best-effort runs with the
// latency-critical runs on the same worker. Best-effort runs are throttled in steps and moved as
// the last resort.

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace savorywick::steps {

namespace {

// Speeds of a best-effort run, in percent.
constexpr int fullSpeed = 100;
constexpr int halfSpeed = 50;
constexpr int lowSpeed = 15;
constexpr int atWorkPercent = 100; // Progress that a long-running run reports once it is at work.
constexpr double milliPerCore = 1'000;

// Returns the next lower speed; 0 if the run is at the lowest and must be moved instead.
int nextLowerSpeed(int speed)
{
    if (speed > halfSpeed)
        return halfSpeed;
    return speed > lowSpeed ? lowSpeed : 0;
}

int nextHigherSpeed(int speed)
{
    return speed < halfSpeed ? halfSpeed : fullSpeed;
}

// Returns how many thousandths of a processor a best-effort run uses at the speed.
double milliCoresAt(const Run &run, int speed)
{
    return static_cast<double>(run.requested.milliCores) * speed / fullSpeed;
}

// Returns the latency target divided by the reported tail latency, or nothing if the run has no
// target, is not at work yet or has reported no latency.
std::optional<double> headroomOf(const Run &run)
{
    const bool hasTarget = run.longRunning && run.latencyTarget > Millis{0};
    if (!hasTarget || run.progressPercent < atWorkPercent || !run.measurement
        || *run.measurement <= 0)
        return {};
    return static_cast<double>(run.latencyTarget.count()) / *run.measurement;
}

// Returns true unless the run is known to use most of the processors that it requests.
bool seemsThrottled(const Run &run)
{
    constexpr int minFullSpeedUsePercent = 80;
    return !run.measurement
        || *run.measurement * fullSpeed < run.requested.milliCores * minFullSpeedUsePercent;
}

// Adds the load to that of the same image.
void addLoad(std::vector<BestEffortLoad> &loads, const std::string &image, double milliCores)
{
    for (BestEffortLoad &it : loads) {
        if (it.image == image) {
            it.cores += milliCores / milliPerCore;
            return;
        }
    }
    loads.push_back({image, milliCores / milliPerCore});
}

} // namespace

// Checks the latency-critical runs on the worker against their targets after a report, updates the
// estimator, and throttles best-effort runs or restores their speed.
void Coordinator::controlInterference(Worker &worker, ClockReading now)
{
    const std::vector<RunKey> keys = m_runs.onWorker(worker.info.incarnation.workerId);
    const auto loads = steadyBestEffortLoads(keys, now);
    const bool observes =
        loads && now.monotonic - worker.lastObservedAt >= m_settings.measurementWindow;
    bool targetMissed = false;
    std::optional<double> lowest;
    std::set<RunKey> selected;
    worker.hasLowHeadroom = false;
    for (const RunKey &key : keys) {
        const Run &run = *m_runs.find(key);
        const auto headroom = headroomOf(run);
        if (!headroom)
            continue;
        if (observes)
            m_headroomEstimator.observe({key.task.job, run.image, *headroom}, *loads,
                                        now.monotonic);
        lowest = std::min(*headroom, lowest.value_or(*headroom));
        targetMissed = targetMissed || *headroom < 1;
        worker.hasLowHeadroom =
            worker.hasLowHeadroom || *headroom < m_settings.monitorBelowHeadroom;
        if (*headroom < m_settings.throttleBelowHeadroom)
            selected.merge(runsToThrottle(keys, run, *headroom));
    }
    if (observes)
        worker.lastObservedAt = now.monotonic;
    if (targetMissed)
        worker.lastTargetMissAt = now.monotonic;
    if (!targetMissed)
        worker.targetMissedSince.reset();
    else if (!worker.targetMissedSince)
        worker.targetMissedSince = now.monotonic;
    const auto limit = updateBestEffortLimit(worker, keys, lowest, now);
    if (targetMissed && limit)
        selected.merge(runsAboveLimit(keys, *limit));
    if (targetMissed || !selected.empty())
        throttleRuns(worker, keys, selected, now);
    else
        restoreSpeed(worker, keys, limit, now);
}

// Returns the measured load of the best-effort runs, or nothing if it has changed within the time
// that the measurements cover.
std::optional<std::vector<BestEffortLoad>>
Coordinator::steadyBestEffortLoads(std::span<const RunKey> keys, ClockReading now) const
{
    std::vector<BestEffortLoad> loads;
    for (const RunKey &key : keys) {
        const Run &run = *m_runs.find(key);
        if (!run.bestEffort)
            continue;
        const Instant changedAt = std::max(run.confirmedAt, run.speedChangedAt);
        if (run.phase != RunPhase::Running || run.stopRequested || !run.measurement
            || now.monotonic - changedAt < m_settings.measurementWindow)
            return {};
        addLoad(loads, run.image, *run.measurement);
    }
    return loads;
}

// Returns the load of the best-effort runs as declared, at the speeds that they are limited to.
std::vector<BestEffortLoad> Coordinator::plannedBestEffortLoads(std::span<const RunKey> keys) const
{
    std::vector<BestEffortLoad> loads;
    for (const RunKey &key : keys) {
        const Run &run = *m_runs.find(key);
        if (run.bestEffort && !run.stopRequested)
            addLoad(loads, run.image, milliCoresAt(run, run.speedPercent));
    }
    return loads;
}

// Returns how many thousandths of a processor the best-effort runs use at the speeds that they are
// limited to.
double Coordinator::milliCoresInUse(std::span<const RunKey> keys) const
{
    double sum = 0;
    for (const RunKey &key : keys) {
        const Run &run = *m_runs.find(key);
        if (run.bestEffort && run.phase == RunPhase::Running)
            sum += milliCoresAt(run, run.speedPercent);
    }
    return sum;
}

// Returns the best-effort runs to throttle by one step so that the run `victim` is estimated to
// reach throttleToHeadroom. Those whose throttling gains most are selected first.
std::set<RunKey> Coordinator::runsToThrottle(std::span<const RunKey> keys, const Run &victim,
                                             double headroom) const
{
    std::vector<std::pair<double, RunKey>> gains;
    for (const RunKey &key : keys) {
        const Run &run = *m_runs.find(key);
        if (!run.bestEffort || run.stopRequested || run.phase != RunPhase::Running)
            continue;
        BestEffortLoad freed{run.image, 0};
        freed.cores = (milliCoresAt(run, run.speedPercent)
                       - milliCoresAt(run, nextLowerSpeed(run.speedPercent)))
            / milliPerCore;
        gains.emplace_back(m_headroomEstimator.headroomCost(victim.image, freed), key);
    }
    std::sort(gains.rbegin(), gains.rend());
    double missing = m_settings.throttleToHeadroom - headroom;
    std::set<RunKey> selected;
    for (const auto &[gain, key] : gains) {
        if (missing <= 0 || gain <= 0)
            break;
        selected.insert(key);
        missing -= gain;
    }
    return selected;
}

// Returns true if and only if every run that misses its target is estimated to miss it without
// best-effort work as well.
bool Coordinator::missesAlone(std::span<const RunKey> keys, Instant now) const
{
    return std::all_of(keys.begin(), keys.end(), [&](const RunKey &key) {
        const auto headroom = headroomOf(*m_runs.find(key));
        return !headroom || *headroom >= 1
            || m_headroomEstimator.expectedHeadroom(key.task.job, now) < 1;
    });
}

// Throttles the selected runs, or all best-effort runs once a target has been missed for
// maxTargetMiss. Runs that are at the lowest speed already are stopped, so that they move, unless
// they were started beside misses that are still not of their doing.
void Coordinator::throttleRuns(Worker &worker, std::span<const RunKey> keys,
                               const std::set<RunKey> &selected, ClockReading now)
{
    const bool persists = worker.targetMissedSince
        && now.monotonic - *worker.targetMissedSince >= m_settings.maxTargetMiss;
    for (const RunKey &key : keys) {
        Run &run = *m_runs.find(key);
        const bool due = now.monotonic - run.speedChangedAt >= m_settings.throttleInterval;
        if (!run.bestEffort || run.stopRequested || run.phase != RunPhase::Running || !due)
            continue;
        if (!persists && !selected.contains(key))
            continue;
        const int speed = nextLowerSpeed(run.speedPercent);
        if (speed == 0 && run.besideMisses && missesAlone(keys, now.monotonic))
            continue;
        // With a limit the load doesn't rise again, so slow runs may do no harm any more.
        if (speed == 0 && m_bestEffortLimit.isEnabled() && !persists)
            continue;
        setSpeed(worker, run, speed, persists ? "harm-lasts" : "little-headroom", now);
        if (speed == 0)
            stopForInterference(worker, key, now);
    }
}

// Raises the speed of throttled runs by one step as long as all latency-critical runs are estimated
// to keep enough headroom and the limit, if there is one, allows it.
void Coordinator::restoreSpeed(Worker &worker, std::span<const RunKey> keys,
                               std::optional<int> limit, ClockReading now)
{
    if (!worker.hasThrottledRuns
        || now.monotonic - worker.lastTargetMissAt < m_settings.restoreSpeedDelay)
        return;
    worker.hasThrottledRuns = false;
    std::vector<BestEffortLoad> added;
    double used = milliCoresInUse(keys);
    for (const RunKey &key : keys) {
        Run &run = *m_runs.find(key);
        if (!run.bestEffort || run.stopRequested || run.speedPercent == fullSpeed)
            continue;
        worker.hasThrottledRuns = true;
        if (now.monotonic - run.speedChangedAt < m_settings.restoreSpeedDelay)
            continue;
        std::vector<BestEffortLoad> withRun = added;
        const double increase = milliCoresAt(run, nextHigherSpeed(run.speedPercent))
            - milliCoresAt(run, run.speedPercent);
        addLoad(withRun, run.image, increase);
        if ((limit && used + increase > *limit) || !keepsHeadroom(keys, withRun))
            continue;
        added = std::move(withRun);
        used += increase;
        setSpeed(worker, run, nextHigherSpeed(run.speedPercent), "headroom", now);
    }
}

// Returns true if and only if every latency-critical run would keep enough headroom beside the
// added load.
bool Coordinator::keepsHeadroom(std::span<const RunKey> keys,
                                std::span<const BestEffortLoad> added) const
{
    return std::all_of(keys.begin(), keys.end(), [&](const RunKey &key) {
        const Run &run = *m_runs.find(key);
        const auto headroom = headroomOf(run);
        return !headroom
            || *headroom - m_headroomEstimator.headroomCost(run.image, added)
            >= m_settings.throttleToHeadroom;
    });
}

// Updates the limit of the worker's best-effort runs after a report with this lowest headroom of a
// latency-critical run. Returns the limit, or nothing if there is none.
std::optional<int> Coordinator::updateBestEffortLimit(Worker &worker, std::span<const RunKey> keys,
                                                      std::optional<double> headroom,
                                                      ClockReading now)
{
    if (!m_bestEffortLimit.isEnabled() || !headroom)
        return {};
    if (worker.runSummaryStale)
        summarizeRuns(worker);
    const std::string &id = worker.info.incarnation.workerId;
    std::vector<RunKey> steady;
    std::copy_if(keys.begin(), keys.end(), std::back_inserter(steady), [&](const RunKey &key) {
        const Run &run = *m_runs.find(key);
        return now.monotonic - std::max(run.confirmedAt, run.speedChangedAt)
            >= m_settings.measurementWindow;
    });
    const int room = worker.runSummary.idleMilliCores + m_runs.bestEffortMilliCores(id);
    const std::string &images = worker.runSummary.criticalImages;
    m_bestEffortLimit.observe({id, images, static_cast<int>(milliCoresInUse(keys)),
                               static_cast<int>(milliCoresInUse(steady)), room, *headroom},
                              now.monotonic);
    return m_bestEffortLimit.limitFor({id, images, room, *headroom}, now.monotonic);
}

// Reduces what the worker offers to best-effort tasks, of which the smallest requests `milliCores`,
// to what its limit leaves.
void Coordinator::applyBestEffortLimit(const Worker &worker, CandidateWorker &candidate,
                                       int milliCores, Instant now)
{
    candidate.images = worker.runSummary.criticalImages;
    if (!m_bestEffortLimit.isEnabled() || candidate.latencyCriticalRuns.empty())
        return;
    const std::string &id = worker.info.incarnation.workerId;
    double lowest = candidate.latencyCriticalRuns.front().expectedHeadroom;
    for (const LatencyCriticalRun &it : candidate.latencyCriticalRuns)
        lowest = std::min(lowest, it.expectedHeadroom);
    const int requested = m_runs.bestEffortMilliCores(id);
    const int room = candidate.idleMilliCores + requested;
    const int limit = m_bestEffortLimit.limitFor({id, candidate.images, room, lowest}, now);
    if (limit >= room)
        return;
    candidate.idleMilliCores =
        std::min(candidate.idleMilliCores, idleProcessorsFor(limit - requested));
    if (!hasIdleProcessors(candidate, milliCores) && m_bestEffortLimit.notePrevented(id))
        ++m_counters.bestEffortStartsPrevented;
}

// Returns the best-effort runs to throttle by one step so that they use no more than the limit, the
// ones that were started last first, since they have lost least.
std::set<RunKey> Coordinator::runsAboveLimit(std::span<const RunKey> keys, int limit) const
{
    std::vector<const Run *> runs;
    for (const RunKey &key : keys) {
        const Run &run = *m_runs.find(key);
        if (run.bestEffort && !run.stopRequested && run.phase == RunPhase::Running)
            runs.push_back(&run);
    }
    std::sort(runs.begin(), runs.end(), [](const Run *a, const Run *b) {
        return a->startedAt != b->startedAt ? a->startedAt > b->startedAt : a->key < b->key;
    });
    double used = milliCoresInUse(keys);
    std::set<RunKey> selected;
    for (const Run *run : runs) {
        const int slower = nextLowerSpeed(run->speedPercent);
        if (used <= limit)
            break;
        if (slower == 0)
            continue;
        used -= milliCoresAt(*run, run->speedPercent) - milliCoresAt(*run, slower);
        selected.insert(run->key);
    }
    return selected;
}

// Stops a run that interferes even at the lowest speed, so that it moves to another worker.
void Coordinator::stopForInterference(const Worker &worker, const RunKey &key, ClockReading now)
{
    requestStop(key, "harms");
    ++m_counters.runsStoppedForInterference;
    if (m_bestEffortLimit.isEnabled())
        m_bestEffortLimit.noteStop(key.task, worker.runSummary.criticalImages, now.monotonic);
}

// Orders the worker to limit the run to a share of its speed.
void Coordinator::setSpeed(const Worker &worker, Run &run, int percent, std::string_view why,
                           ClockReading now)
{
    run.speedPercent = percent;
    run.speedChangedAt = now.monotonic;
    Worker &changed = m_workers.at(run.workerId);
    changed.hasThrottledRuns = true;
    changed.runSummaryStale = true;
    m_immediateOrders.emplace_back(
        ThrottleRunCommand{worker.session.target(), run.key.task, run.key.number, percent});
    noteRun(SchedulerEventKind::RunThrottled, run, why, now.monotonic - run.startedAt, percent);
}

// Orders the speed of a best-effort run that has just been confirmed, unless it has that speed
// already. An earlier owner may have throttled a run that is adopted.
void Coordinator::orderStartSpeed(const Worker &worker, Run &run, ClockReading now)
{
    if (!run.bestEffort || run.stopRequested)
        return;
    const bool adopted = run.startFence == 0;
    if (adopted && seemsThrottled(run))
        setSpeed(worker, run, run.speedPercent, "adopted", now);
    else if (!adopted && run.speedPercent != fullSpeed)
        setSpeed(worker, run, run.speedPercent, "little-headroom", now);
}

// Returns true if and only if the worker should report more often than usual.
bool Coordinator::needsMonitoring(const Worker &worker) const
{
    return worker.hasThrottledRuns || worker.targetMissedSince
        || (worker.hasLowHeadroom
            && m_runs.bestEffortMilliCores(worker.info.incarnation.workerId) > 0);
}

// Returns false while a long-running run on the worker misses its latency target, or did recently.
bool Coordinator::acceptsBestEffort(const Worker &worker, Instant now) const
{
    return !worker.targetMissedSince
        && (worker.lastTargetMissAt == Instant{}
            || now - worker.lastTargetMissAt >= m_settings.bestEffortDelay);
}

// Adds the worker's latency-critical runs with the headroom that they are expected to keep beside
// the best-effort runs on the worker.
void Coordinator::addInterferenceState(const Worker &worker, CandidateWorker &candidate,
                                       Instant now) const
{
    const RunSummary &summary = worker.runSummary;
    candidate.latencyCriticalRuns.reserve(summary.criticalRuns.size());
    for (const CriticalRun &it : summary.criticalRuns) {
        const double expected = m_headroomEstimator.expectedHeadroom(it.job, now)
            - m_headroomEstimator.headroomCost(it.image, summary.plannedLoads);
        const bool missesAlone = m_headroomEstimator.expectedHeadroom(it.job, now) < 1;
        candidate.latencyCriticalRuns.push_back({it.image, expected, missesAlone});
    }
}

// Accounts for a task that the current placement pass has started on the worker.
void Coordinator::accountForStart(CandidateWorker &candidate, const StepSpec &started,
                                  const std::string &job, Instant now) const
{
    if (started.longRunning && started.latencyTarget > Millis{0})
        candidate.latencyCriticalRuns.push_back(
            {started.image, m_headroomEstimator.expectedHeadroom(job, now), false});
    if (!started.bestEffort)
        return;
    const BestEffortLoad added{started.image, started.demand.milliCores / milliPerCore};
    for (LatencyCriticalRun &it : candidate.latencyCriticalRuns)
        it.expectedHeadroom -= m_headroomEstimator.headroomCost(it.image, added);
}

} // namespace savorywick::steps
