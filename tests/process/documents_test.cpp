#include "core/httpserver.h"
#include "harness.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{30'000};
const std::string documentPath = "/v1/documents/quotes";

const std::string batchClassesJson =
    R"("runs": {"refresh": {"demand": {"cores": 2, "memoryMb": 1000}, "expectedMs": 300},)"
    R"("rebuild": {"demand": {"cores": 2, "memoryMb": 1000}, "expectedMs": 20000}},)"
    R"("watchers": {"stock": {}})";

// Returns a document whose only request class is `className`. Its classes of runs and watchers are
// those of the harness: removing one would need every entry to report its unfinished work.
std::string documentWithRequestClass(const std::string &className)
{
    return R"({"service": "quotes", "team": "counter", "upstreamService": "quotes",)"
           R"("requests": {")"
        + className + R"(": {"deadlineLimitMs": 10000, "repeatable": true}},)" + batchClassesJson
        + "}";
}

HttpResult putDocument(Cluster &cluster, int i, std::uint64_t baseRevision, const std::string &text)
{
    return cluster.call(i, "PUT", documentPath, text, {{"If-Match", std::to_string(baseRevision)}});
}

Json::Value fetchDocument(Cluster &cluster, int i, const std::string &suffix = "")
{
    return parseJson(cluster.call(i, "GET", documentPath + suffix).body);
}

bool isAccepted(Cluster &cluster, int i)
{
    return fetchDocument(cluster, i, "/status")["state"].asString() == "accepted";
}

// A proxy between an entry and the table service. While disconnected, it answers every call with
// 503.
class StoreProxy
{
public:
    StoreProxy()
        : m_server(
            {}, [this](const HttpRequest &request) { return forward(request); },
            [](int status) {
                return HttpResponse{status, {}, ""};
            })
        , m_address(m_server.listen("127.0.0.1:0"))
    { }
    ~StoreProxy() { m_server.stop(); }
    StoreProxy(const StoreProxy &) = delete;
    StoreProxy &operator=(const StoreProxy &) = delete;

    // Routes entry-2's calls to the table service through this proxy.
    void editSettings(Json::Value &settings)
    {
        if (settings["id"].asString() != "entry-2")
            return;
        m_target = settings["platform"]["table"].asString();
        settings["platform"]["table"] = m_address;
    }

    std::atomic<bool> disconnected{false};

private:
    HttpResponse forward(const HttpRequest &request)
    {
        if (disconnected)
            return {503, {}, ""};
        const HttpResult answer = call({.address = m_target,
                                        .method = request.method,
                                        .path = request.path,
                                        .body = request.body});
        return {
            answer.outcome == HttpOutcome::ResponseReceived ? answer.status : 503, {}, answer.body};
    }

    std::string m_target;
    HttpServer m_server;
    std::string m_address;
};

// Returns a document with the harness's request class `quote` and the given classes of runs and
// watchers.
std::string documentWithBatchClasses(const std::string &runs, const std::string &watchers)
{
    return R"({"service": "quotes", "team": "counter", "upstreamService": "quotes",)"
           R"("requests": {"quote": {"deadlineLimitMs": 10000, "repeatable": true}},)"
           R"("runs": {)"
        + runs + R"(}, "watchers": {)" + watchers + R"(},)"
        + R"("quotas": {"openRuns": 1000, "openWatchers": 1000, "cores": 64}})";
}

const std::string rebuildClass =
    R"("rebuild": {"demand": {"cores": 1, "memoryMb": 64}, "expectedMs": 20000})";
const std::string stockClass = R"("stock": {})";

std::string reasonOf(const HttpResult &answer)
{
    return parseJson(answer.body)["title"].asString();
}

} // namespace

