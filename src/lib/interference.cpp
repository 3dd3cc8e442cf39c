#include "savorywick/interference.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savorywick {

namespace {

// Bounds on how far declared cores are believed to be off on a worker.
constexpr double leastBookedPerUsed = 0.5;
constexpr double mostBookedPerUsed = 2.0;
// A cut of the allowance leaves at most this part.
constexpr double leastCut = 0.95;
// Smaller steps up are not worth a call to the worker.
constexpr int leastRestoredPercent = 5;
// The part of the measured excess that the known pairs must explain to be acted on alone.
constexpr double explainedPart = 0.5;

double shareOf(const BatchTask &task, int percent, int capacity)
{
    return capacity > 0 ? task.cores * (percent / 100.0) / capacity : 0;
}

std::vector<ClassShare> sharesOf(std::span<const BatchTask> tasks, int capacity)
{
    std::map<std::string, double, std::less<>> sums;
    for (const BatchTask &it : tasks)
        sums[it.runClass] += shareOf(it, it.throttlePercent, capacity);
    std::vector<ClassShare> shares;
    shares.reserve(sums.size());
    for (const auto &[runClass, share] : sums)
        shares.push_back({runClass, share});
    return shares;
}

double batchCores(std::span<const BatchTask> tasks)
{
    double sum = 0;
    for (const BatchTask &it : tasks)
        sum += it.cores;
    return sum;
}

} // namespace

InterferenceController::InterferenceController(const InterferenceOptions &options)
    : m_options(options)
    , m_evictionBudget(options.evictionBurst)
{ }

void InterferenceController::setWorker(std::string_view worker, int cores)
{
    const auto [it, added] = m_workers.try_emplace(std::string(worker));
    Worker &w = it->second;
    w.cores = std::max(cores, 0);
    w.allowance = added ? w.cores : std::min(w.allowance, static_cast<double>(w.cores));
    w.room = added ? w.cores : std::min(w.room, static_cast<double>(w.cores));
    w.inForce = added ? w.cores : std::min(w.inForce, w.cores);
}

void InterferenceController::removeWorker(std::string_view worker)
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end())
        m_workers.erase(it);
}

void InterferenceController::noteStart(std::string_view worker, std::string_view runClass,
                                       int cores, Instant now)
{
    m_evictionBudget =
        std::min(m_evictionBudget + m_options.evictionsPerStart, m_options.evictionBurst);
    const auto it = m_workers.find(worker);
    if (it != m_workers.end() && it->second.cores > 0)
        it->second.starts.push_back(
            {now, {std::string(runClass), static_cast<double>(cores) / it->second.cores}});
}

InterferenceDecision InterferenceController::observe(std::string_view worker,
                                                     const WorkerSample &sample, Instant now)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || it->second.cores == 0)
        return {};
    Worker &w = it->second;
    w.service = sample.service;
    w.shares = sharesOf(sample.tasks, w.cores);
    std::erase_if(w.starts, [&](const Start &start) { return start.at < sample.takenAt; });
    const double excess = judge(w, sample);
    InterferenceDecision decision;
    const bool shown = !w.hasChanged || sample.takenAt - w.changedAt >= m_options.lag;
    const int before = w.inForce;
    if (shown) {
        const double batchFree =
            m_slowdowns.batchFreeP99Ms(sample.service, sample.urgentLoad / w.cores);
        const bool overTarget = sample.targetMs > 0 && excess > m_options.relaxBelow
            && batchFree * (1 + excess) > sample.targetMs;
        if (excess > m_options.excessLimit || overTarget)
            hurt(w, sample, excess, decision);
        else if (excess < m_options.relaxBelow)
            relax(w, sample, decision);
        updateRoom(w, sample);
        w.inForce = static_cast<int>(std::min(w.allowance, w.room));
    }
    if (w.inForce != before || !decision.throttles.empty() || !decision.evictions.empty()) {
        w.hasChanged = true;
        w.changedAt = now;
    }
    decision.allowance = w.inForce;
    return decision;
}

