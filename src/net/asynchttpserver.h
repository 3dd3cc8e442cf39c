#pragma once

#include "core/httpserver.h"
#include "net/eventloop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorywick {

struct AsyncHttpServerLimits
{
    // Limit of connections that are served. A further one gets status 503 and is closed.
    std::size_t maxConnections = 3'000;
    // Limit of connections that wait for status 503. A further one is closed without a response.
    std::size_t maxRejections = 256;
    Millis rejectionTimeout{2'000}; // Closes a connection over the limit that sends no request.
    // Larger headers get status 431, as do longer chunk extensions and trailers of a chunked body.
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 1U << 20U; // A larger body gets status 413.
    // Limit of the bytes that are held of all requests that are being read or handled. Beyond it, a
    // request gets status 503 if it is larger than an equal share of the limit for each connection.
    std::size_t maxHeldBytes = 32U << 20U;
    Millis requestTimeout{10'000}; // From the first byte of a request to its last.
    Millis idleTimeout{60'000}; // A connection that waits this long for a request is closed.
    Millis writeTimeout{10'000}; // Closes the connection to a client that stops reading.
    // After the last response on a connection that its client wants closed, the connection is only
    // half-closed for up to this long, until the client has closed it.
    Millis lingerTimeout{1'000};
};

// What a server read and did not answer, since its start.
struct AsyncHttpServerCounts
{
    // Requests that were read and whose connection ended before the whole response was written.
    std::uint64_t unanswered = 0;
    // Bytes that were read and discarded because they came after the last response of a connection.
    std::uint64_t discardedBytes = 0;
    // Requests that were malformed or over a size limit: status 400, 413 or 431.
    std::uint64_t unreadable = 0;
    // Requests that got status 503 because of `maxHeldBytes`.
    std::uint64_t refusedForMemory = 0;
};

// Serves HTTP/1.1 on an EventLoop and passes every request to one handler.
//
// Use it to serve many clients from one thread: the handler may keep the responder and respond
// later, while other connections are served. Requests on one connection are handled in sequence.
// A request that cannot be read gets status 400, 413 or 431 without the handler, and its
// connection is closed. However requests are cut into pieces, and whether or not they end, what is
// held of each and of all is bounded by the limits. Not thread-safe.
//
// Example:
//   AsyncHttpServer server(loop, limits, [](HttpRequest r, AsyncHttpServer::Responder respond) {
//       respond({.status = 200, .body = "{}"});
//   });
//   const std::string address = server.listen("127.0.0.1:0");
class AsyncHttpServer
{
public:
    // Sends the response. Call it on the loop's thread; calls after the first do nothing. Destroy
    // it before the loop.
    using Responder = std::function<void(HttpResponse)>;
    // `request.path` excludes the query string, whose parameters are in `request.parameters`. Both
    // are percent-decoded.
    using Handler = std::function<void(HttpRequest request, Responder respond)>;

    AsyncHttpServer(EventLoop &loop, const AsyncHttpServerLimits &limits, Handler handler);
    // Closes all connections at once, also those that wait for a response. Don't call it within the
    // handler.
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    // Listens on "IP:PORT" and returns the bound address; port 0 selects a free port. Throws
    // Error(InvalidInput) if the address is malformed or can't be bound.
    std::string listen(std::string_view address);

    // Replaces the limits. On an open connection the request that is being read or awaited keeps
    // the previous size limits.
    void setLimits(const AsyncHttpServerLimits &limits);

    // Adds "Connection: close" to every further response, so that clients move elsewhere. They
    // close their connections themselves: further requests on these are handled, since a client may
    // send one before it has read the response. New connections are still accepted.
    void drain();
    // Accepts the connections that already wait, and stops listening. Implies drain(): requests on
    // open connections are still handled.
    void close();
    // Closes the connections that owe their clients nothing: no request on them awaits its response
    // or is being read, and no byte has arrived that is not read. Each is closed within a turn of
    // the loop. Call it again until openConnections() is 0.
    void closeAnswered();
    // Returns the number of connections whose first request has not been read yet.
    std::size_t unusedConnections() const;
    // Returns the number of requests that were read and whose responses are not written yet.
    std::size_t inFlight() const;
    // Returns the number of connections that are not closed by both sides yet.
    std::size_t openConnections() const;
    // Returns the number of connections in which bytes have arrived that the server has not read.
    std::size_t unreadConnections() const;
    const AsyncHttpServerCounts &counts() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace savorywick
