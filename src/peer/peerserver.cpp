#include "peer/peerserver.h"

#include "peer/rpc/rpc.h"

namespace savorywick {

struct PeerServer::Impl
{
    explicit Impl(const HttpServerLimits &limits)
        : server(
            limits, [this](const HttpRequest &request) { return answer(request); },
            [](int status) { return HttpResponse{.status = status}; })
    { }

    HttpResponse answer(const HttpRequest &request)
    {
        if (request.method != "POST" || request.path != "/rpc")
            return {.status = 404, .body = R"({"detail":"peers are called by POST /rpc"})"};
        return {.body = dispatcher.answer(request.body)};
    }

    rpc::Dispatcher dispatcher;
    HttpServer server;
};

PeerServer::PeerServer(const HttpServerLimits &limits)
    : m_impl(std::make_unique<Impl>(limits))
{ }
PeerServer::~PeerServer() = default;

void PeerServer::add(std::string_view name, Method method)
{
    m_impl->dispatcher.add(std::string(name), std::move(method));
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
