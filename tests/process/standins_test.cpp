#include "harness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{20'000};

// One request to a stand-in and the expected response.
struct Exchange
{
    const char *name;
    const char *method;
    const char *path;
    const char *body;
    int status;
    const char *expectedBody; // Not checked if empty.
};

void checkExchanges(const Process &standin, std::initializer_list<Exchange> exchanges)
{
    for (const Exchange &it : exchanges) {
        CAPTURE(it.name);
        const HttpResult a = call(
            {.address = standin.address(), .method = it.method, .path = it.path, .body = it.body});
        CHECK(a.status == it.status);
        if (*it.expectedBody != '\0')
            CHECK(a.body == it.expectedBody);
    }
}

Cluster standinsOnly(int slots = 8, int serviceMs = 2)
{
    return Cluster{
        {.entries = 0, .upstreams = 1, .workers = 1, .serviceMs = serviceMs, .slots = slots}};
}

HttpResult serve(const Process &upstream, const std::string &id, const std::string &body)
{
    return call({.address = upstream.address(),
                 .method = "POST",
                 .path = "/serve",
                 .headers = {{"X-Request-Id", id}},
                 .body = body});
}

// Calls one worker as the owner of shard 1.
class ShardOwner
{
public:
    explicit ShardOwner(const Process &worker)
        : m_worker(worker)
    { }

    // Renews the lease. An empty `incarnation` matches any incarnation of the worker.
    HttpResult lease(int termMs = 60'000, int epoch = 1, const std::string &incarnation = "")
    {
        Json::Value body;
        body["incarnation"] = incarnation;
        body["termMs"] = termMs;
        HttpResult a = post("/lease", body, epoch);
        m_incarnation = parseJson(a.body)["incarnation"].asString();
        return a;
    }

    HttpResult start(const std::string &task, int attempt, int durationMs = 60'000, int cores = 1,
                     const std::string &payload = "")
    {
        Json::Value body = attemptBody(task, attempt);
        body["incarnation"] = m_incarnation;
        body["cores"] = cores;
        body["memoryMb"] = 1;
        body["accelerators"] = 0;
        body["durationMs"] = durationMs;
        body["payload"] = payload;
        return post("/start", body);
    }

    HttpResult postAttempt(const std::string &path, const std::string &task, int attempt)
    {
        return post(path, attemptBody(task, attempt));
    }

    // Returns the task's state and result, separated by a space, or "gone" if the worker has no
    // such task. Renews the lease, since only the response to that lists the tasks.
    std::string taskState(const std::string &task)
    {
        const Json::Value leased = parseJson(lease().body);
        for (const auto &it : leased["tasks"]) {
            if (it["task"] == task)
                return it["state"].asString() + " " + it["result"].asString();
        }
        return "gone";
    }

private:
    static Json::Value attemptBody(const std::string &task, int attempt)
    {
        Json::Value body;
        body["task"] = task;
        body["attempt"] = attempt;
        return body;
    }

    HttpResult post(const std::string &path, Json::Value body, int epoch = 1)
    {
        body["shard"] = 1;
        body["epoch"] = epoch;
        return call({.address = m_worker.address(),
                     .method = "POST",
                     .path = path,
                     .body = body.toStyledString()});
    }

    const Process &m_worker;
    std::string m_incarnation;
};

std::string reasonOf(const HttpResult &a)
{
    return std::to_string(a.status) + " " + parseJson(a.body)["reason"].asString();
}

} // namespace

TEST_CASE("The table commits all writes of a transaction or none")
{
    Process platform({STANDIN_PROGRAM, "platform"});
    const char *create = R"({"conditions":[{"key":"a","version":0}],)"
                         R"("writes":[{"key":"a","value":"1"},{"key":"b","value":"2"}]})";
    checkExchanges(
        platform,
        {{"create", "POST", "/table/commit", create, 200, R"({"committed":true,"version":1})"},
         {"again", "POST", "/table/commit", create, 409, R"({"committed":false})"},
         {"read", "POST", "/table/read", R"({"keys":["b","x"]})", 200,
          R"({"rows":[{"key":"b","value":"2","version":1},{"key":"x","value":"","version":0}]})"},
         {"delete", "POST", "/table/commit",
          R"({"conditions":[{"key":"b","version":1}],"writes":[{"key":"b","value":null}]})", 200,
          R"({"committed":true,"version":2})"},
         {"scan all", "POST", "/table/scan", R"({"prefix":"","after":"","limit":9})", 200,
          R"({"rows":[{"key":"a","value":"1","version":1}]})"},
         {"scan after", "POST", "/table/scan", R"({"prefix":"a","after":"a","limit":9})", 200,
          R"({"rows":[]})"},
         {"malformed JSON", "POST", "/table/commit", "{", 400, ""}});
}

