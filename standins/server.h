#pragma once

#include "faults.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace savorywick::standin {

// One HTTP request, as it is passed to a route's handler.
struct Request
{
    std::string pathSuffix; // The first group of the route's pattern; empty if it has none.
    std::string body;
    std::string requestId; // The header X-Request-Id.
    // The number of open connections when this request's connection opened, itself included.
    int openConnections = 0;
};

// How much of a response is sent.
enum class Delivery {
    Complete,
    Truncated, // Half of the declared body, then the connection is closed.
    Dropped, // Nothing; the connection is closed.
};

struct Response
{
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers;
    Delivery delivery = Delivery::Complete;
    bool tookEffect = false; // State has changed, so that the fault `loseReplies` applies.
    std::shared_ptr<void> resource; // Released when the response's delay is over.
};

// Returns a response with `value` as its body.
Response jsonResponse(const Json::Value &value, int status = 200);
// Returns a response with the body `{"reason":reason}`.
Response errorResponse(int status, const std::string &reason);

// An HTTP server with fault injection, the base of every stand-in. POST /faults sets the faults
// that apply to the routes.
//
// Example:
//   Server server;
//   server.route("GET", "/health", [](const Request &) { return Response{}; });
//   const int port = server.start("127.0.0.1", 0);
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    Server();
    ~Server();

    // Returns the faults that apply to this server's routes.
    Faults &faults();
    // Adds a route for all paths that the regular expression `pattern` matches. If the handler
    // throws, the response is 400 with the exception's message.
    void route(const std::string &method, const std::string &pattern, const Handler &handler);
    // Adds a route that the faults don't affect, such as /stats.
    void routeWithoutFaults(const std::string &method, const std::string &pattern,
                            const Handler &handler);

    // Binds, starts to serve on detached threads until the process exits, and returns the port.
    // Throws std::runtime_error if the address can't be bound.
    int start(const std::string &host, int port);
    // Waits up to `limit` until no request is being served.
    void drain(std::chrono::milliseconds limit);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick::standin
