#pragma once

#include "core/httpserver.h"
#include "savorywick/clock.h"

#include <string>
#include <string_view>

namespace savorywick {

// Whether a request was run, as far as the entry knows; sent in the header X-Run-Status.
enum class RunStatus { Run, NotRun, Unknown };

// Returns the value of the header X-Run-Status: "run", "not-run" or "unknown".
std::string_view toString(RunStatus status);

// The problem details (RFC 9457) of a rejected or failed request. Use it for every response that
// reports an error to a caller or operator, so that all errors have one format.
//
// Example:
//   return toResponse(Problem{404, "unknown-id", "there is no run with this id", "check the id"});
struct Problem
{
    int status = 400;
    std::string reason; // Code such as "deadline-missing"; the end of the problem's type URN.
    std::string detail; // Sentence that describes what is wrong with this request.
    std::string remedy; // Sentence that tells the caller what to do.
    RunStatus runStatus = RunStatus::NotRun;
    Millis retryAfter{0}; // How long to wait before a retry; 0 sends no Retry-After header.
};

// Returns the HTTP response with `problem` as its body, and with the headers X-Run-Status and, if
// a retry may help, Retry-After and X-Retry-After-Ms.
HttpResponse toResponse(const Problem &problem);

// Returns the problem that describes `status`, an HTTP status with which the server rejected input
// before any handler ran.
Problem problemForStatus(int status);

} // namespace savorywick
