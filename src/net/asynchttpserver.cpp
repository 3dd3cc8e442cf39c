#include "net/asynchttpserver.h"

#include "core/log.h"
#include "net/address.h"
#include "net/eventloopimpl.h"
#include "net/httprequestreader.h"
#include "savorywick/errors.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <utility>

namespace savorywick {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using Response = http::response<http::string_body>;

// The wait after a failed accept, for example when the process is out of file descriptors.
constexpr Millis acceptRetryDelay{100};
constexpr int maxAcceptsPerTurn = 64;

std::chrono::milliseconds toChrono(Millis span)
{
    return std::chrono::milliseconds(span.count());
}

// Returns the client's address, or an empty text if the connection has failed.
std::string remoteAddress(const Tcp::socket &socket)
{
    error_code ec;
    const Tcp::endpoint client = socket.remote_endpoint(ec);
    if (ec)
        return {};
    return client.address().to_string() + ":" + std::to_string(client.port());
}

} // namespace

struct AsyncHttpServer::Impl : std::enable_shared_from_this<Impl>
{
    class Session;

    Impl(EventLoop &l, const AsyncHttpServerLimits &m, Handler h)
        : loop(l)
        , limits(m)
        , handler(std::move(h))
        , acceptor(l.impl().context)
    { }

    void accept();
    void admit(Tcp::socket socket);
    void acceptWaiting(int limit);
    // Returns whether a request of this size is to be refused for what is held of all requests.
    bool mustRefuse(std::size_t bytes) const;

    EventLoop &loop;
    AsyncHttpServerLimits limits;
    Handler handler;
    Tcp::acceptor acceptor;
    std::set<Session *> sessions; // Of all open connections.
    std::size_t inFlight = 0;
    std::size_t heldBytes = 0; // Of all requests.
    AsyncHttpServerCounts counts;
    bool draining = false;
    bool closing = false;
};

