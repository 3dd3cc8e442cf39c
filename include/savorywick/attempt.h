#pragma once

#include <string_view>

namespace savorywick {

// How one attempt of a request at one upstream instance ended.
enum class AttemptOutcome {
    Answered, // The whole answer to this request arrived.
    Failed, // The instance answered with an error, or its answer was cut short or was not ours.
    TimedOut, // The deadline passed after the request was sent; it may still be running.
    RefusedNotRun, // The instance said that it did not run the request.
    ConnectFailed, // No connection was made; not a byte was sent.
};

// Returns the outcome's name as it appears in logs, such as "timed-out".
std::string_view toString(AttemptOutcome outcome);

// Returns true if and only if the attempt surely had no effect at the instance.
bool surelyNotRun(AttemptOutcome outcome);

} // namespace savorywick
