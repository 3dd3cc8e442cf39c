#include "node/callerapi.h"
#include "plaincodec.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{20'000}; // Generous; reached only if a request gets no response.

// A CallerApi with an owner that sends the given replies in order and then repeats the last one.
// Without any, the owner replies when the test calls replyToAttempts(), or after `replyDelay`.
class CallerApiFixture
{
public:
    explicit CallerApiFixture(std::vector<ShardReply> replies,
                              const CallerApiSettings &settings = {})
        : m_replies(std::move(replies))
        , m_api(settings,
                {m_loop, m_clock, m_codec, m_queues,
                 [this](const std::string &, const ShardRequest &, Millis timeout,
                        const ShardReplyCallback &onReply) {
                     m_lastTimeout = timeout;
                     if (lateFirstOutcome)
                         replyLateOnce(onReply);
                     else if (replyDelay)
                         replyLate(timeout, onReply);
                     else
                         replyNext(onReply);
                 }})
    {
        steps::QueueConfiguration configuration;
        configuration.version = 1;
        configuration.queues = {{"jobs.example", "/q/", {}}};
        configuration.queues[0].policy.queue = "q";
        m_queues.apply(std::move(configuration));
    }

    HttpResponse request(const std::string &method, const std::string &path,
                         const std::string &body = {}, const std::string &patience = "long")
    {
        // Shared, since a response may come after this function has given up.
        const auto response = std::make_shared<std::optional<HttpResponse>>();
        HttpRequest request{
            method, path, {{"Host", "jobs.example"}, {"Patience", patience}}, {}, body};
        m_api.handle(request, [this, response](HttpResponse r) {
            *response = std::move(r);
            m_loop.stop();
        });
        const auto limit = m_loop.runAfter(waitLimit, [this] { m_loop.stop(); });
        if (!*response)
            m_loop.run();
        m_loop.cancel(limit);
        return response->value_or(HttpResponse{.status = 0, .headers = {}, .body = {}});
    }

    // Replies to the attempts that had no reply so far.
    void replyToAttempts(const ShardReply &reply)
    {
        for (const ShardReplyCallback &it : std::exchange(m_unanswered, {}))
            it(reply);
    }

    const CallerApi &api() const { return m_api; }
    int attempts() const { return m_attempts; }
    // Returns the timeout of the last request to the owner.
    Millis lastTimeout() const { return m_lastTimeout; }

    std::optional<Millis> replyDelay; // How long the owner takes for each attempt.
    // What it replies to the first attempt, after 70 ms; it replies NotOwner to the others, at
    // once.
    std::optional<ShardOutcome> lateFirstOutcome;

private:
    // Replies Ok after `replyDelay`, unless the attempt ends without a reply before.
    void replyLate(Millis timeout, const ShardReplyCallback &onReply)
    {
        ++m_attempts;
        const bool inTime = *replyDelay < timeout;
        const ShardOutcome outcome = inTime ? ShardOutcome::Ok : ShardOutcome::Undecided;
        m_loop.runAfter(std::min(*replyDelay, timeout), [outcome, onReply] {
            onReply({outcome, steps::JobState::Running, 3});
        });
    }
    void replyLateOnce(const ShardReplyCallback &onReply)
    {
        if (m_attempts++ > 0)
            return onReply({ShardOutcome::NotOwner, {}, 0});
        m_loop.runAfter(Millis{70}, [this, onReply] { onReply({*lateFirstOutcome, {}, 0}); });
    }
    // Sends the owner's next reply after 100 ms of simulated time.
    void replyNext(const ShardReplyCallback &onReply)
    {
        if (m_replies.empty())
            return m_unanswered.push_back(onReply);
        m_clock.advance(Millis{100});
        const std::size_t i = std::min<std::size_t>(m_attempts++, m_replies.size() - 1);
        onReply(m_replies[i]);
    }

    EventLoop m_loop;
    ManualClock m_clock;
    PlainCodec m_codec;
    steps::QueueTable m_queues;
    std::vector<ShardReply> m_replies;
    std::vector<ShardReplyCallback> m_unanswered;
    std::size_t m_attempts = 0;
    Millis m_lastTimeout;
    CallerApi m_api;
};

