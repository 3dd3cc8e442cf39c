#include "node/jobdealer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace savorywick;

namespace {

steps::JobSpec job(int tasks, int milliCores, bool longRunning)
{
    steps::JobSpec spec;
    steps::StepSpec step;
    step.taskCount = tasks;
    step.demand.milliCores = milliCores;
    step.longRunning = longRunning;
    spec.steps = {step};
    return spec;
}

} // namespace

// The load of a large deployment at its start: 350 jobs of long-running tasks that differ in size
// and fill four fifths of three shards. By hash alone one shard was full, and its tasks waited for
// seconds, while others had room.
TEST_CASE("Long-running jobs fill the shards evenly however their ids hash")
{
    constexpr int shards = 3;
    constexpr int jobs = 350;
    const std::vector<std::int64_t> capacities{44'000'000, 46'000'000, 45'000'000};
    double fullestByHash = 0;
    for (unsigned seed = 0; seed < 20; ++seed) {
        std::mt19937 random(seed);
        std::uniform_int_distribution<int> home(0, shards - 1);
        std::uniform_int_distribution<int> tasks(8, 40);
        std::uniform_int_distribution<int> milliCores(7'000, 19'000);
        std::vector<JobDealer> dealers;
        for (int i = 0; i < shards; ++i) {
            dealers.emplace_back(i);
            dealers.back().setCapacities(capacities);
        }
        std::vector<std::int64_t> dealt(shards);
        std::vector<std::int64_t> hashed(shards);
        std::int64_t total = 0;
        for (int i = 0; i < jobs; ++i) {
            const steps::JobSpec spec = job(tasks(random), milliCores(random), true);
            const std::int64_t demand =
                std::int64_t{spec.steps[0].taskCount} * spec.steps[0].demand.milliCores;
            const int from = home(random);
            dealt[dealers[from].choose(spec)] += demand;
            hashed[from] += demand;
            total += demand;
        }
        const double mean = static_cast<double>(total) / 135'000'000;
        for (int i = 0; i < shards; ++i) {
            CHECK(static_cast<double>(dealt[i]) / capacities[i] < mean * 1.03);
            fullestByHash =
                std::max(fullestByHash, static_cast<double>(hashed[i]) / capacities[i] / mean);
        }
    }
    CHECK(fullestByHash > 1.1); // What dealing is for.
}

TEST_CASE("Jobs without long-running tasks stay in their home shard")
{
    JobDealer dealer(1);
    dealer.setCapacities({64'000, 64'000, 64'000});
    for (int i = 0; i < 10; ++i)
        CHECK(dealer.choose(job(4, 8'000, false)) == 1);
}

TEST_CASE("A shard without workers gets no job from another")
{
    JobDealer unknown(2);
    CHECK(unknown.choose(job(1, 1'000, true)) == 2);
    JobDealer dealer(2);
    dealer.setCapacities({64'000, 0, 0});
    for (int i = 0; i < 10; ++i)
        CHECK(dealer.choose(job(1, 1'000, true)) == 0);
}

// Guards against a job that is dealt to a shard with room that has no worker which suits it.
TEST_CASE("A job is dealt only to shards whose workers suit it as well as any")
{
    std::vector<steps::WorkerInfo> workers(3);
    for (std::size_t i = 0; i < workers.size(); ++i) {
        workers[i].incarnation.workerId = "w" + std::to_string(i);
        workers[i].capacity = {64'000, 64'000, 0};
    }
    workers[1].labels = {"b"};
    workers[2].labels = {"b"};
    steps::ShardFit fit;
    fit.assign(workers, std::vector<int>{0, 1, 2}, 3);
    JobDealer dealer(0, &fit);
    dealer.setCapacities({640'000, 6'400, 64'000});
    steps::JobSpec needsLabel = job(2, 8'000, true);
    needsLabel.steps[0].neededLabel = "b";
    CHECK(dealer.choose(needsLabel) == 2);
    CHECK(dealer.choose(job(2, 8'000, true)) == 0);
    steps::JobSpec tooWide = needsLabel; // Two of its tasks at a time are the most anywhere.
    tooWide.steps[0].taskCount = 3;
    tooWide.steps[0].maxTasksPerWorker = 2;
    for (int i = 0; i < 10; ++i)
        CHECK(dealer.choose(tooWide) > 0);
    needsLabel.steps[0].longRunning = false;
    CHECK(dealer.choose(needsLabel) > 0);
}
