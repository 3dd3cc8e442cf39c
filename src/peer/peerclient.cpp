#include "peer/peerclient.h"

#include "peer/rpc/rpc.h"

namespace savorywick {

PeerReply PeerClient::call(const std::string &address, std::string_view method,
                           std::string_view parameters, Millis timeout)
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    const rpc::Transport transport = [&](const std::string &request) {
        const HttpResult answer = m_client.exchange({.address = address,
                                                     .method = "POST",
                                                     .path = "/rpc",
                                                     .body = request,
                                                     .timeout = timeout});
        outcome = answer.outcome;
        return answer.status == 200 ? answer.body : std::string();
    };
    rpc::CallResult result = rpc::call(transport, std::string(method), std::string(parameters));
    if (result.ok)
        return {PeerOutcome::Answered, std::move(result.result)};
    const bool sent = outcome != HttpOutcome::NotSent;
    return {sent ? PeerOutcome::Unknown : PeerOutcome::NotSent, {}};
}

} // namespace savorywick
