// What it costs to find the shard whose workers suit a job that has none in its own, at 30,000
// workers in 50 shards.

#include "measure.h"
#include "report.h"
#include "savorywick/steps/shardfit.h"

#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr int workerCount = 30'000;
constexpr int shardCount = 50;
constexpr int workersPerRack = 20;

JobSpec jobThatNeeds(const std::string &label)
{
    JobSpec job;
    job.id = "5c0e7a21d94b36f8";
    job.policy.service = "matching";
    StepSpec step;
    step.demand = {7'000, 13'000, 0};
    step.neededLabel = label;
    job.steps = {step, step};
    return job;
}

} // namespace

int main()
{
    std::vector<WorkerInfo> workers;
    std::vector<int> shards;
    for (int i = 0; i < workerCount; ++i) {
        WorkerInfo worker;
        worker.incarnation = {"match-svc-" + std::to_string(i), 1};
        worker.service = "matching";
        worker.labels = {"a", "r" + std::to_string(i / workersPerRack)};
        worker.capacity = {64'000, 250'000, 0};
        workers.push_back(std::move(worker));
        shards.push_back(i % shardCount);
    }
    ShardFit fit;
    const std::vector<int> steps{0};
    const auto micros = [](int calls, const std::function<void()> &work) {
        return bench::bestMicrosPerCall(bench::processorMicros, calls, work);
    };
    const double assign = micros(10, [&] { fit.assign(workers, shards, shardCount); });
    const JobSpec usual = jobThatNeeds("a");
    const double suits = micros(10'000, [&] { fit.suits(usual, steps, 0); });
    const JobSpec rare = jobThatNeeds("b");
    const double better = micros(10, [&] { fit.betterShard(rare, steps, 0); });
    bench::reportTableHeader("workers", {"new list us", "own shard us", "better shard us"});
    bench::report("shardfit", std::to_string(workerCount) + " in 50 shards",
                  {{"new list us", assign}, {"own shard us", suits}, {"better shard us", better}});
    return EXIT_SUCCESS;
}
