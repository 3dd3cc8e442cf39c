#pragma once

#include "core/httpserver.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savorywick {

// Serves the methods that other entries call by JSON-RPC.
//
// Add every method before listen(). Methods run on many threads at once.
class PeerServer
{
public:
    // Takes and returns one JSON object as text.
    using Method = std::function<std::string(const std::string &parameters)>;

    explicit PeerServer(const HttpServerLimits &limits);
    ~PeerServer();

    void add(std::string_view name, Method method);
    // Returns the bound address; see HttpServer::listen().
    std::string listen(std::string_view address);
    void drain();
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
