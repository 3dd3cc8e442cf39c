#include "taskset.h"

#include <algorithm>

namespace savorywick::standin {

namespace {

std::string attemptName(const Task &task)
{
    return task.id + "/" + std::to_string(task.attempt);
}

Json::Value intervalJson(const Task &task, std::int64_t toMs)
{
    return jsonObject(
        {{"task", task.id}, {"attempt", task.attempt}, {"fromMs", task.startedMs}, {"toMs", toMs}});
}

} // namespace

Json::Value Task::toJson() const
{
    const std::string label = state == "finished" ? "done" : state;
    const std::string result = isRunning() ? "" : label + ":" + id + ":" + std::to_string(attempt);
    return jsonObject({{"task", id},
                       {"attempt", attempt},
                       {"state", state},
                       {"progressMs", std::int64_t(progressMs)},
                       {"result", result},
                       {"cores", resources.cores},
                       {"memoryMb", resources.memoryMb}});
}

std::string Task::checkpoint() const
{
    return "checkpoint:" + id + ":" + std::to_string(std::int64_t(progressMs));
}

double checkpointProgressMs(const std::string &checkpoint)
{
    const auto it = checkpoint.rfind(':');
    return it == std::string::npos ? 0 : std::stod(checkpoint.substr(it + 1));
}

void TaskSet::advance(std::int64_t nowMs)
{
    const std::int64_t previousMs = m_lastAdvanceMs;
    m_lastAdvanceMs = nowMs;
    for (Task &it : m_tasks) {
        if (!it.isRunning())
            continue;
        it.progressMs += double(nowMs - std::max(previousMs, it.startedMs)) * it.speedPercent / 100;
        if (it.progressMs >= double(it.durationMs))
            finish(it, it.finalState);
    }
}

void TaskSet::finish(Task &task, const std::string &state)
{
    task.state = state;
    m_endedIntervals.append(intervalJson(task, m_lastAdvanceMs));
}

const Task &TaskSet::add(const Task &task)
{
    m_starts[attemptName(task)] = m_starts[attemptName(task)].asInt() + 1;
    m_latestAttempts[task.id] = task.attempt;
    m_tasks.push_back(task);
    const auto same = std::count_if(m_tasks.begin(), m_tasks.end(), [&task](const Task &it) {
        return it.id == task.id && it.isRunning();
    });
    m_maxConcurrentSameTask = std::max(m_maxConcurrentSameTask, int(same));
    return m_tasks.back();
}

Task *TaskSet::find(const std::string &task, std::int64_t attempt)
{
    const auto it = std::find_if(m_tasks.begin(), m_tasks.end(), [&](const Task &one) {
        return one.id == task && one.attempt == attempt;
    });
    return it == m_tasks.end() ? nullptr : &*it;
}

bool TaskSet::isStale(const std::string &task, std::int64_t attempt) const
{
    const auto it = m_latestAttempts.find(task);
    return it != m_latestAttempts.end() && attempt <= it->second;
}

void TaskSet::stop(const std::string &task, std::int64_t attempt)
{
    auto &highest = m_latestAttempts.try_emplace(task, attempt).first->second;
    highest = std::max(highest, attempt);
    Task *found = find(task, attempt);
    if (found == nullptr)
        return;
    if (found->isRunning())
        finish(*found, "stopped");
    m_tasks.erase(m_tasks.begin() + (found - m_tasks.data()));
}

void TaskSet::stopAll()
{
    for (Task &it : m_tasks) {
        if (it.isRunning())
            finish(it, "stopped");
    }
    std::erase_if(m_tasks, [](const Task &it) { return it.state == "stopped"; });
}

Resources TaskSet::used() const
{
    Resources used;
    for (const Task &it : m_tasks) {
        if (!it.isRunning())
            continue;
        used.cores += it.resources.cores;
        used.memoryMb += it.resources.memoryMb;
        used.accelerators += it.resources.accelerators;
    }
    return used;
}

bool TaskSet::fits(const Resources &requested, const Resources &capacity) const
{
    const Resources inUse = used();
    return inUse.cores + requested.cores <= capacity.cores
        && inUse.memoryMb + requested.memoryMb <= capacity.memoryMb
        && inUse.accelerators + requested.accelerators <= capacity.accelerators;
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
    Json::Value intervals = m_endedIntervals;
    for (const Task &it : m_tasks) {
        if (!it.isRunning())
            continue;
        running.append(attemptName(it));
        intervals.append(intervalJson(it, m_lastAdvanceMs));
    }
    return jsonObject({{"starts", m_starts},
                       {"running", running},
                       {"intervals", intervals},
                       {"maxConcurrentSameTask", m_maxConcurrentSameTask}});
}

} // namespace savorywick::standin
