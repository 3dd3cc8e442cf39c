// Compares interference policies by urgent latency, batch throughput and evictions, on simulated
// workers in virtual time with reproducible seeds.

#include "fakecluster.h"
#include "report.h"
#include "savorywick/interference.h"
#include "savorywick/placement.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <memory>

using namespace savorywick;
using namespace fakecluster;

namespace {

int workerIndex(const std::string &worker)
{
    return std::atoi(worker.c_str() + worker.rfind('-') + 1);
}

PlacementRequest requestFor(const Task &task, const std::string &runClass)
{
    return {"batch", runClass, task.declared, {}};
}

// Baseline: places by free resources and racks alone, under a fixed limit of batch cores.
class StaticPolicy final : public Policy
{
public:
    explicit StaticPolicy(int reservedCores)
        : m_allowance(workerCores - reservedCores)
    { }

    std::optional<int> place(const Task &task, const AllocationTable &allocations) override
    {
        const std::string runClass = className(task.batchClass);
        const auto host = m_placement.choose(requestFor(task, runClass), allocations, nullptr);
        return host && allocations.allocated(*host).cores + task.declared.cores <= m_allowance
            ? std::optional(workerIndex(*host))
            : std::nullopt;
    }
    void started(const Task &, Instant) override { }
    InterferenceDecision observe(int, const WorkerSample &, Instant) override
    {
        return {m_allowance, {}, {}};
    }

private:
    SpreadPlacement m_placement;
    int m_allowance;
};

// Baseline: feedback control of each worker's allowance by its measured p99 against the target. It
// ignores which batch classes run there.
class BlindFeedbackPolicy final : public Policy
{
public:
    explicit BlindFeedbackPolicy(int workers)
        : m_allowances(workers, workerCores)
        , m_changedAt(workers, Instant{-1'000'000})
    { }

    std::optional<int> place(const Task &task, const AllocationTable &allocations) override
    {
        const std::string runClass = className(task.batchClass);
        const auto host = m_placement.choose(requestFor(task, runClass), allocations, nullptr);
        return host ? std::optional(workerIndex(*host)) : std::nullopt;
    }
    void started(const Task &, Instant) override { }
    InterferenceDecision observe(int worker, const WorkerSample &sample, Instant now) override
    {
        double &allowance = m_allowances[worker];
        InterferenceDecision decision;
        const bool settled = sample.measuredAt - m_changedAt[worker] >= Millis{15'000};
        const double before = allowance;
        if (settled && sample.urgentP99Ms > sample.targetP99Ms)
            allowance *= 0.6;
        else if (settled && sample.urgentP99Ms < 0.9 * sample.targetP99Ms)
            allowance = std::min(allowance + workerCores / 16.0, 1.0 * workerCores);
        if (allowance != before)
            m_changedAt[worker] = now;
        decision.batchCoreLimit = static_cast<int>(allowance);
        double cores = 0;
        for (const BatchTaskSample &it : sample.tasks)
            cores += it.cores;
        const int percent =
            cores > 0 ? std::clamp(static_cast<int>(100 * allowance / cores), 25, 100) : 100;
        for (const BatchTaskSample &it : sample.tasks)
            decision.throttles.push_back({it.id, percent});
        return decision;
    }

private:
    SpreadPlacement m_placement;
    std::vector<double> m_allowances;
    std::vector<Instant> m_changedAt;
};

// Uses the library's controller, which learns the interference of pairs of service and batch class,
// for placement and for control of each worker.
class ControllerPolicy final : public Policy
{
public:
    ControllerPolicy(int workers, const Placement &placement)
        : m_placement(placement)
        , m_controller({})
    {
        for (int i = 0; i < workers; ++i)
            m_controller.setWorker(workerName(i), workerCores);
    }

