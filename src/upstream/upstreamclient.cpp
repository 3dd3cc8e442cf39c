#include "upstream/upstreamclient.h"

namespace savorywick {

namespace {

UpstreamOutcome toOutcome(const HttpResult &response)
{
    switch (response.outcome) {
    case HttpOutcome::NotSent:
        return UpstreamOutcome::NotSent;
    case HttpOutcome::ConnectionLost:
        return UpstreamOutcome::ConnectionLost;
    case HttpOutcome::TimedOut:
        return UpstreamOutcome::TimedOut;
    case HttpOutcome::ResponseMismatch:
        return UpstreamOutcome::ResponseMismatch;
    case HttpOutcome::ResponseReceived:
        break;
    }
    if (response.status == 503)
        return UpstreamOutcome::Refused;
    return response.status >= 500 ? UpstreamOutcome::ServerError : UpstreamOutcome::Answered;
}

} // namespace

UpstreamResponse HttpUpstreamClient::send(const UpstreamRequest &request)
{
    HttpResult response =
        m_client.exchange({.address = request.address,
                           .method = "POST",
                           .path = "/serve",
                           .headers = {{"X-Request-Id", request.requestId},
                                       {"X-Deadline-Ms", std::to_string(request.timeout.count())}},
                           .body = request.body,
                           .timeout = request.timeout,
                           .requiredResponseHeader = {"X-Request-Id", request.requestId}});
    const UpstreamOutcome outcome = toOutcome(response);
    return {outcome, response.status, std::move(response.body)};
}

} // namespace savorywick
