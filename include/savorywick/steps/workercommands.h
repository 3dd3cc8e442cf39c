#pragma once

#include "savorywick/steps/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace savorywick::steps {

// A worker as the platform lists it. The list lags behind the actual state of the workers.
struct WorkerInfo
{
    WorkerIncarnation incarnation;
    // The service whose jobs the worker runs.
    std::string service;
    // The IP address and port, such as "10.0.0.1:7101".
    std::string address;
    std::string availabilityZone;
    std::string rack;
    // The labels that `neededLabel` of a step is matched against.
    std::vector<std::string> labels;
    ResourceVector capacity;
    // A draining worker is going to leave and must be given no new runs.
    bool draining = false;
    // How long a draining worker stays at least.
    Millis minRemainingTime;

    bool operator==(const WorkerInfo &) const = default;
};

// A fencing token in the commands to a worker.
//
// It increases with each new owner of the shard and each time that earlier commands must become
// void. A worker rejects commands with a lower fence than the highest that it has seen.
using Fence = std::uint64_t;

// The recipient of a command, and the fence that the command carries.
struct CommandTarget
{
    WorkerIncarnation worker;
    std::string address;
    Fence fence = 0;
};

// Renews the lease of all runs on the worker, acknowledges ended runs and asks for a WorkerReport.
struct RenewLeaseCommand
{
    CommandTarget target;
    // The worker may forget ended runs up to this `endNumber`.
    std::int64_t ackedEndNumber = 0;
    // When the lease expires, on the worker's clock; absent if the lease is not to be renewed.
    std::optional<std::int64_t> leaseUntilClockMs;
    // How long the worker may wait for a run to end before it answers.
    Millis maxWait;
};

// Starts a run.
struct StartRunCommand
{
    CommandTarget target;
    TaskRef task;
    int run = 0;
    std::string payload;
    // The checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    // When the lease expires, on the worker's clock.
    std::int64_t leaseUntilClockMs = 0;
    // The longest time to wait for an answer, if it is shorter than usual.
    std::optional<Millis> answerTimeout = {};
};

// Stops a run.
struct StopRunCommand
{
    CommandTarget target;
    TaskRef task;
    int run = 0;
};

// Throttles a run to a percentage of its full speed.
struct ThrottleRunCommand
{
    CommandTarget target;
    TaskRef task;
    int run = 0;
    int speedPercent = 100;
};

using WorkerCommand =
    std::variant<RenewLeaseCommand, StartRunCommand, StopRunCommand, ThrottleRunCommand>;

// The outcome of sending a command. With any other than Done and Unknown, it had no effect.
enum class CommandOutcome {
    Done, // The worker carried out the command, now or when it first received it.
    NoRoom, // The worker has too little free capacity.
    TooLate, // The lease in the command had expired on arrival.
    StaleRun, // This run, or a later one of the task, has already ended on the worker.
    Fenced, // The worker has seen a higher fence.
    WrongIncarnation, // The worker has restarted.
    Rejected, // The worker refused for another reason.
    NotSent, // The command did not reach the worker.
    Unknown, // No answer came; the worker may still carry out the command, even seconds later.
};

// Returns the outcome's name for logs and metrics, such as "no-room".
std::string_view toString(CommandOutcome outcome);

// A worker's answer to a command other than a renewal.
struct CommandReply
{
    CommandOutcome outcome = CommandOutcome::Unknown;
    // The worker's clock when it answered.
    std::optional<std::int64_t> clockMs;
    // Without an answer: the worker's host closed or refused the connection.
    bool connectionClosed = false;
};

// A run that is executing on a worker.
struct RunningReport
{
    TaskRef task;
    int run = 0;
    // The latest checkpoint that the run saved; empty if there is none.
    std::string checkpoint;
    // How much of the work is done, in percent. A long-running task shows 100 once it serves.
    int progressPercent = 0;
    // The tail latency of a long-running task in milliseconds, or the processors that another task
    // uses, in thousandths of a core.
    std::optional<int> measurement;
};

// A run that has ended on a worker.
struct RunEndReport
{
    // Ends are numbered from 1 in each incarnation of the worker.
    std::int64_t endNumber = 0;
    TaskRef task;
    int run = 0;
    RunOutcome outcome = RunOutcome::Done;
    std::string checkpoint;
};

// A worker's answer to a renewal.
struct WorkerReport
{
    // The worker's clock when it answered.
    std::int64_t clockMs = 0;
    // When the incarnation that answers started, in wall-clock milliseconds since the Unix epoch.
    std::int64_t startedWallMs = 0;
    std::vector<RunningReport> running;
    // Ended runs that are not acknowledged yet, the earliest first.
    std::vector<RunEndReport> ended;
    // Whether runs that the worker has, or that have ended there, may be in neither list, since it
    // tells of a limited number of ends at a time. It tells of further ones once the first are
    // acknowledged.
    bool isPartial = false;
};

// The outcome of a renewal, with the worker's answer if there is one.
struct RenewLeaseReply
{
    CommandOutcome outcome = CommandOutcome::Unknown;
    // This is set if and only if the outcome is Done.
    WorkerReport report;
    // Without an answer: the worker's host closed or refused the connection.
    bool connectionClosed = false;
};

} // namespace savorywick::steps