ShardReply replyWith(ShardOutcome outcome)
{
    return {outcome, steps::JobState::Running, 3};
}

} // namespace

TEST_CASE("Each outcome maps to its HTTP status")
{
    struct Case
    {
        const char *method;
        const char *path;
        const char *body;
        ShardOutcome outcome;
        int status;
        const char *responseBody;
    };
    for (const Case &it : {Case{"POST", "/q/id1", "job", ShardOutcome::Ok, 200, ""},
                           Case{"GET", "/q/id1", "", ShardOutcome::Ok, 200, "running"},
                           Case{"GET", "/q/", "", ShardOutcome::Ok, 200, "3"},
                           Case{"DELETE", "/q/id1", "", ShardOutcome::Ok, 200, ""},
                           Case{"GET", "/q/id1", "", ShardOutcome::UnknownJob, 410, ""},
                           Case{"DELETE", "/q/id1", "", ShardOutcome::UnknownJob, 410, ""},
                           Case{"POST", "/q/id1", "job", ShardOutcome::NotOwner, 503, ""},
                           Case{"POST", "/q/id1", "job", ShardOutcome::StoreDown, 503, ""},
                           Case{"POST", "/q/id1", "job", ShardOutcome::Overloaded, 503, ""},
                           Case{"POST", "/q/id1", "job", ShardOutcome::Undecided, 504, ""},
                           Case{"POST", "/q/id1", "no", ShardOutcome::Ok, 400, "no job\n"},
                           Case{"PUT", "/q/id1", "job", ShardOutcome::Ok, 405, ""},
                           Case{"GET", "/q/odd", "", ShardOutcome::Ok, 404, ""},
                           Case{"GET", "/other/id1", "", ShardOutcome::Ok, 404, ""}}) {
        CAPTURE(it.path);
        CAPTURE(toString(it.outcome));
        CallerApiFixture fixture({replyWith(it.outcome)});
        const HttpResponse r = fixture.request(it.method, it.path, it.body);
        CHECK(r.status == it.status);
        CHECK(r.body == it.responseBody);
        CHECK(headerValue(r.headers, "Retry-After").empty() == (it.status != 503));
    }
}

TEST_CASE("A request is retried while its shard moves to another owner")
{
    CallerApiFixture fixture({replyWith(ShardOutcome::NotOwner), replyWith(ShardOutcome::Ok)});
    CHECK(fixture.request("POST", "/q/id1", "job").status == 200);
    CHECK(fixture.attempts() == 2);
}

TEST_CASE("A request with an unknown outcome is never reported as refused")
{
    CallerApiFixture fixture(
        {replyWith(ShardOutcome::Undecided), replyWith(ShardOutcome::NotOwner)});
    CHECK(fixture.request("POST", "/q/id1", "job", "short").status == 504);
}

// An owner that freezes with requests in flight leaves their outcomes unknown for several retries.
TEST_CASE("A request with an unknown outcome is retried until its outcome is known")
{
    const ShardReply undecided = replyWith(ShardOutcome::Undecided);
    CallerApiFixture fixture({undecided, undecided, replyWith(ShardOutcome::StoreDown), undecided,
                              undecided, replyWith(ShardOutcome::Ok)});
    CHECK(fixture.request("POST", "/q/id1", "job").status == 200);
    CHECK(fixture.attempts() == 6);
}

TEST_CASE("A response is sent before the caller times out")
{
    CallerApiFixture fixture({replyWith(ShardOutcome::Undecided)});
    CHECK(fixture.request("GET", "/q/id1", {}, "short").status == 504);
    CHECK(fixture.lastTimeout() < Millis{500});
    CHECK(fixture.attempts() < 6);
}

// The owner has said that it is behind; asking it again adds to that.
TEST_CASE("A job that an overloaded owner refuses is refused immediately")
{
    CallerApiFixture fixture({replyWith(ShardOutcome::Overloaded)});
    CHECK(fixture.request("POST", "/q/id1", "job").status == 503);
    CHECK(fixture.attempts() == 1);
    CHECK(fixture.api().refusals().at(ShardOutcome::Overloaded) == 1);
}

// The attempt without a reply may have been accepted, whatever a later one is told.
TEST_CASE("A job that may have been accepted is not reported as refused by an overloaded owner")
{
    CallerApiFixture fixture(
        {replyWith(ShardOutcome::Undecided), replyWith(ShardOutcome::Overloaded)});
    CHECK(fixture.request("POST", "/q/id1", "job", "short").status == 504);
}

