#pragma once

#include "savorywick/steps/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace savorywick::steps {

// A worker as the platform's list shows it. The list lags behind the truth.
struct WorkerInfo
{
    WorkerLife life;
    std::string service; // Whose jobs it runs.
    std::string address; // IP number and port.
    std::string availabilityZone;
    std::string rack;
    std::vector<std::string> labels; // What a step's `neededLabel` may name.
    Demand capacity;
    bool draining = false; // It will leave; it must get nothing new.
    Millis remaining; // While draining: how long it surely stays.

    bool operator==(const WorkerInfo &) const = default;
};

// A number that grows with every owner of a worker, and with every doubt about what it was told.
// A worker does nothing for a lower number than the highest that it has seen.
using Fence = std::uint64_t;

// What every order to a worker carries.
struct OrderTarget
{
    WorkerLife worker;
    std::string address;
    Fence fence = 0;
};

// Renews the lease on all that runs on the worker and asks for its lists.
struct RenewOrder
{
    OrderTarget target;
    std::int64_t seenEnds = 0; // The worker may forget ends up to this number.
    std::optional<std::int64_t> untilClockMs; // On the worker's clock; nothing renews no lease.
    Millis wait; // For an end, before it answers.
};

struct StartOrder
{
    OrderTarget target;
    TaskRef task;
    int run = 0;
    std::string payload;
    std::string checkpoint; // Empty to start anew.
    std::int64_t untilClockMs = 0; // On the worker's clock.
};

struct StopOrder
{
    OrderTarget target;
    TaskRef task;
    int run = 0;
};

// Slows a run down to a share of its speed.
struct PaceOrder
{
    OrderTarget target;
    TaskRef task;
    int run = 0;
    int percent = 100;
};

using Order = std::variant<RenewOrder, StartOrder, StopOrder, PaceOrder>;

// How the sending of an order ended.
enum class OrderOutcome {
    Done, // Also if it had been done before.
    NoRoom, // Nothing was done: the worker is full.
    TooLate, // Nothing was done: the lease in the order was over.
    OldRun, // Nothing was done: that run, or a later one, has ended there.
    Fenced, // Nothing was done: the worker has seen a higher fence.
    OtherLife, // Nothing was done: the worker has restarted.
    Rejected, // Nothing was done, for another reason.
    NotSent, // The worker surely has not seen the order.
    Unknown, // No answer: the order may still be carried out, seconds later.
};

// Returns the outcome's name for logs and counters, such as "no-room".
std::string_view toString(OrderOutcome outcome);

struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<std::int64_t> clockMs; // The worker's clock when it answered.
};

// A run that is on a worker.
struct RunningReport
{
    TaskRef task;
    int run = 0;
    std::string checkpoint; // The latest that it saved; empty if there is none.
    int percent = 0; // Of its work; 100 for a standing task that is at work.
    std::optional<int> figure; // Standing tasks: tail latency in ms; others: milli-cores in use.
};

// A run that has ended on a worker.
struct EndReport
{
    std::int64_t number = 0; // Counts the ends of one life of the worker, from 1.
    TaskRef task;
    int run = 0;
    RunEnd how = RunEnd::Done;
    std::string checkpoint;
};

// A worker's answer to a RenewOrder.
struct WorkerReport
{
    std::int64_t clockMs = 0;
    std::int64_t bornWallMs = 0; // Of the life that answers.
    std::vector<RunningReport> running;
    std::vector<EndReport> ended; // Not forgotten yet; the earliest first, not always all.
};

struct RenewReply
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    WorkerReport report; // Set if and only if the outcome is Done.
};

} // namespace savorywick::steps
