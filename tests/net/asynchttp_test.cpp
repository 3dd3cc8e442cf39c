#include "core/bootclock.h"
#include "net/asynchttpclient.h"
#include "net/asynchttpserver.h"
#include "savorywick/errors.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace savorywick;

namespace {

constexpr Millis waitLimit{20'000}; // Generous; reached only if a request hangs.

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
void echo(const HttpRequest &request, const AsyncHttpServer::Responder &respond)
{
    std::string text = request.method + " " + request.path;
    for (const HttpHeader &it : request.queryParameters)
        text += " " + it.name + "=" + it.value;
    respond({.status = 200, .headers = {}, .body = text + " " + request.body});
}

int countOf(const std::string &word, const std::string &text)
{
    int n = 0;
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1))
        ++n;
    return n;
}

} // namespace

TEST_CASE("Requests and responses arrive intact and reuse one keep-alive connection")
{
    HttpFixture fixture(echo);
    const HttpResult first =
        fixture.exchange({.method = "POST", .path = "/a%20b?x=1&y=%2F", .body = "hello"});
    CHECK((first.outcome == HttpOutcome::ResponseReceived));
    CHECK(first.status == 200);
    CHECK(first.body == "POST /a b x=1 y=/ hello");
    for (int i = 0; i < 5; ++i)
        CHECK(fixture.exchange({.path = "/again"}).body == "GET /again ");
    CHECK(fixture.client().counters().connectionsOpened == 1);
}

TEST_CASE("A request to an address without a listener ends as NotSent")
{
    HttpFixture fixture(echo);
    const HttpResult response = fixture.exchange({.address = "127.0.0.1:1"});
    CHECK((response.outcome == HttpOutcome::NotSent));
    const HttpResult malformed = fixture.exchange({.address = "nowhere"});
    CHECK((malformed.outcome == HttpOutcome::NotSent));
}

TEST_CASE("A request without a response times out and the next one opens a new connection")
{
    std::vector<AsyncHttpServer::Responder> held;
    HttpFixture fixture([&](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
        if (request.path == "/never")
            held.push_back(respond);
        else
            echo(request, respond);
    });
    const HttpResult timedOut = fixture.exchange({.path = "/never", .timeout = Millis{50}});
    CHECK((timedOut.outcome == HttpOutcome::TimedOut));
    CHECK(fixture.server().inFlight() == 1);
    CHECK(fixture.exchange({.path = "/now"}).status == 200);
    CHECK(fixture.client().counters().connectionsOpened == 2);
    held.clear(); // Responders must not outlive the loop.
}

TEST_CASE("Requests beyond the connection limit of a peer are queued until a connection is free")
{
    std::vector<AsyncHttpServer::Responder> held;
    std::size_t maxHeld = 0;
    HttpFixture fixture([&](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
        held.push_back(respond);
        maxHeld = std::max(maxHeld, held.size());
        fixture.loop().runAfter(Millis{5}, [&] {
            for (const auto &it : std::exchange(held, {}))
                it({.status = 200, .headers = {}, .body = {}});
        });
    });
    int answered = 0;
    constexpr int calls = 40;
    for (int i = 0; i < calls; ++i) {
        fixture.client().exchange({.address = fixture.address()}, [&](const HttpResult &a) {
            answered += a.status == 200 ? 1 : 0;
            if (answered == calls)
                fixture.loop().stop();
        });
    }
    fixture.loop().run();
    const AsyncHttpClientSettings limits;
    CHECK(answered == calls);
    CHECK(maxHeld <= limits.maxConnectionsPerPeer);
    CHECK(fixture.client().counters().connectionsOpened >= limits.maxConnectionsPerPeer);
}

