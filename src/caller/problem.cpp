#include "caller/problem.h"

#include "lib/jsontext.h"

namespace savorywick {

std::string_view toString(RunStatus status)
{
    switch (status) {
    case RunStatus::Run:
        return "run";
    case RunStatus::NotRun:
        return "not-run";
    case RunStatus::Unknown:
        break;
    }
    return "unknown";
}

HttpResponse toResponse(const Problem &problem)
{
    Json::Value body;
    body["type"] = "urn:savorywick:" + problem.reason;
    body["title"] = problem.reason;
    body["status"] = problem.status;
    body["detail"] = problem.detail;
    body["remedy"] = problem.remedy;
    HttpResponse response;
    response.status = problem.status;
    response.contentType = "application/problem+json";
    response.body = internal::toJsonText(body);
    response.headers.push_back({"X-Run-Status", std::string(toString(problem.runStatus))});
    if (problem.retryAfter > Millis{0}) {
        const std::int64_t ms = problem.retryAfter.count();
        response.headers.push_back({"Retry-After", std::to_string((ms + 999) / 1'000)});
        response.headers.push_back({"X-Retry-After-Ms", std::to_string(ms)});
    }
    return response;
}

Problem problemForStatus(int status)
{
    if (status == 413)
        return {
            413, "body-too-large", "the body is larger than this entry accepts",
            "send a smaller body, or have an operator raise the limit bodyBytes in the settings"};
    if (status == 414)
        return {414, "path-too-long", "the path is too long",
                "use a path listed in docs/PROTOCOLS.md"};
    if (status == 503)
        return {503,
                "too-many-connections",
                "this entry has reached its limit of open connections",
                "retry later, or use fewer connections",
                RunStatus::NotRun,
                Millis{1'000}};
    if (status >= 500)
        return {status,
                "internal-error",
                "an internal error occurred while the entry processed the request",
                "retry with the same Idempotency-Key",
                RunStatus::Unknown,
                Millis{1'000}};
    return {400, "malformed-request",
            "the request is not well-formed HTTP, or was not received in time",
            "send a complete HTTP/1.1 request without pauses"};
}

} // namespace savorywick
