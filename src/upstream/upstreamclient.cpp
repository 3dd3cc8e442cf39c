#include "upstream/upstreamclient.h"

namespace savorywick {

namespace {

UpstreamOutcome outcomeOf(const HttpAnswer &answer)
{
    switch (answer.outcome) {
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
    if (answer.status == 503)
        return UpstreamOutcome::Refused;
    return answer.status >= 500 ? UpstreamOutcome::Failed : UpstreamOutcome::Answered;
}

} // namespace

UpstreamAnswer HttpUpstreamClient::serve(const UpstreamCall &call)
{
    HttpAnswer answer =
        m_client.exchange({.address = call.address,
                           .method = "POST",
                           .path = "/serve",
                           .headers = {{"X-Request-Id", call.requestId},
                                       {"X-Deadline-Ms", std::to_string(call.remaining.count())}},
                           .body = call.body,
                           .timeout = call.remaining,
                           .echo = {"X-Request-Id", call.requestId}});
    const UpstreamOutcome outcome = outcomeOf(answer);
    return {outcome, answer.status, std::move(answer.body)};
}

} // namespace savorywick
