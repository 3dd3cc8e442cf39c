#include "entry/api.h"

#include "caller/problem.h"
#include "core/hash.h"
#include "core/log.h"

namespace savorywick {

namespace {

constexpr int requestIdDigits = 24;
constexpr Millis notReadyRetryAfter{1'000};

} // namespace

Api::Api(Parts parts)
    : m_parts(std::move(parts))
{ }

HttpResponse Api::serve(const HttpRequest &request)
{
    CallerRequest call;
    call.http = request;
    call.requestId = randomDigits(requestIdDigits);
    HttpResponse response = answer(std::move(call));
    return counted(std::move(response));
}

HttpResponse Api::serveForwarded(CallerRequest request)
{
    return answer(std::move(request));
}

HttpResponse Api::refuse(int status)
{
    return counted(toResponse(problemForStatus(status)));
}

HttpResponse Api::answer(CallerRequest request)
{
    request.receivedAt = m_parts.clock->now();
    Route route = parseRoute(request.http.path);
    request.service = std::move(route.service);
    request.name = std::move(route.name);
    HttpResponse response;
    if (route.endpoint == Endpoint::Unknown) {
        response = toResponse(Problem{404, "unknown-path", "there is nothing at this path",
                                      "use a path of docs/PROTOCOLS.md"});
    } else if (!allows(route.endpoint, request.http.method)) {
        const std::string methods(allowedMethods(route.endpoint));
        response = toResponse(Problem{405, "wrong-method", "this path does not take that method",
                                      "use one of: " + methods});
        response.headers.push_back({"Allow", methods});
    } else {
        response = answerService(request, route.endpoint);
    }
    const bool named = !headerValue(response.headers, "X-Request-Id").empty();
    if (!named)
        response.headers.push_back({"X-Request-Id", request.requestId});
    logDebug("request-answered",
             {{"requestId", request.requestId},
              {"status", response.status},
              {"forwarded", request.forwarded}});
    return response;
}

HttpResponse Api::answerService(const CallerRequest &request, Endpoint endpoint)
{
    const bool needsDocument =
        endpoint == Endpoint::Request || endpoint == Endpoint::Run || endpoint == Endpoint::Watcher;
    if (needsDocument && m_parts.documents->mustReread())
        return toResponse(Problem{
            503, "documents-stale", "this entry was frozen and must first read the documents again",
            "come back after the time in Retry-After", RunStatus::NotRun, notReadyRetryAfter});
    if (needsDocument && !m_parts.documents->find(request.service)) {
        if (!m_parts.documents->isComplete())
            return toResponse(Problem{503, "not-ready", "this entry has not read its documents yet",
                                      "come back after the time in Retry-After", RunStatus::NotRun,
                                      notReadyRetryAfter});
        return toResponse(Problem{404, "unknown-service",
                                  "there is no service '" + request.service + "'",
                                  "apply its document first with 'savorywick document apply'"});
    }
    switch (endpoint) {
    case Endpoint::Request:
        return m_parts.requests->serve(request);
    case Endpoint::Run:
        return m_parts.runs->submitRun(request);
    case Endpoint::Watcher:
        return m_parts.runs->submitWatcher(request);
    case Endpoint::RunById:
    case Endpoint::WatcherById: {
        const bool watcher = endpoint == Endpoint::WatcherById;
        if (request.http.method == "DELETE")
            return m_parts.runs->cancel(request, watcher);
        return m_parts.runs->show(request, watcher);
    }
    case Endpoint::Document:
        if (request.http.method == "PUT")
            return m_parts.documentApi->apply(request);
        return m_parts.documentApi->show(request);
    case Endpoint::DocumentStatus:
        return m_parts.documentApi->status(request);
    case Endpoint::Report:
        return {200, {}, m_parts.report()};
    case Endpoint::Ready:
        return health(m_parts.ready());
    case Endpoint::Live:
    case Endpoint::Unknown:
        break;
    }
    return health(true);
}

HttpResponse Api::health(bool good) const
{
    if (good)
        return {200, {}, R"({"ok":true})"};
    return toResponse(Problem{503, "not-ready", "this entry takes no new callers now",
                              "ask another entry", RunStatus::NotRun, notReadyRetryAfter});
}

HttpResponse Api::counted(HttpResponse response)
{
    const std::string group = std::to_string(response.status / 100) + "xx";
    m_parts.metrics->counter("answers", group).fetch_add(1);
    return response;
}

} // namespace savorywick
