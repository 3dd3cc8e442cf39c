#include "savorywick/interference.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savorywick {

namespace {

constexpr int fullSpeedPercent = 100;
// Bounds on the ratio of allocated to used cores that is measured on a worker.
constexpr double minAllocatedPerUsed = 0.5;
constexpr double maxAllocatedPerUsed = 2.0;
// Each decrease multiplies the core limit by at most this, however small the slowdown.
constexpr double maxDecreaseFactor = 0.95;
// Smaller increases are not worth a call to the worker.
constexpr int minSpeedIncreasePercent = 5;
// If the model explains at least this fraction of a slowdown, tasks are throttled and the core
// limit stays.
constexpr double explainedFraction = 0.5;

// Returns the fraction of the host's cores that the task uses at `percent` of its full speed.
double hostShare(const BatchTaskSample &task, int percent, int capacity)
{
    return capacity > 0 ? task.cores * (1.0 * percent / fullSpeedPercent) / capacity : 0;
}

std::vector<ClassShare> classShares(std::span<const BatchTaskSample> tasks, int capacity)
{
    std::map<std::string, double, std::less<>> sums;
    for (const BatchTaskSample &it : tasks)
        sums[it.runClass] += hostShare(it, it.speedPercent, capacity);
    std::vector<ClassShare> shares;
    shares.reserve(sums.size());
    for (const auto &[runClass, share] : sums)
        shares.push_back({runClass, share});
    return shares;
}

double batchCores(std::span<const BatchTaskSample> tasks)
{
    double sum = 0;
    for (const BatchTaskSample &it : tasks)
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
    w.feedbackLimit = added ? w.cores : std::min(w.feedbackLimit, static_cast<double>(w.cores));
    w.availableCores = added ? w.cores : std::min(w.availableCores, static_cast<double>(w.cores));
    w.coreLimit = added ? w.cores : std::min(w.coreLimit, w.cores);
}

void InterferenceController::removeWorker(std::string_view worker)
{
    const auto it = m_workers.find(worker);
    if (it != m_workers.end())
        m_workers.erase(it);
}

void InterferenceController::recordStart(std::string_view worker, std::string_view runClass,
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
    w.shares = classShares(sample.tasks, w.cores);
    std::erase_if(w.starts, [&](const Start &start) { return start.at < sample.measuredAt; });
    const double slowdown = estimateSlowdown(w, sample);
    InterferenceDecision decision;
    const bool showsLastChange =
        !w.hasChanged || sample.measuredAt - w.changedAt >= m_options.measurementDelay;
    const int oldLimit = w.coreLimit;
    if (showsLastChange) {
        const double baselineMs =
            m_model.baselineP99Ms(sample.service, sample.urgentCores / w.cores);
        const bool overTarget = sample.targetP99Ms > 0 && slowdown > m_options.recoverySlowdown
            && baselineMs * (1 + slowdown) > sample.targetP99Ms;
        if (slowdown > m_options.maxSlowdown || overTarget)
            reduceBatch(w, sample, slowdown, decision);
        else if (slowdown < m_options.recoverySlowdown)
            growBatch(w, sample, decision);
        updateAvailableCores(w, sample);
        w.coreLimit = static_cast<int>(std::min(w.feedbackLimit, w.availableCores));
    }
    if (w.coreLimit != oldLimit || !decision.throttles.empty() || !decision.evictions.empty()) {
        w.hasChanged = true;
        w.changedAt = now;
    }
    decision.batchCoreLimit = w.coreLimit;
    return decision;
}

// Computes what urgent work and the idle fraction leave for batch work. Tasks use more or fewer
// cores than are allocated to them, so the measured ratio converts used cores to allocated ones.
void InterferenceController::updateAvailableCores(Worker &worker, const WorkerSample &sample) const
{
    double allocated = 0;
    for (const BatchTaskSample &it : sample.tasks)
        allocated += it.allocatedCores;
    const double used = batchCores(sample.tasks);
    const bool known = allocated > 0 && used > 0;
    const double allocatedPerUsed =
        known ? std::clamp(allocated / used, minAllocatedPerUsed, maxAllocatedPerUsed) : 1;
    const double left = worker.cores * (1 - m_options.idleFraction) - sample.urgentCores;
    worker.availableCores =
        std::clamp(left * allocatedPerUsed, 0.0, static_cast<double>(worker.cores));
}

// Updates the model and returns the slowdown to act on: the model's prediction from earlier
// measurements, which this one's noise does not affect, plus the moving average of the residual.
double InterferenceController::estimateSlowdown(Worker &worker, const WorkerSample &sample)
{
    const double predicted = m_model.predict(sample.service, worker.shares);
    const double measured = m_model.learn(sample.service, sample.urgentCores / worker.cores,
                                          sample.urgentP99Ms, worker.shares);
    worker.residual += m_options.residualWeight * (measured - predicted - worker.residual);
    return predicted + worker.residual;
}

// Throttles the tasks that the model holds responsible. Lowers the core limit only for a slowdown
// that the model does not explain.
void InterferenceController::reduceBatch(Worker &worker, const WorkerSample &sample,
                                         double slowdown, InterferenceDecision &decision)
{
    const bool explained =
        m_model.predict(sample.service, worker.shares) >= explainedFraction * slowdown;
    const bool throttled = throttle(worker, sample, decision);
    if (!explained) {
        const double used = std::min(worker.feedbackLimit, batchCores(sample.tasks));
        const double over = (slowdown - m_options.maxSlowdown) * m_options.decreasePerSlowdown;
        worker.feedbackLimit =
            used * std::clamp(1 - over, m_options.minDecreaseFactor, maxDecreaseFactor);
    }
    ++worker.slowSamples;
    if (!throttled && worker.slowSamples >= m_options.samplesBeforeEviction)
        evict(worker, sample, decision);
}

// Throttles the tasks with the largest slowdown per core first, until the predicted slowdown allows
// recovery. Classes that stay within the limit even on a host filled with them are not throttled.
// Returns false if nothing was left to throttle.
bool InterferenceController::throttle(const Worker &worker, const WorkerSample &sample,
                                      InterferenceDecision &decision) const
{
    std::vector<const BatchTaskSample *> tasks;
    for (const BatchTaskSample &it : sample.tasks) {
        if (it.speedPercent > m_options.minSpeedPercent)
            tasks.push_back(&it);
    }
    const auto coefficient = [&](const BatchTaskSample *task) {
        return m_model.coefficient(sample.service, task->runClass);
    };
    std::stable_sort(tasks.begin(), tasks.end(),
                     [&](const BatchTaskSample *a, const BatchTaskSample *b) {
                         return coefficient(a) > coefficient(b);
                     });
    double predicted = m_model.predict(sample.service, worker.shares);
    bool throttled = false;
    for (const BatchTaskSample *task : tasks) {
        if (predicted <= m_options.recoverySlowdown || coefficient(task) <= m_options.maxSlowdown)
            break;
        const double slowdownPerPercent = coefficient(task) * hostShare(*task, 1, worker.cores);
        const double surplusPercent = (predicted - m_options.recoverySlowdown) / slowdownPerPercent;
        const int wanted = task->speedPercent
            - static_cast<int>(std::min(surplusPercent, 1.0 * fullSpeedPercent)) - 1;
        const int percent = std::max(wanted, m_options.minSpeedPercent);
        predicted -= slowdownPerPercent * (task->speedPercent - percent);
        decision.throttles.push_back({task->id, percent});
        throttled = true;
    }
    return throttled;
}

// Evicts the task that loses the least work per unit of slowdown that it causes.
void InterferenceController::evict(const Worker &worker, const WorkerSample &sample,
                                   InterferenceDecision &decision)
{
    if (m_evictionBudget < 1)
        return;
    const BatchTaskSample *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const BatchTaskSample &it : sample.tasks) {
        const double relief = m_model.coefficient(sample.service, it.runClass)
            * hostShare(it, it.speedPercent, worker.cores);
        const double cost = (1 + it.evictionCost) / relief;
        if (relief > 0 && cost < bestCost) {
            best = &it;
            bestCost = cost;
        }
    }
    if (!best)
        return;
    m_evictionBudget -= 1;
    decision.evictions.push_back(best->id);
}

