#pragma once

#include <string>
#include <string_view>

namespace savorywick {

// The endpoints of the HTTP API for callers and operators, described in docs/PROTOCOLS.md.
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
    Unknown, // Any other path.
};

// The endpoint that a path selects, and the parameters in the path.
struct Route
{
    Endpoint endpoint = Endpoint::Unknown;
    std::string service; // Empty if the endpoint has none.
    std::string classOrId; // The class of a request, run or watcher, or the id of a run or watcher.
};

// Returns the route of `path`, which excludes the query; Endpoint::Unknown if there is none.
Route parseRoute(std::string_view path);

// Returns the HTTP methods that an endpoint supports, in the format of the header Allow.
std::string_view allowedMethods(Endpoint endpoint);

// Returns true if and only if the endpoint supports the HTTP method `method`.
bool allowsMethod(Endpoint endpoint, std::string_view method);

} // namespace savorywick
