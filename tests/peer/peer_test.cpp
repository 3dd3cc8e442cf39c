#include "peer/peerclient.h"
#include "peer/peerserver.h"

#include <doctest/doctest.h>

using namespace savorywick;

TEST_CASE("PeerClient returns the result of the method it calls")
{
    PeerServer server({});
    server.addMethod("first", [](const std::string &p) { return p; });
    server.addMethod("second", [](const std::string &) { return std::string(R"({"n":2})"); });
    const std::string address = server.listen("127.0.0.1:0");
    HttpClient http;
    PeerClient peers(http);
    CHECK(peers.call(address, "first", R"({"a":1})", Millis{2'000}).result == R"({"a":1})");
    CHECK(peers.call(address, "second", "{}", Millis{2'000}).result == R"({"n":2})");
    CHECK(peers.call(address, "third", "{}", Millis{2'000}).outcome == PeerOutcome::Unknown);
}
