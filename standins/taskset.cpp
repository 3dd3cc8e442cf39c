#include "taskset.h"

#include <algorithm>

namespace savorywick::standin {

namespace {

const char *stateName(TaskState state)
{
    switch (state) {
    case TaskState::Running:
        return "running";
    case TaskState::Finished:
        return "finished";
    case TaskState::Failed:
        return "failed";
    }
    return "";
}

std::string attemptName(const AttemptId &id)
{
    return id.task + "/" + std::to_string(id.attempt);
}

std::string resultOf(const Task &task)
{
    switch (task.state) {
    case TaskState::Running:
        return "";
    case TaskState::Finished:
        return "done:" + task.id.task + ":" + std::to_string(task.id.attempt);
    case TaskState::Failed:
        return "failed:" + task.id.task + ":" + std::to_string(task.id.attempt);
    }
    return "";
}

Json::Value intervalJson(const Interval &interval)
{
    Json::Value value;
    value["task"] = interval.id.task;
    value["attempt"] = Json::Int64{interval.id.attempt};
    value["fromMs"] = Json::Int64{interval.fromMs};
    value["toMs"] = Json::Int64{interval.toMs};
    return value;
}

} // namespace

bool fits(const Sizes &used, const Sizes &more, const Sizes &whole)
{
    return used.cores + more.cores <= whole.cores && used.memoryMb + more.memoryMb <= whole.memoryMb
        && used.accelerators + more.accelerators <= whole.accelerators;
}

AttemptId attemptOf(const Json::Value &body)
{
    return AttemptId{body["task"].asString(), body["attempt"].asInt64()};
}

Json::Value taskJson(const Task &task)
{
    Json::Value value;
    value["task"] = task.id.task;
    value["attempt"] = Json::Int64{task.id.attempt};
    value["state"] = stateName(task.state);
    value["progressMs"] = Json::Int64(task.progressMs);
    value["result"] = resultOf(task);
    value["cores"] = task.sizes.cores;
    value["memoryMb"] = task.sizes.memoryMb;
    return value;
}

std::string checkpointOf(const Task &task)
{
    return "checkpoint:" + task.id.task + ":" + std::to_string(std::int64_t(task.progressMs));
}

double progressOf(const std::string &checkpoint)
{
    const auto it = checkpoint.rfind(':');
    return it == std::string::npos ? 0 : std::stod(checkpoint.substr(it + 1));
}

void TaskSet::advance(std::int64_t nowMs)
{
    const double elapsedMs = double(nowMs - m_advancedMs);
    m_advancedMs = nowMs;
    for (auto &[id, task] : m_tasks) {
        if (task.state != TaskState::Running) {
            continue;
        }
        const double ranMs = std::min(elapsedMs, double(nowMs - task.startedMs));
        task.progressMs += ranMs * task.percent / 100;
        if (task.progressMs >= double(task.durationMs)) {
            task.progressMs = double(task.durationMs);
            end(task, task.failing ? TaskState::Failed : TaskState::Finished, nowMs);
        }
    }
}

void TaskSet::end(Task &task, TaskState state, std::int64_t nowMs)
{
    task.state = state;
    m_intervals.push_back(Interval{task.id, task.startedMs, nowMs});
}

const Task &TaskSet::add(Task task, bool failAtOnce)
{
    const AttemptId id = task.id;
    ++m_starts[id];
    m_highest[id.task] = id.attempt;
    Task &added = m_tasks[id] = std::move(task);
    m_maxConcurrentSameTask = std::max(m_maxConcurrentSameTask, runningOf(id.task));
    if (failAtOnce) {
        end(added, TaskState::Failed, added.startedMs);
    }
    return added;
}

int TaskSet::runningOf(const std::string &task) const
{
    return int(std::count_if(m_tasks.begin(), m_tasks.end(), [&task](const auto &it) {
        return it.first.task == task && it.second.state == TaskState::Running;
    }));
}

const Task *TaskSet::find(const AttemptId &id) const
{
    const auto it = m_tasks.find(id);
    return it == m_tasks.end() ? nullptr : &it->second;
}

bool TaskSet::isStale(const AttemptId &id) const
{
    const auto it = m_highest.find(id.task);
    return it != m_highest.end() && id.attempt <= it->second;
}

void TaskSet::stop(const AttemptId &id, std::int64_t nowMs)
{
    auto &highest = m_highest.try_emplace(id.task, id.attempt).first->second;
    highest = std::max(highest, id.attempt);
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end()) {
        return;
    }
    if (it->second.state == TaskState::Running) {
        end(it->second, TaskState::Failed, nowMs);
    }
    m_tasks.erase(it);
}

void TaskSet::killAll()
{
    std::vector<AttemptId> running;
    for (const auto &[id, task] : m_tasks) {
        if (task.state == TaskState::Running) {
            running.push_back(id);
        }
    }
    for (const auto &id : running) {
        stop(id, m_advancedMs);
    }
}

bool TaskSet::throttle(const AttemptId &id, int percent)
{
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end()) {
        return false;
    }
    it->second.percent = percent;
    return true;
}

Sizes TaskSet::used() const
{
    Sizes used;
    for (const auto &[id, task] : m_tasks) {
        if (task.state == TaskState::Running) {
            used.cores += task.sizes.cores;
            used.memoryMb += task.sizes.memoryMb;
            used.accelerators += task.sizes.accelerators;
        }
    }
    return used;
}

Json::Value TaskSet::list() const
{
    Json::Value value{Json::arrayValue};
    for (const auto &[id, task] : m_tasks) {
        value.append(taskJson(task));
    }
    return value;
}

Json::Value TaskSet::stats() const
{
    Json::Value value;
    value["starts"] = Json::Value{Json::objectValue};
    for (const auto &[id, n] : m_starts) {
        value["starts"][attemptName(id)] = n;
    }
    value["running"] = Json::Value{Json::arrayValue};
    value["intervals"] = Json::Value{Json::arrayValue};
    for (const auto &it : m_intervals) {
        value["intervals"].append(intervalJson(it));
    }
    for (const auto &[id, task] : m_tasks) {
        if (task.state == TaskState::Running) {
            value["running"].append(attemptName(id));
            value["intervals"].append(intervalJson(Interval{id, task.startedMs, m_advancedMs}));
        }
    }
    value["maxConcurrentSameTask"] = m_maxConcurrentSameTask;
    return value;
}

} // namespace savorywick::standin
