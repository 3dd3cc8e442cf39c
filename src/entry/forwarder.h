#pragma once

#include "entry/callercontext.h"
#include "peer/peerclient.h"

#include <optional>
#include <string>

namespace savorywick {

// Sends callers' requests on to other entries, and unpacks those that come from them.
//
// Thread-safe; send() blocks.
class Forwarder
{
public:
    // How a forwarded request ended: the peer's answer, or none.
    struct Result
    {
        PeerOutcome outcome = PeerOutcome::NotSent;
        HttpResponse response; // Set only if answered.
        int freeSlots = 0; // What the peer said of its own slots; set only if answered.
    };

    // The client must outlive this object.
    explicit Forwarder(PeerClient &peers)
        : m_peers(peers)
    { }

    // Returns how the peer at `address` answered the request within `timeout`.
    Result send(const std::string &address, const CallerRequest &request, Millis timeout);

    // Returns the request that the parameters of a peer's call hold.
    static CallerRequest unpack(const std::string &parameters);
    // Returns the result that answers a peer's call.
    static std::string pack(const HttpResponse &response, int freeSlots);

private:
    PeerClient &m_peers;
};

} // namespace savorywick
