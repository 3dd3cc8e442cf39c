#include "callerconnection.h"
#include "core/bootclock.h"
#include "fakeplatform.h"
#include "node/node.h"
#include "plaincodec.h"
#include "savorywick/steps/record.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{30'000}; // Generous; reached only if the entry never stops.

// A table that replies before the call returns, except to the commits that the test holds back.
class HoldingTable final : public ImmediateTable
{
public:
    void commit(const Transaction &t, CommitCallback done) override
    {
        if (committing)
            committing(t);
        if (holdsCommits)
            m_held.push_back(std::move(done));
        else
            ImmediateTable::commit(t, std::move(done));
    }

    // Makes the entry at `peer` the owner of shard 0.
    void setOwner(const std::string &peer)
    {
        const ShardRow row{.owner = "other.1", .peer = peer, .epoch = 1};
        rows().commit({{{shardKey(0), 0}, {entryKey(row.owner), 0}},
                       {{shardKey(0), serializeShardRow(row)},
                        {entryKey(row.owner), R"({"peer":")" + peer + R"("})"}}});
    }

    bool holdsCommits = false;
    std::function<void(const Transaction &)> committing; // Called before each commit.

private:
    std::vector<CommitCallback> m_held;
};

// An entry, its callers and an owner of shard 0 that receives requests and never replies.
class DrainFixture
{
public:
    DrainFixture()
        : m_http(m_loop)
        , m_silentOwner(m_loop, {},
                        [this](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
                            m_unanswered.push_back(respond);
                        })
        , m_node(settings(), m_loop, m_clock, m_http,
                 {table, m_objects, m_workers, m_feed, m_codec})
    { }
    ~DrainFixture() { m_unanswered.clear(); } // Responders must not outlive the loop.
    DrainFixture(const DrainFixture &) = delete;
    DrainFixture &operator=(const DrainFixture &) = delete;

    EventLoop &loop() { return m_loop; }
    const std::string &callers() const { return m_callers; }

    void giveShardToSilentOwner() { table.setOwner(m_silentOwner.listen("127.0.0.1:0")); }
    void start() { m_callers = m_node.start().callers; }

    // Sends a caller's request and returns its result, which is set once the request has ended.
    const std::optional<HttpResult> &send(const std::string &method, const std::string &path,
                                          const std::string &body = {})
    {
        return sendTo(m_callers, method, path, body);
    }
    // Sends a peer's submission to shard 0.
    const std::optional<HttpResult> &submitAsPeer(const std::string &jobId)
    {
        steps::JobSpec spec;
        spec.id = jobId;
        spec.policy.queue = "q";
        spec.steps.resize(1);
        return sendTo(m_peers, "POST", "/shards/0/jobs",
                      steps::encodeRecord(steps::JobAccepted{spec, 0}));
    }

    void runFor(Millis span)
    {
        m_loop.runAfter(span, [this] { m_loop.stop(); });
        m_loop.run();
    }

    // Makes each turn of the loop from now on take this long.
    void makeTurnsSlow(Millis turn)
    {
        m_loop.post([this, turn] {
            std::this_thread::sleep_for(std::chrono::milliseconds(turn.count()));
            makeTurnsSlow(turn);
        });
    }

    // Drains the entry and returns once it has stopped the loop.
    void drain()
    {
        m_node.drain();
        const auto limit = m_loop.runAfter(waitLimit, [this] {
            FAIL_CHECK("the entry has not stopped");
            m_loop.stop();
        });
        m_loop.run();
        m_loop.cancel(limit);
    }

    HoldingTable table;

private:
    NodeSettings settings()
    {
        NodeSettings s;
        s.name = "entry-a";
        for (std::string *it : {&s.callersAddress, &s.readinessAddress})
            *it = "127.0.0.1:0";
        s.peersAddress = m_peers;
        return s;
    }

    const std::optional<HttpResult> &sendTo(const std::string &address, const std::string &method,
                                            const std::string &path, const std::string &body)
    {
        std::optional<HttpResult> &result = m_results.emplace_back();
        HttpCall call;
        call.address = address;
        call.method = method;
        call.path = path;
        call.headers = {{"Host", "jobs.example"}};
        call.body = body;
        call.timeout = waitLimit;
        m_http.exchange(std::move(call), [&result](const HttpResult &r) { result = r; });
        return result;
    }

    EventLoop m_loop;
    const std::string m_peers = freeAddress();
    BootClock m_clock;
    UnavailableObjectStore m_objects;
    UnresponsiveWorkers m_workers;
    OneQueueFeed m_feed;
    PlainCodec m_codec;
    std::list<std::optional<HttpResult>> m_results; // A list, since callbacks refer to elements.
    std::vector<AsyncHttpServer::Responder> m_unanswered;
    AsyncHttpClient m_http;
    AsyncHttpServer m_silentOwner;
    Node m_node;
    std::string m_callers;
};

// Returns the status, 0 for a request that was certainly not read, or -1 for one that ended without
// a response.
int statusOf(const std::optional<HttpResult> &result)
{
    if (result && result->outcome == HttpOutcome::NotSent)
        return 0;
    return result && result->outcome == HttpOutcome::ResponseReceived ? result->status : -1;
}

// Returns the statuses of the responses that have arrived.
std::string statusesOf(const CallerConnection &connection)
{
    std::string text;
    for (const int it : connection.statuses())
        text += (text.empty() ? "" : " ") + std::to_string(it);
    return text;
}

} // namespace

