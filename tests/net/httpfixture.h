#pragma once

#include "net/asynchttpclient.h"
#include "net/asynchttpserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace savorywick::testing {

inline constexpr Millis waitLimit{20'000}; // Generous; reached only if a request hangs.

// A client with a small receive buffer that controls each byte that it sends and when it reads.
class RawClient
{
public:
    explicit RawClient(const std::string &address)
        : m_socket(m_context)
    {
        constexpr int smallBufferBytes = 4'096;
        m_socket.open(boost::asio::ip::tcp::v4());
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(smallBufferBytes));
        const std::size_t colon = address.find(':');
        m_socket.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                          static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))});
    }

    // Sends the bytes, or as many as the server accepts before it closes the connection.
    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }
    // Returns the bytes that arrive before the server closes or resets the connection.
    std::string readUntilClosed()
    {
        std::string bytes;
        boost::system::error_code ignored;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), ignored);
        return bytes;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

// A server and a client on one event loop.
class HttpFixture
{
public:
    explicit HttpFixture(AsyncHttpServer::Handler handler, AsyncHttpServerLimits limits = {})
        : m_server(m_loop, limits,
                   [this, handler = std::move(handler)](const HttpRequest &request,
                                                        const AsyncHttpServer::Responder &respond) {
                       ++m_handledRequests;
                       handler(request, respond);
                   })
        , m_client(m_loop)
        , m_address(m_server.listen("127.0.0.1:0"))
    { }

    EventLoop &loop() { return m_loop; }
    AsyncHttpServer &server() { return m_server; }
    AsyncHttpClient &client() { return m_client; }
    const std::string &address() const { return m_address; }
    int handledRequests() const { return m_handledRequests; }

    // Runs the loop until the condition holds.
    void runUntil(const std::function<bool()> &condition)
    {
        constexpr Millis pollInterval{1};
        const int maxPolls = static_cast<int>(waitLimit.count() / pollInterval.count());
        for (int i = 0; i < maxPolls && !condition(); ++i) {
            m_loop.runAfter(pollInterval, [this] { m_loop.stop(); });
            m_loop.run();
        }
        REQUIRE(condition());
    }

    // Runs the loop until the server closes the client's connection, and returns what it sent.
    std::string readAll(RawClient &client)
    {
        std::string bytes;
        std::thread reader([&] {
            bytes = client.readUntilClosed();
            m_loop.stop();
        });
        m_loop.run();
        reader.join();
        return bytes;
    }

    // Runs the loop until the response to `call` arrives. Sends to the server unless `call` names
    // another address.
    HttpResult exchange(HttpCall call)
    {
        if (call.address.empty())
            call.address = m_address;
        std::optional<HttpResult> response;
        m_client.exchange(std::move(call), [&](const HttpResult &a) {
            response = a;
            m_loop.stop();
        });
        const auto limit = m_loop.runAfter(waitLimit, [this] { m_loop.stop(); });
        m_loop.run();
        m_loop.cancel(limit);
        REQUIRE(response.has_value());
        return *response;
    }

private:
    int m_handledRequests = 0;
    EventLoop m_loop;
    AsyncHttpServer m_server;
    AsyncHttpClient m_client;
    std::string m_address;
};

// Responds with the method, the path, the query parameters and the body of the request.
inline void echo(const HttpRequest &request, const AsyncHttpServer::Responder &respond)
{
    std::string text = request.method + " " + request.path;
    for (const HttpHeader &it : request.queryParameters)
        text += " " + it.name + "=" + it.value;
    respond({.status = 200, .headers = {}, .body = text + " " + request.body});
}

// Returns how often the word occurs in the text.
inline int countOf(const std::string &word, const std::string &text)
{
    int n = 0;
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1))
        ++n;
    return n;
}

} // namespace savorywick::testing
