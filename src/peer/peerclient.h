#pragma once

#include "core/httpclient.h"

#include <string>
#include <string_view>

namespace savorywick {

enum class PeerOutcome {
    Answered, // The peer returned a result.
    NotSent, // The peer did not receive the call.
    Unknown, // The peer may have executed the call, but returned no result.
};

struct PeerReply
{
    PeerOutcome outcome = PeerOutcome::NotSent;
    std::string result; // JSON text; empty unless the peer answered.
};

// Calls methods that other entries serve with PeerServer, by JSON-RPC over HTTP. Thread-safe; calls
// block.
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

    // Calls `method` of the peer at `address` ("HOST:PORT") with `parameters`, the text of a JSON
    // object. Returns the result, or why there is none after at most `timeout`. An error that the
    // peer reports counts as Unknown.
    PeerReply call(const std::string &address, std::string_view method, std::string_view parameters,
                   Millis timeout);

private:
    HttpClient &m_client;
};

} // namespace savorywick