// Guards against requests that a stopping entry abandons: a caller that waits for 3 s sends one
// shortly before the entry has to stop, and the shard's owner does not reply in time.
TEST_CASE("A stopping entry answers requests whose owner does not reply")
{
    struct Case
    {
        Millis sentAt; // Since the stop signal.
        const char *method;
        const char *path;
        const char *body;
        int status;
    };
    // The owner has received all but the last one, so they may take effect. The last one comes too
    // late for an attempt.
    const Case cases[] = {{Millis{0}, "POST", "/q/id1", "job", 504},
                          {Millis{2'000}, "GET", "/q/id2", "", 504},
                          {Millis{2'800}, "POST", "/q/id3", "job", 504},
                          {Millis{3'000}, "DELETE", "/q/id4", "", 504},
                          {Millis{3'700}, "POST", "/q/id5", "job", 503}};
    DrainFixture fixture;
    fixture.giveShardToSilentOwner();
    fixture.start();
    std::vector<const std::optional<HttpResult> *> results(std::size(cases));
    for (std::size_t i = 0; i < std::size(cases); ++i) {
        fixture.loop().runAfter(cases[i].sentAt, [&, i] {
            results[i] = &fixture.send(cases[i].method, cases[i].path, cases[i].body);
        });
    }
    fixture.drain();
    for (std::size_t i = 0; i < std::size(cases); ++i) {
        CAPTURE(std::string(cases[i].path));
        REQUIRE(results[i]);
        CHECK(statusOf(*results[i]) == cases[i].status);
    }
}

// Guards against a submission that is abandoned because the store holds back its commit.
TEST_CASE("A stopping owner answers a submission that it can't commit")
{
    DrainFixture fixture;
    fixture.start();
    fixture.runFor(Millis{1'000}); // Until the entry has claimed and restored its shard.
    fixture.table.holdsCommits = true;
    const auto &submitted = fixture.send("POST", "/q/id1", "job");
    fixture.runFor(Millis{100});
    const std::optional<HttpResult> *late = nullptr;
    fixture.loop().runAfter(Millis{200}, [&] { late = &fixture.send("POST", "/q/id2", "job"); });
    fixture.drain();
    CHECK(statusOf(submitted) == 504);
    CHECK(statusOf(*late) == 503);
}

// Guards against peers that learn nothing from a stopping owner whose store holds back a commit.
TEST_CASE("A stopping owner answers a peer whose submission it can't commit")
{
    DrainFixture fixture;
    fixture.start();
    fixture.runFor(Millis{1'000});
    fixture.table.holdsCommits = true;
    const auto &submitted = fixture.submitAsPeer("id1");
    fixture.runFor(Millis{100});
    const std::optional<HttpResult> *late = nullptr;
    fixture.loop().runAfter(Millis{200}, [&] { late = &fixture.submitAsPeer("id2"); });
    fixture.drain();
    REQUIRE(submitted);
    CHECK(submitted->body == "undecided queued 0");
    REQUIRE(late);
    REQUIRE(*late);
    CHECK((*late)->body == "not-owner queued 0");
}

// Guards against requests that are read after the entry has found itself idle, and then abandoned
// while its session is being ended.
TEST_CASE("A request that arrives while a stopping entry ends its session is answered or not read")
{
    DrainFixture fixture;
    fixture.start();
    fixture.runFor(Millis{1'000});
    const std::optional<HttpResult> *result = nullptr;
    fixture.table.committing = [&](const Transaction &t) {
        const bool endsSession = t.writes.size() == 1 && !t.writes.front().value;
        if (!endsSession)
            return;
        fixture.table.holdsCommits = true;
        result = &fixture.send("POST", "/q/id1", "job");
    };
    fixture.drain();
    REQUIRE(result);
    const int status = statusOf(*result);
    CHECK((status == 503 || status == 0));
}

// Guards against requests that have arrived when the entry's loop stops, and against callers that
// wait for a response from an entry that has stopped.
TEST_CASE("A request that arrives just before a stopping entry's loop stops is answered")
{
    const std::string request = "GET /q/id1 HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
    DrainFixture fixture;
    fixture.start();
    fixture.runFor(Millis{1'000});
    CallerConnection used;
    CallerConnection fresh;
    for (CallerConnection *it : {&used, &fresh})
        REQUIRE(it->open(fixture.callers()));
    REQUIRE(used.send(request));
    fixture.runFor(Millis{100});
    fixture.table.committing = [&](const Transaction &t) {
        const bool endsSession = t.writes.size() == 1 && !t.writes.front().value;
        if (!endsSession)
            return;
        used.send(request);
        fresh.send(request);
    };
    fixture.drain();
    for (CallerConnection *it : {&used, &fresh}) {
        it->receive();
        CHECK(it->hasEnded());
    }
    CHECK(statusesOf(used) == "410 503");
    CHECK(statusesOf(fresh) == "503");
}

// Guards against an entry that the platform kills at the end of its grace period. A slow store
// holds the release of its shard back and a request stays unread, so the stop takes all of its
// time; the signal and each timer were handled late besides.
TEST_CASE("A stopping entry whose event loop is late ends before its grace period is over")
{
    constexpr Millis turn{300};
    DrainFixture fixture;
    fixture.start();
    fixture.runFor(Millis{1'000});
    CallerConnection caller;
    REQUIRE(caller.open(fixture.callers()));
    REQUIRE(caller.send("GET /q/id1 HTTP/1.1\r\n")); // The rest never comes.
    fixture.table.holdsCommits = true;
    fixture.makeTurnsSlow(turn);
    fixture.runFor(Millis{600}); // Until the lag has been measured.
    const BootClock clock;
    const Instant signalledAt = clock.now();
    fixture.runFor(Millis{1}); // A turn, after which the signal is handled.
    fixture.drain();
    CHECK((clock.now() - signalledAt).count() < NodeSettings{}.gracePeriod.count());
}
