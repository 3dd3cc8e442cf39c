#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace savorywick::standin {

struct Sizes
{
    int cores = 0;
    int memoryMb = 0;
    int accelerators = 0;
};

// Returns whether `more` fits beside `used` into `whole`.
bool fits(const Sizes &used, const Sizes &more, const Sizes &whole);

struct AttemptId
{
    std::string task;
    std::int64_t attempt = 0;

    bool operator<(const AttemptId &other) const
    {
        return std::tie(task, attempt) < std::tie(other.task, other.attempt);
    }
};

enum class TaskState { Running, Finished, Failed };

struct Task
{
    AttemptId id;
    Sizes sizes;
    TaskState state = TaskState::Running;
    std::int64_t durationMs = 0;
    double progressMs = 0;
    int percent = 100; // Of full speed.
    bool failing = false; // Ends as failed instead of finished.
    std::int64_t startedMs = 0;
};

// A span of the machine's monotonic time in which an attempt ran.
struct Interval
{
    AttemptId id;
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;
};

AttemptId attemptOf(const Json::Value &body);
Json::Value taskJson(const Task &task);
// Returns a reference that progressOf() reads back.
std::string checkpointOf(const Task &task);
double progressOf(const std::string &checkpoint);

// The tasks of one worker, and what ever ran there. Not thread-safe.
class TaskSet
{
public:
    // Moves every running task on by the time since the last call.
    void advance(std::int64_t nowMs);

    // Adds a task, which must not be stale; it has failed already if `failAtOnce`.
    const Task &add(Task task, bool failAtOnce);
    // Returns a running or ended attempt, or null.
    const Task *find(const AttemptId &id) const;
    // Returns whether this attempt, or a later one of the task, was stopped or has begun.
    bool isStale(const AttemptId &id) const;
    // Forgets the attempt and remembers never to start it, or an earlier one, again.
    void stop(const AttemptId &id, std::int64_t nowMs);
    // Stops every running task; each counts as run until the last advance().
    void killAll();
    // Returns whether the attempt was there to throttle.
    bool throttle(const AttemptId &id, int percent);

    Sizes used() const;
    Json::Value list() const;
    Json::Value stats() const;

private:
    void end(Task &task, TaskState state, std::int64_t nowMs);
    int runningOf(const std::string &task) const;

    std::map<AttemptId, Task> m_tasks;
    std::map<std::string, std::int64_t> m_highest; // By task: the last attempt begun or stopped.
    std::map<AttemptId, int> m_starts;
    std::vector<Interval> m_intervals; // Of attempts that run no more.
    int m_maxConcurrentSameTask = 0;
    std::int64_t m_advancedMs = 0;
};

} // namespace savorywick::standin
