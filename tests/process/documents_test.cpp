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

constexpr Millis limit{30'000};
const std::string path = "/v1/documents/quotes";

const std::string batchClasses =
    R"("runs": {"refresh": {"demand": {"cores": 2, "memoryMb": 1000}, "expectedMs": 300},)"
    R"("rebuild": {"demand": {"cores": 2, "memoryMb": 1000}, "expectedMs": 20000}},)"
    R"("watchers": {"stock": {}})";

// Returns a document whose only request class is `className`; the classes of runs and watchers are
// the harness's, since removing one asks every entry.
std::string documentWith(const std::string &className)
{
    return R"({"service": "quotes", "team": "counter", "upstreamService": "quotes",)"
           R"("requests": {")"
        + className + R"(": {"deadlineLimitMs": 10000, "repeatable": true}},)" + batchClasses + "}";
}

HttpResult apply(Cluster &cluster, int i, std::uint64_t base, const std::string &text)
{
    return cluster.call(i, "PUT", path, text, {{"If-Match", std::to_string(base)}});
}

Json::Value show(Cluster &cluster, int i, const std::string &suffix = "")
{
    return parseJson(cluster.call(i, "GET", path + suffix).body);
}

bool isAccepted(Cluster &cluster, int i)
{
    return show(cluster, i, "/status")["state"].asString() == "accepted";
}

// Passes an entry's calls on to the table service until it is cut.
class Relay
{
public:
    Relay()
        : m_server(
            {}, [this](const HttpRequest &request) { return pass(request); },
            [](int status) {
                return HttpResponse{status, {}, ""};
            })
        , m_address(m_server.listen("127.0.0.1:0"))
    { }
    ~Relay() { m_server.stop(); }
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    // Puts the relay between entry-2 and the table service.
    void editSettings(Json::Value &settings)
    {
        if (settings["id"].asString() != "entry-2")
            return;
        m_target = settings["platform"]["table"].asString();
        settings["platform"]["table"] = m_address;
    }

