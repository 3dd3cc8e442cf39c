#include "node/admissionmetrics.h"

#include <limits>

namespace savorywick {

void AdmissionMetrics::add(const steps::JobAdmission &admission)
{
    constexpr std::int64_t milliPerCore = 1'000;
    constexpr steps::BacklogRank last{std::numeric_limits<int>::max(),
                                      std::numeric_limits<std::int64_t>::max()};
    for (const steps::ProcessorPool &it : admission.backlog().pools()) {
        const steps::PoolBacklog backlog = admission.backlog().backlogBefore(it, last);
        PoolSum &sum = m_pools[it.service + "/" + std::string(toString(it.processors))];
        sum.backlogCoreMs += static_cast<std::uint64_t>(backlog.work / milliPerCore);
        if (backlog.hasRate)
            sum.rateMilliCores += static_cast<std::uint64_t>(backlog.rate);
    }
    for (const auto &[queue, counts] : admission.counts()) {
        m_queues[queue].admitted += counts.admitted;
        m_queues[queue].refused += counts.refused;
    }
}

// All samples of a metric follow each other, as the format demands.
void AdmissionMetrics::write(PrometheusWriter &out) const
{
    for (const auto &[pool, sum] : m_pools)
        out.writeGauge("backlog_core_ms", "pool", pool, sum.backlogCoreMs);
    for (const auto &[pool, sum] : m_pools)
        out.writeGauge("drain_rate_millicores", "pool", pool, sum.rateMilliCores);
    for (const auto &[queue, counts] : m_queues)
        out.writeCounter("jobs_admitted_total", "queue", queue, counts.admitted);
    for (const auto &[queue, counts] : m_queues)
        out.writeCounter("jobs_refused_total", "queue", queue, counts.refused);
}

} // namespace savorywick