// Guards against reporting queued requests as possibly received: an unresponsive peer holds every
// connection, so the requests beyond the connection limit are never sent.
TEST_CASE("A queued request that gets no connection in time ends as NotSent")
{
    const AsyncHttpClientSettings limits;
    std::size_t received = 0;
    std::vector<AsyncHttpServer::Responder> held;
    HttpFixture fixture([&](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
        ++received;
        held.push_back(respond);
    });
    std::size_t notSent = 0;
    const std::size_t excess = 10;
    for (std::size_t i = 1; i < limits.maxConnectionsPerPeer + excess; ++i) {
        fixture.client().exchange(
            {.address = fixture.address(), .timeout = Millis{1'000}},
            [&](const HttpResult &a) { notSent += a.outcome == HttpOutcome::NotSent ? 1 : 0; });
    }
    CHECK((fixture.exchange({.timeout = Millis{1'000}}).outcome == HttpOutcome::NotSent));
    CHECK(notSent == excess - 1);
    CHECK(received == limits.maxConnectionsPerPeer);
    held.clear(); // Responders must not outlive the loop.
}

TEST_CASE("Only the first response to a request is sent")
{
    HttpFixture fixture([](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
        respond({.status = 200, .headers = {}, .body = "one"});
        respond({.status = 500, .headers = {}, .body = "two"});
    });
    CHECK(fixture.exchange({}).body == "one");
    CHECK(fixture.exchange({}).body == "one");
}

TEST_CASE("A request over a size limit gets status 413 or 431")
{
    AsyncHttpServerLimits limits;
    limits.maxBodyBytes = 100;
    limits.maxHeaderBytes = 500;
    HttpFixture fixture(echo, limits);
    CHECK(fixture.exchange({.method = "POST", .body = std::string(101, 'x')}).status == 413);
    CHECK(fixture.exchange({.headers = {{"X-Long", std::string(600, 'x')}}}).status == 431);
    CHECK(fixture.exchange({.method = "POST", .body = std::string(100, 'x')}).status == 200);
}

// Guards against a response that a reset destroys: the server closes a connection on which the
// client has sent more than the server has read, while the client has not read all of the response.
TEST_CASE("A client that sends more than the server reads still gets the whole response")
{
    const std::string body(200'000, 'x'); // More than the client's receive buffer holds.
    const std::string unread(20'000, 'y'); // More than the server reads with the request.
    HttpFixture fixture([&](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
        respond({.status = 200, .headers = {}, .body = body});
    });
    RawClient client(fixture.address());
    client.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + unread);
    fixture.runUntil([&] { return fixture.handledRequests() == 1; });
    fixture.runUntil([&] { return fixture.server().inFlight() == 0; });
    const std::string response = fixture.readAll(client);
    CHECK(response.ends_with("\r\n\r\n" + body));
}

TEST_CASE("A server counts what it reads after the last response of a connection")
{
    const std::string late = "GET /b HTTP/1.1\r\nHost: a\r\n\r\n";
    HttpFixture fixture(echo);
    RawClient client(fixture.address());
    client.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    fixture.runUntil([&] { return fixture.handledRequests() == 1; });
    fixture.runUntil([&] { return fixture.server().inFlight() == 0; });
    client.send(late);
    fixture.runUntil([&] { return fixture.server().counts().discardedBytes == late.size(); });
    CHECK(fixture.server().counts().unanswered == 0);
}

TEST_CASE("A server counts a request whose handler drops the responder")
{
    HttpFixture fixture([](const HttpRequest &, const AsyncHttpServer::Responder &) {});
    RawClient client(fixture.address());
    client.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(fixture.readAll(client).empty());
    CHECK(fixture.server().counts().unanswered == 1);
}

// Guards against requests that get no response because the server closes a connection over its
// limit at once.
TEST_CASE("A request on a connection over the limit gets status 503")
{
    AsyncHttpServerLimits limits;
    limits.maxConnections = 1;
    HttpFixture fixture(echo, limits);
    const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    RawClient served(fixture.address());
    served.send(request);
    fixture.runUntil([&] { return fixture.handledRequests() == 1; });
    RawClient rejected(fixture.address());
    rejected.send(request);
    const std::string response = fixture.readAll(rejected);
    CHECK(countOf("HTTP/1.1 503", response) == 1);
    CHECK(countOf("Retry-After: ", response) == 1);
    CHECK(fixture.handledRequests() == 1);
}

// Guards against a request that is cut off because it arrives while the loop is too busy to read it
// before the connection's idle timeout.
TEST_CASE("A request that arrives before the idle timeout is answered though it is read later")
{
    constexpr Millis idleTimeout{50};
    AsyncHttpServerLimits limits;
    limits.idleTimeout = idleTimeout;
    HttpFixture fixture(echo, limits);
    const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    RawClient client(fixture.address());
    client.send(request);
    fixture.runUntil(
        [&] { return fixture.handledRequests() == 1 && fixture.server().inFlight() == 0; });
    client.send(request);
    const BootClock clock;
    for (const Instant sentAt = clock.now(); clock.now() - sentAt <= idleTimeout;)
        std::this_thread::yield(); // The loop is busy until then.
    CHECK(countOf("HTTP/1.1 200", fixture.readAll(client)) == 2);
}

TEST_CASE("A draining server asks its clients to close their connections")
{
    HttpFixture fixture(echo);
    CHECK(fixture.exchange({}).status == 200);
    fixture.server().drain();
    CHECK(headerValue(fixture.exchange({}).headers, "Connection") == "close");
    CHECK(fixture.exchange({}).status == 200);
    CHECK(fixture.client().counters().connectionsOpened == 2);
}

// Guards against requests that a draining server reads and throws away, because it has asked its
// client to close the connection or has been closed itself.
TEST_CASE("A draining server answers a client that goes on using its connection")
{
    for (const bool closes : {false, true}) {
        CAPTURE(closes);
        HttpFixture fixture(echo);
        RawClient client(fixture.address());
        const auto request = [&](const std::string &headers) {
            const int handled = fixture.handledRequests();
            client.send("GET /a HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
            fixture.runUntil([&] {
                return fixture.handledRequests() > handled
                    || fixture.server().counts().discardedBytes > 0;
            });
        };
        request("");
        fixture.server().drain();
        request("");
        if (closes)
            fixture.server().close();
        request("");
        request("Connection: close\r\n");
        CHECK(countOf("HTTP/1.1 200", fixture.readAll(client)) == 4);
        CHECK(fixture.server().counts().discardedBytes == 0);
    }
}

// Guards against requests that a server abandons when it ends: it has read them, or their bytes
// have arrived in a connection that it has not read or not even accepted.
TEST_CASE("A server that is closed answers every request that has arrived")
{
    const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    struct Case
    {
        const char *name;
        std::string before; // Sent and handled before the close.
        std::string unread; // Sent before the close, but not read.
        std::string after; // Sent after the close.
        int responses;
    };
    for (const Case &it :
         {Case{"in flight", request, "", "", 1}, Case{"not accepted", "", request, "", 1},
          Case{"half arrived", request, request.substr(0, 9), request.substr(9), 2},
          Case{"unread on a connection in use", request, request, "", 2},
          Case{"several unread at once", request, request + request, "", 3},
          Case{"the first one of a new connection", "", "", request, 1}}) {
        CAPTURE(std::string(it.name));
        std::vector<AsyncHttpServer::Responder> held;
        HttpFixture fixture([&](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
            held.push_back(respond);
            fixture.loop().runAfter(Millis{20}, [&] {
                for (const auto &it : std::exchange(held, {}))
                    it({.status = 200, .headers = {}, .body = "whole"});
            });
        });
        RawClient client(fixture.address());
        client.send(it.before);
        fixture.runUntil([&] { return fixture.handledRequests() == (it.before.empty() ? 0 : 1); });
        client.send(it.unread);
        fixture.server().close();
        client.send(it.after);
        client.send("GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CHECK(countOf("whole", fixture.readAll(client)) == it.responses + 1);
        CHECK((fixture.exchange({.path = "/new"}).outcome == HttpOutcome::NotSent));
    }
}

// Guards against connections that wait for many turns of a busy loop before the server reads them.
TEST_CASE("A server accepts all connections that wait in a few turns of its loop")
{
    HttpFixture fixture(echo);
    std::list<RawClient> clients;
    constexpr std::size_t clientCount = 50;
    constexpr int maxTurns = 10;
    for (std::size_t i = 0; i < clientCount; ++i)
        clients.emplace_back(fixture.address());
    int turns = 0;
    std::function<void()> countTurn = [&] {
        if (fixture.server().openConnections() == clientCount)
            return fixture.loop().stop();
        ++turns;
        fixture.loop().post(countTurn);
    };
    fixture.loop().post(countTurn);
    fixture.loop().run();
    CHECK(turns <= maxTurns);
}

// Guards against connections that a server closes although it owes their clients a response.
TEST_CASE("A server closes a connection only once it owes no response on it")
{
    const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    struct Case
    {
        const char *name;
        std::string before; // Sent and read before the connections are closed.
        std::string unread; // Sent before that, but not read.
        std::string after; // Sent afterwards.
        int responses;
    };
    for (const Case &it :
         {Case{"unused", "", "", "", 0}, Case{"idle", request, "", "", 1},
          Case{"unread", request, request, "", 2},
          Case{"several unread", "", request + request, "", 2},
          Case{"half arrived", request + request.substr(0, 9), "", request.substr(9), 2}}) {
        CAPTURE(std::string(it.name));
        HttpFixture fixture([&](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
            fixture.loop().runAfter(Millis{20}, [respond] {
                respond({.status = 200, .headers = {}, .body = "whole"});
            });
        });
        RawClient client(fixture.address());
        client.send(it.before);
        fixture.runUntil([&] { return fixture.server().openConnections() == 1; });
        fixture.runUntil([&] { return fixture.handledRequests() == (it.before.empty() ? 0 : 1); });
        client.send(it.unread);
        fixture.server().close();
        fixture.server().closeAnswered();
        client.send(it.after);
        fixture.runUntil([&] {
            fixture.server().closeAnswered();
            return fixture.server().openConnections() == 0;
        });
        CHECK(countOf("whole", fixture.readAll(client)) == it.responses);
    }
}

TEST_CASE("Listening on an address that is in use or malformed throws an error")
{
    HttpFixture fixture(echo);
    AsyncHttpServer other(fixture.loop(), {}, echo);
    CHECK_THROWS_AS(other.listen(fixture.address()), Error);
    CHECK_THROWS_AS(other.listen("no address"), Error);
}
