#include "net/asynchttpclient.h"

#include "net/deadlinetimer.h"
#include "net/httpclientconnection.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace savorywick {

// The connection pool and the counters. Connections refer to it by weak pointers, so a pending
// operation does not keep the pool alive after the client is destroyed.
struct AsyncHttpClient::Impl : HttpClientConnection::Listener, std::enable_shared_from_this<Impl>
{
    using ConnectionPtr = std::shared_ptr<HttpClientConnection>;
    using RequestId = ConnectionAllocator::RequestId;
    using Action = ConnectionAllocator::Action;

    // A request that has no connection yet.
    struct WaitingRequest
    {
        HttpCall call;
        Callback callback;
        EventLoop::TimerId waitTimer = 0; // Ends the wait. 0 until the request has to wait.
    };

    Impl(EventLoop &l, const AsyncHttpClientSettings &s)
        : loop(l)
        , settings(s)
        , deadlines(l)
        , allocator(s.connections)
    { }
    ~Impl() override;
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void requestEnded(const ConnectionPtr &connection, const HttpResult &result,
                      const Callback &callback, bool reusable) override;
    void idleConnectionLost(HttpClientConnection &connection) override;

    void exchange(HttpCall call, Callback callback);
    // Carries out what the allocator has decided.
    void carryOutActions();
    void carryOut(const Action &action);
    void closeOldestIdle(const std::string &address);
    // Sends the request over an idle connection, or a new one.
    void send(const Action &action);
    void limitWait(RequestId id, HttpCall &call);
    void endWait(RequestId id);
    ConnectionPtr takeIdle(const std::string &address);
    void dropIdle(const std::string &address);
    void count(HttpOutcome outcome);

    EventLoop &loop;
    const AsyncHttpClientSettings settings;
    std::unordered_map<std::string, std::vector<ConnectionPtr>> idle; // In the order of their use.
    std::unordered_set<ConnectionPtr> busy; // The connections that carry a request.
    DeadlineTimer deadlines;
    ConnectionAllocator allocator;
    std::unordered_map<RequestId, WaitingRequest> waiting;
    RequestId lastRequest = 0;
    Counters counters;
};

// A pending read keeps its connection until it is closed.
AsyncHttpClient::Impl::~Impl()
{
    for (const ConnectionPtr &it : busy)
        it->close();
    for (const auto &[address, connections] : idle) {
        for (const ConnectionPtr &it : connections)
            it->close();
    }
}

void AsyncHttpClient::Impl::requestEnded(const ConnectionPtr &connection, const HttpResult &result,
                                         const Callback &callback, bool reusable)
{
    count(result.outcome);
    busy.erase(connection);
    const std::string address = connection->address();
    if (result.outcome == HttpOutcome::TimedOut)
        dropIdle(address);
    if (reusable)
        idle[address].push_back(connection);
    allocator.requestEnded(address, reusable);
    carryOutActions();
    callback(result); // Last, as it may destroy the client.
}

void AsyncHttpClient::Impl::idleConnectionLost(HttpClientConnection &connection)
{
    std::vector<ConnectionPtr> &connections = idle[connection.address()];
    const auto it = std::find_if(connections.begin(), connections.end(),
                                 [&](const ConnectionPtr &c) { return c.get() == &connection; });
    if (it == connections.end())
        return;
    const std::ptrdiff_t position = it - connections.begin();
    connections.erase(it);
    allocator.idleClosed(connection.address(), static_cast<std::size_t>(position));
    carryOutActions();
}

void AsyncHttpClient::Impl::dropIdle(const std::string &address)
{
    for (const ConnectionPtr &it : std::exchange(idle[address], {}))
        it->close();
    allocator.allIdleClosed(address);
    carryOutActions();
}