// One client connection. Its pending operations and its responder share ownership of it.
class AsyncHttpServer::Impl::Session : public std::enable_shared_from_this<Session>
{
public:
    // If `rejects` is set, the first request gets status 503, and the connection is closed.
    Session(Tcp::socket socket, std::shared_ptr<Impl> server, bool rejects)
        : m_stream(std::move(socket))
        , m_server(std::move(server))
        , m_rejects(rejects)
    {
        m_server->sessions.insert(this);
    }
    ~Session()
    {
        endRequest(m_awaitsResponse);
        hold(0);
        if (m_discardedBytes > 0)
            logInfo("request-bytes-discarded", {{"client", m_client}, {"bytes", m_discardedBytes}});
        m_server->sessions.erase(this);
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    // Waits for the first byte of a request under the idle timeout, then reads the rest under the
    // request timeout.
    void awaitRequest()
    {
        m_reader.start({m_server->limits.maxHeaderBytes, m_server->limits.maxBodyBytes});
        if (m_reader.hasUnparsedBytes())
            return read();
        m_stream.expires_after(
            toChrono(m_rejects ? m_server->limits.rejectionTimeout : m_server->limits.idleTimeout));
        m_isWaiting = true;
        m_stream.async_read_some(prepare(firstReadBytes),
                                 [self = shared_from_this()](const error_code &ec, std::size_t n) {
                                     self->m_isWaiting = false;
                                     if (self->mustWaitAgain(ec))
                                         return self->awaitRequest();
                                     if (ec)
                                         return;
                                     self->m_reader.commit(n);
                                     self->read();
                                 });
    }

    // Closes the connection if it waits for bytes and none has arrived. The pending read decides,
    // since it may have taken bytes already.
    void closeIfAnswered()
    {
        error_code ignored; // The client may have closed the connection first.
        if (m_isWaiting)
            m_stream.socket().cancel(ignored);
    }

    // Closes the connection, whatever it owes its client.
    void abort()
    {
        error_code ignored; // The client may have closed the connection first.
        m_stream.socket().close(ignored);
    }

    // Returns true if and only if no request was read yet.
    bool isUnused() const { return !m_wasUsed; }

    // Returns true if and only if bytes have arrived that the server has not read.
    bool hasArrivedBytes()
    {
        error_code ignored; // A failed connection has no bytes.
        return m_stream.socket().available(ignored) > 0;
    }

private:
    static constexpr std::size_t firstReadBytes = 4'096;
    static constexpr std::size_t furtherReadBytes = 16'384;

    void read()
    {
        m_stream.expires_after(toChrono(m_server->limits.requestTimeout));
        parse();
    }

    void parse()
    {
        const HttpRequestReader::State state = m_reader.parse();
        hold(m_reader.heldBytes());
        if (state == HttpRequestReader::State::Failed)
            return sendError(m_reader.errorStatus());
        if (m_server->mustRefuse(m_heldBytes)) {
            ++m_server->counts.refusedForMemory;
            return reject();
        }
        if (state == HttpRequestReader::State::Complete)
            return handle();
        readMore();
    }

    void readMore()
    {
        m_stream.async_read_some(prepare(furtherReadBytes),
                                 [self = shared_from_this()](const error_code &ec, std::size_t n) {
                                     if (ec)
                                         return;
                                     self->m_reader.commit(n);
                                     self->parse();
                                 });
    }

    asio::mutable_buffer prepare(std::size_t bytes)
    {
        const std::span<char> room = m_reader.prepare(bytes);
        return asio::buffer(room.data(), room.size());
    }

    // Sets how many bytes are held for this connection's request.
    void hold(std::size_t bytes)
    {
        m_server->heldBytes += bytes;
        m_server->heldBytes -= std::exchange(m_heldBytes, bytes);
    }

    void sendError(int status)
    {
        ++m_server->counts.unreadable;
        m_keepAlive = false;
        writeResponse({.status = status, .headers = {}, .body = {}});
    }

    void handle()
    {
        if (m_rejects)
            return reject();
        m_stream.expires_never();
        m_keepAlive = m_reader.keepAlive();
        m_awaitsResponse = true;
        m_wasUsed = true;
        ++m_server->inFlight;
        const auto responded = std::make_shared<bool>(false);
        const auto respond = [self = shared_from_this(), responded](HttpResponse response) {
            if (!std::exchange(*responded, true))
                self->writeResponse(std::move(response));
        };
        m_server->handler(m_reader.takeRequest(), respond);
    }

    void reject()
    {
        m_keepAlive = false;
        writeResponse({.status = 503, .headers = {{"Retry-After", "1"}}, .body = {}});
    }

    void writeResponse(HttpResponse response)
    {
        m_response = Response(static_cast<http::status>(response.status), 11);
        for (const HttpHeader &it : response.headers)
            m_response.set(it.name, it.value);
        if (!response.body.empty())
            m_response.set(http::field::content_type, response.contentType);
        m_response.body() = std::move(response.body);
        // A further request that has already arrived gets a response, too.
        m_response.keep_alive(m_keepAlive && (!m_server->draining || hasUnreadBytes()));
        m_response.prepare_payload();
        m_stream.expires_after(toChrono(m_server->limits.writeTimeout));
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](const error_code &ec, std::size_t) {
                              self->onWritten(ec);
                          });
    }

    void onWritten(const error_code &ec)
    {
        endRequest(ec.failed());
        hold(0);
        if (ec)
            return;
        // A client that was only asked to close the connection may have sent its next request
        // before.
        if (m_keepAlive)
            return awaitRequest();
        halfClose();
        m_stream.expires_after(toChrono(m_server->limits.lingerTimeout));
        linger();
    }

    void endRequest(bool unanswered)
    {
        if (!std::exchange(m_awaitsResponse, false))
            return;
        --m_server->inFlight;
        m_server->counts.unanswered += unanswered ? 1 : 0;
    }

    bool hasUnreadBytes() { return m_reader.hasUnparsedBytes() || hasArrivedBytes(); }

    void halfClose()
    {
        error_code ignored; // The client may have closed the connection first.
        m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    // Reads and discards what the client still sends until it closes the connection or the time is
    // up. Closing with unread bytes would reset the connection, and a reset may overtake the
    // response.
    void linger()
    {
        m_reader.discard();
        m_isWaiting = true;
        m_stream.async_read_some(prepare(firstReadBytes),
                                 [self = shared_from_this()](const error_code &ec, std::size_t n) {
                                     self->m_isWaiting = false;
                                     if (self->mustWaitAgain(ec) || !ec)
                                         self->discard(n);
                                 });
    }

    // Returns true if and only if closeIfAnswered() ended a read and bytes have come since.
    bool mustWaitAgain(const error_code &ec)
    {
        return ec == asio::error::operation_aborted && hasArrivedBytes();
    }

    void discard(std::size_t bytes)
    {
        if (m_discardedBytes == 0)
            m_client = remoteAddress(m_stream.socket());
        m_discardedBytes += bytes;
        m_server->counts.discardedBytes += bytes;
        linger();
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<Impl> m_server;
    HttpRequestReader m_reader;
    std::size_t m_heldBytes = 0; // Of the request that is read or awaits its response.
    Response m_response;
    bool m_keepAlive = true;
    const bool m_rejects;
    std::uint64_t m_discardedBytes = 0;
    std::string m_client; // The address, known once bytes have been discarded.
    bool m_isWaiting = false; // For the first byte of a request, or for the end.
    bool m_wasUsed = false; // A request was read.
    bool m_awaitsResponse = false; // A request was read and its response is not written yet.
};

void AsyncHttpServer::Impl::accept()
{
    acceptor.async_accept([weak = weak_from_this()](const error_code &ec, Tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || ec == asio::error::operation_aborted || (ec && self->closing))
            return;
        if (ec) {
            logWarning("accept-failed", {{"error", ec.message()}});
            self->loop.runAfter(acceptRetryDelay, [weak] {
                if (const auto server = weak.lock())
                    server->accept();
            });
            return;
        }
        self->admit(std::move(socket));
        if (self->closing)
            return;
        // A turn of a busy loop is long, and one connection a turn would be too few.
        self->acceptWaiting(maxAcceptsPerTurn);
        self->accept();
    });
}

