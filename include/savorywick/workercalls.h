#pragma once

#include "savorywick/clock.h"
#include "savorywick/resources.h"

#include <string>
#include <variant>
#include <vector>

namespace savorywick {

// Grants or renews a worker's lease. Answered by JobBook::leaseReply() or leaseFailed().
struct RenewLease
{
    std::string worker;
    // The worker grants nothing if it has another one, but tells it. Empty if it is not known yet.
    std::string incarnation;
    Millis term;
};

// Starts an attempt. Answered by JobBook::startReply().
struct StartTask
{
    std::string job;
    int attempt = 0;
    std::string worker;
    std::string incarnation;
    Resources demand;
    Millis expected;
    std::string checkpoint; // Empty to start anew.
    std::string payload;
};

// Stops an attempt for good. Answered by JobBook::stopReply().
struct StopTask
{
    std::string job;
    int attempt = 0;
    std::string worker;
};

// Asks a running attempt for a checkpoint. Answered by JobBook::checkpointReply().
struct CheckpointTask
{
    std::string job;
    int attempt = 0;
    std::string worker;
};

// Slows a running attempt down to `percent` of its speed. Needs no answer.
struct ThrottleTask
{
    std::string job;
    int attempt = 0;
    std::string worker;
    int percent = 100;
};

// A call that the owner of a shard must make to a worker.
using Effect = std::variant<RenewLease, StartTask, StopTask, CheckpointTask, ThrottleTask>;

// Returns true if and only if the call must wait until the records appended before it are durable.
// A renewal promises nothing that a record could contradict, so it goes out also while the store is
// slow, and running tasks keep their leases.
inline bool waitsForCommit(const Effect &effect)
{
    return !std::holds_alternative<RenewLease>(effect);
}

enum class TaskState { Running, Finished, Failed };

// What a worker says of one attempt.
struct TaskReport
{
    std::string job;
    int attempt = 0;
    TaskState state = TaskState::Running;
    Millis progress;
    std::string result; // Of a finished attempt; the cause of a failed one.
    Resources usage; // Lagging.
};

// A worker's answer to a renewal.
struct LeaseReport
{
    std::string incarnation; // Changes when the worker restarts and when its lease lapses.
    std::vector<TaskReport> tasks;
    Resources usage; // Of the whole host, lagging.
    Millis urgentP99; // Latency of the urgent requests on this host, lagging.
};

enum class StartOutcome {
    Running,
    Finished, // The attempt had been started before and has finished; `text` is its result.
    Failed, // The attempt failed; `text` is the cause.
    NoRoom,
    NoLease,
    StaleEpoch, // The worker knows a later owner of the shard.
    StaleAttempt, // The attempt was stopped, or a later one was started.
    WrongIncarnation, // The worker has restarted since the attempt was placed.
    Unknown, // No answer, or an answer that says nothing.
};

struct StartReply
{
    StartOutcome outcome = StartOutcome::Unknown;
    std::string text;
};

} // namespace savorywick
