#include "net/asynchttpclient.h"

#include "net/deadlinetimer.h"
#include "net/httpclientconnection.h"

#include <algorithm>
#include <deque>
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

    // A request that waits for a free connection.
    struct QueuedRequest
    {
        HttpCall call;
        Callback callback;
        EventLoop::TimerId queueTimer = 0; // Ends the wait.
    };
    // The connections and queued requests of one address.
    struct Peer
    {
        std::vector<ConnectionPtr> idle;
        std::size_t inFlight = 0; // Requests that hold a connection.
        std::deque<QueuedRequest> queue;
    };

    Impl(EventLoop &l, const AsyncHttpClientSettings &s)
        : loop(l)
        , settings(s)
        , deadlines(l)
    { }
    ~Impl() override;
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void requestEnded(const ConnectionPtr &connection, const HttpResult &result,
                      const Callback &callback, bool reusable) override;
    void idleConnectionLost(HttpClientConnection &connection) override;

    void exchange(HttpCall call, Callback callback);
    void start(const HttpCall &call, Callback callback);
    // Ends a request's use of a connection and starts the next queued request, if any.
    void releaseSlot(const std::string &address);
    void enqueue(HttpCall call, Callback callback);
    void expireQueued(const std::string &address, EventLoop::TimerId timer);
    ConnectionPtr takeIdle(const std::string &address);
    void keepIdle(const ConnectionPtr &connection);
    void dropIdle(const std::string &address);
    void count(HttpOutcome outcome);

    EventLoop &loop;
    const AsyncHttpClientSettings settings;
    std::unordered_map<std::string, Peer> peers;
    std::unordered_set<ConnectionPtr> busy; // The connections that carry a request.
    DeadlineTimer deadlines;
    Counters counters;
};

// A pending read keeps its connection until it is closed.
AsyncHttpClient::Impl::~Impl()
{
    for (const ConnectionPtr &it : busy)
        it->close();
    for (const auto &[address, peer] : peers) {
        for (const ConnectionPtr &it : peer.idle)
            it->close();
    }
}

void AsyncHttpClient::Impl::requestEnded(const ConnectionPtr &connection, const HttpResult &result,
                                         const Callback &callback, bool reusable)
{
    count(result.outcome);
    busy.erase(connection);
    if (result.outcome == HttpOutcome::TimedOut)
        dropIdle(connection->address());
    if (reusable)
        keepIdle(connection);
    releaseSlot(connection->address());
    callback(result); // Last, as it may destroy the client.
}

void AsyncHttpClient::Impl::idleConnectionLost(HttpClientConnection &connection)
{
    std::erase_if(peers[connection.address()].idle,
                  [&](const ConnectionPtr &c) { return c.get() == &connection; });
}

void AsyncHttpClient::Impl::dropIdle(const std::string &address)
{
    for (const ConnectionPtr &it : std::exchange(peers[address].idle, {}))
        it->close();
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

AsyncHttpClient::Impl::ConnectionPtr AsyncHttpClient::Impl::takeIdle(const std::string &address)
{
    std::vector<ConnectionPtr> &idle = peers[address].idle;
    if (idle.empty())
        return nullptr;
    // The most recently used connection is the least likely to have been closed by the peer.
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    return connection;
}

void AsyncHttpClient::Impl::keepIdle(const ConnectionPtr &connection)
{
    std::vector<ConnectionPtr> &idle = peers[connection->address()].idle;
    if (idle.size() >= settings.maxIdlePerPeer)
        return connection->close();
    idle.push_back(connection);
}

void AsyncHttpClient::Impl::exchange(HttpCall call, Callback callback)
{
    Peer &peer = peers[call.address];
    if (peer.inFlight >= settings.maxConnectionsPerPeer)
        return enqueue(std::move(call), std::move(callback));
    start(call, std::move(callback));
}

// Queues the request for at most half of its timeout; the other half is left for the response.
void AsyncHttpClient::Impl::enqueue(HttpCall call, Callback callback)
{
    call.timeout = call.timeout / 2;
    const std::string address = call.address;
    const auto timer = std::make_shared<EventLoop::TimerId>();
    *timer = loop.runAfter(call.timeout, [self = weak_from_this(), address, timer] {
        if (const auto pool = self.lock())
            pool->expireQueued(address, *timer);
    });
    peers[address].queue.push_back({std::move(call), std::move(callback), *timer});
}

void AsyncHttpClient::Impl::expireQueued(const std::string &address, EventLoop::TimerId timer)
{
    std::deque<QueuedRequest> &queue = peers[address].queue;
    const auto it = std::find_if(queue.begin(), queue.end(),
                                 [&](const QueuedRequest &r) { return r.queueTimer == timer; });
    if (it == queue.end())
        return;
    const Callback callback = std::move(it->callback);
    queue.erase(it);
    ++counters.notSent;
    callback({HttpOutcome::NotSent, 0, {}, {}});
}

void AsyncHttpClient::Impl::start(const HttpCall &call, Callback callback)
{
    ++peers[call.address].inFlight;
    if (const auto connection = takeIdle(call.address)) {
        busy.insert(connection);
        return connection->send(call, std::move(callback));
    }
    ++counters.connectionsOpened;
    const auto connection =
        std::make_shared<HttpClientConnection>(loop, deadlines, call.address, weak_from_this());
    busy.insert(connection);
    connection->connectAndSend(call, std::move(callback), settings.connectTimeout);
}

void AsyncHttpClient::Impl::releaseSlot(const std::string &address)
{
    Peer &peer = peers[address];
    --peer.inFlight;
    if (peer.queue.empty())
        return;
    QueuedRequest next = std::move(peer.queue.front());
    peer.queue.pop_front();
    loop.cancel(next.queueTimer);
    start(next.call, std::move(next.callback));
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

} // namespace savorywick
