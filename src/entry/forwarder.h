#pragma once

#include "entry/callerrequest.h"
#include "peer/peerclient.h"

#include <optional>
#include <string>

namespace savorywick {

// Forwards callers' requests to other entries, and converts forwarded requests and their responses
// to and from the JSON that peers exchange.
//
// Use it where another entry owns the shard of a request, or has free slots. Thread-safe; send()
// blocks.
class Forwarder
{
public:
    // The outcome of a forwarded request.
    struct Result
    {
        PeerOutcome outcome = PeerOutcome::NotSent;
        HttpResponse response; // Set only if the peer answered.
        int freeSlots = 0; // Free slots that the peer reported; set only if the peer answered.
    };

    // The client must outlive this object.
    explicit Forwarder(PeerClient &peers)
        : m_peers(peers)
    { }

    // Sends the request to the peer at `address` and returns its answer, or why there is none
    // within `timeout`.
    Result send(const std::string &address, const CallerRequest &request, Millis timeout);

    // Returns the request in the JSON parameters of a peer's "forward" call.
    static CallerRequest decodeRequest(const std::string &parameters);
    // Returns the JSON result of a peer's "forward" call. `freeSlots` is the number of slots that
    // this entry has free now.
    static std::string encodeResponse(const HttpResponse &response, int freeSlots);

private:
    PeerClient &m_peers;
};

} // namespace savorywick
