#pragma once

#include "core/httpserver.h"
#include "savorywick/clock.h"

#include <string>
#include <string_view>

namespace savorywick {

// What is known of whether a request was run, as told in the header X-Run-Status.
enum class RunStatus { Run, NotRun, Unknown };

// Returns "run", "not-run" or "unknown".
std::string_view toString(RunStatus status);

// A refusal or failure as the caller reads it: problem details of RFC 9457 with a typed reason.
struct Problem
{
    int status = 400;
    std::string reason; // Such as "deadline-missing"; the last part of the problem's type.
    std::string detail; // What was found.
    std::string remedy; // What to do about it.
    RunStatus run = RunStatus::NotRun;
    Millis retryAfter{0}; // When coming back may help; 0 if it does not.
};

// Returns the answer that carries `problem`.
HttpResponse toResponse(const Problem &problem);

// Returns the problem that stands for an HTTP status which the server gave before any handler ran.
Problem problemForStatus(int status);

} // namespace savorywick
