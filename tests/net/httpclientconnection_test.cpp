#include "net/asynchttpclient.h"
#include "scriptedpeer.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{20'000}; // Generous; reached only if a request hangs.

HttpResult exchange(EventLoop &loop, AsyncHttpClient &client, HttpCall call)
{
    std::optional<HttpResult> result;
    client.exchange(std::move(call), [&](const HttpResult &r) {
        result = r;
        loop.stop();
    });
    CHECK_FALSE(result.has_value()); // Never before exchange() has returned.
    const auto limit = loop.runAfter(waitLimit, [&] { loop.stop(); });
    loop.run();
    loop.cancel(limit);
    REQUIRE(result.has_value());
    return *result;
}

} // namespace

TEST_CASE("A response is read however the peer frames and splits it")
{
    struct Case
    {
        const char *name;
        ScriptedPeer::Script script;
        HttpOutcome outcome;
        std::size_t bodyBytes;
    };
    const std::string large(300'000, 'x');
    for (const Case &it : {
             Case{"whole",
                  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
                  HttpOutcome::ResponseReceived,
                  2},
             Case{"split",
                  {"HTTP/1.", "1 200 OK\r\nConte", "nt-Length: 4\r\n", "\r", "\na", "bcd"},
                  HttpOutcome::ResponseReceived,
                  4},
             Case{"chunked",
                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r", "\nabc\r\n",
                   "2\r\nde\r\n0\r\n\r\n"},
                  HttpOutcome::ResponseReceived,
                  5},
             Case{"until the end",
                  {"HTTP/1.1 200 OK\r\n\r\n", "abc"},
                  HttpOutcome::ResponseReceived,
                  3},
             Case{"large",
                  {"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n", large},
                  HttpOutcome::ResponseReceived,
                  large.size()},
             Case{"truncated",
                  {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"},
                  HttpOutcome::ConnectionLost,
                  0},
             Case{"empty", {}, HttpOutcome::ConnectionLost, 0},
             Case{"no HTTP", {"hello\r\n\r\n"}, HttpOutcome::ConnectionLost, 0},
             Case{"too large",
                  {"HTTP/1.1 200 OK\r\nContent-Length: 300001\r\n\r\n"},
                  HttpOutcome::ConnectionLost,
                  0},
         }) {
        CAPTURE(it.name);
        EventLoop loop;
        AsyncHttpClient client(loop);
        ScriptedPeer peer({it.script}, true);
        const HttpResult result = exchange(
            loop, client,
            {.address = peer.address(), .timeout = waitLimit, .maxResponseBytes = large.size()});
        CHECK((result.outcome == it.outcome));
        CHECK(result.body.size() == it.bodyBytes);
    }
}

TEST_CASE("A request is sent with the headers that its method and its call need")
{
    struct Case
    {
        HttpCall call;
        std::string_view text; // ADDRESS stands for the peer's address.
    };
    for (const Case &it : {
             Case{{.path = "/a?b=1"}, "GET /a?b=1 HTTP/1.1\r\nHost: ADDRESS\r\n\r\n"},
             Case{{.method = "POST", .path = "/a", .headers = {{"X-One", "1"}}, .body = "{}"},
                  "POST /a HTTP/1.1\r\nHost: ADDRESS\r\nX-One: 1\r\n"
                  "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"},
             Case{{.method = "POST"},
                  "POST / HTTP/1.1\r\nHost: ADDRESS\r\n"
                  "Content-Type: application/json\r\nContent-Length: 0\r\n\r\n"},
             Case{{.method = "DELETE"},
                  "DELETE / HTTP/1.1\r\nHost: ADDRESS\r\nContent-Type: application/json\r\n\r\n"},
             Case{{.headers = {{"host", "q.example"}}},
                  "GET / HTTP/1.1\r\nhost: q.example\r\n\r\n"},
         }) {
        EventLoop loop;
        AsyncHttpClient client(loop);
        ScriptedPeer peer({{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}}, true);
        HttpCall call = it.call;
        call.address = peer.address();
        CHECK(exchange(loop, client, std::move(call)).status == 200);
        peer.join();
        std::string expected(it.text);
        if (const std::size_t at = expected.find("ADDRESS"); at != std::string::npos)
            expected.replace(at, std::string_view("ADDRESS").size(), peer.address());
        CHECK(peer.received() == expected);
    }
}

// Guards against taking bytes that nobody asked for as the response to the next request.
TEST_CASE("A connection with data after a response is not used again")
{
    EventLoop loop;
    AsyncHttpClient client(loop);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    ScriptedPeer peer({{response + "a" + response + "b"}, {response + "c"}}, false);
    CHECK(exchange(loop, client, {.address = peer.address()}).body == "a");
    CHECK(exchange(loop, client, {.address = peer.address()}).body == "c");
    client.dropIdle(peer.address());
}

// Guards against descriptors that stay open until the peer closes: idle connections that left the
// pool kept their sockets, and a peer that was cut off never closes.
TEST_CASE("Idle connections that leave the pool are closed")
{
    for (const bool destroyClient : {false, true}) {
        CAPTURE(destroyClient);
        EventLoop loop;
        std::optional<AsyncHttpClient> client(std::in_place, loop);
        ScriptedPeer peer({{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}}, false);
        CHECK(exchange(loop, *client, {.address = peer.address()}).status == 200);
        if (destroyClient)
            client.reset();
        else
            client->dropIdle(peer.address());
        peer.join(); // The peer's script ends when it sees the close.
    }
}

// Guards against a long response over a slow link that is cut off and asked for again from its
// start, which keeps the link full.
TEST_CASE("With a stall timeout a response may take long as long as it goes on")
{
    const ScriptedPeer::Script slowResponse{"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n", "12",
                                            "34", "56", "78"};
    struct Case
    {
        std::optional<Millis> stallTimeout;
        HttpOutcome outcome;
    };
    for (const Case &it :
         {Case{{}, HttpOutcome::TimedOut}, Case{Millis{10'000}, HttpOutcome::ResponseReceived},
          Case{Millis{50}, HttpOutcome::TimedOut}}) {
        CAPTURE(it.stallTimeout.value_or(Millis{0}).count());
        ScriptedPeer peer({slowResponse}, false, std::chrono::milliseconds(400));
        EventLoop loop;
        HttpResult result;
        {
            AsyncHttpClient client(loop);
            HttpCall call{.address = peer.address()};
            call.timeout = Millis{1'000};
            call.stallTimeout = it.stallTimeout;
            result = exchange(loop, client, std::move(call));
        }
        CHECK((result.outcome == it.outcome));
    }
}

// Guards against a peer that is silent being taken for one whose process has ended, or the reverse.
TEST_CASE("A closed or refused connection is told from a peer that does not answer")
{
    EventLoop loop;
    AsyncHttpClient client(loop);
    std::string closedAddress;
    {
        ScriptedPeer closing({{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"}}, true);
        closedAddress = closing.address();
        const HttpResult cutOff = exchange(loop, client, {.address = closedAddress});
        CHECK((cutOff.outcome == HttpOutcome::ConnectionLost));
        CHECK(cutOff.connectionClosed);
    }
    const HttpResult refused = exchange(loop, client, {.address = closedAddress});
    CHECK((refused.outcome == HttpOutcome::NotSent));
    CHECK(refused.connectionClosed);
    ScriptedPeer silent({{"HTTP/1.1 200 OK\r\n"}}, false);
    const HttpResult unanswered =
        exchange(loop, client, {.address = silent.address(), .timeout = Millis{100}});
    CHECK((unanswered.outcome == HttpOutcome::TimedOut));
    CHECK_FALSE(unanswered.connectionClosed);
}

// Guards against an unknown outcome of a request of which no byte was sent: its caller could not
// try again.
TEST_CASE("A request that an idle connection can't take any more counts as not sent")
{
    constexpr std::size_t unreadBytes =
        8'000; // More than the peer reads, so that its close resets.
    EventLoop loop;
    AsyncHttpClient client(loop);
    ScriptedPeer peer({{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}}, true,
                      std::chrono::milliseconds(400));
    HttpCall first{.address = peer.address(), .method = "POST"};
    first.body = std::string(unreadBytes, 'x');
    CHECK(exchange(loop, client, std::move(first)).status == 200);
    peer.join(); // The loop has not run since, so the client has not noticed the reset.
    const HttpResult result = exchange(loop, client, {.address = peer.address()});
    CHECK((result.outcome == HttpOutcome::NotSent));
    CHECK(result.connectionClosed);
}