TEST_CASE("Objects and the membership list keep what was put until it is deleted")
{
    Process platform({STANDIN_PROGRAM, "platform"});
    checkExchanges(platform,
                   {{"put", "PUT", "/objects/a/1", "bytes", 204, ""},
                    {"fetch", "GET", "/objects/a/1", "", 200, "bytes"},
                    {"delete", "DELETE", "/objects/a/1", "", 204, ""},
                    {"fetch absent", "GET", "/objects/a/1", "", 404, ""},
                    {"list", "PUT", "/membership/w", R"({"id":"w","state":"leaving"})", 204, ""},
                    {"read list", "GET", "/membership", "", 200,
                     R"({"hosts":[{"id":"w","state":"leaving"}]})"},
                    {"remove", "DELETE", "/membership/w", "", 204, ""},
                    {"empty list", "GET", "/membership", "", 200, R"({"hosts":[]})"}});
}

TEST_CASE("Each connection fault produces its own outcome")
{
    struct Case
    {
        const char *faults;
        HttpOutcome outcome;
        int status;
        bool committed; // Whether the commit took effect although no answer may have come.
    };
    for (const Case &it : {Case{R"({"down":true})", HttpOutcome::ResponseReceived, 503, false},
                           Case{R"({"refuse":true})", HttpOutcome::ConnectionLost, 0, false},
                           Case{R"({"loseReplies":1})", HttpOutcome::ConnectionLost, 0, true},
                           Case{R"({"delayMs":60000})", HttpOutcome::TimedOut, 0, true},
                           Case{R"({"delayBeforeMs":60000})", HttpOutcome::TimedOut, 0, false}}) {
        CAPTURE(it.faults);
        Cluster cluster({.entries = 0, .upstreams = 0, .workers = 0});
        cluster.setFaults(cluster.platform(), it.faults);
        const HttpResult a = call({.address = cluster.platform().address(),
                                   .method = "POST",
                                   .path = "/table/commit",
                                   .body = R"({"writes":[{"key":"a","value":"1"}]})",
                                   .timeout = Millis{500}});
        CHECK(a.outcome == it.outcome);
        CHECK(a.status == it.status);
        CHECK(cluster.stats(cluster.platform())["commits"] == (it.committed ? 1 : 0));
    }
}

TEST_CASE("An unknown fault is refused and a disabled fault has no effect")
{
    Process platform({STANDIN_PROGRAM, "platform"});
    checkExchanges(platform,
                   {{"unknown", "POST", "/faults", R"({"dwon":true})", 400, ""},
                    {"on", "POST", "/faults", R"({"down":true})", 200, ""},
                    {"shown", "GET", "/membership", "", 503, ""},
                    {"off", "POST", "/faults", R"({"down":false})", 200, ""},
                    {"gone", "GET", "/membership", "", 200, ""}});
}

TEST_CASE("An upstream echoes the request's id and body unless a fault is set")
{
    struct Case
    {
        const char *faults;
        HttpOutcome outcome;
        int status;
        const char *id;
        const char *echo;
    };
    Cluster cluster = standinsOnly();
    serve(cluster.upstream(0), "r0", "zero");
    for (const Case &it :
         {Case{R"({"crossAnswers":true})", HttpOutcome::ResponseReceived, 200, "r0", "zero"},
          Case{R"({"crossAnswers":false})", HttpOutcome::ResponseReceived, 200, "r1", "one"},
          Case{R"({"wrongId":true})", HttpOutcome::ResponseReceived, 200, "wrong-r1", "one"},
          Case{R"({"wrongId":false,"failAll":true})", HttpOutcome::ResponseReceived, 500, "r1",
               "one"},
          Case{R"({"failAll":false,"shortBody":true})", HttpOutcome::ConnectionLost, 0, "", ""},
          Case{R"({"shortBody":false,"loseReplies":1})", HttpOutcome::ConnectionLost, 0, "", ""}}) {
        CAPTURE(it.faults);
        cluster.setFaults(cluster.upstream(0), it.faults);
        const HttpResult a = serve(cluster.upstream(0), "r1", "one");
        CHECK(a.outcome == it.outcome);
        CHECK(a.status == it.status);
        CHECK(headerValue(a.headers, "X-Request-Id") == it.id);
        CHECK(parseJson(a.body).get("echo", "").asString() == it.echo);
    }
    CHECK(cluster.executionCount("one") == 6);
}

