#include "fakecluster.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace fakecluster {

using namespace savorywick;

namespace {

struct BatchClass
{
    double arrivalWeight; // Share of the arrivals outside noisy bursts.
    int minCores;
    int maxCores;
    double usedShare; // Actual usage relative to the declared cores.
    double meanSeconds;
    bool checkpointable;
};

constexpr std::array<BatchClass, classCount> batchClasses{{
    {0.22, 2, 8, 0.7, 600, true},
    {0.18, 4, 12, 1.0, 900, true},
    {0.15, 1, 4, 1.3, 300, true},
    {0.12, 8, 16, 0.9, 1'200, false},
    {0.10, 2, 6, 1.5, 400, true},
    {0.08, 4, 8, 0.5, 700, true},
    {0.09, 4, 12, 1.0, 600, true}, // Noisy.
    {0.06, 2, 8, 1.2, 500, false}, // Noisy.
}};
constexpr int firstNoisyClass = 6;

// Relative slowdown of a service at 25 % load on a host filled with tasks of one class.
constexpr std::array<std::array<double, classCount>, serviceCount> pairSlowdown{{
    {0.00, 0.02, 0.00, 0.03, 0.00, 0.01, 1.20, 0.05},
    {0.02, 0.00, 0.01, 0.02, 0.04, 0.00, 0.05, 1.50},
    {0.00, 0.03, 0.00, 0.00, 0.02, 0.00, 0.90, 0.80},
    {0.01, 0.00, 0.02, 0.03, 0.00, 0.02, 0.03, 0.02},
}};
constexpr std::array<double, serviceCount> baseP99Ms{40, 60, 25, 80};
constexpr double meanLoad = 0.18;
// Latency target relative to the batch-free p99 at mean load.
constexpr double targetOverBaseline = 1.3;
constexpr double tickSeconds = 5;
constexpr double evictionCostSeconds = 30; // Duration of a checkpoint and restart.
constexpr double contentionSlowdown = 4.0;
constexpr double measurementNoiseStdDev = 0.05;
constexpr double latencySigma = 0.6; // Shape parameter of the lognormal latencies.
constexpr int requestsPerTick = 8;
constexpr int histogramBuckets = 4'000;
constexpr double bucketRatio = 1.005;
constexpr int maxPlacementAttemptsPerTick = 400;

double hoursOf(Instant now)
{
    return static_cast<double>(now.count()) / 3'600'000;
}

// Noisy work arrives in bursts of 10 minutes every 45 minutes.
bool inNoisyBurst(Instant now)
{
    return now.count() % 2'700'000 < 600'000;
}

} // namespace

std::string workerName(int worker)
{
    return "worker-" + std::to_string(worker);
}

std::string serviceName(int service)
{
    return "service-" + std::to_string(service);
}

std::string className(int batchClass)
{
    return "class-" + std::to_string(batchClass);
}

int serviceOf(int worker)
{
    return worker % serviceCount;
}

Cluster::Cluster(const Options &options)
    : m_options(options)
    , m_arrivals(options.seed)
    , m_loads(options.seed + 1)
    , m_latencies(options.seed + 2)
    , m_noise(options.seed + 3)
    , m_tasksByWorker(options.workers)
    , m_loadNoise(options.workers, 0)
    , m_load(options.workers, 0)
    , m_trueP99(options.workers, 0)
{
    m_histograms.fill(std::vector<long>(histogramBuckets, 0));
    for (int i = 0; i < options.workers; ++i) {
        HostInfo host;
        host.id = workerName(i);
        host.role = HostRole::Worker;
        host.rack = "rack-" + std::to_string(i / options.workersPerRack);
        host.cores = workerCores;
        host.memoryMb = workerMemoryMb;
        m_allocations.setHost(host);
    }
}

Totals Cluster::run(Policy *policy)
{
    for (Instant now; now < Instant{} + m_options.duration; now = now + tickLength) {
        if (policy) {
            generateArrivals(now);
            deliverReports(*policy, now);
            placeWaitingTasks(*policy, now);
        }
        advanceTick(now, policy != nullptr);
    }
    m_totals.waiting = m_waiting.size();
    std::vector<long> all(histogramBuckets, 0);
    for (int i = 0; i < serviceCount; ++i) {
        m_totals.p99OfService[i] = quantile(m_histograms[i], 0.99);
        for (int n = 0; n < histogramBuckets; ++n)
            all[n] += m_histograms[i][n];
    }
    m_totals.p99 = quantile(all, 0.99);
    m_totals.p999 = quantile(all, 0.999);
    m_totals.overTargetShare = static_cast<double>(m_overTarget) / static_cast<double>(m_samples);
    return m_totals;
}

void Cluster::generateArrivals(Instant now)
{
    std::vector<double> weights;
    weights.reserve(classCount);
    for (int i = 0; i < classCount; ++i)
        weights.push_back(batchClasses[i].arrivalWeight
                          * (i >= firstNoisyClass && inNoisyBurst(now) ? 2.5 : 1));
    std::discrete_distribution<int> classDistribution(weights.begin(), weights.end());
    std::uniform_real_distribution<double> usageDistribution(0.6, 1.4);
    double remainingCoreSeconds =
        m_options.offeredLoad * m_options.workers * workerCores * (1 - meanLoad) * tickSeconds;
    // The last task is accepted with a probability that keeps the mean arriving work exact.
    while (remainingCoreSeconds > 0) {
        Task task;
        task.batchClass = classDistribution(m_arrivals);
        const BatchClass &c = batchClasses[task.batchClass];
        std::uniform_int_distribution<int> coresDistribution(c.minCores, c.maxCores);
        const int cores = coresDistribution(m_arrivals);
        task.declared = {cores, cores * 3'000, 0};
        task.usedCores = std::max(0.5, cores * c.usedShare * usageDistribution(m_arrivals));
        std::exponential_distribution<double> durationDistribution(1 / c.meanSeconds);
        task.totalCoreSeconds =
            task.usedCores * std::clamp(durationDistribution(m_arrivals), 30.0, 4 * c.meanSeconds);
        task.checkpointable = c.checkpointable;
        const double draw = std::uniform_real_distribution<double>(0, 1)(m_arrivals);
        if (task.totalCoreSeconds > remainingCoreSeconds
            && draw > remainingCoreSeconds / task.totalCoreSeconds)
            return;
        remainingCoreSeconds -= task.totalCoreSeconds;
        task.id = "task-" + std::to_string(m_nextTask++);
        m_waiting.push_back(std::move(task));
    }
}

void Cluster::placeWaitingTasks(Policy &policy, Instant now)
{
    // Per class, the smallest core count that could not be placed in this tick.
    std::array<int, classCount> leastRejectedCores{};
    leastRejectedCores.fill(workerCores + 1);
    int attempts = 0;
    for (auto it = m_waiting.begin();
         it != m_waiting.end() && attempts < maxPlacementAttemptsPerTick;) {
        if (it->declared.cores >= leastRejectedCores[it->batchClass]) {
            ++it;
            continue;
        }
        ++attempts;
        const auto worker = policy.place(*it, m_allocations);
        if (!worker || !m_allocations.allocate(workerName(*worker), it->id, it->declared)) {
            leastRejectedCores[it->batchClass] = it->declared.cores;
            ++it;
            continue;
        }
        it->worker = *worker;
        it->cpuPercent = 100;
        ++it->attempts;
        ++m_totals.starts;
        policy.started(*it, now);
        const std::string id = it->id;
        m_tasksByWorker[*worker].push_back(&m_running.emplace(id, std::move(*it)).first->second);
        it = m_waiting.erase(it);
    }
}

double Cluster::nextLoad(int worker, Instant now)
{
    const int service = serviceOf(worker);
    const double hours = hoursOf(now);
    double load = meanLoad + 0.06 * std::sin(2 * std::numbers::pi * hours / 4 + service * 1.5);
    const bool shifted = service == 1 && hours >= 3 && hours < 4.5;
    load *= shifted ? 1.5 : 1;
    double &noise = m_loadNoise[worker];
    noise = 0.95 * noise + std::normal_distribution<double>(0, 0.006)(m_loads);
    return std::clamp(load + noise, 0.02, 0.45);
}

double Cluster::baselineP99Ms(int worker, double load) const
{
    return baseP99Ms[serviceOf(worker)] * (1 + load + 3 * load * load);
}

double Cluster::interferenceSlowdown(int worker, double load, double batchCores) const
{
    double sum = 0;
    for (const Task *it : m_tasksByWorker[worker]) {
        const Task &task = *it;
        sum += pairSlowdown[serviceOf(worker)][task.batchClass] * task.usedCores * task.cpuPercent
            / 100 / workerCores;
    }
    const double contention = std::max(0.0, batchCores / workerCores + load - 1);
    return sum * (0.5 + 2 * load) + contentionSlowdown * contention;
}

void Cluster::recordRequests(int worker, double p99Ms)
{
    // Latencies are lognormal; the median is derived from the p99.
    constexpr double normalQuantile99 = 2.326;
    std::lognormal_distribution<double> latency(std::log(p99Ms) - normalQuantile99 * latencySigma,
                                                latencySigma);
    const double reference = baseP99Ms[serviceOf(worker)];
    for (int i = 0; i < requestsPerTick; ++i) {
        // Relative to the service's base p99, so that all services count equally.
        const double relativeLatency = latency(m_latencies) / reference;
        const double bucket = std::log(relativeLatency * 1'000) / std::log(bucketRatio);
        ++m_histograms[serviceOf(worker)]
                      [std::clamp(static_cast<int>(bucket), 0, histogramBuckets - 1)];
    }
}

double Cluster::quantile(const std::vector<long> &histogram, double q)
{
    long total = 0;
    for (const long n : histogram)
        total += n;
    long seen = 0;
    for (int i = 0; i < histogramBuckets; ++i) {
        seen += histogram[i];
        if (static_cast<double>(seen) >= q * static_cast<double>(total))
            return std::pow(bucketRatio, i) / 1'000;
    }
    return 0;
}

void Cluster::advanceTick(Instant now, bool withBatch)
{
    for (int worker = 0; worker < m_options.workers; ++worker) {
        const double load = nextLoad(worker, now);
        m_load[worker] = load;
        double batchCores = 0;
        for (const Task *it : m_tasksByWorker[worker])
            batchCores += it->usedCores * it->cpuPercent / 100;
        const double p99 =
            baselineP99Ms(worker, load) * (1 + interferenceSlowdown(worker, load, batchCores));
        m_trueP99[worker] = p99;
        recordRequests(worker, p99);
        ++m_samples;
        m_overTarget += p99 > targetOverBaseline * baselineP99Ms(worker, meanLoad) ? 1 : 0;

        const double speed =
            std::min(1.0, workerCores / std::max(batchCores + load * workerCores, 1.0));
        std::vector<Task *> kept;
        for (Task *it : m_tasksByWorker[worker]) {
            Task &task = *it;
            const double tickCoreSeconds =
                task.usedCores * task.cpuPercent / 100 * speed * tickSeconds;
            const double useful =
                std::min(tickCoreSeconds, task.totalCoreSeconds - task.doneCoreSeconds);
            task.doneCoreSeconds += useful;
            m_totals.usefulCoreSeconds += useful;
            m_totals.noisyCoreSeconds += task.batchClass >= firstNoisyClass ? useful : 0;
            if (task.doneCoreSeconds < task.totalCoreSeconds) {
                kept.push_back(it);
                continue;
            }
            ++m_totals.finished;
            m_allocations.release(workerName(worker), task.id);
            m_running.erase(std::string(task.id));
        }
        m_tasksByWorker[worker] = std::move(kept);
        if (withBatch && now.count() % m_options.sampleInterval.count() == 0)
            sampleWorker(worker, now);
    }
}

void Cluster::sampleWorker(int worker, Instant now)
{
    Report report{worker, now + m_options.reportDelay, {}};
    WorkerSample &sample = report.sample;
    sample.measuredAt = now;
    sample.service = serviceName(serviceOf(worker));
    sample.urgentCores = m_load[worker] * workerCores;
    sample.urgentP99Ms = m_trueP99[worker]
        * (1 + std::normal_distribution<double>(0, measurementNoiseStdDev)(m_noise));
    sample.targetP99Ms = targetOverBaseline * baselineP99Ms(worker, meanLoad);
    for (const Task *it : m_tasksByWorker[worker]) {
        const Task &task = *it;
        const double waste =
            task.checkpointable ? evictionCostSeconds * task.usedCores : task.doneCoreSeconds;
        sample.tasks.push_back({task.id, className(task.batchClass), task.usedCores,
                                task.declared.cores, task.cpuPercent, waste});
    }
    m_reports.push_back(std::move(report));
}

void Cluster::deliverReports(Policy &policy, Instant now)
{
    while (!m_reports.empty() && m_reports.front().deliverAt <= now) {
        const Report &report = m_reports.front();
        applyDecision(report.worker, policy.observe(report.worker, report.sample, now));
        m_reports.pop_front();
    }
}

void Cluster::applyDecision(int worker, const InterferenceDecision &decision)
{
    m_allocations.setCoreLimit(workerName(worker), decision.batchCoreLimit);
    for (const TaskThrottle &it : decision.throttles) {
        const auto task = m_running.find(it.task);
        if (task != m_running.end())
            task->second.cpuPercent = it.speedPercent;
    }
    for (const std::string &it : decision.evictions) {
        const auto task = m_running.find(it);
        if (task != m_running.end())
            evict(task->second);
    }
}

void Cluster::evict(Task &task)
{
    ++m_totals.evictions;
    const double lost =
        task.checkpointable ? evictionCostSeconds * task.usedCores : task.doneCoreSeconds;
    m_totals.wastedCoreSeconds += lost;
    m_totals.usefulCoreSeconds -= std::min(lost, task.doneCoreSeconds);
    task.doneCoreSeconds = std::max(0.0, task.doneCoreSeconds - lost);
    std::erase(m_tasksByWorker[task.worker], &task);
    m_allocations.release(workerName(task.worker), task.id);
    const std::string id = task.id;
    m_waiting.push_front(std::move(task));
    m_running.erase(id);
}

} // namespace fakecluster
