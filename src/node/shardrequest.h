#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/job.h"
#include "savorywick/steps/jobtransfers.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace savorywick {

// Requests to the owner of a shard, which is this or another entry.
//
// Those that may change state carry the time by which their caller must have the answer, on the
// clock of the entry that holds the request. It is unset if the sender did not tell it.

// Accepts the job. Repeating it with the same job id has no further effect.
struct SubmitJob
{
    steps::JobSpec spec;
    // Its home shard, that of its id's hash, has left it to the receiver.
    bool delegated = false;
    std::optional<Instant> answerDueAt = {};
};

// Reads the state of a job.
struct GetJobState
{
    std::string jobId;
};

// Cancels a job.
struct CancelJob
{
    std::string jobId;
    // The queue that it was submitted to. If it is set, and the job is not known, the cancellation
    // is remembered for a submission that may be on its way.
    std::string queue = {};
    std::optional<Instant> answerDueAt = {};
};

// Counts the queue's pending jobs in the shard.
struct CountPendingJobs
{
    std::string queue;
};

// Takes a job over from another shard, which must not be refused. Repeating it has no effect.
struct TakeJob
{
    steps::JobTransfer transfer;
};

using ShardRequest = std::variant<SubmitJob, GetJobState, CancelJob, CountPendingJobs, TakeJob>;

// Returns the time by which the request's caller must have the answer, or std::nullopt if it is not
// known or the request changes no state.
std::optional<Instant> answerDueAt(const ShardRequest &request);
// Sets that time of a request that may change state.
void setAnswerDueAt(ShardRequest &request, Instant dueAt);

// The outcome of a ShardRequest.
enum class ShardOutcome {
    Ok,
    UnknownJob,
    NotOwner, // The receiving entry can't be reached, or does not own or serve the shard now.
    StoreDown, // Nothing was done, because the store can't persist changes now.
    Overloaded, // The job was not accepted: the owner is too far behind to take new ones.
    NoCapacity, // The job was not accepted: it could not complete while it is useful.
    Delegated, // The job was left to another shard. Send the request there.
    Undecided, // No reply was received; the request may or may not take effect.
};

// Returns the outcome's name in the protocol between entries, such as "not-owner".
std::string_view toString(ShardOutcome outcome);

// Returns true if and only if the outcome guarantees that the request had no effect.
bool hadNoEffect(ShardOutcome outcome);

// The reply to a ShardRequest.
struct ShardReply
{
    ShardOutcome outcome = ShardOutcome::Undecided;
    steps::JobState state = steps::JobState::Queued; // Set for GetJobState.
    int pendingCount = 0; // Set for CountPendingJobs.
    int shard = 0; // Set if the outcome is Delegated.
    Millis retryAfter = {}; // Whole seconds; set if the outcome is NoCapacity.
};

using ShardReplyCallback = std::function<void(const ShardReply &)>;

} // namespace savorywick
