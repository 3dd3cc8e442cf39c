#pragma once

#include "caller/route.h"
#include "core/metrics.h"
#include "entry/documentapi.h"
#include "entry/requestservice.h"
#include "entry/runservice.h"

#include <atomic>
#include <functional>
#include <string>

namespace savorywick {

// Hands each request of callers and operators to the service that answers it, and refuses what no
// service could answer. Thread-safe.
class Api
{
public:
    struct Parts
    {
        const Clock *clock = nullptr;
        Metrics *metrics = nullptr;
        DocumentService *documents = nullptr;
        DocumentApi *documentApi = nullptr;
        RequestService *requests = nullptr;
        RunService *runs = nullptr;
        std::function<std::string()> report; // The whole report as JSON text.
        std::function<bool()> ready;
    };

    // All that `parts` points to must outlive this object.
    explicit Api(Parts parts);

    // Answers a request that came over HTTP.
    HttpResponse serve(const HttpRequest &request);
    // Answers a request that another entry forwarded.
    HttpResponse serveForwarded(CallerRequest request);
    // Answers what never became a request.
    HttpResponse refuse(int status);

private:
    HttpResponse answer(CallerRequest request);
    HttpResponse answerService(const CallerRequest &request, Endpoint endpoint);
    HttpResponse health(bool good) const;
    HttpResponse counted(HttpResponse response);

    const Parts m_parts;
};

} // namespace savorywick