// Leaves urgent work its cores and the headroom. Batch tasks use more or less than they book, so
// the room is converted by what they were seen to use.
void InterferenceController::updateRoom(Worker &worker, const WorkerSample &sample) const
{
    double booked = 0;
    for (const BatchTask &it : sample.tasks)
        booked += it.bookedCores;
    const double used = batchCores(sample.tasks);
    const bool known = booked > 0 && used > 0;
    const double bookedPerUsed =
        known ? std::clamp(booked / used, leastBookedPerUsed, mostBookedPerUsed) : 1;
    const double left = worker.cores * (1 - m_options.headroom) - sample.urgentLoad;
    worker.room = std::clamp(left * bookedPerUsed, 0.0, static_cast<double>(worker.cores));
}

// Learns from the measurement and returns the slowdown to act on: what the pairs on the worker
// explain, which carries no noise of this measurement, and the smoothed rest.
double InterferenceController::judge(Worker &worker, const WorkerSample &sample)
{
    const double known = m_slowdowns.expected(sample.service, worker.shares);
    const double measured = m_slowdowns.learn(sample.service, sample.urgentLoad / worker.cores,
                                              sample.urgentP99Ms, worker.shares);
    worker.unexplained += m_options.smoothing * (measured - known - worker.unexplained);
    return known + worker.unexplained;
}

// Throttles what the known pairs blame; only what they do not explain costs allowance.
void InterferenceController::hurt(Worker &worker, const WorkerSample &sample, double excess,
                                  InterferenceDecision &decision)
{
    const bool explained =
        m_slowdowns.expected(sample.service, worker.shares) >= explainedPart * excess;
    const bool throttled = throttle(worker, sample, decision);
    if (!explained) {
        const double used = std::min(worker.allowance, batchCores(sample.tasks));
        const double over = (excess - m_options.excessLimit) * m_options.cutPerExcess;
        worker.allowance = used * std::clamp(1 - over, m_options.stepDown, leastCut);
    }
    ++worker.throttledSteps;
    if (!throttled && worker.throttledSteps >= m_options.throttleSteps)
        evict(worker, sample, decision);
}

// Slows the tasks down that hurt most for each core, until the rest is expected to be bearable.
// Classes that stay within the limit even on a host full of them are left alone.
// Returns false if there was nothing left to slow down.
bool InterferenceController::throttle(const Worker &worker, const WorkerSample &sample,
                                      InterferenceDecision &decision) const
{
    std::vector<const BatchTask *> tasks;
    for (const BatchTask &it : sample.tasks) {
        if (it.throttlePercent > m_options.leastThrottlePercent)
            tasks.push_back(&it);
    }
    const auto slowdown = [&](const BatchTask *task) {
        return m_slowdowns.slowdown(sample.service, task->runClass);
    };
    std::stable_sort(tasks.begin(), tasks.end(), [&](const BatchTask *a, const BatchTask *b) {
        return slowdown(a) > slowdown(b);
    });
    double expected = m_slowdowns.expected(sample.service, worker.shares);
    bool throttled = false;
    for (const BatchTask *task : tasks) {
        if (expected <= m_options.relaxBelow || slowdown(task) <= m_options.excessLimit)
            break;
        const double perPercent = slowdown(task) * shareOf(*task, 1, worker.cores);
        const double tooMuch = (expected - m_options.relaxBelow) / perPercent;
        const int wanted = task->throttlePercent - static_cast<int>(std::min(tooMuch, 100.0)) - 1;
        const int percent = std::max(wanted, m_options.leastThrottlePercent);
        expected -= perPercent * (task->throttlePercent - percent);
        decision.throttles.push_back({task->id, percent});
        throttled = true;
    }
    return throttled;
}

