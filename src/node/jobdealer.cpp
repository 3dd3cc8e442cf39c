#include "node/jobdealer.h"

#include <numeric>
#include <optional>
#include <utility>

namespace savorywick {

namespace {

// Returns the processors that the job's long-running tasks demand, in thousandths of a core.
std::int64_t longRunningDemand(const steps::JobSpec &spec)
{
    std::int64_t milliCores = 0;
    for (const steps::StepSpec &it : spec.steps) {
        if (it.longRunning)
            milliCores += std::int64_t{it.taskCount} * it.demand.milliCores;
    }
    return milliCores;
}

} // namespace

void JobDealer::setCapacities(std::vector<std::int64_t> milliCores)
{
    m_capacities = std::move(milliCores);
    m_dealt.resize(m_capacities.size());
}

int JobDealer::choose(const steps::JobSpec &spec)
{
    std::vector<int> steps(spec.steps.size());
    std::iota(steps.begin(), steps.end(), 0);
    const bool knowsFit = m_fit && m_ownShard < m_fit->shardCount();
    const auto better = knowsFit ? m_fit->betterShard(spec, steps, m_ownShard) : std::nullopt;
    const int first = better.value_or(m_ownShard);
    const std::int64_t demand = longRunningDemand(spec);
    if (demand == 0 || m_ownShard >= static_cast<int>(m_capacities.size()))
        return first;
    const auto suits = [&](int shard) { return !knowsFit || m_fit->suits(spec, steps, shard); };
    const bool mayChoose = suits(first); // Else it is the only one that suits the job so well.
    int best = first;
    const auto fullness = [&](int shard) {
        return static_cast<double>(m_dealt[shard] + demand)
            / static_cast<double>(m_capacities[shard]);
    };
    for (int shard = 0; shard < static_cast<int>(m_capacities.size()); ++shard) {
        if (mayChoose && m_capacities[shard] > 0 && suits(shard)
            && (m_capacities[best] == 0 || fullness(shard) < fullness(best)))
            best = shard;
    }
    m_dealt[best] += demand;
    return best;
}

} // namespace savorywick
