#include "caller/route.h"

#include <algorithm>
#include <vector>

namespace savorywick {

namespace {

using Parts = std::vector<std::string>;

Parts partsOf(std::string_view path)
{
    Parts parts;
    while (path.starts_with('/')) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        parts.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return parts;
}

Route serviceRoute(const Parts &parts)
{
    if (parts[3] == "requests")
        return {Endpoint::Request, parts[2], parts[4]};
    if (parts[3] == "runs")
        return {Endpoint::Run, parts[2], parts[4]};
    if (parts[3] == "watchers")
        return {Endpoint::Watcher, parts[2], parts[4]};
    return {};
}

} // namespace

Route parseRoute(std::string_view path)
{
    const Parts parts = partsOf(path);
    if (path == "/health/ready")
        return {Endpoint::Ready, {}, {}};
    if (path == "/health/live")
        return {Endpoint::Live, {}, {}};
    if (path == "/v1/report")
        return {Endpoint::Report, {}, {}};
    if (parts.size() < 3 || parts[0] != "v1" || parts[2].empty())
        return {};
    if (parts.size() == 5 && parts[1] == "services")
        return serviceRoute(parts);
    if (parts.size() == 4 && parts[1] == "documents" && parts[3] == "status")
        return {Endpoint::DocumentStatus, parts[2], {}};
    if (parts.size() != 3)
        return {};
    if (parts[1] == "documents")
        return {Endpoint::Document, parts[2], {}};
    if (parts[1] == "runs")
        return {Endpoint::RunById, {}, parts[2]};
    if (parts[1] == "watchers")
        return {Endpoint::WatcherById, {}, parts[2]};
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

bool allows(Endpoint endpoint, std::string_view method)
{
    const std::string list = ", " + std::string(allowedMethods(endpoint)) + ",";
    return list.find(", " + std::string(method) + ",") != std::string::npos;
}

} // namespace savorywick
