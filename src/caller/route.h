#pragma once

#include <string>
#include <string_view>

namespace savorywick {

// What a path of docs/PROTOCOLS.md names.
enum class Endpoint {
    Request, // /v1/services/SERVICE/requests/CLASS
    Run, // /v1/services/SERVICE/runs/CLASS
    Watcher, // /v1/services/SERVICE/watchers/CLASS
    RunById, // /v1/runs/ID
    WatcherById, // /v1/watchers/ID
    Document, // /v1/documents/SERVICE
    DocumentStatus, // /v1/documents/SERVICE/status
    Report, // /v1/report
    Ready, // /health/ready
    Live, // /health/live
    Unknown,
};

struct Route
{
    Endpoint endpoint = Endpoint::Unknown;
    std::string service;
    std::string name; // The class or the id.
};

// Returns what `path` names.
Route parseRoute(std::string_view path);

// Returns the methods that an endpoint takes, as the header Allow lists them.
std::string_view allowedMethods(Endpoint endpoint);

// Returns true if and only if the endpoint takes `method`.
bool allows(Endpoint endpoint, std::string_view method);

} // namespace savorywick
