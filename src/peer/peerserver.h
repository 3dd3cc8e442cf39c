#pragma once

#include "core/httpserver.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorywick {

// Serves methods that other entries call with PeerClient, by JSON-RPC over HTTP.
//
// Add every method before listen(). Methods run concurrently on several threads.
//
// Example:
//   PeerServer server(limits);
//   server.addMethod("report", [&](const std::string &) { return reports.entryReport(); });
//   const std::string address = server.listen("127.0.0.1:0");
class PeerServer
{
public:
    // Takes the text of a JSON object with the parameters and returns the text of the JSON result.
    using Method = std::function<std::string(const std::string &parameters)>;

    explicit PeerServer(const HttpServerLimits &limits);
    ~PeerServer();

    // Adds the method that peers call as `name`.
    void addMethod(std::string_view name, Method method);
    // Starts serving on "IP:PORT" and returns the bound address, as HttpServer::listen() does.
    // Throws Error(InvalidInput) if the address can't be bound.
    std::string listen(std::string_view address);
    // Asks the peer to close its connection with every response from now on.
    void drain();
    // Closes the listener and returns once the calls in flight are done and all connections closed.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
