#pragma once

#include "core/httpserver.h"
#include "net/eventloop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorywick {

struct AsyncHttpServerLimits
{
    std::size_t connections = 3'000; // Open at once; one more is closed at once.
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 1U << 20U;
    Millis requestTimeout{10'000}; // From the first byte of a request to its last.
    Millis idleTimeout{60'000}; // A kept-alive connection without a request is closed after it.
    Millis writeTimeout{10'000}; // For a client that does not read its answer.
};

// Serves HTTP/1.1 on an EventLoop; all requests go to one handler, which may answer later.
//
// Requests of one connection are handled one after the other. Bad input that never reaches the
// handler is answered 400, 413 or 431 and the connection is closed. Not thread-safe.
//
// Example:
//   AsyncHttpServer server(loop, limits, [](HttpRequest r, AsyncHttpServer::Responder respond) {
//       respond({.status = 200, .body = "{}"});
//   });
//   const std::string address = server.listen("127.0.0.1:0");
class AsyncHttpServer
{
public:
    // Sends the answer; call it once, from the loop's thread. A second call does nothing.
    using Responder = std::function<void(HttpResponse)>;
    // `request.parameters` is filled from the query; `request.path` has no query.
    using Handler = std::function<void(HttpRequest request, Responder respond)>;

    AsyncHttpServer(EventLoop &loop, const AsyncHttpServerLimits &limits, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    // Binds "IP:PORT" (port 0 = any free one) and returns the bound address. Throws
    // Error(InvalidInput) if it can't be bound.
    std::string listen(std::string_view address);

    // Changes the limits for requests that are read from now on.
    void setLimits(const AsyncHttpServerLimits &limits);

    // From now on every answer asks the client to close its connection.
    void drain();
    // Returns how many requests were read and are not answered yet.
    std::size_t inFlight() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace savorywick