void AsyncHttpClient::Impl::count(HttpOutcome outcome)
{
    switch (outcome) {
    case HttpOutcome::ResponseReceived:
        ++counters.answered;
        break;
    case HttpOutcome::NotSent:
        ++counters.notSent;
        break;
    case HttpOutcome::TimedOut:
        ++counters.timedOut;
        break;
    case HttpOutcome::ConnectionLost:
    case HttpOutcome::ResponseMismatch:
        ++counters.broken;
        break;
    }
}

// The most recently used connection is the least likely to have been closed by the peer.
AsyncHttpClient::Impl::ConnectionPtr AsyncHttpClient::Impl::takeIdle(const std::string &address)
{
    std::vector<ConnectionPtr> &connections = idle[address];
    ConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    return connection;
}

void AsyncHttpClient::Impl::closeOldestIdle(const std::string &address)
{
    std::vector<ConnectionPtr> &connections = idle[address];
    connections.front()->close();
    connections.erase(connections.begin());
}

void AsyncHttpClient::Impl::exchange(HttpCall call, Callback callback)
{
    const RequestId id = ++lastRequest;
    const std::string address = call.address;
    const HttpUrgency urgency = call.urgency;
    waiting.emplace(id, WaitingRequest{std::move(call), std::move(callback)});
    allocator.add(id, address, urgency);
    carryOutActions();
    const auto it = waiting.find(id);
    if (it == waiting.end())
        return;
    ++counters.waited;
    limitWait(id, it->second.call);
}

// Lets the request wait for at most half of its timeout; the other half is left for the response.
void AsyncHttpClient::Impl::limitWait(RequestId id, HttpCall &call)
{
    call.timeout = call.timeout / 2;
    waiting.at(id).waitTimer = loop.runAfter(call.timeout, [self = weak_from_this(), id] {
        if (const auto pool = self.lock())
            pool->endWait(id);
    });
}

void AsyncHttpClient::Impl::endWait(RequestId id)
{
    if (!allocator.cancel(id))
        return;
    const Callback callback = std::move(waiting.at(id).callback);
    waiting.erase(id);
    ++counters.notSent;
    ++counters.waitedTooLong;
    callback({HttpOutcome::NotSent, 0, {}, {}});
}

void AsyncHttpClient::Impl::carryOutActions()
{
    for (const Action &it : allocator.takeActions())
        carryOut(it);
}

void AsyncHttpClient::Impl::carryOut(const Action &action)
{
    switch (action.kind) {
    case Action::Kind::CloseIdle:
        return closeOldestIdle(action.peer);
    case Action::Kind::Reuse:
    case Action::Kind::Open:
        return send(action);
    }
}

void AsyncHttpClient::Impl::send(const Action &action)
{
    const auto it = waiting.find(action.request);
    WaitingRequest request = std::move(it->second);
    waiting.erase(it);
    loop.cancel(request.waitTimer);
    if (action.kind == Action::Kind::Reuse) {
        const ConnectionPtr connection = takeIdle(action.peer);
        busy.insert(connection);
        return connection->send(request.call, std::move(request.callback));
    }
    ++counters.connectionsOpened;
    const auto connection =
        std::make_shared<HttpClientConnection>(loop, deadlines, action.peer, weak_from_this());
    busy.insert(connection);
    connection->connectAndSend(request.call, std::move(request.callback), settings.connectTimeout);
}

AsyncHttpClient::AsyncHttpClient(EventLoop &loop, const AsyncHttpClientSettings &settings)
    : m_impl(std::make_shared<Impl>(loop, settings))
{ }

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::exchange(HttpCall call, Callback callback)
{
    m_impl->exchange(std::move(call), std::move(callback));
}

void AsyncHttpClient::dropIdle(const std::string &address)
{
    m_impl->dropIdle(address);
}

const AsyncHttpClient::Counters &AsyncHttpClient::counters() const
{
    return m_impl->counters;
}

std::size_t AsyncHttpClient::openConnections() const
{
    return m_impl->allocator.openCount();
}

} // namespace savorywick
