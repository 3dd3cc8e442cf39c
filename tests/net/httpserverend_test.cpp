// Tests of how an AsyncHttpServer ends its connections and itself.

#include "httpfixture.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;

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

// Guards against a server that goes on reading requests after its end, for a handler that is gone.
TEST_CASE("The end of a server closes its connections")
{
    EventLoop loop;
    int handled = 0;
    auto server = std::make_unique<AsyncHttpServer>(
        loop, AsyncHttpServerLimits{}, [&](const HttpRequest &, const auto &) { ++handled; });
    const std::string address = server->listen("127.0.0.1:0");
    AsyncHttpClient client(loop);
    HttpOutcome outcome = HttpOutcome::ResponseReceived;
    client.exchange({.address = address}, [&](const HttpResult &result) {
        outcome = result.outcome;
        loop.stop();
    });
    loop.runAfter(Millis{50}, [&] { server.reset(); });
    loop.run();
    CHECK((outcome == HttpOutcome::ConnectionLost));
    CHECK(handled == 1);
}
