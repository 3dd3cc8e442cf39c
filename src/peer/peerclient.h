#pragma once

#include "core/httpclient.h"

#include <string>
#include <string_view>

namespace savorywick {

enum class PeerOutcome {
    Answered, // The peer's result is in `result`.
    NotSent, // The peer has surely not seen the call.
    Unknown, // The peer may have acted on the call, but no result came back.
};

struct PeerReply
{
    PeerOutcome outcome = PeerOutcome::NotSent;
    std::string result; // A JSON object as text.
};

// Calls methods of other entries by JSON-RPC. Thread-safe; calls block.
//
// Example:
//   PeerClient peers(httpClient);
//   peers.call(address, "documentChanged", R"({"service":"quotes","revision":7})", Millis{500});
class PeerClient
{
public:
    // The client must outlive this object.
    explicit PeerClient(HttpClient &client)
        : m_client(client)
    { }

    // Returns what the peer at `address` answered; `parameters` is a JSON object as text.
    PeerReply call(const std::string &address, std::string_view method, std::string_view parameters,
                   Millis timeout);

private:
    HttpClient &m_client;
};

} // namespace savorywick
