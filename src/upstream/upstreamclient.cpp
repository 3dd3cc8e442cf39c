#include "upstream/upstreamclient.h"

namespace savorywick {

namespace {

UpstreamOutcome toOutcome(const HttpAnswer &response)
{
    switch (response.outcome) {
    case HttpOutcome::NotSent:
        return UpstreamOutcome::NotSent;
    case HttpOutcome::Broken:
        return UpstreamOutcome::Broken;
    case HttpOutcome::TimedOut:
        return UpstreamOutcome::TimedOut;
    case HttpOutcome::Crossed:
        return UpstreamOutcome::WrongAnswer;
    case HttpOutcome::Answered:
        break;
    }
    if (response.status == 503)
        return UpstreamOutcome::Refused;
    return response.status >= 500 ? UpstreamOutcome::Failed : UpstreamOutcome::Answered;
}

} // namespace

UpstreamAnswer HttpUpstreamClient::serve(const UpstreamRequest &request)
{
    HttpAnswer response =
        m_client.exchange({.address = request.address,
                           .method = "POST",
                           .path = "/serve",
                           .headers = {{"X-Request-Id", request.requestId},
                                       {"X-Deadline-Ms", std::to_string(request.timeout.count())}},
                           .body = request.body,
                           .timeout = request.timeout,
                           .echo = {"X-Request-Id", request.requestId}});
    const UpstreamOutcome outcome = toOutcome(response);
    return {outcome, response.status, std::move(response.body)};
}

} // namespace savorywick
