#pragma once

#include "caller/route.h"
#include "core/metrics.h"
#include "entry/documenthandler.h"
#include "entry/requestservice.h"
#include "entry/runservice.h"

#include <atomic>
#include <functional>
#include <string>

namespace savorywick {

// Routes HTTP requests from callers and operators to the service that handles each endpoint.
//
// Answers requests with an unknown path, an unsupported method or an unknown service itself, with
// a problem response. Serves both requests received over HTTP and requests forwarded by another
// entry. Thread-safe.
class ApiRouter
{
public:
    struct Dependencies
    {
        const Clock *clock = nullptr;
        MetricsRegistry *metrics = nullptr;
        DocumentService *documents = nullptr;
        DocumentHandler *documentHandler = nullptr;
        RequestService *requests = nullptr;
        RunService *runs = nullptr;
        std::function<std::string()> clusterReport; // Returns the report of all entries as JSON.
        std::function<bool()> ready; // Returns whether this entry accepts new callers.
    };

    // All objects that `dependencies` points to must outlive this object.
    explicit ApiRouter(Dependencies dependencies);

    // Returns the response to a request received over HTTP and counts it by status class.
    HttpResponse handle(const HttpRequest &request);
    // Returns the response to a request forwarded by another entry. The entry that received the
    // request from the caller counts it.
    HttpResponse handleForwarded(CallerRequest request);
    // Returns the response to input that the HTTP server rejected with `status` before it could
    // build a request, such as a malformed request line.
    HttpResponse respondToProtocolError(int status);

private:
    HttpResponse routeRequest(CallerRequest request);
    HttpResponse dispatch(const CallerRequest &request, Endpoint endpoint);
    HttpResponse healthResponse(bool healthy) const;
    HttpResponse countResponse(HttpResponse response);

    const Dependencies m_dependencies;
};

} // namespace savorywick
