#include "peer/peerserver.h"

#include "peer/rpc/rpc.h"

namespace savorywick {

struct PeerServer::Impl
{
    explicit Impl(const HttpServerLimits &limits)
        : server(
            limits, [this](const HttpRequest &request) { return handle(request); },
            [](int status) { return HttpResponse{.status = status}; })
    { }

    HttpResponse handle(const HttpRequest &request)
    {
        if (request.method != "POST" || request.path != "/rpc")
            return {.status = 404,
                    .body = R"({"detail":"peer methods are called with POST /rpc"})"};
        return {.body = dispatcher.handle(request.body)};
    }

    rpc::Dispatcher dispatcher;
    HttpServer server;
};

PeerServer::PeerServer(const HttpServerLimits &limits)
    : m_impl(std::make_unique<Impl>(limits))
{ }
PeerServer::~PeerServer() = default;

void PeerServer::addMethod(std::string_view name, Method method)
{
    m_impl->dispatcher.addMethod(std::string(name), std::move(method));
}

std::string PeerServer::listen(std::string_view address)
{
    return m_impl->server.listen(address);
}

void PeerServer::drain()
{
    m_impl->server.drain();
}

void PeerServer::stop()
{
    m_impl->server.stop();
}

} // namespace savorywick
