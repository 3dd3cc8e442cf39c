#pragma once

#include "savorywick/steps/job.h"
#include "savorywick/steps/shardfit.h"

#include <cstdint>
#include <vector>

namespace savorywick {

// Decides which shard a new job of long-running tasks is to run in, so that the shards' workers are
// equally full.
//
// A job goes to its home shard unless the workers of another one suit its steps better (see
// steps::ShardFit). Use one in the owner of each shard, for the jobs whose ids hash to it.
// Long-running tasks hold most of the processors and hold them for long, so shards that got them by
// hash alone would differ in room by more than they have free. Each owner deals its own jobs evenly
// by what they demand and by what the shards' workers offer; then the sums over all owners are even
// as well, without any word between them. It is pure and not thread-safe.
//
// Example:
//   dealer.setCapacities(milliCoresByShard);
//   const int shard = dealer.choose(spec);
class JobDealer
{
public:
    // `ownShard` is the shard that the ids hash to. Without `fit`, which must outlive this object,
    // all shards suit all jobs.
    explicit JobDealer(int ownShard, const steps::ShardFit *fit = nullptr)
        : m_ownShard(ownShard)
        , m_fit(fit)
    { }

    // Sets the processors of each shard's workers, in thousandths of a core.
    void setCapacities(std::vector<std::int64_t> milliCores);
    // Returns the shard for the job, and counts what the job demands against it. Returns the own
    // shard while the capacities are not known.
    int choose(const steps::JobSpec &spec);

private:
    const int m_ownShard;
    const steps::ShardFit *m_fit;
    std::vector<std::int64_t> m_capacities; // By shard.
    std::vector<std::int64_t> m_dealt; // What was demanded of each shard by jobs of this owner.
};

} // namespace savorywick