    std::atomic<bool> cut{false};

private:
    HttpResponse pass(const HttpRequest &request)
    {
        if (cut)
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

// Returns a document like the harness's own, with these classes of runs and watchers.
std::string documentWithBatch(const std::string &runs, const std::string &watchers)
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

TEST_CASE("An accepted edit is in force on every entry at once")
{
    Cluster cluster;
    for (std::uint64_t base = 1; base <= 5; ++base) {
        const std::string name = "class-" + std::to_string(base);
        const HttpResult answer =
            apply(cluster, static_cast<int>(base % 3), base, documentWith(name));
        INFO("edit ", base, ": ", answer.status, " ", answer.body);
        REQUIRE(answer.status == 200);
        CHECK(parseJson(answer.body)["state"].asString() == "accepted");
        for (int i = 0; i < 3; ++i)
            CHECK(cluster.request(i, name, "x").status == 200);
    }
    CHECK(show(cluster, 0, "?revision=3")["document"].asString() == documentWith("class-2"));
    passTime(Millis{200});
    const HttpResult status = cluster.call(0, "GET", "/v1/documents/quotes/status");
    const Json::Value entries = parseJson(status.body)["entries"];
    CHECK(entries.size() == 3);
    for (const Json::Value &it : entries) {
        INFO(status.body);
        CHECK(it["revision"].asUInt64() == 6);
        CHECK(it["ageMs"].asInt64() >= 200);
    }
}

TEST_CASE("Of three racing operators one wins and the others learn the present revision")
{
    Cluster cluster;
    for (std::uint64_t base = 1; base <= 3; ++base) {
        std::array<HttpResult, 3> answers;
        std::vector<std::jthread> operators;
        operators.reserve(answers.size());
        for (int i = 0; i < 3; ++i) {
            operators.emplace_back([&, i] {
                answers[std::size_t(i)] =
                    apply(cluster, i, base, documentWith("by-" + std::to_string(i)));
            });
        }
        operators.clear();
        int winners = 0;
        for (const HttpResult &it : answers) {
            INFO("round ", base, ": ", it.status, " ", it.body);
            winners += it.status == 200 ? 1 : 0;
            CHECK((it.status == 200 || it.status == 412));
            if (it.status == 412)
                CHECK(parseJson(it.body)["present"]["revision"].asUInt64() == base + 1);
        }
        CHECK(winners == 1);
        CHECK(show(cluster, 0)["revision"].asUInt64() == base + 1);
    }
}

TEST_CASE("A lost reply of the store is settled and the edit lands once")
{
    Cluster cluster;
    cluster.fault(cluster.platform(), R"({"loseReplies": 4})");
    const HttpResult answer = apply(cluster, 0, 1, documentWith("ask"));
    INFO(answer.status, " ", answer.body);
    CHECK(answer.status == 200);
    CHECK(parseJson(answer.body)["revision"].asUInt64() == 2);
    CHECK(show(cluster, 1)["revision"].asUInt64() == 2);
    CHECK(cluster.call(1, "GET", path + "?revision=3").status == 404);
}

TEST_CASE("An entry that was frozen over an accepted edit never serves the old document")
{
    Cluster cluster;
    cluster.entry(2).pause();
    const HttpResult answer = apply(cluster, 0, 1, documentWith("ask"));
    INFO(answer.status, " ", answer.body);
    REQUIRE(answer.status == 200);
    const Json::Value said = parseJson(answer.body);
    CHECK(said["state"].asString() == "pending");
    REQUIRE(said["pendingOn"].size() == 1);
    CHECK(said["pendingOn"][0].asString() == "entry-2");
    // Once the frozen entry's row has lapsed, it is listed no more.
    CHECK(eventually(limit, [&] { return isAccepted(cluster, 0); }));
    // Requests that wait in the frozen entry's sockets are the first thing that it sees when it
    // wakes; a silent store keeps it from learning of the edit meanwhile.
    std::array<HttpResult, 16> early;
    std::vector<std::jthread> callers;
    callers.reserve(early.size());
    for (HttpResult &it : early)
        callers.emplace_back([&] { it = cluster.request(2, "quote", "x"); });
    passTime(Millis{500});
    cluster.platform().pause();
    cluster.entry(2).resume();
    callers.clear();
    cluster.platform().resume();
    for (const HttpResult &it : early) {
        INFO(it.status, " ", it.body);
        CHECK_MESSAGE(it.status != 200, "the old class was served after the edit was accepted");
        CHECK(reasonOf(it) == "documents-stale");
        CHECK(headerValue(it.headers, "X-Run-Status") == "not-run");
    }
    const bool serves = eventually(limit, [&] {
        CHECK(cluster.request(2, "quote", "x").status != 200);
        return cluster.request(2, "ask", "x").status == 200;
    });
    CHECK(serves);
    CHECK(eventually(limit, [&] { return isAccepted(cluster, 2); }));
}

TEST_CASE("An entry that is cut from the store holds an edit up until it serves no more")
{
    Relay relay;
    Cluster cluster({.editSettings = [&](Json::Value &settings) { relay.editSettings(settings); }});
    relay.cut = true;
    const HttpResult answer = apply(cluster, 0, 1, documentWith("ask"));
    INFO(answer.status, " ", answer.body);
    REQUIRE(answer.status == 200);
    CHECK(parseJson(answer.body)["state"].asString() == "pending");
    CHECK(eventually(limit, [&] { return isAccepted(cluster, 0); }));
    for (int i = 0; i < 100; ++i) {
        const HttpResult old = cluster.request(2, "quote", "x");
        INFO(old.status, " ", old.body);
        CHECK(old.status != 200);
        passTime(Millis{20});
    }
    relay.cut = false;
    CHECK(eventually(limit, [&] { return cluster.request(2, "ask", "x").status == 200; }));
}

TEST_CASE("A kill of the entry that takes an edit leaves the old or the new document whole")
{
    Cluster cluster;
    std::uint64_t base = 1;
    std::string present = show(cluster, 0)["document"].asString();
    for (const int delayMs : {0, 1, 2, 4, 8, 16}) {
        const std::string next = documentWith("after-" + std::to_string(delayMs));
        HttpResult answer;
        std::jthread editor([&] { answer = apply(cluster, 0, base, next); });
        passTime(Millis{delayMs});
        cluster.entry(0).kill();
        editor.join();
        const Json::Value kept = show(cluster, 1);
        const std::uint64_t revision = kept["revision"].asUInt64();
        INFO("killed after ", delayMs, " ms; answer ", answer.status, " ", answer.body);
        CHECK((revision == base || revision == base + 1));
        CHECK(kept["document"].asString() == (revision == base ? present : next));
        if (answer.status == 200)
            CHECK(revision == base + 1);
        CHECK(eventually(limit, [&] { return isAccepted(cluster, 1); }));
        cluster.startEntry(0);
        CHECK(eventually(limit, [&] { return isAccepted(cluster, 0); }));
        base = revision;
        present = kept["document"].asString();
    }
}

TEST_CASE("A store that is down refuses edits as not run and keeps repeatable requests going")
{
    Cluster cluster;
    cluster.fault(cluster.platform(), R"({"down": true})");
    const HttpResult refused = apply(cluster, 0, 1, documentWith("ask"));
    INFO(refused.status, " ", refused.body);
    CHECK(refused.status == 503);
    CHECK(reasonOf(refused) == "store-unavailable");
    CHECK(headerValue(refused.headers, "X-Run-Status") == "not-run");
    CHECK(cluster.request(1, "quote", "x").status == 200);
    cluster.fault(cluster.platform(), R"({"down": false})");
    CHECK(
        eventually(limit, [&] { return apply(cluster, 0, 1, documentWith("ask")).status != 503; }));
    CHECK(show(cluster, 1)["revision"].asUInt64() == 2);
}

TEST_CASE("Edits without the right key or by another team or with faults are refused")
{
    Cluster cluster;
    const HttpResult invalid = apply(cluster, 0, 1, R"({"service": "quotes", "extra": 1})");
    CHECK(invalid.status == 400);
    CHECK(parseJson(invalid.body)["faults"].size() == 2);
    const auto put = [&](const std::string &team, const std::string &key) {
        return call({.address = cluster.entry(0).address("callers"),
                     .method = "PUT",
                     .path = path,
                     .headers = {{"If-Match", "1"}, {"X-Team", team}, {"X-Team-Key", key}},
                     .body = documentWith("ask")});
    };
    CHECK(put("counter", "wrong-key-wrong-key").status == 403);
    CHECK(put("others", "0123456789abcdef").status == 403);
    CHECK(show(cluster, 0)["revision"].asUInt64() == 1);
}

TEST_CASE("A class of runs or watchers is removed only once none of its work is unfinished")
{
    Cluster cluster;
    const std::string both = documentWithBatch(rebuildClass, stockClass);
    REQUIRE(apply(cluster, 0, 1, both).status == 200);
    std::vector<std::string> runs;
    runs.reserve(4);
    for (int i = 0; i < 4; ++i)
        runs.push_back(cluster.submit(i % 3, "runs", "rebuild", R"({"durationMs":600000})",
                                      "rebuild-" + std::to_string(i)));
    const std::string watcher =
        cluster.submit(1, "watchers", "stock", R"({"until":{"afterMs":600000}})", "stock-1");
    for (int i = 0; i < 3; ++i) {
        const HttpResult answer = apply(cluster, i, 2, documentWithBatch("", ""));
        INFO("entry ", i, ": ", answer.status, " ", answer.body);
        CHECK(answer.status == 409);
        CHECK(reasonOf(answer) == "class-in-use");
        CHECK(headerValue(answer.headers, "X-Run-Status") == "not-run");
        const std::string detail = parseJson(answer.body)["detail"].asString();
        CHECK(detail.find("runs.rebuild is removed while 4 of it") != std::string::npos);
        CHECK(detail.find("watchers.stock is removed while 1 of it") != std::string::npos);
    }
    CHECK(show(cluster, 0)["revision"].asUInt64() == 2);
    for (const std::string &it : runs)
        cluster.call(0, "DELETE", "/v1/runs/" + it);
    for (const std::string &it : runs)
        CHECK(cluster.endState(0, "runs", it, limit) == "cancelled");
    const HttpResult withWatcher = apply(cluster, 2, 2, documentWithBatch("", ""));
    CHECK(withWatcher.status == 409);
    const HttpResult onlyRuns = apply(cluster, 2, 2, documentWithBatch("", stockClass));
    INFO(onlyRuns.status, " ", onlyRuns.body);
    CHECK(onlyRuns.status == 200);
    cluster.call(0, "DELETE", "/v1/watchers/" + watcher);
    const HttpResult rest = apply(cluster, 1, 3, documentWithBatch("", ""));
    INFO(rest.status, " ", rest.body);
    CHECK(rest.status == 200);
}

TEST_CASE("A removal of a class is refused while an entry does not say what is unfinished")
{
    Cluster cluster;
    REQUIRE(apply(cluster, 0, 1, documentWithBatch(rebuildClass, stockClass)).status == 200);
    cluster.entry(2).pause();
    const HttpResult refused = apply(cluster, 0, 2, documentWithBatch("", stockClass));
    INFO(refused.status, " ", refused.body);
    CHECK(refused.status == 503);
    CHECK(reasonOf(refused) == "live-work-unknown");
    CHECK(headerValue(refused.headers, "X-Run-Status") == "not-run");
    CHECK_FALSE(headerValue(refused.headers, "Retry-After").empty());
    CHECK(show(cluster, 0)["revision"].asUInt64() == 2);
    // An edit that removes no class needs no count.
    const std::string renamed = R"("lookup": {}, )" + stockClass;
    CHECK(apply(cluster, 0, 2, documentWithBatch(rebuildClass, renamed)).status == 200);
    cluster.entry(2).resume();
    CHECK(eventually(
        limit, [&] { return apply(cluster, 0, 3, documentWithBatch("", renamed)).status == 200; }));
}
