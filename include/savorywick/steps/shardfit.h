#pragma once

#include "savorywick/steps/workercommands.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace savorywick::steps {

// Tells which shards have workers that suit a job, whatever they run at the moment.
//
// Use one for an entry, which follows the list of all workers. A worker belongs to one shard for
// good, and a shard may have none that suits a job while another has. It holds views of the list:
// assign a new one before the old one is destroyed. Pure; not thread-safe.
//
// Example:
//   fit.assign(workers, shardOfEachWorker, shardCount);
//   if (const auto shard = fit.betterShard(job.spec, waitingSteps, ownShard))
//       handOver(job, *shard);
class ShardFit
{
public:
    using WorkerIds = std::set<std::string>;

    // `workers[i]` belongs to the shard `shards[i]`. Workers that leave suit no job.
    void assign(std::span<const WorkerInfo> workers, std::span<const int> shards, int shardCount);
    int shardCount() const { return static_cast<int>(m_workers.size()); }

    // Returns how many tasks of the step the shard's workers could have at once, but no more than
    // it needs: all for a gang and for long-running tasks, one for others, which can take turns.
    // Those of the workers that are `leftOut` don't count.
    int usefulSlots(const StepSpec &step, const std::string &service, int shard,
                    const WorkerIds &leftOut = {}) const;
    // Returns the most that usefulSlots() can be.
    static int neededSlots(const StepSpec &step);

    // Returns true if and only if the shard's workers offer all slots that these steps need.
    bool suits(const JobSpec &job, std::span<const int> steps, int shard,
               const WorkerIds &leftOut = {}) const;
    // Returns the shard whose workers suit these steps of the job best, if they suit them better
    // than those of `ownShard`. Of several, those that suit more of the other steps come first;
    // jobs are spread over equal ones. The owner tells which workers to leave out, since they are
    // listed and don't answer it.
    std::optional<int> betterShard(const JobSpec &job, std::span<const int> steps, int ownShard,
                                   const WorkerIds &leftOut = {}) const;

private:
    int slots(const JobSpec &job, std::span<const int> steps, int shard,
              const WorkerIds &leftOut = {}) const;
    int slotsOfAll(const JobSpec &job, int shard) const;

    std::vector<std::vector<const WorkerInfo *>> m_workers; // By shard.
};

} // namespace savorywick::steps