TEST_CASE("A request that the store can't persist is refused immediately")
{
    CallerApiFixture fixture({replyWith(ShardOutcome::StoreDown)});
    CHECK(fixture.request("POST", "/q/id1", "job").status == 503);
    CHECK(fixture.attempts() == 1);
    CHECK(fixture.api().refusals().at(ShardOutcome::StoreDown) == 1);
    CHECK(fixture.api().responseTimes().count() == 0);
}

// Guards against requests without a response: a store that holds back the commit keeps an owner in
// the same entry from replying, and nothing else ends the wait.
TEST_CASE("A request whose owner never replies is answered before the caller times out")
{
    CallerApiFixture fixture({});
    CHECK(fixture.request("POST", "/q/id1", "job", "short").status == 504);
    fixture.replyToAttempts(replyWith(ShardOutcome::Ok)); // Too late, so it must be ignored.
    CHECK(fixture.api().responseTimes().count() == 0);
    CHECK(fixture.api().refusals().at(ShardOutcome::Undecided) == 1);
}

// Guards against an owner that is slow, does all that it is asked for, and still serves nobody:
// each attempt was given up just before its reply, and the next one caused the same work again.
TEST_CASE("The reply to an attempt counts although another attempt has been made since")
{
    CallerApiSettings settings;
    settings.ownerTimeout = Millis{100};
    settings.retryInterval = Millis{20};
    for (const int delayMs : {50, 150}) {
        CAPTURE(delayMs);
        CallerApiFixture fixture({}, settings);
        fixture.replyDelay = Millis{delayMs};
        CHECK(fixture.request("POST", "/q/id1", "job", "short").status == 200);
        CHECK(fixture.attempts() == (delayMs < settings.ownerTimeout.count() ? 1 : 2));
    }
}

// Guards against a 504 for a request that reached no owner: it waited for a connection for as long
// as the entry waits before another attempt, and its caller could not try again.
TEST_CASE("A request without a reply in time is undecided only as long as it may take effect")
{
    struct Case
    {
        const char *what;
        ShardOutcome lateOutcome; // Of the first attempt, after another one has been made.
        Millis ownerTimeout;
        int status;
    };
    for (const Case &it : {Case{"never sent", ShardOutcome::NotOwner, Millis{50}, 503},
                           Case{"never sent and known while the next attempt waits",
                                ShardOutcome::NotOwner, Millis{65}, 503},
                           Case{"refused", ShardOutcome::StoreDown, Millis{50}, 503},
                           Case{"lost", ShardOutcome::Undecided, Millis{50}, 504}}) {
        CAPTURE(it.what);
        CallerApiSettings settings;
        settings.ownerTimeout = it.ownerTimeout;
        settings.retryInterval = Millis{15};
        CallerApiFixture fixture({}, settings);
        fixture.lateFirstOutcome = it.lateOutcome;
        CHECK(fixture.request("POST", "/q/id1", "job", "short").status == it.status);
        CHECK(fixture.attempts() > 1);
    }
}

// A caller that retries before the backlog has fallen only adds to the load.
TEST_CASE("A job without capacity is refused immediately with the owner's retry time")
{
    for (const std::int64_t seconds : {0, 1, 17}) {
        ShardReply reply = replyWith(ShardOutcome::NoCapacity);
        reply.retryAfter = Millis{seconds * 1'000};
        CallerApiFixture fixture({reply});
        const HttpResponse r = fixture.request("POST", "/q/id1", "job");
        CHECK(r.status == 503);
        CHECK(fixture.attempts() == 1);
        CHECK(headerValue(r.headers, "Retry-After") == (seconds == 17 ? "17" : "1"));
    }
}

// A 503 guarantees that the job never runs, and the attempt without a reply may have been accepted.
TEST_CASE("A job that may have been accepted is not reported as refused for lack of capacity")
{
    CallerApiFixture fixture(
        {replyWith(ShardOutcome::Undecided), replyWith(ShardOutcome::NoCapacity)});
    CHECK(fixture.request("POST", "/q/id1", "job", "short").status == 504);
}
