#include "harness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis responseTimeout{6'000};

// Returns whether `body` is a problem object with a type of ours and a remedy.
bool isProblemResponse(const std::string &body)
{
    const Json::Value problem = parseJson(body);
    return problem.isObject() && problem["type"].asString().starts_with("urn:savorywick:")
        && !problem["remedy"].asString().empty();
}

} // namespace

TEST_CASE("Invalid input gets a typed error and the entry keeps serving")
{
    struct Case
    {
        std::string name;
        const char *method;
        std::string path;
        HttpHeaders headers;
        std::string body;
        int status;
    };
    const std::string quote = "/v1/services/quotes/requests/quote";
    const std::string order = "/v1/services/quotes/requests/order";
    const std::string run = "/v1/services/quotes/runs/refresh";
    const std::string watcher = "/v1/services/quotes/watchers/stock";
    const std::string twoConditions = R"({"until":{"run":"0000-a","afterMs":1}})";
    const std::string unknownShard = R"({"until":{"run":"9999-a"}})";
    const HttpHeader key{"Idempotency-Key", "bad"};
    const HttpHeader deadline{"X-Deadline-Ms", "1000"};
    const std::vector<Case> cases{
        {"malformed JSON", "POST", run, {key}, "{", 400},
        {"JSON but no object", "POST", run, {key}, "[]", 400},
        {"JSON nested too deeply", "POST", run, {key}, std::string(2'000, '['), 400},
        {"invalid condition", "POST", watcher, {key}, R"({"until":{}})", 400},
        {"condition of two kinds", "POST", watcher, {key}, twoConditions, 400},
        {"negative delay", "POST", watcher, {key}, R"({"until":{"afterMs":-1}})", 400},
        {"condition on no run id", "POST", watcher, {key}, R"({"until":{"run":"x"}})", 400},
        {"condition on an unknown shard", "POST", watcher, {key}, unknownShard, 400},
        {"no key for a run", "POST", run, {}, "{}", 400},
        {"no key for an order", "POST", order, {deadline}, "x", 400},
        {"unknown service", "POST", "/v1/services/nothing/requests/quote", {deadline}, "x", 404},
        {"unknown class", "POST", "/v1/services/quotes/requests/nothing", {deadline}, "x", 404},
        {"unknown path", "GET", "/v2", {}, "", 404},
        {"unknown run", "GET", "/v1/runs/nothing", {}, "", 404},
        {"no deadline", "POST", quote, {}, "x", 400},
        {"deadline of 0", "POST", quote, {{"X-Deadline-Ms", "0"}}, "x", 400},
        {"negative deadline", "POST", quote, {{"X-Deadline-Ms", "-5"}}, "x", 400},
        {"non-numeric deadline", "POST", quote, {{"X-Deadline-Ms", "soon"}}, "x", 400},
        {"too long deadline", "POST", quote, {{"X-Deadline-Ms", "99999999999999"}}, "x", 400},
        {"wrong method", "DELETE", quote, {}, "", 405},
        {"oversized body", "POST", quote, {deadline}, std::string(2U << 20U, 'x'), 413},
        {"malformed document", "PUT", "/v1/documents/quotes", {{"If-Match", "1"}}, "{", 400},
        {"no revision", "PUT", "/v1/documents/quotes", {}, "{}", 428},
    };
    Cluster cluster({.entries = 1});
    for (const Case &it : cases) {
        CAPTURE(it.name);
        const HttpResult a = cluster.call(0, it.method, it.path, it.body, it.headers);
        CHECK(a.status == it.status);
        CHECK_MESSAGE(isProblemResponse(a.body), a.body);
    }
    CHECK(cluster.entry(0).isRunning());
    CHECK(cluster.request(0, "quote", "still here").status == 200);
}

TEST_CASE("Malformed and incomplete and slow requests neither block nor crash the entry")
{
    struct Case
    {
        std::string name;
        const char *bytes;
        const char *expectedPrefix; // Of the raw response.
    };
    Cluster cluster({.entries = 1, .editSettings = [](Json::Value &settings) {
                         settings["limits"]["headerReadMs"] = 500;
                     }});
    for (const Case &it :
         {Case{"not HTTP", "NONSENSE\r\n\r\n", "HTTP/1.1 4"},
          Case{"incomplete header", "GET /health/live HTTP/1.1\r\nHo", "HTTP/1.1 4"},
          Case{"incomplete body",
               "POST /v1/services/quotes/requests/quote HTTP/1.1\r\nX-Deadline-Ms: 1000\r\n"
               "Content-Length: 100\r\n\r\nhalf",
               "HTTP/1.1 4"}}) {
        CAPTURE(it.name);
        const std::string answer =
            exchangeBytes(cluster.entry(0).address("callers"), it.bytes, responseTimeout);
        CHECK_MESSAGE(answer.starts_with(it.expectedPrefix), answer);
    }
    CHECK(cluster.executionCount("half") == 0);
    CHECK(cluster.request(0, "quote", "still here").status == 200);
}
