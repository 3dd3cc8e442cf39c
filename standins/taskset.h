#pragma once

#include "json.h"

#include <cstdint>
#include <map>
#include <vector>

namespace savorywick::standin {

// An amount of a worker's resources.
struct Resources
{
    int cores = 0;
    int memoryMb = 0;
    int accelerators = 0;
};

// One attempt at a task. It does no work: its progress is elapsed time.
struct Task
{
    std::string id;
    std::int64_t attempt = 0;
    Resources resources;
    std::string state = "running";
    std::string finalState = "finished"; // The state when the progress reaches `durationMs`.
    std::int64_t durationMs = 0;
    double progressMs = 0;
    int speedPercent = 100; // The rate of progress, lower if the task is throttled.
    std::int64_t startedMs = 0;

    // Returns the attempt as the worker reports it to the owner of its shard.
    Json::Value toJson() const;
    // Returns a checkpoint whose progress checkpointProgressMs() returns.
    std::string checkpoint() const;
    bool isRunning() const { return state == "running"; }
};

// Returns the progress in `checkpoint`, or 0 if it holds none.
double checkpointProgressMs(const std::string &checkpoint);

// The tasks of one worker and the intervals in which all its attempts ran. Times are milliseconds
// of the machine's monotonic clock. Not thread-safe.
class TaskSet
{
public:
    // Advances every running task by the time since the last call and ends the complete ones.
    void advance(std::int64_t nowMs);
    // Adds a running attempt and returns it.
    const Task &add(const Task &task);
    // Returns the running or ended attempt, or null if it is unknown.
    Task *find(const std::string &task, std::int64_t attempt);
    // Returns whether this attempt or a later one of the task has been started or stopped.
    bool isStale(const std::string &task, std::int64_t attempt) const;
    // Stops and removes the attempt, and marks it and all earlier ones as stale.
    void stop(const std::string &task, std::int64_t attempt);
    // Stops every running task. Its interval ends at the time of the last advance().
    void stopAll();

    // Returns whether `requested` fits into `capacity` next to the running tasks.
    bool fits(const Resources &requested, const Resources &capacity) const;
    // Returns the resources of all running tasks.
    Resources used() const;
    // Returns the running and ended attempts as a JSON array.
    Json::Value list() const;
    // Returns the members that the task set adds to /stats.
    Json::Value stats() const;

private:
    void finish(Task &task, const std::string &state);

    std::vector<Task> m_tasks;
    // By task id: the highest attempt number that was started or stopped.
    std::map<std::string, std::int64_t> m_latestAttempts;
    Json::Value m_starts{Json::objectValue};
    Json::Value m_endedIntervals{Json::arrayValue}; // Of attempts that have ended.
    int m_maxConcurrentSameTask = 0;
    std::int64_t m_lastAdvanceMs = 0;
};

} // namespace savorywick::standin