TEST_CASE("An accepted edit is in effect on every entry immediately")
{
    Cluster cluster;
    for (std::uint64_t baseRevision = 1; baseRevision <= 5; ++baseRevision) {
        const std::string name = "class-" + std::to_string(baseRevision);
        const HttpResult answer = putDocument(cluster, static_cast<int>(baseRevision % 3),
                                              baseRevision, documentWithRequestClass(name));
        INFO("edit ", baseRevision, ": ", answer.status, " ", answer.body);
        REQUIRE(answer.status == 200);
        CHECK(parseJson(answer.body)["state"].asString() == "accepted");
        for (int i = 0; i < 3; ++i)
            CHECK(cluster.request(i, name, "x").status == 200);
    }
    CHECK(fetchDocument(cluster, 0, "?revision=3")["document"].asString()
          == documentWithRequestClass("class-2"));
    sleepFor(Millis{200});
    const HttpResult status = cluster.call(0, "GET", "/v1/documents/quotes/status");
    const Json::Value entries = parseJson(status.body)["entries"];
    CHECK(entries.size() == 3);
    for (const Json::Value &it : entries) {
        INFO(status.body);
        CHECK(it["revision"].asUInt64() == 6);
        CHECK(it["ageMs"].asInt64() >= 200);
    }
}

TEST_CASE("One of three concurrent edits succeeds and the others get the current revision")
{
    Cluster cluster;
    for (std::uint64_t baseRevision = 1; baseRevision <= 3; ++baseRevision) {
        std::array<HttpResult, 3> answers;
        std::vector<std::jthread> operators;
        operators.reserve(answers.size());
        for (int i = 0; i < 3; ++i) {
            operators.emplace_back([&, i] {
                answers[std::size_t(i)] = putDocument(
                    cluster, i, baseRevision, documentWithRequestClass("by-" + std::to_string(i)));
            });
        }
        operators.clear();
        int winners = 0;
        for (const HttpResult &it : answers) {
            INFO("round ", baseRevision, ": ", it.status, " ", it.body);
            winners += it.status == 200 ? 1 : 0;
            CHECK((it.status == 200 || it.status == 412));
            if (it.status == 412)
                CHECK(parseJson(it.body)["present"]["revision"].asUInt64() == baseRevision + 1);
        }
        CHECK(winners == 1);
        CHECK(fetchDocument(cluster, 0)["revision"].asUInt64() == baseRevision + 1);
    }
}

TEST_CASE("An edit whose store reply is lost is applied exactly once")
{
    Cluster cluster;
    cluster.setFaults(cluster.platform(), R"({"loseReplies": 4})");
    const HttpResult answer = putDocument(cluster, 0, 1, documentWithRequestClass("ask"));
    INFO(answer.status, " ", answer.body);
    CHECK(answer.status == 200);
    CHECK(parseJson(answer.body)["revision"].asUInt64() == 2);
    CHECK(fetchDocument(cluster, 1)["revision"].asUInt64() == 2);
    CHECK(cluster.call(1, "GET", documentPath + "?revision=3").status == 404);
}

TEST_CASE("An entry that is paused during an accepted edit never serves the old document")
{
    Cluster cluster;
    cluster.entry(2).pause();
    const HttpResult answer = putDocument(cluster, 0, 1, documentWithRequestClass("ask"));
    INFO(answer.status, " ", answer.body);
    REQUIRE(answer.status == 200);
    const Json::Value result = parseJson(answer.body);
    CHECK(result["state"].asString() == "pending");
    REQUIRE(result["pendingOn"].size() == 1);
    CHECK(result["pendingOn"][0].asString() == "entry-2");
    // The paused entry drops out of the entry list once its row has expired.
    CHECK(eventually(waitLimit, [&] { return isAccepted(cluster, 0); }));
    // Requests that are queued in its sockets are the first input that the entry handles when it
    // resumes. The store is paused so that the entry can't learn of the edit before.
    std::array<HttpResult, 16> queuedAnswers;
    std::vector<std::jthread> callers;
    callers.reserve(queuedAnswers.size());
    for (HttpResult &it : queuedAnswers)
        callers.emplace_back([&] { it = cluster.request(2, "quote", "x"); });
    sleepFor(Millis{500});
    cluster.platform().pause();
    cluster.entry(2).resume();
    callers.clear();
    cluster.platform().resume();
    for (const HttpResult &it : queuedAnswers) {
        INFO(it.status, " ", it.body);
        CHECK_MESSAGE(it.status != 200, "the old class was served after the edit was accepted");
        CHECK(reasonOf(it) == "documents-stale");
        CHECK(headerValue(it.headers, "X-Run-Status") == "not-run");
    }
    const bool serves = eventually(waitLimit, [&] {
        CHECK(cluster.request(2, "quote", "x").status != 200);
        return cluster.request(2, "ask", "x").status == 200;
    });
    CHECK(serves);
    CHECK(eventually(waitLimit, [&] { return isAccepted(cluster, 2); }));
}

