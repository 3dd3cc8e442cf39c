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
    double weight; // Share of the arrivals outside waves.
    int leastCores;
    int mostCores;
    double usedPart; // What its tasks really use of what they declare.
    double meanSeconds;
    bool canCheckpoint;
};

constexpr std::array<BatchClass, classCount> classes{{
    {0.22, 2, 8, 0.7, 600, true},
    {0.18, 4, 12, 1.0, 900, true},
    {0.15, 1, 4, 1.3, 300, true},
    {0.12, 8, 16, 0.9, 1'200, false},
    {0.10, 2, 6, 1.5, 400, true},
    {0.08, 4, 8, 0.5, 700, true},
    {0.09, 4, 12, 1.0, 600, true}, // Noisy.
    {0.06, 2, 8, 1.2, 500, false}, // Noisy.
}};
constexpr int firstNoisy = 6;

// Slowdown of a service on a host filled with a class, at a load of a quarter.
constexpr std::array<std::array<double, classCount>, serviceCount> pairSlowdown{{
    {0.00, 0.02, 0.00, 0.03, 0.00, 0.01, 1.20, 0.05},
    {0.02, 0.00, 0.01, 0.02, 0.04, 0.00, 0.05, 1.50},
    {0.00, 0.03, 0.00, 0.00, 0.02, 0.00, 0.90, 0.80},
    {0.01, 0.00, 0.02, 0.03, 0.00, 0.02, 0.03, 0.02},
}};
constexpr std::array<double, serviceCount> baseP99Ms{40, 60, 25, 80};
constexpr double meanLoad = 0.18;
constexpr double targetPart = 1.3; // Target over the batch-free p99 at the mean load.
constexpr double tickSeconds = 5;
constexpr double evictionSeconds = 30; // Time that a checkpoint and a restart take.
constexpr double contentionSlowdown = 4.0;
constexpr double measurementNoise = 0.05;
constexpr double sigma = 0.6; // Of the lognormal latencies.
constexpr int requestsPerTick = 8;
constexpr int histogramSteps = 4'000;
constexpr double stepRatio = 1.005;
constexpr int mostAttempts = 400; // Searches for a place in one tick.

double hoursOf(Instant now)
{
    return static_cast<double>(now.count()) / 3'600'000;
}

// Noisy work comes in waves of ten minutes each three quarters of an hour.
bool inWave(Instant now)
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
    , m_tasksOf(options.workers)
    , m_loadNoise(options.workers, 0)
    , m_load(options.workers, 0)
    , m_trueP99(options.workers, 0)
{
    m_histograms.fill(std::vector<long>(histogramSteps, 0));
    for (int i = 0; i < options.workers; ++i) {
        HostInfo host;
        host.id = workerName(i);
        host.role = HostRole::Worker;
        host.rack = "rack-" + std::to_string(i / options.workersPerRack);
        host.cores = workerCores;
        host.memoryMb = workerMemoryMb;
        m_ledger.setHost(host);
    }
}

Totals Cluster::run(Policy *policy)
{
    for (Instant now; now < Instant{} + m_options.span; now = now + tick) {
        if (policy) {
            arrive(now);
            deliver(*policy, now);
            startWaiting(*policy, now);
        }
        advance(now, policy != nullptr);
    }
    m_totals.waiting = m_waiting.size();
    std::vector<long> all(histogramSteps, 0);
    for (int i = 0; i < serviceCount; ++i) {
        m_totals.p99OfService[i] = quantile(m_histograms[i], 0.99);
        for (int n = 0; n < histogramSteps; ++n)
            all[n] += m_histograms[i][n];
    }
    m_totals.p99 = quantile(all, 0.99);
    m_totals.p999 = quantile(all, 0.999);
    m_totals.overTarget = static_cast<double>(m_overTarget) / static_cast<double>(m_samples);
    return m_totals;
}

void Cluster::arrive(Instant now)
{
    std::vector<double> weights;
    weights.reserve(classCount);
    for (int i = 0; i < classCount; ++i)
        weights.push_back(classes[i].weight * (i >= firstNoisy && inWave(now) ? 2.5 : 1));
    std::discrete_distribution<int> anyClass(weights.begin(), weights.end());
    std::uniform_real_distribution<double> anyPart(0.6, 1.4);
    double wanted =
        m_options.offeredLoad * m_options.workers * workerCores * (1 - meanLoad) * tickSeconds;
    // Arrivals carry the fraction of a task over by chance, so that the mean is right.
    while (wanted > 0) {
        Task task;
        task.batchClass = anyClass(m_arrivals);
        const BatchClass &c = classes[task.batchClass];
        std::uniform_int_distribution<int> anyCores(c.leastCores, c.mostCores);
        const int cores = anyCores(m_arrivals);
        task.declared = {cores, cores * 3'000, 0};
        task.cores = std::max(0.5, cores * c.usedPart * anyPart(m_arrivals));
        std::exponential_distribution<double> anySeconds(1 / c.meanSeconds);
        task.work = task.cores * std::clamp(anySeconds(m_arrivals), 30.0, 4 * c.meanSeconds);
        task.canCheckpoint = c.canCheckpoint;
        const double chance = std::uniform_real_distribution<double>(0, 1)(m_arrivals);
        if (task.work > wanted && chance > wanted / task.work)
            return;
        wanted -= task.work;
        task.id = "task-" + std::to_string(m_nextTask++);
        m_waiting.push_back(std::move(task));
    }
}

void Cluster::startWaiting(Policy &policy, Instant now)
{
    // Per class, the least size that found no place in this tick.
    std::array<int, classCount> tooLarge{};
    tooLarge.fill(workerCores + 1);
    int attempts = 0;
    for (auto it = m_waiting.begin(); it != m_waiting.end() && attempts < mostAttempts;) {
        if (it->declared.cores >= tooLarge[it->batchClass]) {
            ++it;
            continue;
        }
        ++attempts;
        const auto worker = policy.place(*it, m_ledger);
        if (!worker || !m_ledger.allocate(workerName(*worker), it->id, it->declared)) {
            tooLarge[it->batchClass] = it->declared.cores;
            ++it;
            continue;
        }
        it->worker = *worker;
        it->percent = 100;
        ++it->attempts;
        ++m_totals.starts;
        policy.started(*it, now);
        const std::string id = it->id;
        m_tasksOf[*worker].push_back(&m_running.emplace(id, std::move(*it)).first->second);
        it = m_waiting.erase(it);
    }
}

double Cluster::loadOf(int worker, Instant now)
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

double Cluster::batchFreeP99(int worker, double load) const
{
    return baseP99Ms[serviceOf(worker)] * (1 + load + 3 * load * load);
}

double Cluster::excess(int worker, double load, double batchCores) const
{
    double sum = 0;
    for (const Task *it : m_tasksOf[worker]) {
        const Task &task = *it;
        sum += pairSlowdown[serviceOf(worker)][task.batchClass] * task.cores * task.percent / 100
            / workerCores;
    }
    const double contention = std::max(0.0, batchCores / workerCores + load - 1);
    return sum * (0.5 + 2 * load) + contentionSlowdown * contention;
}

void Cluster::recordRequests(int worker, double p99Ms)
{
    // Latencies are lognormal; their median follows from the p99.
    constexpr double normal99 = 2.326;
    std::lognormal_distribution<double> latency(std::log(p99Ms) - normal99 * sigma, sigma);
    const double reference = baseP99Ms[serviceOf(worker)];
    for (int i = 0; i < requestsPerTick; ++i) {
        // In parts of the service's own base, so that services weigh alike.
        const double part = latency(m_latencies) / reference;
        const double step = std::log(part * 1'000) / std::log(stepRatio);
        ++m_histograms[serviceOf(worker)]
                      [std::clamp(static_cast<int>(step), 0, histogramSteps - 1)];
    }
}

double Cluster::quantile(const std::vector<long> &histogram, double q)
{
    long total = 0;
    for (const long n : histogram)
        total += n;
    long seen = 0;
    for (int i = 0; i < histogramSteps; ++i) {
        seen += histogram[i];
        if (static_cast<double>(seen) >= q * static_cast<double>(total))
            return std::pow(stepRatio, i) / 1'000;
    }
    return 0;
}

void Cluster::advance(Instant now, bool withBatch)
{
    for (int worker = 0; worker < m_options.workers; ++worker) {
        const double load = loadOf(worker, now);
        m_load[worker] = load;
        double batchCores = 0;
        for (const Task *it : m_tasksOf[worker])
            batchCores += it->cores * it->percent / 100;
        const double p99 = batchFreeP99(worker, load) * (1 + excess(worker, load, batchCores));
        m_trueP99[worker] = p99;
        recordRequests(worker, p99);
        ++m_samples;
        m_overTarget += p99 > targetPart * batchFreeP99(worker, meanLoad) ? 1 : 0;

        const double speed =
            std::min(1.0, workerCores / std::max(batchCores + load * workerCores, 1.0));
        std::vector<Task *> kept;
        for (Task *it : m_tasksOf[worker]) {
            Task &task = *it;
            const double step = task.cores * task.percent / 100 * speed * tickSeconds;
            const double useful = std::min(step, task.work - task.done);
            task.done += useful;
            m_totals.usefulCoreSeconds += useful;
            m_totals.noisyCoreSeconds += task.batchClass >= firstNoisy ? useful : 0;
            if (task.done < task.work) {
                kept.push_back(it);
                continue;
            }
            ++m_totals.finished;
            m_ledger.release(workerName(worker), task.id);
            m_running.erase(std::string(task.id));
        }
        m_tasksOf[worker] = std::move(kept);
        if (withBatch && now.count() % m_options.sampleEvery.count() == 0)
            measure(worker, now);
    }
}

void Cluster::measure(int worker, Instant now)
{
    Report report{worker, now + m_options.reportLag, {}};
    WorkerSample &sample = report.sample;
    sample.measuredAt = now;
    sample.service = serviceName(serviceOf(worker));
    sample.urgentCores = m_load[worker] * workerCores;
    sample.urgentP99Ms =
        m_trueP99[worker] * (1 + std::normal_distribution<double>(0, measurementNoise)(m_noise));
    sample.targetP99Ms = targetPart * batchFreeP99(worker, meanLoad);
    for (const Task *it : m_tasksOf[worker]) {
        const Task &task = *it;
        const double waste = task.canCheckpoint ? evictionSeconds * task.cores : task.done;
        sample.tasks.push_back({task.id, className(task.batchClass), task.cores,
                                task.declared.cores, task.percent, waste});
    }
    m_reports.push_back(std::move(report));
}

void Cluster::deliver(Policy &policy, Instant now)
{
    while (!m_reports.empty() && m_reports.front().deliverAt <= now) {
        const Report &report = m_reports.front();
        carryOut(report.worker, policy.observe(report.worker, report.sample, now));
        m_reports.pop_front();
    }
}

void Cluster::carryOut(int worker, const InterferenceDecision &decision)
{
    m_ledger.setCoreLimit(workerName(worker), decision.batchCoreLimit);
    for (const TaskThrottle &it : decision.throttles) {
        const auto task = m_running.find(it.task);
        if (task != m_running.end())
            task->second.percent = it.speedPercent;
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
    const double lost = task.canCheckpoint ? evictionSeconds * task.cores : task.done;
    m_totals.wastedCoreSeconds += lost;
    m_totals.usefulCoreSeconds -= std::min(lost, task.done);
    task.done = std::max(0.0, task.done - lost);
    std::erase(m_tasksOf[task.worker], &task);
    m_ledger.release(workerName(task.worker), task.id);
    const std::string id = task.id;
    m_waiting.push_front(std::move(task));
    m_running.erase(id);
}

} // namespace fakecluster
