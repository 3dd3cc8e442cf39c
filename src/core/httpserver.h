#pragma once

#include "core/http.h"
#include "savorywick/clock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorywick {

struct HttpServerLimits
{
    std::size_t connections = 1'024; // Served at once; one more is answered 503 and closed.
    std::size_t bodyBytes = 1U << 20U;
    Millis readTimeout{5'000}; // For each read of a slow client.
    Millis idleTimeout{2'000}; // A kept-alive connection without a request is closed after it.
};

struct HttpRequest
{
    std::string method;
    std::string path;
    HttpHeaders headers;
    HttpHeaders parameters; // Of the query.
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    std::string contentType = "application/json";
};

// Serves HTTP with one thread a connection, up to a limit; all requests go to one handler.
//
// Bad input that never reaches the handler (a broken request line, an oversized body) is answered
// by `refuse`, which is given the status. The handler runs on many threads at once.
//
// Example:
//   HttpServer server(limits, handle, refuse);
//   const std::string address = server.listen("127.0.0.1:0");
//   ...
//   server.stop();
class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;
    using Refuser = std::function<HttpResponse(int status)>;

    HttpServer(const HttpServerLimits &limits, Handler handler, Refuser refuse);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Binds "IP:PORT" (port 0 = any free one), starts serving on a thread of its own, and returns
    // the bound address. Throws Error(InvalidInput) if the address can't be bound.
    std::string listen(std::string_view address);

    // From now on every answer asks the client to close its connection.
    void drain();

    // Lets no further connection be established. Those that are, are accepted and served, and asked
    // to close after their next answer. Call stop() or end the process once they are done.
    void refuseNewConnections();
    // Returns how many connections were accepted and are not closed yet.
    std::size_t openConnections() const;

    // Closes the listener, lets the requests in flight finish, and returns when every connection
    // is closed, idle ones after their time-out.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
