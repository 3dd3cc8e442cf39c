#include "savorywick/steps/earlycancellations.h"

namespace savorywick::steps {

void EarlyCancellations::add(const std::string &job, const std::string &queue, std::int64_t wallMs)
{
    if (!m_byJob.try_emplace(job, Cancellation{queue, wallMs}).second)
        return;
    ++m_counts[queue];
    m_byTime.emplace(wallMs, job);
}

void EarlyCancellations::remove(std::string_view job)
{
    const auto it = m_byJob.find(job);
    if (it == m_byJob.end())
        return;
    const auto count = m_counts.find(it->second.queue);
    if (--count->second == 0)
        m_counts.erase(count);
    m_byTime.erase({it->second.wallMs, it->first});
    m_byJob.erase(it);
}

std::size_t EarlyCancellations::countOf(std::string_view queue) const
{
    const auto it = m_counts.find(queue);
    return it == m_counts.end() ? 0 : it->second;
}

std::vector<std::string> EarlyCancellations::expired(Millis retention, std::int64_t wallMs) const
{
    std::vector<std::string> jobs;
    for (const auto &[cancelledMs, job] : m_byTime) {
        if (cancelledMs + retention.count() > wallMs)
            break;
        jobs.push_back(job);
    }
    return jobs;
}

} // namespace savorywick::steps
