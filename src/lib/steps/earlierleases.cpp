#include "savorywick/steps/earlierleases.h"

#include <algorithm>

namespace savorywick::steps {

std::optional<std::int64_t> EarlierLeases::storeTimeOf(Instant at) const
{
    return m_storeClock ? m_storeClock->latestAt(at) : std::nullopt;
}

std::optional<Instant> EarlierLeases::endOfRecorded(std::int64_t storeMs) const
{
    if (!m_end)
        return {};
    return m_end->at + Millis{storeMs - m_end->storeMs};
}

std::optional<Instant> EarlierLeases::endOf(std::optional<std::int64_t> recordedMs) const
{
    if (!m_end)
        return {};
    return endOfRecorded(std::min(m_end->storeMs, recordedMs.value_or(m_end->storeMs)));
}

std::optional<WorkerSilent> EarlierLeases::noteSilence(const std::string &worker,
                                                       std::optional<std::int64_t> recordedMs,
                                                       Instant now) const
{
    if (!m_end || recordedMs || now >= m_end->at)
        return {};
    return WorkerSilent{worker, m_end->storeMs};
}

WorkerHeard EarlierLeases::noteAnswer(const std::string &worker)
{
    ++m_withheld[worker];
    m_uncommitted.push_back({0, worker});
    return WorkerHeard{worker};
}

void EarlierLeases::recordsAppended(LogSequenceNumber lsn)
{
    for (auto it = m_uncommitted.rbegin(); it != m_uncommitted.rend() && it->lsn == 0; ++it)
        it->lsn = lsn;
}

void EarlierLeases::recordsDurable(LogSequenceNumber lsn)
{
    while (!m_uncommitted.empty() && m_uncommitted.front().lsn != 0
           && m_uncommitted.front().lsn <= lsn) {
        const auto it = m_withheld.find(m_uncommitted.front().worker);
        if (--it->second == 0)
            m_withheld.erase(it);
        m_uncommitted.pop_front();
    }
}

} // namespace savorywick::steps