TEST_CASE("An edit stays pending until an entry without access to the store stops serving")
{
    StoreProxy proxy;
    Cluster cluster({.editSettings = [&](Json::Value &settings) { proxy.editSettings(settings); }});
    proxy.disconnected = true;
    const HttpResult answer = putDocument(cluster, 0, 1, documentWithRequestClass("ask"));
    INFO(answer.status, " ", answer.body);
    REQUIRE(answer.status == 200);
    CHECK(parseJson(answer.body)["state"].asString() == "pending");
    CHECK(eventually(waitLimit, [&] { return isAccepted(cluster, 0); }));
    for (int i = 0; i < 100; ++i) {
        const HttpResult old = cluster.request(2, "quote", "x");
        INFO(old.status, " ", old.body);
        CHECK(old.status != 200);
        sleepFor(Millis{20});
    }
    proxy.disconnected = false;
    CHECK(eventually(waitLimit, [&] { return cluster.request(2, "ask", "x").status == 200; }));
}

TEST_CASE("Killing the entry that handles an edit leaves the old or the new document intact")
{
    Cluster cluster;
    std::uint64_t baseRevision = 1;
    std::string current = fetchDocument(cluster, 0)["document"].asString();
    for (const int delayMs : {0, 1, 2, 4, 8, 16}) {
        const std::string next = documentWithRequestClass("after-" + std::to_string(delayMs));
        HttpResult answer;
        std::jthread editor([&] { answer = putDocument(cluster, 0, baseRevision, next); });
        sleepFor(Millis{delayMs});
        cluster.entry(0).kill();
        editor.join();
        const Json::Value stored = fetchDocument(cluster, 1);
        const std::uint64_t revision = stored["revision"].asUInt64();
        INFO("killed after ", delayMs, " ms; answer ", answer.status, " ", answer.body);
        CHECK((revision == baseRevision || revision == baseRevision + 1));
        CHECK(stored["document"].asString() == (revision == baseRevision ? current : next));
        if (answer.status == 200)
            CHECK(revision == baseRevision + 1);
        CHECK(eventually(waitLimit, [&] { return isAccepted(cluster, 1); }));
        cluster.startEntry(0);
        CHECK(eventually(waitLimit, [&] { return isAccepted(cluster, 0); }));
        baseRevision = revision;
        current = stored["document"].asString();
    }
}

TEST_CASE("Edits are refused as not run and repeatable requests succeed while the store is down")
{
    Cluster cluster;
    cluster.setFaults(cluster.platform(), R"({"down": true})");
    const HttpResult refused = putDocument(cluster, 0, 1, documentWithRequestClass("ask"));
    INFO(refused.status, " ", refused.body);
    CHECK(refused.status == 503);
    CHECK(reasonOf(refused) == "store-unavailable");
    CHECK(headerValue(refused.headers, "X-Run-Status") == "not-run");
    CHECK(cluster.request(1, "quote", "x").status == 200);
    cluster.setFaults(cluster.platform(), R"({"down": false})");
    CHECK(eventually(waitLimit, [&] {
        return putDocument(cluster, 0, 1, documentWithRequestClass("ask")).status != 503;
    }));
    CHECK(fetchDocument(cluster, 1)["revision"].asUInt64() == 2);
}

