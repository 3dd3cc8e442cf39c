#include "net/connectionallocator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace savorywick;

namespace {

using Action = ConnectionAllocator::Action;

// A client of a fleet in virtual time, one step a unit. It carries out the actions of an allocator
// and checks them. Peers answer after a time of their own, or never: such a request ends, and its
// connection is closed, after a timeout.
class SimulatedClient
{
public:
    SimulatedClient(const ConnectionLimits &limits, std::vector<int> answerTimes)
        : m_limits(limits)
        , m_answerTimes(std::move(answerTimes))
        , m_allocator(limits)
    { }

    static constexpr int timeout = 12;
    static constexpr int neverAnswers = timeout + 1;

    std::string addressOf(std::size_t peer) const { return "w" + std::to_string(peer); }

    void request(std::size_t peer, HttpUrgency urgency)
    {
        const ConnectionAllocator::RequestId id = ++m_lastRequest;
        m_waiting[id] = {peer, urgency, m_now};
        m_allocator.add(id, addressOf(peer), urgency);
        carryOut();
    }

    void advance()
    {
        ++m_now;
        endDueRequests();
        cancelOldRequests();
        closeSomeIdle();
        checkNothingIsHeldUp();
    }

    bool isIdle() const { return m_waiting.empty() && m_ends.empty(); }

private:
    struct Waiting
    {
        std::size_t peer = 0;
        HttpUrgency urgency = HttpUrgency::Normal;
        int since = 0;
    };
    struct Connections
    {
        std::size_t busy = 0;
        std::size_t idle = 0;
    };

    void carryOut()
    {
        for (const Action &it : m_allocator.takeActions()) {
            Connections &peer = m_connections[it.peer];
            if (it.kind == Action::Kind::CloseIdle) {
                RC_ASSERT(peer.idle > 0U);
                --peer.idle;
                --m_open;
                continue;
            }
            start(it, peer);
        }
        RC_ASSERT(m_open == m_allocator.openCount());
        RC_ASSERT(m_waiting.size() == m_allocator.waitingCount());
    }

    void start(const Action &action, Connections &peer)
    {
        const auto it = m_waiting.find(action.request);
        RC_ASSERT(it != m_waiting.end());
        RC_ASSERT(addressOf(it->second.peer) == action.peer);
        if (action.kind == Action::Kind::Reuse) {
            RC_ASSERT(peer.idle > 0U);
            --peer.idle;
        } else {
            RC_ASSERT(peer.idle == 0U);
            ++m_open;
        }
        ++peer.busy;
        RC_ASSERT(m_open <= m_limits.maxOpen);
        RC_ASSERT(peer.busy <= m_limits.maxPerPeer);
        const int takes = m_answerTimes[it->second.peer];
        m_ends.emplace(m_now + std::min(takes, timeout), it->second.peer);
        m_waiting.erase(it);
    }

    void endDueRequests()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const std::size_t peer = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            Connections &connections = m_connections[addressOf(peer)];
            --connections.busy;
            const bool isOpen = m_answerTimes[peer] <= timeout;
            if (isOpen)
                ++connections.idle;
            else
                --m_open;
            m_allocator.requestEnded(addressOf(peer), isOpen);
            carryOut();
            RC_ASSERT(connections.idle <= m_limits.maxIdlePerPeer);
        }
    }

    // Requests wait for a limited time only.
    void cancelOldRequests()
    {
        constexpr int maxWait = 40;
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            if (m_now - it->second.since < maxWait) {
                ++it;
                continue;
            }
            RC_ASSERT(m_allocator.cancel(it->first));
            it = m_waiting.erase(it);
        }
        carryOut();
    }

    void closeSomeIdle()
    {
        constexpr int period = 7;
        if (m_now % period != 0)
            return;
        for (auto &[address, it] : m_connections) {
            if (it.idle == 0)
                continue;
            --it.idle;
            --m_open;
            m_allocator.idleClosed(address, it.idle);
            return carryOut();
        }
    }

    // No request waits while its peer is below its limit and a connection is to be had.
    void checkNothingIsHeldUp() const
    {
        std::size_t idle = 0;
        for (const auto &[address, it] : m_connections)
            idle += it.idle;
        for (const auto &[id, it] : m_waiting) {
            const auto peer = m_connections.find(addressOf(it.peer));
            const std::size_t busy = peer == m_connections.end() ? 0 : peer->second.busy;
            RC_ASSERT(busy >= m_limits.maxPerPeer || (m_open == m_limits.maxOpen && idle == 0));
        }
    }

    const ConnectionLimits m_limits;
    const std::vector<int> m_answerTimes; // By peer.
    ConnectionAllocator m_allocator;
    int m_now = 0;
    ConnectionAllocator::RequestId m_lastRequest = 0;
    std::map<ConnectionAllocator::RequestId, Waiting> m_waiting;
    std::map<std::string, Connections> m_connections;
    std::multimap<int, std::size_t> m_ends; // When the request to a peer ends.
    std::size_t m_open = 0;
};

