#pragma once

#include "core/httpclient.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savorywick {

// Limits on the connections of a client.
struct ConnectionLimits
{
    // Of open connections to all peers together; each holds a file descriptor.
    std::size_t maxOpen = 1'000;
    std::size_t maxPerPeer = 16; // Of concurrent requests to one peer, each on its connection.
    std::size_t maxIdlePerPeer = 8; // Of idle connections kept for reuse.
};

// Decides which request gets a connection when there are fewer connections than requests.
//
// Use one in a client that calls many peers from a process with few file descriptors. A request
// reuses an idle connection to its peer, or opens one, for which the idle connection that was used
// longest ago is closed if need be. Otherwise it waits. Urgent requests go before others, requests
// of one urgency in the order in which they came; a peer at its own limit holds up no other peer.
// It does no I/O: the client carries out the actions, in order. Not thread-safe.
//
// Example:
//   allocator.add(id, "10.0.0.7:8080", HttpUrgency::Normal);
//   for (const ConnectionAllocator::Action &it : allocator.takeActions())
//       carryOut(it);
class ConnectionAllocator
{
public:
    using RequestId = std::uint64_t;

    explicit ConnectionAllocator(const ConnectionLimits &limits)
        : m_limits(limits)
    { }

    // What the client has to do.
    struct Action
    {
        enum class Kind {
            Reuse, // Send `request` over the idle connection to `peer` that was used last.
            Open, // Open a connection to `peer` and send `request` over it.
            CloseIdle, // Close the idle connection to `peer` that was used longest ago.
        };
        Kind kind = Kind::Open;
        std::string peer;
        RequestId request = 0; // Not used for CloseIdle.
    };

    // Adds a request. `id` must not be in use.
    void add(RequestId id, const std::string &peer, HttpUrgency urgency);
    // Removes a request that waits. Returns false if it does not wait (any more).
    bool cancel(RequestId id);
    // Records that the request on a connection to the peer has ended. `isOpen` tells whether the
    // connection can carry another one; it is then idle, and closed by an action if there are too
    // many.
    void requestEnded(const std::string &peer, bool isOpen);
    // Records that the peer closed the idle connection at this position, from the one that was used
    // longest ago.
    void idleClosed(const std::string &peer, std::size_t position);
    // Records that the client closed all idle connections to the peer.
    void allIdleClosed(const std::string &peer);

    // Returns the actions since the last call, in order.
    std::vector<Action> takeActions();

    // Returns the number of open connections, idle or not, those being opened included.
    std::size_t openCount() const { return m_openCount; }
    // Returns the number of requests that wait.
    std::size_t waitingCount() const { return m_waiting.size(); }

private:
    using Sequence = std::uint64_t; // Numbers requests and idle connections in their order.
    using Place = std::pair<HttpUrgency, Sequence>; // In the order of service.
    struct Peer
    {
        std::string address;
        std::size_t inFlight = 0;
        std::deque<Sequence> idle; // The one that was used longest ago is first.
        std::map<Place, RequestId> queue;
    };
    struct Waiting
    {
        Peer *peer = nullptr;
        Place place;
    };

    Peer &peerAt(const std::string &address);
    void removeIdle(Peer &peer, std::size_t position);
    void enlist(Peer &peer);
    void delist(Peer &peer);
    void serveWaiting();
    bool serveFirst(Peer &peer);
    bool hasConnectionFor(const Peer &peer);
    void assign(Peer &peer, RequestId id);

    const ConnectionLimits m_limits;
    std::unordered_map<std::string, Peer> m_peers;
    std::unordered_map<RequestId, Waiting> m_waiting;
    // The peers that are below their limit, by the place of their first waiting request.
    std::map<Place, Peer *> m_servable;
    std::map<Sequence, Peer *> m_idleByUse; // The connection that was used longest ago is first.
    std::size_t m_openCount = 0;
    Sequence m_lastSequence = 0;
    std::vector<Action> m_actions;
};

} // namespace savorywick
