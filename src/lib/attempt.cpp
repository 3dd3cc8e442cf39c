#include "savorywick/attempt.h"

namespace savorywick {

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::TimedOut:
        return "timed-out";
    case AttemptOutcome::RefusedNotRun:
        return "refused-not-run";
    case AttemptOutcome::ConnectFailed:
        return "connect-failed";
    }
    return "unnamed";
}

bool isKnownNotExecuted(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::RefusedNotRun || outcome == AttemptOutcome::ConnectFailed;
}

} // namespace savorywick
