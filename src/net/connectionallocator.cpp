#include "net/connectionallocator.h"

#include <utility>

namespace savorywick {

ConnectionAllocator::Peer &ConnectionAllocator::peerAt(const std::string &address)
{
    Peer &peer = m_peers[address];
    if (peer.address.empty())
        peer.address = address;
    return peer;
}

void ConnectionAllocator::add(RequestId id, const std::string &peer, HttpUrgency urgency)
{
    Peer &p = peerAt(peer);
    const bool comesFirst = m_servable.empty() && p.queue.empty();
    if (comesFirst && p.inFlight < m_limits.maxPerPeer && hasConnectionFor(p))
        return assign(p, id);
    const Place place{urgency, ++m_lastSequence};
    delist(p);
    p.queue.emplace(place, id);
    m_waiting.emplace(id, Waiting{&p, place});
    enlist(p);
    serveWaiting();
}

bool ConnectionAllocator::cancel(RequestId id)
{
    const auto it = m_waiting.find(id);
    if (it == m_waiting.end())
        return false;
    Peer &peer = *it->second.peer;
    delist(peer);
    peer.queue.erase(it->second.place);
    m_waiting.erase(it);
    enlist(peer);
    return true;
}

void ConnectionAllocator::requestEnded(const std::string &peer, bool isOpen)
{
    Peer &p = peerAt(peer);
    delist(p);
    --p.inFlight;
    if (isOpen) {
        p.idle.push_back(++m_lastSequence);
        m_idleByUse.emplace(m_lastSequence, &p);
    } else {
        --m_openCount;
    }
    enlist(p);
    serveWaiting();
    if (p.idle.size() <= m_limits.maxIdlePerPeer)
        return;
    m_actions.push_back({Action::Kind::CloseIdle, p.address});
    removeIdle(p, 0);
}

void ConnectionAllocator::idleClosed(const std::string &peer, std::size_t position)
{
    removeIdle(peerAt(peer), position);
    serveWaiting();
}

void ConnectionAllocator::allIdleClosed(const std::string &peer)
{
    Peer &p = peerAt(peer);
    while (!p.idle.empty())
        removeIdle(p, 0);
    serveWaiting();
}

std::vector<ConnectionAllocator::Action> ConnectionAllocator::takeActions()
{
    return std::exchange(m_actions, {});
}

void ConnectionAllocator::removeIdle(Peer &peer, std::size_t position)
{
    const auto it = peer.idle.begin() + static_cast<std::ptrdiff_t>(position);
    m_idleByUse.erase(*it);
    peer.idle.erase(it);
    --m_openCount;
}

// Adds the peer to the servable ones if it is one of them.
void ConnectionAllocator::enlist(Peer &peer)
{
    if (!peer.queue.empty() && peer.inFlight < m_limits.maxPerPeer)
        m_servable.emplace(peer.queue.begin()->first, &peer);
}

// Removes the peer from the servable ones. Call it before the peer changes, and enlist() after.
void ConnectionAllocator::delist(Peer &peer)
{
    if (!peer.queue.empty())
        m_servable.erase(peer.queue.begin()->first);
}

void ConnectionAllocator::serveWaiting()
{
    while (!m_servable.empty() && serveFirst(*m_servable.begin()->second)) { }
}

// Gives the peer's first waiting request a connection. Returns false if there is none for it.
bool ConnectionAllocator::serveFirst(Peer &peer)
{
    if (!hasConnectionFor(peer))
        return false;
    delist(peer);
    const auto first = peer.queue.begin();
    const RequestId id = first->second;
    m_waiting.erase(id);
    peer.queue.erase(first);
    assign(peer, id);
    enlist(peer);
    return true;
}

// Returns true if and only if the peer has an idle connection or one may be opened. Closes the idle
// connection that was used longest ago if that is needed to open one.
bool ConnectionAllocator::hasConnectionFor(const Peer &peer)
{
    if (!peer.idle.empty() || m_openCount < m_limits.maxOpen)
        return true;
    if (m_idleByUse.empty())
        return false;
    Peer &other = *m_idleByUse.begin()->second;
    m_actions.push_back({Action::Kind::CloseIdle, other.address});
    removeIdle(other, 0);
    return true;
}

// Lets the request use an idle connection to its peer or, if there is none, a new one.
void ConnectionAllocator::assign(Peer &peer, RequestId id)
{
    const bool reuses = !peer.idle.empty();
    if (reuses)
        removeIdle(peer, peer.idle.size() - 1);
    ++m_openCount;
    ++peer.inFlight;
    m_actions.push_back({reuses ? Action::Kind::Reuse : Action::Kind::Open, peer.address, id});
}

} // namespace savorywick
