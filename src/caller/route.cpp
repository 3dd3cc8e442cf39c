#include "caller/route.h"

#include <algorithm>
#include <vector>

namespace savorywick {

namespace {

using PathSegments = std::vector<std::string>;

PathSegments splitPath(std::string_view path)
{
    PathSegments segments;
    while (path.starts_with('/')) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        segments.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return segments;
}

Route serviceRoute(const PathSegments &segments)
{
    if (segments[3] == "requests")
        return {Endpoint::Request, segments[2], segments[4]};
    if (segments[3] == "runs")
        return {Endpoint::Run, segments[2], segments[4]};
    if (segments[3] == "watchers")
        return {Endpoint::Watcher, segments[2], segments[4]};
    return {};
}

} // namespace

Route parseRoute(std::string_view path)
{
    const PathSegments segments = splitPath(path);
    if (path == "/health/ready")
        return {Endpoint::Ready, {}, {}};
    if (path == "/health/live")
        return {Endpoint::Live, {}, {}};
    if (path == "/v1/report")
        return {Endpoint::Report, {}, {}};
    if (segments.size() < 3 || segments[0] != "v1" || segments[2].empty())
        return {};
    if (segments.size() == 5 && segments[1] == "services")
        return serviceRoute(segments);
    if (segments.size() == 4 && segments[1] == "documents" && segments[3] == "status")
        return {Endpoint::DocumentStatus, segments[2], {}};
    if (segments.size() != 3)
        return {};
    if (segments[1] == "documents")
        return {Endpoint::Document, segments[2], {}};
    if (segments[1] == "runs")
        return {Endpoint::RunById, {}, segments[2]};
    if (segments[1] == "watchers")
        return {Endpoint::WatcherById, {}, segments[2]};
    return {};
}

std::string_view allowedMethods(Endpoint endpoint)
{
    switch (endpoint) {
    case Endpoint::Request:
    case Endpoint::Run:
    case Endpoint::Watcher:
        return "POST";
    case Endpoint::RunById:
    case Endpoint::WatcherById:
        return "GET, DELETE";
    case Endpoint::Document:
        return "GET, PUT";
    case Endpoint::DocumentStatus:
    case Endpoint::Report:
    case Endpoint::Ready:
    case Endpoint::Live:
        return "GET";
    case Endpoint::Unknown:
        break;
    }
    return "";
}

bool allowsMethod(Endpoint endpoint, std::string_view method)
{
    const std::string list = ", " + std::string(allowedMethods(endpoint)) + ",";
    return list.find(", " + std::string(method) + ",") != std::string::npos;
}

} // namespace savorywick
