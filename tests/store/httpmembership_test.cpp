#include "core/httpserver.h"
#include "store/httpmembership.h"

#include <doctest/doctest.h>

using namespace savorywick;

TEST_CASE("HttpMembership returns every host of the membership list")
{
    const std::string list = R"({"hosts":[
        {"id":"u1","role":"upstream","state":"leaving","address":"127.0.0.1:1","service":"parts",
         "availabilityZone":"yyc-a","region":"prairie-west","rack":"r1","slots":8,"connections":64},
        {"id":"w1","role":"worker","state":"live","address":"127.0.0.1:2","cores":64,
         "memoryMb":250000,"accelerators":2}]})";
    HttpServer server(
        {}, [&](const HttpRequest &) { return HttpResponse{.body = list}; },
        [](int status) { return HttpResponse{.status = status}; });
    HttpClient http;
    HttpMembership membership(http, server.listen("127.0.0.1:0"), Millis{2'000});
    const std::vector<HostInfo> hosts = membership.list();
    REQUIRE(hosts.size() == 2);
    CHECK(hosts[0].state == HostState::Leaving);
    CHECK(hosts[0].slots == 8);
    CHECK(hosts[1].role == HostRole::Worker);
    CHECK(hosts[1].accelerators == 2);
}
