// Tests of what an AsyncHttpServer holds of the requests of all its connections.

#include "httpfixture.h"

#include <doctest/doctest.h>

#include <list>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

AsyncHttpServerLimits lowLimits()
{
    AsyncHttpServerLimits limits;
    limits.maxConnections = 30;
    limits.maxRejections = 2;
    limits.maxHeldBytes = 32'000; // An equal share is 1,000 bytes.
    return limits;
}

std::string unfinishedRequest(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(bytes, 'x');
}

} // namespace

// Guards against a process that runs out of memory for many bodies, each within its limit.
TEST_CASE("A large request gets status 503 while too much is held and a small one is answered")
{
    HttpFixture fixture(echo, lowLimits());
    std::list<RawClient> crowd;
    for (int i = 0; i < 4; ++i)
        crowd.emplace_back(fixture.address()).send(unfinishedRequest(9'000));
    fixture.runUntil([&] { return fixture.server().counts().refusedForMemory == 1; });
    CHECK(fixture.exchange({.method = "POST", .body = std::string(500, 'x')}).status == 200);
    CHECK(fixture.handledRequests() == 1);
    CHECK(fixture.server().counts().unreadable == 0);
}

TEST_CASE("A request that is refused for memory is told to come back and never handled")
{
    HttpFixture fixture(echo, lowLimits());
    RawClient client(fixture.address());
    client.send(unfinishedRequest(40'000));
    const std::string response = fixture.readAll(client);
    CHECK(countOf("HTTP/1.1 503", response) == 1);
    CHECK(countOf("Retry-After: ", response) == 1);
    CHECK(fixture.handledRequests() == 0);
}

TEST_CASE("What was held of a request is free once it is answered or its connection has ended")
{
    HttpFixture fixture(echo, lowLimits());
    const HttpCall call{.method = "POST", .body = std::string(20'000, 'x')};
    for (int i = 0; i < 5; ++i)
        CHECK(fixture.exchange(call).status == 200);
    for (int i = 0; i < 5; ++i) {
        {
            RawClient leaving(fixture.address());
            leaving.send(unfinishedRequest(20'000));
            fixture.runUntil([&] { return fixture.server().openConnections() == 2; });
        }
        fixture.runUntil([&] { return fixture.server().openConnections() == 1; });
        CHECK(fixture.exchange(call).status == 200);
    }
}

// Guards against requests of a slow handler that are no longer counted while they wait.
TEST_CASE("A request counts as held until its response is written")
{
    std::vector<AsyncHttpServer::Responder> waiting;
    HttpFixture fixture(
        [&](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
            waiting.push_back(respond);
        },
        lowLimits());
    const HttpCall call{
        .address = fixture.address(), .method = "POST", .body = std::string(20'000, 'x')};
    fixture.client().exchange(call, [](const HttpResult &) {});
    fixture.runUntil([&] { return waiting.size() == 1; });
    CHECK(fixture.exchange(call).status == 503);
    waiting.clear(); // Responders must not outlive the loop.
}
