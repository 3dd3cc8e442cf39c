#pragma once

#include "json.h"

#include <cstdint>
#include <map>
#include <vector>

namespace savorywick::standin {

struct Sizes
{
    int cores = 0;
    int memoryMb = 0;
    int accelerators = 0;
};

// One attempt at a task, which is a timer.
struct Task
{
    std::string task;
    std::int64_t attempt = 0;
    Sizes sizes;
    std::string state = "running";
    std::string end = "finished"; // The state after `durationMs`.
    std::int64_t durationMs = 0;
    double progressMs = 0;
    int percent = 100; // Of full speed.
    std::int64_t startedMs = 0;

    Json::Value toJson() const;
    // Returns a reference from which progressOf() reads the progress.
    std::string checkpoint() const;
    bool isRunning() const { return state == "running"; }
};

double progressOf(const std::string &checkpoint);

// The tasks of one worker, and what ever ran there. Times are the machine's monotonic
// milliseconds. Not thread-safe.
class TaskSet
{
public:
    // Moves every running task on by the time since the last call.
    void advance(std::int64_t nowMs);
    const Task &add(const Task &task);
    // Returns a running or ended attempt, or null.
    Task *find(const std::string &task, std::int64_t attempt);
    // Returns whether this attempt, or a later one of the task, has begun or was stopped.
    bool isStale(const std::string &task, std::int64_t attempt) const;
    // Forgets the attempt, and makes it and all earlier ones stale.
    void stop(const std::string &task, std::int64_t attempt);
    // Stops every running task; each counts as run until the last advance().
    void killAll();

    bool fits(const Sizes &more, const Sizes &whole) const;
    Sizes used() const;
    Json::Value list() const;
    Json::Value stats() const;

private:
    void end(Task &task, const std::string &state);

    std::vector<Task> m_tasks;
    std::map<std::string, std::int64_t> m_highest; // By task: the last attempt begun or stopped.
    Json::Value m_starts{Json::objectValue};
    Json::Value m_intervals{Json::arrayValue}; // Of attempts that run no more.
    int m_maxConcurrentSameTask = 0;
    std::int64_t m_advancedMs = 0;
};

} // namespace savorywick::standin
