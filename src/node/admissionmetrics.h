#pragma once

#include "core/prometheuswriter.h"
#include "savorywick/steps/jobadmission.h"

#include <cstdint>
#include <map>
#include <string>

namespace savorywick {

// Sums what the owners of several shards know of their backlogs, and writes it as metrics.
//
// Example:
//   AdmissionMetrics sum;
//   sum.add(coordinator.admission());
//   sum.write(writer);
class AdmissionMetrics
{
public:
    // Adds the backlog and the counts of one shard.
    void add(const steps::JobAdmission &admission);
    void write(PrometheusWriter &out) const;

private:
    struct PoolSum
    {
        std::uint64_t backlogCoreMs = 0;
        std::uint64_t rateMilliCores = 0; // Of the shards in which it is known.
    };

    std::map<std::string, PoolSum> m_pools; // By service and class of processors.
    std::map<std::string, steps::QueueAdmissionCounts> m_queues;
};

} // namespace savorywick
