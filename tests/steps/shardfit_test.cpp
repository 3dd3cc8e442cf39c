#include "savorywick/steps/shardfit.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

// Two shards of two workers each, with 16 cores and 32,000 MB. A case changes those of shard 1, or
// of shard 0.
class TwoShards
{
public:
    TwoShards()
    {
        for (int i = 0; i < 4; ++i) {
            WorkerInfo info;
            info.incarnation = {"w" + std::to_string(i), 1};
            info.service = "matching";
            info.labels = {"a"};
            info.capacity = {16'000, 32'000, 0};
            workers.push_back(info);
        }
    }

    std::optional<int> betterThan(int ownShard, const JobSpec &job, std::vector<int> steps = {0})
    {
        const std::vector<int> shards{0, 0, 1, 1};
        m_fit.assign(workers, {shards.data(), workers.size()}, 2);
        return m_fit.betterShard(job, steps, ownShard);
    }

    std::vector<WorkerInfo> workers;

private:
    ShardFit m_fit;
};

JobSpec job(const std::function<void(StepSpec &)> &change)
{
    JobSpec spec;
    spec.id = "j";
    spec.policy.service = "matching";
    StepSpec step;
    step.demand = {2'000, 1'000, 0};
    change(step);
    spec.steps = {step};
    return spec;
}

struct Need
{
    std::string what;
    std::function<void(StepSpec &)> step;
    std::function<void(std::vector<WorkerInfo> &)> workers;
};

const std::vector<Need> needsOfOneShard = {
    {"a label", [](StepSpec &s) { s.neededLabel = "b"; },
     [](auto &w) {
         w[3].labels = {"b", "r1"};
     }},
    {"the memory of one large worker", [](StepSpec &s) { s.demand.memoryMb = 40'000; },
     [](auto &w) { w[2].capacity.memoryMb = 64'000; }},
    {"the processors of one large worker", [](StepSpec &s) { s.demand.milliCores = 20'000; },
     [](auto &w) { w[2].capacity.milliCores = 32'000; }},
    {"an accelerator", [](StepSpec &s) { s.demand.accelerators = 1; },
     [](auto &w) { w[3].capacity.accelerators = 2; }},
    {"a whole gang",
     [](StepSpec &s) {
         s.gang = true;
         s.taskCount = 5;
         s.demand.milliCores = 7'000;
     },
     [](auto &w) { w[3].capacity.milliCores = 32'000; }},
    {"long-running tasks one to a worker",
     [](StepSpec &s) {
         s.longRunning = true;
         s.taskCount = 2;
         s.maxTasksPerWorker = 1;
     },
     [](auto &w) { w[0].draining = true; }},
    {"workers that stay", [](StepSpec &) {}, [](auto &w) { w[0].draining = w[1].draining = true; }},
    {"workers of the service", [](StepSpec &) {},
     [](auto &w) { w[0].service = w[1].service = "other"; }},
    {"idle processors for best-effort tasks",
     [](StepSpec &s) {
         s.bestEffort = true;
         s.demand.milliCores = 40'000;
     },
     [](auto &w) { w[2].capacity.milliCores = 64'000; }},
};

} // namespace

// Guards against jobs that wait for ever in a shard without a suitable worker.
TEST_CASE("A job goes where its needs can be met, whatever they are")
{
    for (const Need &it : needsOfOneShard) {
        CAPTURE(it.what);
        TwoShards shards;
        it.workers(shards.workers);
        CHECK(shards.betterThan(0, job(it.step)) == 1);
        CHECK_FALSE(shards.betterThan(1, job(it.step)).has_value());
    }
}

TEST_CASE("A job stays where its needs can be met and where no other shard meets more of them")
{
    const JobSpec plain = job([](StepSpec &) {});
    const JobSpec large = job([](StepSpec &s) { s.demand.milliCores = 64'000; });
    const JobSpec limited = job([](StepSpec &s) {
        s.taskCount = 9; // They take turns.
        s.maxTasksPerWorker = 1;
    });
    for (const JobSpec &it : {plain, large, limited}) {
        TwoShards shards;
        CHECK_FALSE(shards.betterThan(0, it).has_value());
    }
}

TEST_CASE("A shard without workers loses its jobs and gets none")
{
    TwoShards shards;
    shards.workers.resize(2); // Those of shard 0.
    const JobSpec plain = job([](StepSpec &) {});
    CHECK(shards.betterThan(1, plain) == 0);
    CHECK_FALSE(shards.betterThan(0, plain).has_value());
}

TEST_CASE("The steps that wait come before the other steps of the job")
{
    TwoShards shards;
    shards.workers[0].labels = {"x"};
    shards.workers[3].labels = {"y"};
    JobSpec spec = job([](StepSpec &s) { s.neededLabel = "x"; });
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().neededLabel = "y";
    CHECK_FALSE(shards.betterThan(0, spec, {0}).has_value());
    CHECK(shards.betterThan(0, spec, {1}) == 1);
    CHECK_FALSE(shards.betterThan(0, spec, {0, 1}).has_value());
}

TEST_CASE("Jobs are spread over the shards that suit them equally")
{
    std::vector<WorkerInfo> workers = TwoShards().workers;
    workers[0].service = "other";
    const std::vector<int> shards{0, 1, 2, 3};
    ShardFit fit;
    fit.assign(workers, shards, 4);
    std::set<int> chosen;
    JobSpec spec = job([](StepSpec &) {});
    const std::vector<int> steps{0};
    for (int i = 0; i < 40; ++i) {
        spec.id = "j" + std::to_string(i);
        chosen.insert(fit.betterShard(spec, steps, 0).value());
    }
    CHECK(chosen == std::set<int>{1, 2, 3});
}
