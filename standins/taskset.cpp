#include "taskset.h"

#include <algorithm>

namespace savorywick::standin {

namespace {

std::string nameOf(const Task &task)
{
    return task.task + "/" + std::to_string(task.attempt);
}

Json::Value intervalOf(const Task &task, std::int64_t toMs)
{
    return object({{"task", task.task},
                   {"attempt", task.attempt},
                   {"fromMs", task.startedMs},
                   {"toMs", toMs}});
}

} // namespace

Json::Value Task::toJson() const
{
    const std::string word = state == "finished" ? "done" : state;
    const std::string result = isRunning() ? "" : word + ":" + task + ":" + std::to_string(attempt);
    return object({{"task", task},
                   {"attempt", attempt},
                   {"state", state},
                   {"progressMs", std::int64_t(progressMs)},
                   {"result", result},
                   {"cores", sizes.cores},
                   {"memoryMb", sizes.memoryMb}});
}

std::string Task::checkpoint() const
{
    return "checkpoint:" + task + ":" + std::to_string(std::int64_t(progressMs));
}

double progressOf(const std::string &checkpoint)
{
    const auto it = checkpoint.rfind(':');
    return it == std::string::npos ? 0 : std::stod(checkpoint.substr(it + 1));
}

void TaskSet::advance(std::int64_t nowMs)
{
    const std::int64_t previousMs = m_advancedMs;
    m_advancedMs = nowMs;
    for (Task &it : m_tasks) {
        if (!it.isRunning())
            continue;
        it.progressMs += double(nowMs - std::max(previousMs, it.startedMs)) * it.percent / 100;
        if (it.progressMs >= double(it.durationMs))
            end(it, it.end);
    }
}

void TaskSet::end(Task &task, const std::string &state)
{
    task.state = state;
    m_intervals.append(intervalOf(task, m_advancedMs));
}

const Task &TaskSet::add(const Task &task)
{
    m_starts[nameOf(task)] = m_starts[nameOf(task)].asInt() + 1;
    m_highest[task.task] = task.attempt;
    m_tasks.push_back(task);
    const auto same = std::count_if(m_tasks.begin(), m_tasks.end(), [&task](const Task &it) {
        return it.task == task.task && it.isRunning();
    });
    m_maxConcurrentSameTask = std::max(m_maxConcurrentSameTask, int(same));
    return m_tasks.back();
}

Task *TaskSet::find(const std::string &task, std::int64_t attempt)
{
    const auto it = std::find_if(m_tasks.begin(), m_tasks.end(), [&](const Task &one) {
        return one.task == task && one.attempt == attempt;
    });
    return it == m_tasks.end() ? nullptr : &*it;
}

bool TaskSet::isStale(const std::string &task, std::int64_t attempt) const
{
    const auto it = m_highest.find(task);
    return it != m_highest.end() && attempt <= it->second;
}

void TaskSet::stop(const std::string &task, std::int64_t attempt)
{
    auto &highest = m_highest.try_emplace(task, attempt).first->second;
    highest = std::max(highest, attempt);
    Task *found = find(task, attempt);
    if (found == nullptr)
        return;
    if (found->isRunning())
        end(*found, "stopped");
    m_tasks.erase(m_tasks.begin() + (found - m_tasks.data()));
}

void TaskSet::killAll()
{
    for (Task &it : m_tasks) {
        if (it.isRunning())
            end(it, "stopped");
    }
    std::erase_if(m_tasks, [](const Task &it) { return it.state == "stopped"; });
}

Sizes TaskSet::used() const
{
    Sizes used;
    for (const Task &it : m_tasks) {
        if (!it.isRunning())
            continue;
        used.cores += it.sizes.cores;
        used.memoryMb += it.sizes.memoryMb;
        used.accelerators += it.sizes.accelerators;
    }
    return used;
}

bool TaskSet::fits(const Sizes &more, const Sizes &whole) const
{
    const Sizes now = used();
    return now.cores + more.cores <= whole.cores && now.memoryMb + more.memoryMb <= whole.memoryMb
        && now.accelerators + more.accelerators <= whole.accelerators;
}

Json::Value TaskSet::list() const
{
    Json::Value value{Json::arrayValue};
    for (const Task &it : m_tasks)
        value.append(it.toJson());
    return value;
}

Json::Value TaskSet::stats() const
{
    Json::Value running{Json::arrayValue};
    Json::Value intervals = m_intervals;
    for (const Task &it : m_tasks) {
        if (!it.isRunning())
            continue;
        running.append(nameOf(it));
        intervals.append(intervalOf(it, m_advancedMs));
    }
    return object({{"starts", m_starts},
                   {"running", running},
                   {"intervals", intervals},
                   {"maxConcurrentSameTask", m_maxConcurrentSameTask}});
}

} // namespace savorywick::standin
