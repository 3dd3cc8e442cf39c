#pragma once

#include "core/httpclient.h"
#include "net/deadlinetimer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savorywick {

// A connection of AsyncHttpClient to a peer, which carries one request at a time.
//
// A read is always pending, also between requests: it receives the next response, and it notices
// when the peer closes an idle connection, without a system call to start it. A request is written
// as soon as it is sent. Not thread-safe.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    using Callback = std::function<void(const HttpResult &)>;

    // Learns what becomes of connections.
    class Listener
    {
    public:
        virtual ~Listener() = default;
        // The request ended; never called while it is being sent. If `reusable` is true, the
        // connection is idle and may carry another request; otherwise it is closed.
        virtual void requestEnded(const std::shared_ptr<HttpClientConnection> &connection,
                                  const HttpResult &result, const Callback &callback,
                                  bool reusable) = 0;
        // The peer closed the connection, or sent data, while it was idle.
        virtual void idleConnectionLost(HttpClientConnection &connection) = 0;
    };

    // `deadlines` must outlive `listener`, which is not called after its destruction. `loop` must
    // outlive this object.
    HttpClientConnection(EventLoop &loop, DeadlineTimer &deadlines, std::string address,
                         std::weak_ptr<Listener> listener);

    const std::string &address() const { return m_address; }

    // Connects and sends the first request.
    void connectAndSend(const HttpCall &call, Callback callback, Millis connectTimeout);
    // Sends a further request. Precondition: the connection is idle.
    void send(const HttpCall &call, Callback callback);
    // Closes the connection. The callback of a pending request does not run.
    void close();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using Executor = boost::asio::io_context::executor_type;
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;

    void begin(const HttpCall &call, Callback callback);
    void limitTime(Millis timeout, HttpOutcome outcome);
    void endTimeLimit();
    void onConnected(const boost::system::error_code &ec, Millis timeout);
    void write();
    void readSome();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    // Passes what was read to the parser, until it has a whole response or needs more.
    void parse(boost::system::error_code &ec);
    void complete(bool peerClosed);
    // Closes the connection now and reports the outcome in a later turn of the loop.
    void failLater(HttpOutcome outcome, bool closedByPeer = false);

    EventLoop &m_loop;
    DeadlineTimer &m_deadlines;
    Socket m_socket;
    const std::string m_address;
    const std::weak_ptr<Listener> m_listener;
    std::optional<DeadlineTimer::Handle> m_deadline;
    std::optional<Millis> m_stallTimeout; // Of the present request.
    Callback m_callback;
    std::string m_request;
    bool m_writing = false; // A part of the request is still to be written.
    std::optional<Parser> m_parser; // Absent while the connection is idle.
    boost::beast::flat_buffer m_buffer;
    std::size_t m_readBytes; // Room for the next read.
};

} // namespace savorywick
