#include "core/httpclient.h"
#include "core/httpserver.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

HttpResponse echo(const HttpRequest &request)
{
    return {.body = request.method + " " + request.path + " " + request.body};
}

HttpResponse refuse(int status)
{
    return {.status = status, .body = "refused"};
}

} // namespace

TEST_CASE("HttpServer hands every method and its body to the handler")
{
    HttpServer server({}, echo, refuse);
    const std::string address = server.listen("127.0.0.1:0");
    HttpClient client;
    for (const char *method : {"GET", "POST", "PUT", "PATCH", "DELETE"}) {
        CAPTURE(method);
        const bool withBody = std::string(method) != "GET";
        const HttpAnswer answer = client.exchange(
            {.address = address, .method = method, .path = "/a/b", .body = withBody ? "x" : ""});
        CHECK(answer.status == 200);
        CHECK(answer.body == std::string(method) + " /a/b " + (withBody ? "x" : ""));
    }
}

TEST_CASE("HttpServer refuses a body over the limit with the caller's own answer")
{
    HttpServer server({.bodyBytes = 10}, echo, refuse);
    HttpClient client;
    const HttpAnswer answer = client.exchange(
        {.address = server.listen("127.0.0.1:0"), .method = "POST", .body = "more than ten bytes"});
    CHECK(answer.status == 413);
    CHECK(answer.body == "refused");
}

TEST_CASE("HttpServer answers 503 to a connection over the limit")
{
    HttpServer server({.connections = 1}, echo, refuse);
    const std::string address = server.listen("127.0.0.1:0");
    HttpClient first;
    HttpClient second;
    CHECK(first.exchange({.address = address}).status == 200);
    CHECK(second.exchange({.address = address}).status == 503);
}

TEST_CASE("HttpClient says NotSent if and only if no connection could be made")
{
    std::string address;
    {
        HttpServer server({}, echo, refuse);
        address = server.listen("127.0.0.1:0");
    }
    HttpClient client;
    CHECK(client.exchange({.address = address}).outcome == HttpOutcome::NotSent);
}
