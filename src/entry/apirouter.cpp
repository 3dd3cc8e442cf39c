#include "entry/apirouter.h"

#include "caller/problem.h"
#include "core/hash.h"
#include "core/log.h"

namespace savorywick {

namespace {

constexpr int requestIdDigits = 24;
constexpr Millis notReadyRetryDelay{1'000};

} // namespace

ApiRouter::ApiRouter(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{ }

HttpResponse ApiRouter::handle(const HttpRequest &request)
{
    CallerRequest call;
    call.http = request;
    call.requestId = randomHexDigits(requestIdDigits);
    HttpResponse response = routeRequest(std::move(call));
    return countResponse(std::move(response));
}

HttpResponse ApiRouter::handleForwarded(CallerRequest request)
{
    return routeRequest(std::move(request));
}

HttpResponse ApiRouter::respondToProtocolError(int status)
{
    return countResponse(toResponse(problemForStatus(status)));
}

HttpResponse ApiRouter::routeRequest(CallerRequest request)
{
    request.receivedAt = m_dependencies.clock->now();
    Route route = parseRoute(request.http.path);
    request.service = std::move(route.service);
    request.classOrId = std::move(route.classOrId);
    HttpResponse response;
    if (route.endpoint == Endpoint::Unknown) {
        response = toResponse(Problem{404, "unknown-path", "there is no endpoint at this path",
                                      "use a path listed in docs/PROTOCOLS.md"});
    } else if (!allowsMethod(route.endpoint, request.http.method)) {
        const std::string methods(allowedMethods(route.endpoint));
        response =
            toResponse(Problem{405, "wrong-method", "this endpoint does not support the method",
                               "use one of: " + methods});
        response.headers.push_back({"Allow", methods});
    } else {
        response = dispatch(request, route.endpoint);
    }
    const bool hasRequestId = !headerValue(response.headers, "X-Request-Id").empty();
    if (!hasRequestId)
        response.headers.push_back({"X-Request-Id", request.requestId});
    logDebug("request-answered",
             {{"requestId", request.requestId},
              {"status", response.status},
              {"forwarded", request.forwarded}});
    return response;
}

HttpResponse ApiRouter::dispatch(const CallerRequest &request, Endpoint endpoint)
{
    const bool needsDocument =
        endpoint == Endpoint::Request || endpoint == Endpoint::Run || endpoint == Endpoint::Watcher;
    if (needsDocument && m_dependencies.documents->mustReread())
        return toResponse(Problem{503, "documents-stale",
                                  "this entry was frozen and has not read the documents again yet",
                                  "retry after the delay in Retry-After", RunStatus::NotRun,
                                  notReadyRetryDelay});
    if (needsDocument && !m_dependencies.documents->find(request.service)) {
        if (!m_dependencies.documents->isComplete())
            return toResponse(Problem{
                503, "not-ready", "this entry has not read the service documents yet",
                "retry after the delay in Retry-After", RunStatus::NotRun, notReadyRetryDelay});
        return toResponse(Problem{404, "unknown-service",
                                  "there is no service '" + request.service + "'",
                                  "apply its document first with 'savorywick document apply'"});
    }
    switch (endpoint) {
    case Endpoint::Request:
        return m_dependencies.requests->serve(request);
    case Endpoint::Run:
        return m_dependencies.runs->submitRun(request);
    case Endpoint::Watcher:
        return m_dependencies.runs->submitWatcher(request);
    case Endpoint::RunById:
    case Endpoint::WatcherById: {
        const bool watcher = endpoint == Endpoint::WatcherById;
        if (request.http.method == "DELETE")
            return m_dependencies.runs->cancel(request, watcher);
        return m_dependencies.runs->show(request, watcher);
    }
    case Endpoint::Document:
        if (request.http.method == "PUT")
            return m_dependencies.documentHandler->apply(request);
        return m_dependencies.documentHandler->show(request);
    case Endpoint::DocumentStatus:
        return m_dependencies.documentHandler->status(request);
    case Endpoint::Report:
        return {200, {}, m_dependencies.clusterReport()};
    case Endpoint::Ready:
        return healthResponse(m_dependencies.ready());
    case Endpoint::Live:
    case Endpoint::Unknown:
        break;
    }
    return healthResponse(true);
}

HttpResponse ApiRouter::healthResponse(bool healthy) const
{
    if (healthy)
        return {200, {}, R"({"ok":true})"};
    return toResponse(Problem{503, "not-ready", "this entry accepts no new requests at the moment",
                              "send the request to another entry", RunStatus::NotRun,
                              notReadyRetryDelay});
}

HttpResponse ApiRouter::countResponse(HttpResponse response)
{
    const std::string statusClass = std::to_string(response.status / 100) + "xx";
    m_dependencies.metrics->counter("answers", statusClass).fetch_add(1);
    return response;
}

} // namespace savorywick