TEST_CASE("Edits with a wrong key or from another team or of an invalid document are refused")
{
    Cluster cluster;
    const HttpResult invalid = putDocument(cluster, 0, 1, R"({"service": "quotes", "extra": 1})");
    CHECK(invalid.status == 400);
    // The faults: "team" is missing, and "extra" is an unknown key.
    CHECK(parseJson(invalid.body)["faults"].size() == 2);
    const auto put = [&](const std::string &team, const std::string &key) {
        return call({.address = cluster.entry(0).address("callers"),
                     .method = "PUT",
                     .path = documentPath,
                     .headers = {{"If-Match", "1"}, {"X-Team", team}, {"X-Team-Key", key}},
                     .body = documentWithRequestClass("ask")});
    };
    CHECK(put("counter", "wrong-key-wrong-key").status == 403);
    CHECK(put("others", "0123456789abcdef").status == 403);
    CHECK(fetchDocument(cluster, 0)["revision"].asUInt64() == 1);
}

TEST_CASE("A class of runs or watchers can be removed only when all its work has ended")
{
    Cluster cluster;
    const std::string both = documentWithBatchClasses(rebuildClass, stockClass);
    REQUIRE(putDocument(cluster, 0, 1, both).status == 200);
    std::vector<std::string> runs;
    runs.reserve(4);
    for (int i = 0; i < 4; ++i)
        runs.push_back(cluster.submit(i % 3, "runs", "rebuild", R"({"durationMs":600000})",
                                      "rebuild-" + std::to_string(i)));
    const std::string watcher =
        cluster.submit(1, "watchers", "stock", R"({"until":{"afterMs":600000}})", "stock-1");
    for (int i = 0; i < 3; ++i) {
        const HttpResult answer = putDocument(cluster, i, 2, documentWithBatchClasses("", ""));
        INFO("entry ", i, ": ", answer.status, " ", answer.body);
        CHECK(answer.status == 409);
        CHECK(reasonOf(answer) == "class-in-use");
        CHECK(headerValue(answer.headers, "X-Run-Status") == "not-run");
        const std::string detail = parseJson(answer.body)["detail"].asString();
        CHECK(detail.find("runs.rebuild is removed while 4 of it") != std::string::npos);
        CHECK(detail.find("watchers.stock is removed while 1 of it") != std::string::npos);
    }
    CHECK(fetchDocument(cluster, 0)["revision"].asUInt64() == 2);
    for (const std::string &it : runs)
        cluster.call(0, "DELETE", "/v1/runs/" + it);
    for (const std::string &it : runs)
        CHECK(cluster.waitForFinalState(0, "runs", it, waitLimit) == "cancelled");
    const HttpResult withWatcher = putDocument(cluster, 2, 2, documentWithBatchClasses("", ""));
    CHECK(withWatcher.status == 409);
    const HttpResult onlyRuns =
        putDocument(cluster, 2, 2, documentWithBatchClasses("", stockClass));
    INFO(onlyRuns.status, " ", onlyRuns.body);
    CHECK(onlyRuns.status == 200);
    cluster.call(0, "DELETE", "/v1/watchers/" + watcher);
    const HttpResult rest = putDocument(cluster, 1, 3, documentWithBatchClasses("", ""));
    INFO(rest.status, " ", rest.body);
    CHECK(rest.status == 200);
}

TEST_CASE("Removing a class is refused while an entry does not report its unfinished work")
{
    Cluster cluster;
    REQUIRE(putDocument(cluster, 0, 1, documentWithBatchClasses(rebuildClass, stockClass)).status
            == 200);
    cluster.entry(2).pause();
    const HttpResult refused = putDocument(cluster, 0, 2, documentWithBatchClasses("", stockClass));
    INFO(refused.status, " ", refused.body);
    CHECK(refused.status == 503);
    CHECK(reasonOf(refused) == "live-work-unknown");
    CHECK(headerValue(refused.headers, "X-Run-Status") == "not-run");
    CHECK_FALSE(headerValue(refused.headers, "Retry-After").empty());
    CHECK(fetchDocument(cluster, 0)["revision"].asUInt64() == 2);
    // An edit that removes no class needs no count of unfinished work.
    const std::string withLookupClass = R"("lookup": {}, )" + stockClass;
    CHECK(putDocument(cluster, 0, 2, documentWithBatchClasses(rebuildClass, withLookupClass)).status
          == 200);
    cluster.entry(2).resume();
    CHECK(eventually(waitLimit, [&] {
        return putDocument(cluster, 0, 3, documentWithBatchClasses("", withLookupClass)).status
            == 200;
    }));
}
