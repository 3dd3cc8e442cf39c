#include "savorywick/steps/shardfit.h"

#include "savorywick/steps/placement.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>

namespace savorywick::steps {

namespace {

int countOf(int available, int demanded, int atMost)
{
    return demanded <= 0 ? atMost : std::min(atMost, std::max(0, available) / demanded);
}

// Returns how many tasks of the step the worker could have at once if it had nothing else.
int slotsOn(const WorkerInfo &worker, const StepSpec &step, const std::string &service)
{
    const bool suits = worker.service == service && !worker.draining
        && (step.neededLabel.empty()
            || std::find(worker.labels.begin(), worker.labels.end(), step.neededLabel)
                != worker.labels.end());
    if (!suits)
        return 0;
    int slots =
        step.maxTasksPerWorker > 0 ? step.maxTasksPerWorker : std::numeric_limits<int>::max();
    if (!step.bestEffort)
        slots = countOf(worker.capacity.milliCores, step.demand.milliCores, slots);
    else if (!hasIdleProcessors({.idleMilliCores = worker.capacity.milliCores},
                                step.demand.milliCores))
        return 0;
    slots = countOf(worker.capacity.memoryMb, step.demand.memoryMb, slots);
    return countOf(worker.capacity.accelerators, step.demand.accelerators, slots);
}

} // namespace

void ShardFit::assign(std::span<const WorkerInfo> workers, std::span<const int> shards,
                      int shardCount)
{
    m_workers.assign(static_cast<std::size_t>(shardCount), {});
    for (std::size_t i = 0; i < workers.size(); ++i)
        m_workers[static_cast<std::size_t>(shards[i])].push_back(&workers[i]);
}

int ShardFit::neededSlots(const StepSpec &step)
{
    return step.gang || step.longRunning ? step.taskCount : 1;
}

int ShardFit::usefulSlots(const StepSpec &step, const std::string &service, int shard,
                          const WorkerIds &leftOut) const
{
    const int needed = neededSlots(step);
    int found = 0;
    for (const WorkerInfo *it : m_workers[static_cast<std::size_t>(shard)]) {
        const int slots = std::min(needed, slotsOn(*it, step, service));
        if (slots > 0 && !leftOut.contains(it->incarnation.workerId))
            found += slots;
        if (found >= needed)
            return needed;
    }
    return step.gang ? 0 : found; // Some members of a gang are of no use.
}

int ShardFit::slots(const JobSpec &job, std::span<const int> steps, int shard,
                    const WorkerIds &leftOut) const
{
    int sum = 0;
    for (const int it : steps)
        sum += usefulSlots(job.steps[static_cast<std::size_t>(it)], job.policy.service, shard,
                           leftOut);
    return sum;
}

int ShardFit::slotsOfAll(const JobSpec &job, int shard) const
{
    int sum = 0;
    for (const StepSpec &it : job.steps)
        sum += usefulSlots(it, job.policy.service, shard);
    return sum;
}

bool ShardFit::suits(const JobSpec &job, std::span<const int> steps, int shard,
                     const WorkerIds &leftOut) const
{
    return std::all_of(steps.begin(), steps.end(), [&](int it) {
        const StepSpec &step = job.steps[static_cast<std::size_t>(it)];
        return usefulSlots(step, job.policy.service, shard, leftOut) >= neededSlots(step);
    });
}

std::optional<int> ShardFit::betterShard(const JobSpec &job, std::span<const int> steps,
                                         int ownShard, const WorkerIds &leftOut) const
{
    if (ownShard >= shardCount() || suits(job, steps, ownShard, leftOut))
        return {};
    std::optional<int> best;
    std::tuple bestSlots{slots(job, steps, ownShard, leftOut), std::numeric_limits<int>::max()};
    const auto first = static_cast<int>(std::hash<std::string>()(job.id) % m_workers.size());
    for (int i = 0; i < shardCount(); ++i) {
        const int shard = (first + i) % shardCount();
        if (shard == ownShard)
            continue;
        const std::tuple found{slots(job, steps, shard), slotsOfAll(job, shard)};
        if (found <= bestSlots)
            continue;
        best = shard;
        bestSlots = found;
    }
    return best;
}

} // namespace savorywick::steps