    std::optional<int> place(const Task &task, const AllocationTable &allocations) override
    {
        const std::string runClass = className(task.batchClass);
        const auto host =
            m_placement.choose(requestFor(task, runClass), allocations, &m_controller);
        return host ? std::optional(workerIndex(*host)) : std::nullopt;
    }
    void started(const Task &task, Instant now) override
    {
        m_controller.recordStart(workerName(task.worker), className(task.batchClass),
                                 task.declared.cores, now);
    }
    InterferenceDecision observe(int worker, const WorkerSample &sample, Instant now) override
    {
        return m_controller.observe(workerName(worker), sample, now);
    }

private:
    const Placement &m_placement;
    InterferenceController m_controller;
};

struct ClusterSize
{
    int workers;
    int workersPerRack;
    unsigned seed;
};

struct PolicyCase
{
    std::string name;
    std::function<std::unique_ptr<Policy>(int workers)> make;
};

void reportTotals(const std::string &benchCase, const Totals &totals, const Totals &batchFree,
                  const Totals &noPolicy)
{
    const double starts = std::max(totals.starts, 1);
    const double p99 = totals.p99 / batchFree.p99;
    const double p999 = totals.p999 / batchFree.p999;
    double worstServiceP99 = 0;
    for (int i = 0; i < serviceCount; ++i)
        worstServiceP99 =
            std::max(worstServiceP99, totals.p99OfService[i] / batchFree.p99OfService[i]);
    const double work = totals.usefulCoreSeconds / std::max(noPolicy.usefulCoreSeconds, 1.0);
    const double noisy = totals.noisyCoreSeconds / std::max(noPolicy.noisyCoreSeconds, 1.0);
    const double evictions = totals.evictions / starts;
    const double wasted = totals.wastedCoreSeconds / std::max(totals.usefulCoreSeconds, 1.0);
    bench::report("interference", benchCase,
                  {{"p99_over_batch_free", p99},
                   {"worst_service_p99_over_batch_free", worstServiceP99},
                   {"p999_over_batch_free", p999},
                   {"over_target", totals.overTargetShare},
                   {"work_over_no_policy", work},
                   {"noisy_work_over_no_policy", noisy},
                   {"evictions_per_start", evictions},
                   {"wasted_work", wasted},
                   {"starts", static_cast<double>(totals.starts)},
                   {"waiting", static_cast<double>(totals.waiting)}});
}

} // namespace

int main(int argc, char **argv)
{
    // An optional argument sets the seed, to check that results do not depend on it.
    const unsigned seed = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 11;
    const SpreadPlacement spread;
    const BestFitPlacement bestFit;
    const std::vector<PolicyCase> policies{
        {"none", [](int) { return std::make_unique<StaticPolicy>(0); }},
        {"reserve-16", [](int) { return std::make_unique<StaticPolicy>(16); }},
        {"reserve-32", [](int) { return std::make_unique<StaticPolicy>(32); }},
        {"blind-feedback", [](int n) { return std::make_unique<BlindFeedbackPolicy>(n); }},
        {"pairs", [&](int n) { return std::make_unique<ControllerPolicy>(n, spread); }},
        {"pairs-best-fit", [&](int n) { return std::make_unique<ControllerPolicy>(n, bestFit); }},
    };
    bench::reportTableHeader("workers/policy",
                             {"p99", "worst service", "p99.9", "over target", "work", "noisy work",
                              "evicted", "wasted", "starts", "waiting"});
    for (const ClusterSize &site : {ClusterSize{50, 8, seed}, ClusterSize{65, 11, seed + 1}}) {
        const Options options{
            .workers = site.workers, .workersPerRack = site.workersPerRack, .seed = site.seed};
        const Totals batchFree = Cluster(options).run(nullptr);
        const std::string prefix = std::to_string(site.workers) + "/";
        reportTotals(prefix + "batch-free", batchFree, batchFree, {});
        Totals noPolicy;
        for (const PolicyCase &it : policies) {
            const Totals totals = Cluster(options).run(it.make(site.workers).get());
            if (it.name == "none")
                noPolicy = totals;
            reportTotals(prefix + it.name, totals, batchFree, noPolicy);
        }
    }
    return 0;
}
