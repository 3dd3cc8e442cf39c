#pragma once

#include "savorywick/steps/job.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace savorywick {

// What an entry asks of the owner of a shard, be it itself or another entry.

struct SubmitJob
{
    steps::JobSpec spec;
};

struct ShowJob
{
    std::string job;
};

struct CancelJob
{
    std::string job;
};

struct CountPending
{
    std::string queue;
};

using ShardRequest = std::variant<SubmitJob, ShowJob, CancelJob, CountPending>;

enum class ShardOutcome {
    Ok,
    UnknownJob,
    NotOwner, // The entry that was asked does not own the shard, or may not act now.
    StoreDown, // Nothing was begun, since nothing can be kept now.
    Undecided, // No answer: what was asked for may or may not take effect.
};

// Returns the outcome's name as it travels between entries, such as "not-owner".
std::string_view toString(ShardOutcome outcome);

// Returns true if and only if the request surely has no effect.
bool surelyNotDone(ShardOutcome outcome);

struct ShardAnswer
{
    ShardOutcome outcome = ShardOutcome::Undecided;
    steps::JobState state = steps::JobState::Queued; // For ShowJob.
    int pending = 0; // For CountPending.
};

using ShardAnswered = std::function<void(const ShardAnswer &)>;

} // namespace savorywick