std::vector<std::string> startedPeers(ConnectionAllocator &allocator)
{
    std::vector<std::string> peers;
    for (const Action &it : allocator.takeActions()) {
        if (it.kind != Action::Kind::CloseIdle)
            peers.push_back(it.peer);
    }
    return peers;
}

} // namespace

// The load of a process that calls 1,800 workers in bursts with few descriptors: some workers are
// slow and some never answer.
TEST_CASE("Connections to a large fleet stay within random limits and hold up no request")
{
    CHECK(rc::check("bursts over 1 800 peers", [] {
        constexpr std::size_t peerCount = 1'800;
        ConnectionLimits limits;
        limits.maxOpen = *rc::gen::inRange<std::size_t>(1, 400);
        limits.maxPerPeer = *rc::gen::inRange<std::size_t>(1, 5);
        limits.maxIdlePerPeer = *rc::gen::inRange<std::size_t>(0, 3);
        const auto stride = *rc::gen::inRange<std::size_t>(1, 1'000);
        std::vector<int> answerTimes;
        for (std::size_t i = 0; i < peerCount; ++i)
            answerTimes.push_back(i % 10 == 0 ? SimulatedClient::neverAnswers
                                              : 1 + static_cast<int>(i % 4));
        SimulatedClient client(limits, std::move(answerTimes));
        std::size_t next = 0;
        for (int step = 0; step < 60; ++step) {
            const auto burst = *rc::gen::inRange(0, 60);
            for (int i = 0; i < burst; ++i) {
                client.request(next % peerCount,
                               i % 3 == 0 ? HttpUrgency::Urgent : HttpUrgency::Normal);
                next += stride;
            }
            client.advance();
        }
        constexpr int longEnough = 200;
        for (int step = 0; step < longEnough; ++step)
            client.advance();
        RC_ASSERT(client.isIdle());
    }));
}

// Guards against leases that end since starts of new work hold every connection.
TEST_CASE("An urgent request is served before requests that have waited longer")
{
    ConnectionAllocator allocator({.maxOpen = 1, .maxPerPeer = 1, .maxIdlePerPeer = 1});
    allocator.add(1, "a", HttpUrgency::Normal);
    allocator.add(2, "b", HttpUrgency::Normal);
    allocator.add(3, "c", HttpUrgency::Urgent);
    CHECK(startedPeers(allocator) == std::vector<std::string>{"a"});
    allocator.requestEnded("a", true);
    CHECK(startedPeers(allocator) == std::vector<std::string>{"c"});
    allocator.requestEnded("c", true);
    CHECK(startedPeers(allocator) == std::vector<std::string>{"b"});
    CHECK(allocator.openCount() == 1);
}

TEST_CASE("The idle connection that was used longest ago makes room for another peer")
{
    ConnectionAllocator allocator({.maxOpen = 2, .maxPerPeer = 2, .maxIdlePerPeer = 2});
    allocator.add(1, "a", HttpUrgency::Normal);
    allocator.add(2, "b", HttpUrgency::Normal);
    allocator.requestEnded("b", true);
    allocator.requestEnded("a", true);
    allocator.takeActions();
    allocator.add(3, "c", HttpUrgency::Normal);
    const std::vector<Action> actions = allocator.takeActions();
    REQUIRE(actions.size() == 2);
    CHECK((actions[0].kind == Action::Kind::CloseIdle));
    CHECK(actions[0].peer == "b");
    CHECK((actions[1].kind == Action::Kind::Open));
    CHECK(actions[1].peer == "c");
}

// Guards against one slow peer that holds up the requests to all others.
TEST_CASE("A peer at its limit holds up no other peer")
{
    ConnectionAllocator allocator({.maxOpen = 10, .maxPerPeer = 1, .maxIdlePerPeer = 1});
    allocator.add(1, "slow", HttpUrgency::Urgent);
    allocator.add(2, "slow", HttpUrgency::Urgent);
    allocator.add(3, "quick", HttpUrgency::Normal);
    CHECK(startedPeers(allocator) == std::vector<std::string>{"slow", "quick"});
    CHECK(allocator.waitingCount() == 1);
    CHECK(allocator.cancel(2));
    CHECK_FALSE(allocator.cancel(2));
}
