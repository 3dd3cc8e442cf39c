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

// A small model of workers in virtual time that run urgent services and batch tasks side by side.
//
// Urgent latency grows with the load of the service, with the pairs of service and batch class
// that share a worker, and with processors that are asked for beyond those there are. Policies see
// none of this but measurements that lag and are noisy.
namespace fakecluster {

constexpr int workerCores = 64;
constexpr int workerMemoryMb = 250'000;
constexpr savorywick::Millis tick{5'000};
constexpr int serviceCount = 4;
constexpr int classCount = 8;

struct Options
{
    int workers = 50;
    int workersPerRack = 8;
    savorywick::Millis span{8LL * 3'600'000};
    savorywick::Millis sampleEvery{10'000};
    savorywick::Millis reportLag{10'000};
    double offeredLoad = 1.05; // Batch work that arrives, as a part of what the workers could do.
    unsigned seed = 1;
};

struct Task
{
    std::string id;
    int batchClass = 0;
    savorywick::Resources declared;
    double cores = 0; // What it really uses at full speed.
    double work = 0; // Core seconds in all.
    double done = 0;
    int percent = 100;
    int attempts = 0;
    bool canCheckpoint = true;
    int worker = -1;
};

struct Totals
{
    double usefulCoreSeconds = 0;
    double wastedCoreSeconds = 0;
    double noisyCoreSeconds = 0; // The part of the useful work that the noisy classes did.
    int starts = 0;
    int evictions = 0;
    int finished = 0;
    std::size_t waiting = 0;
    double p99 = 0; // Over the base p99 of each service, over all requests.
    double p999 = 0;
    std::array<double, serviceCount> p99OfService{};
    double overTarget = 0; // Part of the worker samples with a true p99 over the target.
};

// What a policy may do in the cluster. `Policy` implementations decide.
class Policy
{
public:
    virtual ~Policy() = default;
    // Returns the index of the worker that a task should start on.
    virtual std::optional<int> place(const Task &task,
                                     const savorywick::AllocationTable &ledger) = 0;
    virtual void started(const Task &task, savorywick::Instant now) = 0;
    // Judges a measurement; only what `InterferenceDecision` holds is carried out.
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

    // Runs the whole span under `policy`; without one no batch work runs.
    Totals run(Policy *policy);

private:
    struct Report
    {
        int worker = 0;
        savorywick::Instant deliverAt;
        savorywick::WorkerSample sample;
    };

    void arrive(savorywick::Instant now);
    void startWaiting(Policy &policy, savorywick::Instant now);
    void advance(savorywick::Instant now, bool withBatch);
    void measure(int worker, savorywick::Instant now);
    void deliver(Policy &policy, savorywick::Instant now);
    void carryOut(int worker, const savorywick::InterferenceDecision &decision);
    void evict(Task &task);
    double loadOf(int worker, savorywick::Instant now);
    double batchFreeP99(int worker, double load) const;
    double excess(int worker, double load, double batchCores) const;
    void recordRequests(int worker, double p99Ms);
    static double quantile(const std::vector<long> &histogram, double q);

    Options m_options;
    std::mt19937 m_arrivals;
    std::mt19937 m_loads;
    std::mt19937 m_latencies;
    std::mt19937 m_noise;
    savorywick::AllocationTable m_ledger;
    std::deque<Task> m_waiting;
    std::map<std::string, Task> m_running;
    std::vector<std::vector<Task *>> m_tasksOf;
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
