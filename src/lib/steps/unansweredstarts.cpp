#include "savorywick/steps/unansweredstarts.h"

#include <algorithm>

namespace savorywick::steps {

void UnansweredStarts::noteUnanswered(const TaskRef &task, const std::string &worker,
                                      Instant sentAt, Instant waitsUntil)
{
    m_starts[task] = {worker, sentAt + m_maxExecutionDelay, sentAt, waitsUntil};
    schedule(task);
}

void UnansweredStarts::notePlaced(const TaskRef &task)
{
    const auto it = m_starts.find(task);
    if (it == m_starts.end())
        return;
    it->second.hasRun = true;
    it->second.retried = true;
    schedule(task);
}

void UnansweredStarts::noteWithdrawn(const TaskRef &task)
{
    const auto it = m_starts.find(task);
    if (it == m_starts.end())
        return;
    it->second.hasRun = false;
    schedule(task);
}

void UnansweredStarts::noteLost(const TaskRef &task, Instant seenAt, Instant waitsUntil)
{
    const auto it = m_starts.find(task);
    if (it == m_starts.end())
        return;
    it->second.hasRun = false;
    it->second.waitsSince = seenAt;
    it->second.waitsUntil = waitsUntil;
    schedule(task);
}

void UnansweredStarts::settle(const TaskRef &task)
{
    m_starts.erase(task);
    m_releases.cancel(task);
}

std::vector<WaitingTask> UnansweredStarts::settleWorker(std::string_view worker)
{
    std::vector<WaitingTask> tasks;
    for (const auto &[task, start] : m_starts) {
        if (start.worker == worker)
            tasks.push_back({task, start.worker, start.waitsSince});
    }
    for (const WaitingTask &it : tasks)
        settle(it.task);
    return tasks;
}

void UnansweredStarts::forgetJob(const std::string &job)
{
    for (auto it = m_starts.lower_bound({job, 0, 0, 0});
         it != m_starts.end() && it->first.job == job;) {
        m_releases.cancel(it->first);
        it = m_starts.erase(it);
    }
}

std::vector<WaitingTask> UnansweredStarts::takeReleased(Instant now)
{
    std::vector<WaitingTask> released;
    for (const TaskRef &it : m_releases.takeDue(now)) {
        const Start &start = m_starts.at(it);
        released.push_back({it, start.worker, start.waitsSince});
        m_starts.erase(it);
    }
    return released;
}

const std::string *UnansweredStarts::workerFor(const TaskRef &task) const
{
    const auto it = m_starts.find(task);
    return it == m_starts.end() ? nullptr : &it->second.worker;
}

bool UnansweredStarts::isFirstRetry(const TaskRef &task) const
{
    const auto it = m_starts.find(task);
    return it != m_starts.end() && !it->second.retried;
}

std::vector<WaitingTask> UnansweredStarts::waiting() const
{
    std::vector<WaitingTask> tasks;
    for (const auto &[task, start] : m_starts) {
        if (!start.hasRun)
            tasks.push_back({task, start.worker, start.waitsSince});
    }
    return tasks;
}

bool UnansweredStarts::hasWaiting() const
{
    return std::any_of(m_starts.begin(), m_starts.end(),
                       [](const auto &it) { return !it.second.hasRun; });
}

bool UnansweredStarts::concerns(const std::string &job) const
{
    const auto it = m_starts.lower_bound({job, 0, 0, 0});
    return it != m_starts.end() && it->first.job == job;
}

// A task that has a run does not wait, whatever became of its earlier wait.
void UnansweredStarts::schedule(const TaskRef &task)
{
    const Start &start = m_starts.at(task);
    m_releases.schedule(task,
                        start.hasRun ? start.voidAt : std::min(start.voidAt, start.waitsUntil));
}

} // namespace savorywick::steps