// Evicts the task that wastes least work for the slowdown that it takes away.
void InterferenceController::evict(const Worker &worker, const WorkerSample &sample,
                                   InterferenceDecision &decision)
{
    if (m_evictionBudget < 1)
        return;
    const BatchTask *best = nullptr;
    double bestWaste = std::numeric_limits<double>::infinity();
    for (const BatchTask &it : sample.tasks) {
        const double relief = m_slowdowns.slowdown(sample.service, it.runClass)
            * shareOf(it, it.throttlePercent, worker.cores);
        const double waste = (1 + it.wastedIfEvicted) / relief;
        if (relief > 0 && waste < bestWaste) {
            best = &it;
            bestWaste = waste;
        }
    }
    if (!best)
        return;
    m_evictionBudget -= 1;
    decision.evictions.push_back(best->id);
}

// Gives throttled tasks their speed back, and the worker allowance: what is still throttled then is
// held by the known pairs, which bind placement too.
void InterferenceController::relax(Worker &worker, const WorkerSample &sample,
                                   InterferenceDecision &decision)
{
    worker.throttledSteps = 0;
    restore(worker, sample, decision);
    worker.allowance = std::min(worker.allowance + m_options.stepUp * worker.cores,
                                static_cast<double>(worker.cores));
}

// Restores throttled tasks, the least harmful first, as long as the slowdown is expected to stay
// below where batch work may grow.
void InterferenceController::restore(const Worker &worker, const WorkerSample &sample,
                                     InterferenceDecision &decision) const
{
    std::vector<const BatchTask *> tasks;
    for (const BatchTask &it : sample.tasks) {
        if (it.throttlePercent < 100)
            tasks.push_back(&it);
    }
    const auto slowdown = [&](const BatchTask *task) {
        return m_slowdowns.slowdown(sample.service, task->runClass);
    };
    std::stable_sort(tasks.begin(), tasks.end(), [&](const BatchTask *a, const BatchTask *b) {
        return slowdown(a) < slowdown(b);
    });
    double expected = m_slowdowns.expected(sample.service, worker.shares);
    for (const BatchTask *task : tasks) {
        const double perPercent = slowdown(task) * shareOf(*task, 1, worker.cores);
        const double room = std::max(m_options.relaxBelow - expected, 0.0);
        const bool harmful = slowdown(task) > m_options.excessLimit && perPercent > 0;
        const int most = 100 - task->throttlePercent;
        const int more = harmful ? static_cast<int>(std::min(room / perPercent, 1.0 * most)) : most;
        if (more < leastRestoredPercent && more < most)
            continue;
        expected += perPercent * more;
        decision.throttles.push_back({task->id, task->throttlePercent + more});
    }
}

int InterferenceController::allowance(std::string_view worker) const
{
    const auto it = m_workers.find(worker);
    return it == m_workers.end() ? 0 : it->second.inForce;
}

double InterferenceController::expectedOn(const Worker &worker) const
{
    double sum = m_slowdowns.expected(worker.service, worker.shares);
    for (const Start &it : worker.starts)
        sum += m_slowdowns.slowdown(worker.service, it.share.runClass) * it.share.share;
    return sum;
}

double InterferenceController::expectedExcess(std::string_view worker, std::string_view runClass,
                                              int cores) const
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || it->second.cores == 0)
        return 0;
    const Worker &w = it->second;
    return expectedOn(w) + m_slowdowns.slowdown(w.service, runClass) * cores / w.cores;
}

double InterferenceController::cost(const HostView &host, const PlacementRequest &request) const
{
    const auto it = m_workers.find(host.id);
    if (it == m_workers.end() || it->second.cores == 0)
        return 0;
    const Worker &w = it->second;
    const double added =
        m_slowdowns.slowdown(w.service, request.runClass) * request.need.cores / w.cores;
    const double after = expectedOn(w) + added;
    const bool harmful = m_slowdowns.slowdown(w.service, request.runClass) > m_options.excessLimit;
    if (harmful && after > m_options.excessLimit)
        return std::numeric_limits<double>::infinity();
    return added;
}

} // namespace savorywick