void AsyncHttpServer::Impl::admit(Tcp::socket socket)
{
    if (sessions.size() >= limits.maxConnections + limits.maxRejections)
        return;
    const bool rejects = sessions.size() >= limits.maxConnections;
    error_code ignored; // Without the option, responses are only slower.
    socket.set_option(Tcp::no_delay(true), ignored);
    std::make_shared<Session>(std::move(socket), shared_from_this(), rejects)->awaitRequest();
}

// Accepts the connections that wait, up to a limit.
void AsyncHttpServer::Impl::acceptWaiting(int limit)
{
    error_code ec;
    acceptor.non_blocking(true, ec);
    for (int n = 0; n < limit && !ec; ++n) {
        Tcp::socket socket(loop.impl().context);
        acceptor.accept(socket, ec);
        if (!ec)
            admit(std::move(socket));
    }
}

// A request that is no larger than an equal share is always let in, so that the large ones of a few
// clients are no reason to refuse it. So at most twice the limit is held.
bool AsyncHttpServer::Impl::mustRefuse(std::size_t bytes) const
{
    const std::size_t connections = limits.maxConnections + limits.maxRejections;
    return heldBytes > limits.maxHeldBytes
        && bytes > limits.maxHeldBytes / std::max<std::size_t>(connections, 1);
}

AsyncHttpServer::AsyncHttpServer(EventLoop &loop, const AsyncHttpServerLimits &limits,
                                 Handler handler)
    : m_impl(std::make_shared<Impl>(loop, limits, std::move(handler)))
{ }

AsyncHttpServer::~AsyncHttpServer()
{
    error_code ignored; // A destructor cannot report it.
    m_impl->acceptor.close(ignored);
    for (Impl::Session *it : m_impl->sessions)
        it->abort();
}

std::string AsyncHttpServer::listen(std::string_view address)
{
    const std::optional<Tcp::endpoint> endpoint = parseAddress(address);
    if (!endpoint)
        throw Error(ErrorKind::InvalidInput,
                    "'" + std::string(address) + "' is not a valid address",
                    "specify an IP address and a port, such as 127.0.0.1:8080");
    try {
        m_impl->acceptor.open(endpoint->protocol());
        m_impl->acceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_impl->acceptor.bind(*endpoint);
        m_impl->acceptor.listen();
    } catch (const boost::system::system_error &e) {
        throw Error(ErrorKind::InvalidInput,
                    "can't listen on '" + std::string(address) + "': " + e.what(),
                    "specify an address of this host and a free port");
    }
    m_impl->accept();
    const Tcp::endpoint bound = m_impl->acceptor.local_endpoint();
    return bound.address().to_string() + ":" + std::to_string(bound.port());
}

void AsyncHttpServer::setLimits(const AsyncHttpServerLimits &limits)
{
    m_impl->limits = limits;
}

void AsyncHttpServer::drain()
{
    m_impl->draining = true;
}

void AsyncHttpServer::close()
{
    m_impl->draining = true;
    if (std::exchange(m_impl->closing, true))
        return;
    // Closing the acceptor would reset the connections that still wait.
    m_impl->acceptWaiting(std::numeric_limits<int>::max());
    error_code ignored; // The acceptor is closed in any case.
    m_impl->acceptor.close(ignored);
}

void AsyncHttpServer::closeAnswered()
{
    for (Impl::Session *it : m_impl->sessions)
        it->closeIfAnswered();
}

std::size_t AsyncHttpServer::unusedConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_impl->sessions.begin(), m_impl->sessions.end(),
                      [](const Impl::Session *it) { return it->isUnused(); }));
}

std::size_t AsyncHttpServer::inFlight() const
{
    return m_impl->inFlight;
}

std::size_t AsyncHttpServer::openConnections() const
{
    return m_impl->sessions.size();
}

std::size_t AsyncHttpServer::unreadConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_impl->sessions.begin(), m_impl->sessions.end(),
                      [](Impl::Session *it) { return it->hasArrivedBytes(); }));
}

const AsyncHttpServerCounts &AsyncHttpServer::counts() const
{
    return m_impl->counts;
}

} // namespace savorywick
