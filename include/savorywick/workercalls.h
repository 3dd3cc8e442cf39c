#pragma once

#include "savorywick/clock.h"
#include "savorywick/resources.h"

#include <string>
#include <variant>
#include <vector>

// The calls that the owner of a shard makes to workers, and the workers' replies, as plain data.
namespace savorywick {

// Grants or renews a worker's lease. Report the outcome to JobScheduler::handleLeaseReply() or
// handleLeaseFailure().
struct RenewLease
{
    std::string worker;
    // The incarnation that the lease is for; empty if it is not known yet. A worker with another
    // incarnation grants itself nothing and replies with its own.
    std::string incarnation;
    Millis term;
};

// Starts an attempt of a run. Report the outcome to JobScheduler::handleStartReply().
struct StartTask
{
    std::string job;
    int attempt = 0;
    std::string worker;
    std::string incarnation; // A worker with another incarnation refuses the call.
    Resources demand;
    Millis expectedDuration; // The declared run time.
    std::string checkpoint; // The checkpoint to resume from; empty to start from the beginning.
    std::string payload;
};

// Stops an attempt and makes the worker refuse to start it later. Report the outcome to
// JobScheduler::handleStopReply().
struct StopTask
{
    std::string job;
    int attempt = 0;
    std::string worker;
};

// Requests a checkpoint of a running attempt. Report the outcome to
// JobScheduler::handleCheckpointReply().
struct CheckpointTask
{
    std::string job;
    int attempt = 0;
    std::string worker;
};

// Limits a running attempt to `percent` of its full speed. The reply is ignored.
struct ThrottleTask
{
    std::string job;
    int attempt = 0;
    std::string worker;
    int percent = 100;
};

// A call that the owner of a shard has decided to make to a worker.
using WorkerCall = std::variant<RenewLease, StartTask, StopTask, CheckpointTask, ThrottleTask>;

// Returns true if and only if the call may be sent only after the journal records that were
// appended before it are durable. A lease renewal need not wait, since no record can contradict
// it; it is sent also while the store is slow, so that running tasks keep their leases.
inline bool waitsForCommit(const WorkerCall &effect)
{
    return !std::holds_alternative<RenewLease>(effect);
}

enum class TaskState { Running, Finished, Failed };

// The state of one attempt as its worker reports it.
struct TaskReport
{
    std::string job;
    int attempt = 0;
    TaskState state = TaskState::Running;
    Millis progress; // The run time completed so far.
    std::string result; // The result of a finished attempt, or the cause of a failed one.
    Resources usage; // Measured earlier than the rest of the report, so it may be out of date.
};

// A worker's reply to a lease renewal.
struct LeaseReply
{
    std::string incarnation; // Changes when the worker restarts and when its lease lapses.
    std::vector<TaskReport> tasks;
    Resources usage; // Of the whole host; it may be out of date.
    Millis urgentP99; // Latency of urgent requests on the host; it may be out of date.
};

// The outcome of a StartTask call.
enum class StartOutcome {
    Running,
    Finished, // The attempt had been started before and has finished; `text` is its result.
    Failed, // The attempt failed; `text` is the cause.
    NoRoom, // The worker lacks free resources for the attempt.
    NoLease, // The worker holds no valid lease.
    StaleEpoch, // The worker has seen a later owner of the shard.
    StaleAttempt, // The attempt was stopped before, or a later one was started.
    WrongIncarnation, // The worker has restarted since the attempt was placed.
    Unknown, // There was no answer, or the answer does not tell whether the attempt was started.
};

struct StartReply
{
    StartOutcome outcome = StartOutcome::Unknown;
    std::string text; // The result or the cause, see StartOutcome; empty otherwise.
};

} // namespace savorywick
