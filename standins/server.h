#pragma once

#include "faults.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace savorywick::standin {

// One HTTP request as a route sees it.
struct Call
{
    std::string tail; // What the route's pattern captured from the path; empty without a group.
    std::string body;
    std::string requestId; // The header X-Request-Id.
    int connection = 0; // How many connections were open when this one opened, itself included.
};

enum class Delivery {
    Whole,
    Half, // Half of the declared body is sent, and the connection closes.
    Dropped, // The connection closes without an answer.
};

struct Reply
{
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers;
    Delivery delivery = Delivery::Whole;
    bool tookEffect = false; // The fault `loseReplies` drops this reply.
    std::shared_ptr<void> held; // Released when the reply's delay is over.
};

Reply jsonReply(const Json::Value &value, int status = 200);
// Returns `{"reason":reason}`.
Reply refusal(int status, const std::string &reason);

// An HTTP server whose routes show the faults of POST /faults; GET /stats never does.
//
// Example:
//   Server server;
//   server.route("GET", "/health", [](const Call &) { return Reply{}; });
//   const int port = server.start("127.0.0.1", 0);
class Server
{
public:
    using Handler = std::function<Reply(const Call &)>;

    Server();
    ~Server();

    Faults &faults();
    // Adds a route for all paths that the regular expression `pattern` matches. An exception of
    // the handler is answered by 400 with its text.
    void route(const std::string &method, const std::string &pattern, const Handler &handler);
    // Adds a route that shows no faults.
    void plainRoute(const std::string &method, const std::string &pattern, const Handler &handler);

    // Binds, serves on detached threads until the process ends, and returns the port.
    // Throws std::runtime_error if the address can't be bound.
    int start(const std::string &host, int port);
    // Waits until no request is being served, `limit` at most.
    void drain(std::chrono::milliseconds limit);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick::standin