TEST_CASE("An upstream without a free slot refuses the request and does not run it")
{
    Cluster cluster = standinsOnly(0);
    CHECK(reasonOf(serve(cluster.upstream(0), "r", "body")) == "503 no-slot");
    CHECK(cluster.executionCount("body") == 0);
}

TEST_CASE("A worker refuses calls that its lease or epochs or capacity do not allow")
{
    Cluster cluster = standinsOnly();
    ShardOwner owner(cluster.worker(0));
    owner.lease(1);
    REQUIRE(eventually(waitLimit, [&] { return cluster.stats(cluster.worker(0))["lapses"] == 1; }));
    CHECK(reasonOf(owner.start("t", 1)) == "409 wrong-incarnation");
    owner.lease(60'000, 1, "the one before the lapse");
    CHECK(reasonOf(owner.start("t", 1)) == "409 no-lease");
    owner.lease();
    CHECK(owner.start("t", 2).status == 200);
    CHECK(owner.start("t", 2).status == 200);
    CHECK(reasonOf(owner.start("t", 1)) == "409 stale-attempt");
    CHECK(reasonOf(owner.start("big", 1, 1, 64)) == "409 no-room");
    CHECK(owner.postAttempt("/checkpoint", "t", 2).status == 200);
    CHECK(owner.postAttempt("/throttle", "t", 2).status == 200);
    CHECK(parseJson(owner.postAttempt("/stop", "t", 2).body)["stopped"] == true);
    CHECK(reasonOf(owner.start("t", 2)) == "409 stale-attempt");
    CHECK(owner.lease(60'000, 5).status == 200);
    CHECK(reasonOf(owner.start("t", 3)) == "409 stale-epoch");
    CHECK(cluster.stats(cluster.worker(0))["starts"]["t/2"] == 1);
}

TEST_CASE("A worker's task ends as its payload and the faults specify")
{
    struct Case
    {
        const char *faults;
        const char *payload;
        const char *endState;
    };
    Cluster cluster = standinsOnly();
    ShardOwner owner(cluster.worker(0));
    owner.lease();
    int n = 0;
    for (const Case &it : {Case{"{}", "{}", "finished done:t0:1"},
                           Case{"{}", R"({"fail":true})", "failed failed:t1:1"},
                           Case{R"({"failAll":true})", "x", "failed failed:t2:1"}}) {
        const std::string task = "t" + std::to_string(n++);
        cluster.setFaults(cluster.worker(0), it.faults);
        owner.start(task, 1, 50, 1, it.payload);
        CHECK(eventually(waitLimit, [&] { return owner.taskState(task) == it.endState; }));
    }
}

TEST_CASE("A worker that resumes after its lease expired has stopped its tasks")
{
    Cluster cluster = standinsOnly();
    ShardOwner owner(cluster.worker(0));
    owner.lease(500);
    REQUIRE(owner.start("t", 1).status == 200);
    cluster.pauseWorker(0);
    sleepFor(Millis{600});
    cluster.worker(0).resume();
    const Json::Value stats = cluster.stats(cluster.worker(0));
    CHECK(stats["running"].empty());
    CHECK(stats["lapses"] == 1);
    CHECK(cluster.overlappingRuns().empty());
}

TEST_CASE("A task that runs on two workers at once is reported")
{
    Cluster cluster({.entries = 0, .upstreams = 0, .workers = 2});
    ShardOwner a(cluster.worker(0));
    ShardOwner b(cluster.worker(1));
    a.lease();
    b.lease();
    a.start("t", 1);
    REQUIRE(eventually(waitLimit, [&] { return a.taskState("t") == "running "; }));
    b.start("t", 2);
    CHECK(eventually(waitLimit, [&] { return cluster.overlappingRuns().size() == 1; }));
}

TEST_CASE("A stand-in leaves the membership list when it is terminated")
{
    Cluster cluster = standinsOnly();
    CHECK(cluster.worker(0).stop() == 0);
    const HttpResult a = call({.address = cluster.platform().address(), .path = "/membership"});
    CHECK(parseJson(a.body)["hosts"].size() == 1);
}
