#include "core/httpclient.h"
#include "core/httpserver.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

// Returns the request's method, path and body as the response's body.
HttpResponse echoRequest(const HttpRequest &request)
{
    return {.body = request.method + " " + request.path + " " + request.body};
}

HttpResponse makeErrorResponse(int status)
{
    return {.status = status, .body = "refused"};
}

} // namespace

TEST_CASE("HttpServer passes every method and its body to the handler")
{
    HttpServer server({}, echoRequest, makeErrorResponse);
    const std::string address = server.listen("127.0.0.1:0");
    HttpClient client;
    for (const char *method : {"GET", "POST", "PUT", "PATCH", "DELETE"}) {
        CAPTURE(method);
        const bool withBody = std::string(method) != "GET";
        const HttpResult result = client.exchange(
            {.address = address, .method = method, .path = "/a/b", .body = withBody ? "x" : ""});
        CHECK(result.status == 200);
        CHECK(result.body == std::string(method) + " /a/b " + (withBody ? "x" : ""));
    }
}

TEST_CASE("HttpServer answers a body over the limit with the error responder's response")
{
    HttpServer server({.maxBodyBytes = 10}, echoRequest, makeErrorResponse);
    HttpClient client;
    const HttpResult result = client.exchange(
        {.address = server.listen("127.0.0.1:0"), .method = "POST", .body = "more than ten bytes"});
    CHECK(result.status == 413);
    CHECK(result.body == "refused");
}

TEST_CASE("HttpServer answers 503 to a connection over the limit")
{
    HttpServer server({.maxConnections = 1}, echoRequest, makeErrorResponse);
    const std::string address = server.listen("127.0.0.1:0");
    HttpClient first;
    HttpClient second;
    CHECK(first.exchange({.address = address}).status == 200);
    CHECK(second.exchange({.address = address}).status == 503);
}

TEST_CASE("HttpClient reports NotSent if no connection can be established")
{
    std::string address;
    {
        HttpServer server({}, echoRequest, makeErrorResponse);
        address = server.listen("127.0.0.1:0");
    }
    HttpClient client;
    CHECK(client.exchange({.address = address}).outcome == HttpOutcome::NotSent);
}
