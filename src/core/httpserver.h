#pragma once

#include "core/http.h"
#include "savorywick/clock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorywick {

// The limits that protect a server from too many, too large and too slow requests.
struct HttpServerLimits
{
    // Connections served at the same time. Further ones get status 503 and are closed.
    std::size_t maxConnections = 1'024;
    std::size_t maxBodyBytes = 1U << 20U; // Of a request; a larger one gets status 413.
    // A connection is closed once a request has more bytes than these and twice `maxBodyBytes`, so
    // that a chunked body has room for the lines between its chunks.
    std::size_t maxHeaderBytes = 65'536;
    Millis readTimeout{5'000}; // For each single read or write.
    // A keep-alive connection without a request is closed after it. Rounded down to whole seconds,
    // but at least one.
    Millis idleTimeout{2'000};
};

// A request as the handler gets it.
struct HttpRequest
{
    std::string method;
    std::string path; // Without the query.
    HttpHeaders headers;
    HttpHeaders queryParameters; // The decoded parameters of the query string.
    std::string body;
};

// A response to send.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    std::string contentType = "application/json";
};

// HTTP/1.1 server with one thread for each connection, up to a limit.
//
// Use it where requests may block. All requests of all paths go to one handler, which is called on
// many threads at once. Requests that don't reach the handler (a malformed request line, an
// oversized body, a connection over the limit) are answered with the response that the error
// responder makes for their status. The destructor calls stop().
//
// Example:
//   HttpServer server(limits, handleRequest, makeErrorResponse);
//   const std::string address = server.listen("127.0.0.1:0");
//   ...
//   server.stop();
class HttpServer
{
public:
    // Returns the response to a request. Must be thread-safe. An exception becomes status 500.
    using Handler = std::function<HttpResponse(const HttpRequest &)>;
    // Returns the response with an error status. Must be thread-safe.
    using ErrorResponder = std::function<HttpResponse(int status)>;

    HttpServer(const HttpServerLimits &limits, Handler handler, ErrorResponder makeErrorResponse);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Binds "IP:PORT", starts a thread that accepts connections, and returns the bound address.
    // Port 0 lets the system choose a free port. Throws Error(InvalidInput) if the address can't be
    // bound. Call it once.
    std::string listen(std::string_view address);

    // Makes every further response ask its client to close the connection.
    void drain();

    // Drains the server and lets no new connection be established. Established connections,
    // accepted or not, are still served. Call stop() or end the process once openConnections() is
    // zero.
    void refuseNewConnections();

    // Returns the number of accepted connections that are not closed yet.
    std::size_t openConnections() const;

    // Closes the listening socket, lets requests in progress finish, and returns when all
    // connections are closed. Idle connections close when their time-out passes.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