// Raises the speed of throttled tasks and the core limit. The limit grows even if some tasks stay
// throttled: the prediction that keeps them throttled also restricts placement, through cost().
void InterferenceController::growBatch(Worker &worker, const WorkerSample &sample,
                                       InterferenceDecision &decision)
{
    worker.slowSamples = 0;
    raiseSpeeds(worker, sample, decision);
    worker.feedbackLimit =
        std::min(worker.feedbackLimit + m_options.increaseFraction * worker.cores,
                 static_cast<double>(worker.cores));
}

// Raises the speed of throttled tasks, those with the smallest slowdown per core first, as long as
// the predicted slowdown still allows recovery.
void InterferenceController::raiseSpeeds(const Worker &worker, const WorkerSample &sample,
                                         InterferenceDecision &decision) const
{
    std::vector<const BatchTaskSample *> tasks;
    for (const BatchTaskSample &it : sample.tasks) {
        if (it.speedPercent < fullSpeedPercent)
            tasks.push_back(&it);
    }
    const auto coefficient = [&](const BatchTaskSample *task) {
        return m_model.coefficient(sample.service, task->runClass);
    };
    std::stable_sort(tasks.begin(), tasks.end(),
                     [&](const BatchTaskSample *a, const BatchTaskSample *b) {
                         return coefficient(a) < coefficient(b);
                     });
    double predicted = m_model.predict(sample.service, worker.shares);
    for (const BatchTaskSample *task : tasks) {
        const double slowdownPerPercent = coefficient(task) * hostShare(*task, 1, worker.cores);
        const double margin = std::max(m_options.recoverySlowdown - predicted, 0.0);
        const bool harmful = coefficient(task) > m_options.maxSlowdown && slowdownPerPercent > 0;
        const int missingPercent = fullSpeedPercent - task->speedPercent;
        const int increase = harmful
            ? static_cast<int>(std::min(margin / slowdownPerPercent, 1.0 * missingPercent))
            : missingPercent;
        if (increase < minSpeedIncreasePercent && increase < missingPercent)
            continue;
        predicted += slowdownPerPercent * increase;
        decision.throttles.push_back({task->id, task->speedPercent + increase});
    }
}

