#include "savorywick/job.h"

namespace savorywick {

std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Waiting:
        return "waiting";
    case JobState::Placed:
        return "placed";
    case JobState::Evicting:
        return "evicting";
    case JobState::Cancelling:
        return "cancelling";
    case JobState::Watching:
        return "watching";
    case JobState::Finished:
        return "finished";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unnamed";
}

bool isFinal(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Cancelled;
}

bool hasActiveAttempt(JobState state)
{
    return state == JobState::Placed || state == JobState::Evicting
        || state == JobState::Cancelling;
}

} // namespace savorywick
