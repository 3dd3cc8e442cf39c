#include "net/httpclientconnection.h"

#include "net/address.h"
#include "net/eventloopimpl.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace savorywick {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Room for one read: enough for a usual response, and doubled while reads fill it.
constexpr std::size_t minReadBytes = 4'096;
constexpr std::size_t maxReadBytes = 65'536;

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

// Appends the request as it is sent. A request without a body has a length only if its method
// implies a body. A header "Host" of the call stands for the address.
void appendRequest(std::string &text, const HttpCall &call)
{
    text.append(call.method).append(" ").append(call.path).append(" HTTP/1.1\r\n");
    if (headerValue(call.headers, "Host").empty())
        appendHeader(text, "Host", call.address);
    for (const HttpHeader &it : call.headers)
        appendHeader(text, it.name, it.value);
    if (!call.body.empty() || call.method != "GET")
        appendHeader(text, "Content-Type", call.contentType);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
        appendHeader(text, "Content-Length", std::to_string(call.body.size()));
    text.append("\r\n").append(call.body);
}

// Returns true if and only if the error tells that the peer's host refused or closed the
// connection.
bool isClosedByPeer(const error_code &ec)
{
    return ec == asio::error::connection_refused || ec == asio::error::connection_reset
        || ec == asio::error::broken_pipe || ec == asio::error::eof;
}

} // namespace

HttpClientConnection::HttpClientConnection(EventLoop &loop, DeadlineTimer &deadlines,
                                           std::string address, std::weak_ptr<Listener> listener)
    : m_loop(loop)
    , m_deadlines(deadlines)
    , m_socket(loop.impl().context)
    , m_address(std::move(address))
    , m_listener(std::move(listener))
    , m_readBytes(minReadBytes)
{ }

void HttpClientConnection::connectAndSend(const HttpCall &call, Callback callback,
                                          Millis connectTimeout)
{
    const Millis timeout = call.timeout;
    begin(call, std::move(callback));
    const auto endpoint = parseAddress(m_address);
    if (!endpoint)
        return failLater(HttpOutcome::NotSent);
    limitTime(std::min(connectTimeout, timeout), HttpOutcome::NotSent);
    m_socket.async_connect(*endpoint, [self = shared_from_this(), timeout](const error_code &ec) {
        self->onConnected(ec, timeout);
    });
}

void HttpClientConnection::onConnected(const error_code &ec, Millis timeout)
{
    if (!m_socket.is_open())
        return;
    if (ec)
        return failLater(HttpOutcome::NotSent, isClosedByPeer(ec));
    error_code ignored; // Without these options, requests are only slower.
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    endTimeLimit();
    limitTime(timeout, HttpOutcome::TimedOut);
    write();
    if (m_socket.is_open())
        readSome();
}

void HttpClientConnection::send(const HttpCall &call, Callback callback)
{
    const Millis timeout = call.timeout;
    begin(call, std::move(callback));
    limitTime(timeout, HttpOutcome::TimedOut);
    write();
}

void HttpClientConnection::begin(const HttpCall &call, Callback callback)
{
    m_callback = std::move(callback);
    m_stallTimeout = call.stallTimeout;
    m_request.clear();
    appendRequest(m_request, call);
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(call.maxResponseBytes);
}

void HttpClientConnection::limitTime(Millis timeout, HttpOutcome outcome)
{
    m_deadline = m_deadlines.add(timeout, [this, outcome] {
        m_deadline.reset();
        failLater(outcome);
    });
}

void HttpClientConnection::endTimeLimit()
{
    if (m_deadline)
        m_deadlines.remove(*std::exchange(m_deadline, {}));
}

void HttpClientConnection::write()
{
    error_code ec;
    std::size_t n = m_socket.write_some(asio::buffer(m_request), ec);
    if (ec == asio::error::would_block)
        n = 0;
    else if (ec) // No byte was written: the peer had closed the connection before.
        return failLater(HttpOutcome::NotSent, isClosedByPeer(ec));
    if (n == m_request.size())
        return;
    m_writing = true;
    asio::async_write(m_socket, asio::buffer(m_request) + n,
                      [self = shared_from_this()](const error_code &writeError, std::size_t) {
                          self->m_writing = false;
                          if (writeError && self->m_socket.is_open())
                              self->failLater(HttpOutcome::ConnectionLost,
                                              isClosedByPeer(writeError));
                      });
}

void HttpClientConnection::readSome()
{
    m_socket.async_read_some(
        m_buffer.prepare(m_readBytes),
        [self = shared_from_this()](const error_code &ec, std::size_t n) { self->onRead(ec, n); });
}

void HttpClientConnection::onRead(const error_code &ec, std::size_t n)
{
    if (!m_socket.is_open())
        return;
    if (!m_parser) {
        if (const auto listener = m_listener.lock())
            listener->idleConnectionLost(*this);
        return close();
    }
    m_buffer.commit(n);
    if (n == m_readBytes)
        m_readBytes = std::min(2 * m_readBytes, maxReadBytes);
    error_code parseError;
    parse(parseError);
    const bool peerClosed = ec == asio::error::eof;
    if (peerClosed && !parseError && !m_parser->is_done() && m_parser->got_some())
        m_parser->put_eof(parseError);
    if (!parseError && m_parser->is_done())
        return complete(peerClosed);
    if (ec || parseError)
        return failLater(HttpOutcome::ConnectionLost, isClosedByPeer(ec));
    if (m_stallTimeout) {
        endTimeLimit();
        limitTime(*m_stallTimeout, HttpOutcome::TimedOut);
    }
    readSome();
}

void HttpClientConnection::parse(error_code &ec)
{
    while (!m_parser->is_done() && m_buffer.size() > 0) {
        m_buffer.consume(m_parser->put(m_buffer.data(), ec));
        if (ec == http::error::need_more) {
            ec = {};
            return;
        }
        if (ec)
            return;
    }
}

void HttpClientConnection::complete(bool peerClosed)
{
    const bool reusable =
        m_parser->keep_alive() && !peerClosed && !m_writing && m_buffer.size() == 0;
    auto message = m_parser->release();
    m_parser.reset();
    HttpResult result{
        HttpOutcome::ResponseReceived, static_cast<int>(message.result_int()), {}, {}};
    for (const auto &field : message)
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    result.body = std::move(message.body());
    const auto listener = m_listener.lock();
    if (!listener)
        return close();
    endTimeLimit();
    if (reusable)
        readSome();
    else
        close();
    listener->requestEnded(shared_from_this(), result, std::exchange(m_callback, nullptr),
                           reusable);
}

void HttpClientConnection::failLater(HttpOutcome outcome, bool closedByPeer)
{
    if (const auto listener = m_listener.lock())
        endTimeLimit();
    close();
    m_loop.post([self = shared_from_this(), outcome, closedByPeer] {
        const Callback callback = std::exchange(self->m_callback, nullptr);
        const auto listener = self->m_listener.lock();
        if (listener && callback)
            listener->requestEnded(self, {outcome, 0, {}, {}, closedByPeer}, callback, false);
    });
}

void HttpClientConnection::close()
{
    error_code ignored; // Nothing depends on how the connection ends.
    m_socket.close(ignored);
}

} // namespace savorywick
