#include "net/asynchttpclient.h"

#include "net/address.h"
#include "net/eventloopimpl.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savorywick {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Request = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

std::chrono::milliseconds toChrono(Millis span)
{
    return std::chrono::milliseconds(span.count());
}

Request toRequest(HttpCall &call)
{
    Request request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.path);
    request.set(http::field::host, call.address);
    for (const HttpHeader &it : call.headers)
        request.set(it.name, it.value);
    if (!call.body.empty() || call.method != "GET") {
        request.set(http::field::content_type, call.contentType);
        request.body() = std::move(call.body);
    }
    request.prepare_payload();
    return request;
}

HttpResult toResponse(Parser &parser)
{
    auto message = parser.release();
    HttpResult response{
        HttpOutcome::ResponseReceived, static_cast<int>(message.result_int()), {}, {}};
    for (const auto &field : message)
        response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    response.body = std::move(message.body());
    return response;
}

} // namespace

// The connection pool and the counters. Connections refer to it by weak pointers, so a pending
// operation does not keep the pool alive after the client is destroyed.
struct AsyncHttpClient::Impl : std::enable_shared_from_this<Impl>
{
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

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
    { }

    void exchange(HttpCall call, Callback callback);
    void start(HttpCall call, Callback callback);
    // Ends a request's use of a connection and starts the next queued request, if any.
    void releaseSlot(const std::string &address);
    void enqueue(HttpCall call, Callback callback);
    void expireQueued(const std::string &address, EventLoop::TimerId timer);
    ConnectionPtr takeIdle(const std::string &address);
    void keepIdle(const ConnectionPtr &connection);
    void removeIdle(const Connection *connection);
    void dropIdle(const std::string &address) { peers[address].idle.clear(); }

    EventLoop &loop;
    const AsyncHttpClientSettings settings;
    std::unordered_map<std::string, Peer> peers;
    Counters counters;
};

// One connection, which carries one request at a time.
class AsyncHttpClient::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(EventLoop &loop, std::string address, std::weak_ptr<Impl> pool)
        : m_stream(loop.impl().context)
        , m_address(std::move(address))
        , m_pool(std::move(pool))
    { }

    const std::string &address() const { return m_address; }

    void connectAndSend(HttpCall call, Callback callback, Millis connectTimeout)
    {
        begin(std::move(call), std::move(callback));
        m_stream.expires_after(toChrono(std::min(connectTimeout, m_timeout)));
        const std::optional<asio::ip::tcp::endpoint> endpoint = parseAddress(m_address);
        if (!endpoint)
            return finish({HttpOutcome::NotSent, 0, {}, {}});
        m_stream.async_connect(*endpoint, [self = shared_from_this()](const error_code &ec) {
            if (ec)
                return self->finish({HttpOutcome::NotSent, 0, {}, {}});
            error_code ignored; // Without the option, requests are only slower.
            self->m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->m_stream.expires_after(toChrono(self->m_timeout));
            self->write();
        });
    }

    void send(HttpCall call, Callback callback)
    {
        m_idle = false;
        begin(std::move(call), std::move(callback));
        write();
    }

    // Removes the connection from the pool if the peer closes it while it is idle.
    void watchForClose()
    {
        m_idle = true;
        m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                     [self = shared_from_this()](const error_code &) {
                                         if (!self->m_idle)
                                             return;
                                         if (const auto pool = self->m_pool.lock())
                                             pool->removeIdle(self.get());
                                     });
    }

private:
    void begin(HttpCall call, Callback callback)
    {
        m_callback = std::move(callback);
        m_timeout = call.timeout;
        m_stream.expires_after(toChrono(m_timeout));
        m_maxResponseBytes = call.maxResponseBytes;
        m_request = toRequest(call);
    }

    void write()
    {
        http::async_write(m_stream, m_request,
                          [self = shared_from_this()](const error_code &ec, std::size_t) {
                              if (ec)
                                  return self->fail(ec);
                              self->read();
                          });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(m_maxResponseBytes);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](const error_code &ec, std::size_t) {
                             if (ec)
                                 return self->fail(ec);
                             self->completeResponse();
                         });
    }

    void fail(const error_code &ec)
    {
        const bool timedOut = ec == beast::error::timeout;
        finish({timedOut ? HttpOutcome::TimedOut : HttpOutcome::ConnectionLost, 0, {}, {}});
    }

    void completeResponse()
    {
        const bool keepAlive = m_parser->keep_alive();
        const HttpResult response = toResponse(*m_parser);
        m_stream.expires_never();
        if (const auto pool = m_pool.lock(); pool && keepAlive)
            pool->keepIdle(shared_from_this());
        finish(response);
    }

    void finish(const HttpResult &response)
    {
        const auto pool = m_pool.lock();
        if (!pool)
            return;
        count(pool->counters, response.outcome);
        if (response.outcome == HttpOutcome::TimedOut)
            pool->dropIdle(m_address);
        // Cleared first: releaseSlot() may start a queued request on this connection.
        const Callback callback = std::exchange(m_callback, nullptr);
        pool->releaseSlot(m_address);
        pool->loop.post([callback, response, alive = m_pool] {
            if (!alive.expired())
                callback(response);
        });
    }

    static void count(Counters &counters, HttpOutcome outcome)
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

    beast::tcp_stream m_stream;
    std::string m_address;
    std::weak_ptr<Impl> m_pool;
    Callback m_callback;
    Request m_request;
    std::optional<Parser> m_parser;
    beast::flat_buffer m_buffer;
    std::size_t m_maxResponseBytes = 0;
    Millis m_timeout;
    bool m_idle = false;
};

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
        return;
    idle.push_back(connection);
    connection->watchForClose();
}

void AsyncHttpClient::Impl::removeIdle(const Connection *connection)
{
    std::erase_if(peers[connection->address()].idle,
                  [&](const ConnectionPtr &c) { return c.get() == connection; });
}

void AsyncHttpClient::Impl::exchange(HttpCall call, Callback callback)
{
    Peer &peer = peers[call.address];
    if (peer.inFlight >= settings.maxConnectionsPerPeer)
        return enqueue(std::move(call), std::move(callback));
    start(std::move(call), std::move(callback));
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

void AsyncHttpClient::Impl::start(HttpCall call, Callback callback)
{
    ++peers[call.address].inFlight;
    if (const auto connection = takeIdle(call.address))
        return connection->send(std::move(call), std::move(callback));
    ++counters.connectionsOpened;
    const auto connection = std::make_shared<Connection>(loop, call.address, weak_from_this());
    connection->connectAndSend(std::move(call), std::move(callback), settings.connectTimeout);
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
    start(std::move(next.call), std::move(next.callback));
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
