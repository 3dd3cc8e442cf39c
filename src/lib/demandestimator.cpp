#include "savorywick/demandestimator.h"

#include <algorithm>

namespace savorywick {

namespace {

constexpr std::int64_t maxMemoryMb = 1 << 30; // Keeps the estimate within the range of int.

Resources elementwiseMax(const Resources &a, const Resources &b)
{
    return {std::max(a.cores, b.cores), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators)};
}

} // namespace

DemandEstimator::DemandEstimator(const DemandEstimatorOptions &options)
    : m_options(options)
{
    m_options.maxClasses = std::max<std::size_t>(m_options.maxClasses, 1);
    m_options.windowSamples = std::max(m_options.windowSamples, 1);
}

std::string DemandEstimator::keyOf(std::string_view service, std::string_view runClass)
{
    std::string key(service);
    key.append(1, '\n').append(runClass);
    return key;
}

DemandEstimator::ClassUsage &DemandEstimator::findOrAddClass(std::string key)
{
    const auto it = m_classes.find(key);
    if (it != m_classes.end()) {
        m_recentKeys.splice(m_recentKeys.begin(), m_recentKeys, it->second.recency);
        return it->second;
    }
    if (m_classes.size() >= m_options.maxClasses) {
        m_classes.erase(m_recentKeys.back());
        m_recentKeys.pop_back();
    }
    m_recentKeys.push_front(key);
    ClassUsage &created = m_classes[std::move(key)];
    created.recency = m_recentKeys.begin();
    return created;
}

void DemandEstimator::observe(std::string_view service, std::string_view runClass,
                              const Resources &used)
{
    ClassUsage &usage = findOrAddClass(keyOf(service, runClass));
    usage.peak = elementwiseMax(usage.peak, used);
    if (++usage.samples < m_options.windowSamples)
        return;
    usage.previousPeak = usage.peak;
    usage.peak = {};
    usage.samples = 0;
}

Resources DemandEstimator::estimate(std::string_view service, std::string_view runClass,
                                    const Resources &declared) const
{
    const auto it = m_classes.find(keyOf(service, runClass));
    if (it == m_classes.end())
        return declared;
    Resources observed = elementwiseMax(it->second.previousPeak, it->second.peak);
    const std::int64_t memoryMb =
        std::int64_t{observed.memoryMb} * (100 + m_options.memoryMarginPercent) / 100;
    observed.memoryMb = static_cast<int>(std::min<std::int64_t>(memoryMb, maxMemoryMb));
    return elementwiseMax(declared, observed);
}

} // namespace savorywick
