#include "core/bootclock.h"
#include "httpfixture.h"
#include "savorywick/errors.h"

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
using namespace savorywick::testing;

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
    const ConnectionLimits limits;
    CHECK(answered == calls);
    CHECK(maxHeld <= limits.maxPerPeer);
    CHECK(fixture.client().counters().connectionsOpened >= limits.maxPerPeer);
}

// Guards against reporting queued requests as possibly received: an unresponsive peer holds every
// connection, so the requests beyond the connection limit are never sent.
TEST_CASE("A queued request that gets no connection in time ends as NotSent")
{
    const ConnectionLimits limits;
    std::size_t received = 0;
    std::vector<AsyncHttpServer::Responder> held;
    HttpFixture fixture([&](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
        ++received;
        held.push_back(respond);
    });
    std::size_t notSent = 0;
    const std::size_t excess = 10;
    for (std::size_t i = 1; i < limits.maxPerPeer + excess; ++i) {
        fixture.client().exchange(
            {.address = fixture.address(), .timeout = Millis{1'000}},
            [&](const HttpResult &a) { notSent += a.outcome == HttpOutcome::NotSent ? 1 : 0; });
    }
    CHECK((fixture.exchange({.timeout = Millis{1'000}}).outcome == HttpOutcome::NotSent));
    CHECK(notSent == excess - 1);
    CHECK(received == limits.maxPerPeer);
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

TEST_CASE("Listening on an address that is in use or malformed throws an error")
{
    HttpFixture fixture(echo);
    AsyncHttpServer other(fixture.loop(), {}, echo);
    CHECK_THROWS_AS(other.listen(fixture.address()), Error);
    CHECK_THROWS_AS(other.listen("no address"), Error);
}
