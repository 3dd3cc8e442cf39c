#pragma once

#include "core/httpserver.h"
#include "savorywick/clock.h"

#include <string>

namespace savorywick {

// One request of a caller on its way through an entry.
struct CallerRequest
{
    HttpRequest http;
    std::string requestId;
    std::string service;
    std::string name; // The class or the id.
    Instant receivedAt;
    bool forwarded = false; // Came from another entry; it must not be forwarded again.
};

} // namespace savorywick
