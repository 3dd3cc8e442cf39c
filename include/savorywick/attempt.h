#pragma once

#include <string_view>

namespace savorywick {

// The outcome of one attempt to have a request answered by one instance of an upstream service.
//
// Use it to decide whether a request may be retried at another instance, and to report to the
// router and the retry budget how the instance did.
enum class AttemptOutcome {
    Answered, // The complete answer to this request arrived.
    // The instance answered with an error, or its answer was truncated or belonged to another
    // request.
    Failed,
    TimedOut, // The deadline passed after the request was sent; it may still be executing.
    RefusedNotRun, // The instance stated that it did not execute the request.
    ConnectFailed, // No connection was established, so no byte of the request was sent.
};

// Returns the outcome's name as it appears in logs, such as "timed-out".
std::string_view toString(AttemptOutcome outcome);

// Returns true if and only if the instance is known not to have executed the request, so that a
// retry cannot execute it twice.
bool isKnownNotExecuted(AttemptOutcome outcome);

} // namespace savorywick
