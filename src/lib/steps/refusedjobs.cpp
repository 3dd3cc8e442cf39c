#include "savorywick/steps/refusedjobs.h"

namespace savorywick::steps {

void RefusedJobs::add(const std::string &id, const RefusedJob &job)
{
    remove(id);
    if (m_jobs.size() >= m_maxJobs)
        remove(std::string(m_byRetry.begin()->second));
    const Entry &entry = m_jobs.emplace(id, Entry{job, false}).first->second;
    m_notDue.emplace(job.retryAt, id);
    m_byRetry.emplace(job.retryAt, id);
    account(entry, 1);
}

bool RefusedJobs::remove(const std::string &id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end())
        return false;
    account(it->second, -1);
    m_notDue.erase({it->second.job.retryAt, id});
    m_byRetry.erase({it->second.job.retryAt, id});
    m_jobs.erase(it);
    return true;
}

void RefusedJobs::advance(Instant now)
{
    while (!m_notDue.empty() && m_notDue.begin()->first <= now) {
        Entry &entry = m_jobs.at(m_notDue.begin()->second);
        account(entry, -1);
        entry.due = true;
        account(entry, 1);
        m_notDue.erase(m_notDue.begin());
    }
    while (!m_byRetry.empty() && m_byRetry.begin()->first + m_grace < now)
        remove(std::string(m_byRetry.begin()->second));
}

void RefusedJobs::account(const Entry &entry, int sign)
{
    for (const ProcessorClass processors : processorClasses) {
        const std::int64_t work = entry.job.work[static_cast<std::size_t>(processors)] * sign;
        if (work == 0)
            continue;
        Work &sum = m_work[{entry.job.service, processors}][entry.job.priority];
        sum.expected += work;
        sum.due += entry.due ? work : 0;
    }
}

RefusedJobs::Work RefusedJobs::workOf(const ProcessorPool &pool, int priority) const
{
    Work sum;
    const auto it = m_work.find(pool);
    if (it == m_work.end())
        return sum;
    for (const auto &[other, work] : it->second) {
        if (other > priority)
            break;
        sum.expected += work.expected;
        sum.due += work.due;
    }
    return sum;
}

std::int64_t RefusedJobs::expectedWork(const ProcessorPool &pool, int priority) const
{
    return workOf(pool, priority).expected;
}

std::int64_t RefusedJobs::dueWork(const ProcessorPool &pool, int priority) const
{
    return workOf(pool, priority).due;
}

} // namespace savorywick::steps
