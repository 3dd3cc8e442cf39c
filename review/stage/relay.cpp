#include "relay.h"

#include "net/address.h"
#include "net/eventloopimpl.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr std::size_t bufferBytes = 16'384;

Tcp::endpoint endpointOf(const std::string &address)
{
    const auto endpoint = savorywick::parseAddress(address);
    if (!endpoint)
        throw std::runtime_error("not an address: " + address);
    return *endpoint;
}

} // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl>
{
    struct Pair;

    Impl(savorywick::EventLoop &l, const std::string &a, const std::string &t)
        : context(l.impl().context)
        , address(endpointOf(a))
        , target(endpointOf(t))
    { }

    void listen();
    void accept();
    void resetAll();

    asio::io_context &context;
    const Tcp::endpoint address;
    const Tcp::endpoint target;
    std::unique_ptr<Tcp::acceptor> acceptor;
    std::set<std::shared_ptr<Pair>> pairs;
    Mode mode = Mode::Open;
};

// One connection of a client and the one to the target that belongs to it.
struct Relay::Impl::Pair : std::enable_shared_from_this<Relay::Impl::Pair>
{
    explicit Pair(std::shared_ptr<Impl> o, Tcp::socket c)
        : owner(std::move(o))
        , client(std::move(c))
        , server(owner->context)
    { }

    void start()
    {
        server.async_connect(owner->target, [self = shared_from_this()](const error_code &ec) {
            if (ec)
                return self->reset();
            error_code ignored;
            self->client.set_option(Tcp::no_delay(true), ignored);
            self->server.set_option(Tcp::no_delay(true), ignored);
            self->pump(self->client, self->server, self->upstream);
            self->pump(self->server, self->client, self->downstream);
        });
    }

    void pump(Tcp::socket &from, Tcp::socket &to, std::array<char, bufferBytes> &buf)
    {
        from.async_read_some(
            asio::buffer(buf),
            [self = shared_from_this(), &from, &to, &buf](const error_code &ec, std::size_t n) {
                if (self->owner->mode == Mode::Silent)
                    return; // The bytes are lost.
                if (ec)
                    return self->close();
                asio::async_write(to, asio::buffer(buf, n),
                                  [self, &from, &to, &buf](const error_code &e, std::size_t) {
                                      if (e)
                                          return self->close();
                                      self->pump(from, to, buf);
                                  });
            });
    }

    void close()
    {
        error_code ignored;
        client.close(ignored);
        server.close(ignored);
        owner->pairs.erase(shared_from_this());
    }

    void reset()
    {
        error_code ignored;
        client.set_option(asio::socket_base::linger(true, 0), ignored);
        server.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    std::shared_ptr<Impl> owner;
    Tcp::socket client;
    Tcp::socket server;
    std::array<char, bufferBytes> upstream{};
    std::array<char, bufferBytes> downstream{};
};

void Relay::Impl::listen()
{
    acceptor = std::make_unique<Tcp::acceptor>(context);
    acceptor->open(address.protocol());
    acceptor->set_option(Tcp::acceptor::reuse_address(true));
    acceptor->bind(address);
    acceptor->listen();
    accept();
}

void Relay::Impl::accept()
{
    acceptor->async_accept([self = shared_from_this()](const error_code &ec, Tcp::socket socket) {
        if (ec)
            return;
        const auto pair = std::make_shared<Pair>(self, std::move(socket));
        self->pairs.insert(pair);
        if (self->mode == Mode::Open)
            pair->start();
        self->accept();
    });
}

void Relay::Impl::resetAll()
{
    for (const auto &it : std::exchange(pairs, {}))
        it->reset();
}

Relay::Relay(savorywick::EventLoop &loop, const std::string &address, const std::string &target)
    : m_impl(std::make_shared<Impl>(loop, address, target))
{
    m_impl->listen();
}

Relay::~Relay()
{
    error_code ignored;
    if (m_impl->acceptor)
        m_impl->acceptor->close(ignored);
    m_impl->resetAll();
}

void Relay::setMode(Mode mode)
{
    const Mode before = std::exchange(m_impl->mode, mode);
    if (before == mode)
        return;
    if (mode != Mode::Silent)
        m_impl->resetAll();
    if (mode == Mode::Refuse) {
        error_code ignored;
        m_impl->acceptor->close(ignored);
        m_impl->acceptor.reset();
    } else if (before == Mode::Refuse) {
        m_impl->listen();
    }
}

} // namespace review