int InterferenceController::batchCoreLimit(std::string_view worker) const
{
    const auto it = m_workers.find(worker);
    return it == m_workers.end() ? 0 : it->second.coreLimit;
}

double InterferenceController::predictOn(const Worker &worker) const
{
    double sum = m_model.predict(worker.service, worker.shares);
    for (const Start &it : worker.starts)
        sum += m_model.coefficient(worker.service, it.share.runClass) * it.share.share;
    return sum;
}

double InterferenceController::predictedSlowdown(std::string_view worker, std::string_view runClass,
                                                 int cores) const
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || it->second.cores == 0)
        return 0;
    const Worker &w = it->second;
    return predictOn(w) + m_model.coefficient(w.service, runClass) * cores / w.cores;
}

double InterferenceController::cost(const HostView &host, const PlacementRequest &request) const
{
    const auto it = m_workers.find(host.id);
    if (it == m_workers.end() || it->second.cores == 0)
        return 0;
    const Worker &w = it->second;
    const double added =
        m_model.coefficient(w.service, request.runClass) * request.demand.cores / w.cores;
    const double after = predictOn(w) + added;
    const bool harmful = m_model.coefficient(w.service, request.runClass) > m_options.maxSlowdown;
    if (harmful && after > m_options.maxSlowdown)
        return std::numeric_limits<double>::infinity();
    return added;
}

} // namespace savorywick
