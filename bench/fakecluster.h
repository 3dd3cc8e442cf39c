#pragma once

#include "savorywick/allocationtable.h"
#include "savorywick/clock.h"
#include "savorywick/interference.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

// Simulates, in virtual time, workers that run urgent services and batch tasks side by side.
//
// Urgent latency grows with the load of the service, with the interference between the service and
// the batch classes on the same worker, and with CPU oversubscription. Policies see only delayed,
// noisy measurements of this latency.
namespace fakecluster {

constexpr int workerCores = 64;
constexpr int workerMemoryMb = 250'000;
constexpr savorywick::Millis tickLength{5'000};
constexpr int serviceCount = 4;
constexpr int classCount = 8;

struct Options
{
    int workers = 50;
    int workersPerRack = 8;
    savorywick::Millis duration{8LL * 3'600'000};
    savorywick::Millis sampleInterval{10'000};
    savorywick::Millis reportDelay{10'000};
    double offeredLoad = 1.05; // Arriving batch work, relative to the batch capacity.
    unsigned seed = 1;
};

struct Task
{
    std::string id;
    int batchClass = 0;
    savorywick::Resources declared;
    double usedCores = 0; // Actual usage without throttling.
    double totalCoreSeconds = 0; // Work of the whole task.
    double doneCoreSeconds = 0;
    int cpuPercent = 100; // Speed limit set by throttling.
    int attempts = 0;
    bool checkpointable = true;
    int worker = -1;
};

struct Totals
{
    double usefulCoreSeconds = 0;
    double wastedCoreSeconds = 0;
    double noisyCoreSeconds = 0; // Useful work of the noisy classes.
    int starts = 0;
    int evictions = 0;
    int finished = 0;
    std::size_t waiting = 0;
    // Of all requests, relative to each service's p99 without load and without batch work.
    double p99 = 0;
    double p999 = 0;
    std::array<double, serviceCount> p99OfService{};
    double overTargetShare = 0; // Share of the worker samples whose true p99 exceeds the target.
};

// Interface of the placement and interference policies that the simulation compares.
class Policy
{
public:
    virtual ~Policy() = default;
    // Returns the index of the worker to start the task on, or nothing to leave it waiting.
    virtual std::optional<int> place(const Task &task,
                                     const savorywick::AllocationTable &allocations) = 0;
    virtual void started(const Task &task, savorywick::Instant now) = 0;
    // Handles a measurement and returns the core limit for batch work, the throttles and the
    // evictions to apply.
    virtual savorywick::InterferenceDecision
    observe(int worker, const savorywick::WorkerSample &sample, savorywick::Instant now) = 0;
};

std::string workerName(int worker);
std::string serviceName(int service);
std::string className(int batchClass);
int serviceOf(int worker);

class Cluster
{
public:
    explicit Cluster(const Options &options);

    // Simulates the configured duration under `policy`. A null policy runs no batch work.
    Totals run(Policy *policy);

private:
    struct Report
    {
        int worker = 0;
        savorywick::Instant deliverAt;
        savorywick::WorkerSample sample;
    };

    void generateArrivals(savorywick::Instant now);
    void placeWaitingTasks(Policy &policy, savorywick::Instant now);
    void advanceTick(savorywick::Instant now, bool withBatch);
    void sampleWorker(int worker, savorywick::Instant now);
    void deliverReports(Policy &policy, savorywick::Instant now);
    void applyDecision(int worker, const savorywick::InterferenceDecision &decision);
    void evict(Task &task);
    double nextLoad(int worker, savorywick::Instant now);
    double baselineP99Ms(int worker, double load) const;
    double interferenceSlowdown(int worker, double load, double batchCores) const;
    void recordRequests(int worker, double p99Ms);
    static double quantile(const std::vector<long> &histogram, double q);

    Options m_options;
    std::mt19937 m_arrivals;
    std::mt19937 m_loads;
    std::mt19937 m_latencies;
    std::mt19937 m_noise;
    savorywick::AllocationTable m_allocations;
    std::deque<Task> m_waiting;
    std::map<std::string, Task> m_running;
    std::vector<std::vector<Task *>> m_tasksByWorker;
    std::vector<double> m_loadNoise;
    std::vector<double> m_load;
    std::vector<double> m_trueP99;
    std::deque<Report> m_reports;
    std::array<std::vector<long>, serviceCount> m_histograms;
    long m_samples = 0;
    long m_overTarget = 0;
    int m_nextTask = 0;
    Totals m_totals;
};

} // namespace fakecluster
