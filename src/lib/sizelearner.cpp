#include "savorywick/sizelearner.h"

#include <algorithm>

namespace savorywick {

namespace {

Resources larger(const Resources &a, const Resources &b)
{
    return {std::max(a.cores, b.cores), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators)};
}

} // namespace

SizeLearner::SizeLearner(const SizeLearnerOptions &options)
    : m_options(options)
{
    m_options.maxClasses = std::max<std::size_t>(m_options.maxClasses, 1);
    m_options.windowSamples = std::max(m_options.windowSamples, 1);
}

std::string SizeLearner::keyOf(std::string_view service, std::string_view runClass)
{
    std::string key(service);
    key.append(1, '\n').append(runClass);
    return key;
}

SizeLearner::Class &SizeLearner::classOf(std::string key)
{
    const auto it = m_classes.find(key);
    if (it != m_classes.end()) {
        m_uses.splice(m_uses.begin(), m_uses, it->second.use);
        return it->second;
    }
    if (m_classes.size() >= m_options.maxClasses) {
        m_classes.erase(m_uses.back());
        m_uses.pop_back();
    }
    m_uses.push_front(key);
    Class &created = m_classes[std::move(key)];
    created.use = m_uses.begin();
    return created;
}

void SizeLearner::observe(std::string_view service, std::string_view runClass,
                          const Resources &used)
{
    Class &c = classOf(keyOf(service, runClass));
    c.peak = larger(c.peak, used);
    if (++c.samples < m_options.windowSamples)
        return;
    c.previousPeak = c.peak;
    c.peak = {};
    c.samples = 0;
}

Resources SizeLearner::booking(std::string_view service, std::string_view runClass,
                               const Resources &declared) const
{
    const auto it = m_classes.find(keyOf(service, runClass));
    if (it == m_classes.end())
        return declared;
    Resources learned = larger(it->second.previousPeak, it->second.peak);
    const std::int64_t memory =
        std::int64_t{learned.memoryMb} * (100 + m_options.memoryMarginPercent) / 100;
    learned.memoryMb = static_cast<int>(std::min<std::int64_t>(memory, 1 << 30));
    return larger(declared, learned);
}

} // namespace savorywick
