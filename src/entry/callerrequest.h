#pragma once

#include "core/httpserver.h"
#include "savorywick/clock.h"

#include <string>

namespace savorywick {

// A caller's HTTP request with the context that an entry adds while it processes the request.
struct CallerRequest
{
    HttpRequest http;
    std::string requestId; // Assigned by the entry that received the request from the caller.
    std::string service; // From the path; empty if the path names no service.
    std::string classOrId; // From the path: the request class, or the id of a run or watcher.
    Instant receivedAt; // When this entry began to process the request.
    bool forwarded = false; // True if another entry sent it; it must not be forwarded again.
};

} // namespace savorywick
