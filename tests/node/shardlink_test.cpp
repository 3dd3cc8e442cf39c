#include "node/shardlink.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>

using namespace savorywick;

namespace {

// A ShardClient and a ShardServer on one event loop. The server replies `reply` to each request.
class PeerPair
{
public:
    explicit PeerPair(ShardReply reply)
        : m_reply(reply)
        , m_server({.shardRequested =
                        [this](int shard, const ShardRequest &request,
                               const ShardReplyCallback &onReply) {
                            receivedShard = shard;
                            received = request;
                            onReply(m_reply);
                        },
                    .shardsFreed = [this] { ++freedNotifications; },
                    .now = [this] { return m_clock.now(); }})
        , m_httpServer(
              m_loop, {},
              [this](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                  m_server.handle(request, respond);
              })
        , m_httpClient(m_loop)
        , m_shardClient(m_httpClient, m_clock)
        , m_address(m_httpServer.listen("127.0.0.1:0"))
    { }

    ShardReply request(const ShardRequest &request, const std::string &address = {})
    {
        std::optional<ShardReply> reply;
        m_shardClient.send(address.empty() ? m_address : address, 7, request, Millis{5'000},
                           [&](const ShardReply &response) {
                               reply = response;
                               m_loop.stop();
                           });
        m_loop.run(); // Returns immediately if the reply has already arrived.
        return reply.value();
    }

    int status(HttpCall call)
    {
        call.address = m_address;
        int status = 0;
        m_httpClient.exchange(std::move(call), [&](const HttpResult &response) {
            status = response.status;
            m_loop.stop();
        });
        m_loop.run();
        return status;
    }

    void advanceClock(Millis span) { m_clock.advance(span); }
    // Starts a second server at the address.
    void listenAt(const std::string &address)
    {
        m_secondHttpServer = std::make_unique<AsyncHttpServer>(
            m_loop, AsyncHttpServerLimits{},
            [this](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                m_server.handle(request, respond);
            });
        m_secondHttpServer->listen(address);
    }

    int receivedShard = -1;
    std::optional<ShardRequest> received;
    int freedNotifications = 0;

private:
    ShardReply m_reply;
    EventLoop m_loop;
    ShardServer m_server;
    AsyncHttpServer m_httpServer;
    std::unique_ptr<AsyncHttpServer> m_secondHttpServer;
    AsyncHttpClient m_httpClient;
    ManualClock m_clock;
    ShardClient m_shardClient;
    std::string m_address;
};

// Returns an address without a listening server.
std::string unusedAddress()
{
    EventLoop loop;
    AsyncHttpServer server(loop, {}, {});
    return server.listen("127.0.0.1:0");
}

} // namespace

TEST_CASE("A job reaches the owner unchanged")
{
    PeerPair peers({ShardOutcome::Ok, {}, 0});
    SubmitJob submit;
    submit.spec.id = "job 1";
    submit.spec.policy.queue = "q";
    submit.spec.payload = "line one\nline two";
    submit.spec.steps.resize(2);
    CHECK((peers.request(submit).outcome == ShardOutcome::Ok));
    CHECK(peers.receivedShard == 7);
    const auto *submitted = std::get_if<SubmitJob>(&*peers.received);
    REQUIRE(submitted != nullptr);
    CHECK(submitted->spec.id == "job 1");
    CHECK(submitted->spec.payload == submit.spec.payload);
    CHECK(submitted->spec.steps.size() == 2);
}

TEST_CASE("A cancellation reaches the owner with its queue if it has one")
{
    for (const std::string queue : {"", "q 1"}) {
        PeerPair peers({ShardOutcome::Ok, {}, 0});
        CHECK((peers.request(CancelJob{"j", queue}).outcome == ShardOutcome::Ok));
        const auto *cancel = std::get_if<CancelJob>(&*peers.received);
        REQUIRE(cancel != nullptr);
        CHECK(cancel->jobId == "j");
        CHECK(cancel->queue == queue);
    }
}

TEST_CASE("Each outcome reaches the requester with the state and the pending count")
{
    for (const ShardOutcome outcome :
         {ShardOutcome::Ok, ShardOutcome::UnknownJob, ShardOutcome::NotOwner,
          ShardOutcome::StoreDown, ShardOutcome::Overloaded, ShardOutcome::Undecided}) {
        PeerPair peers({outcome, steps::JobState::Cancelled, 12});
        const ShardReply response = peers.request(GetJobState{"j"});
        CAPTURE(toString(outcome));
        CHECK((response.outcome == outcome));
        CHECK((response.state == steps::JobState::Cancelled));
        CHECK(response.pendingCount == 12);
    }
}

// While entries are replaced by a newer version, an owner may reply with words that others lack.
TEST_CASE("A delegation and the mark of a delegated job arrive")
{
    PeerPair peers({ShardOutcome::Delegated, {}, 0, 2});
    SubmitJob submit;
    submit.spec.id = "id1";
    submit.delegated = true;
    const ShardReply reply = peers.request(submit);
    CHECK((reply.outcome == ShardOutcome::Delegated));
    CHECK(reply.shard == 2);
    REQUIRE(peers.received.has_value());
    CHECK(std::get<SubmitJob>(*peers.received).delegated);
}

TEST_CASE("An outcome of a newer version counts as undecided")
{
    EventLoop loop;
    AsyncHttpServer server(
        loop, {}, [](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
            respond({.status = 200, .headers = {}, .body = "later-outcome queued 0"});
        });
    AsyncHttpClient http(loop);
    const ManualClock clock;
    ShardClient client(http, clock);
    std::optional<ShardReply> reply;
    client.send(server.listen("127.0.0.1:0"), 0, GetJobState{"j"}, Millis{5'000},
                [&](const ShardReply &r) {
                    reply = r;
                    loop.stop();
                });
    loop.run();
    REQUIRE(reply.has_value());
    CHECK((reply->outcome == ShardOutcome::Undecided));
}

// Without it, an owner can't tell which callers wait long enough for a slow store.
TEST_CASE("The time that a caller still waits reaches the owner")
{
    struct Case
    {
        ShardRequest request;
        bool changesState;
    };
    for (const Case &it : {Case{SubmitJob{}, true}, Case{CancelJob{"j"}, true},
                           Case{GetJobState{"j"}, false}, Case{CountPendingJobs{"q"}, false}}) {
        CAPTURE(it.request.index());
        PeerPair peers({ShardOutcome::Ok, {}, 0});
        ShardRequest request = it.request;
        peers.request(request);
        REQUIRE(peers.received.has_value());
        CHECK_FALSE(answerDueAt(*peers.received).has_value());
        setAnswerDueAt(request, Instant{2'345});
        peers.request(request);
        const auto expected = it.changesState ? std::optional(Instant{2'345}) : std::nullopt;
        CHECK((answerDueAt(*peers.received) == expected));
    }
}

TEST_CASE("A connection failure is reported as NotOwner")
{
    PeerPair peers({});
    CHECK((peers.request(CancelJob{"j"}, "127.0.0.1:1").outcome == ShardOutcome::NotOwner));
}

// After an owner is lost, many callers would otherwise wait for a connection to it.
TEST_CASE("An unreachable owner is tried again only after the reconnect interval")
{
    const std::string address = unusedAddress();
    PeerPair peers({ShardOutcome::Ok, {}, 0});
    CHECK((peers.request(GetJobState{"a"}, address).outcome == ShardOutcome::NotOwner));
    peers.listenAt(address);
    CHECK((peers.request(GetJobState{"b"}, address).outcome == ShardOutcome::NotOwner));
    CHECK_FALSE(peers.received);
    peers.advanceClock(ShardClient::reconnectInterval);
    CHECK((peers.request(GetJobState{"c"}, address).outcome == ShardOutcome::Ok));
    CHECK((peers.request(GetJobState{"d"}, address).outcome == ShardOutcome::Ok));
}

TEST_CASE("An invalid peer request is rejected with status 400")
{
    PeerPair peers({ShardOutcome::Ok, {}, 0});
    CHECK(peers.status({.path = "/shards/x/jobs/j"}) == 400);
    CHECK(peers.status({.path = "/shards/1"}) == 400);
    CHECK(peers.status({.path = "/nothing"}) == 400);
    CHECK(peers.status({.method = "POST", .path = "/shards/1/jobs", .body = "no record"}) == 400);
    CHECK(peers.status({.method = "POST", .path = "/shards/1/jobs", .body = "F j"}) == 400);
    CHECK(peers.status({.method = "POST", .path = "/freed"}) == 200);
    CHECK(peers.freedNotifications == 1);
}

TEST_CASE("A refusal for lack of capacity arrives with its retry time")
{
    PeerPair peers({ShardOutcome::NoCapacity, {}, 0, 0, Millis{12'000}});
    const ShardReply reply = peers.request(SubmitJob{});
    CHECK((reply.outcome == ShardOutcome::NoCapacity));
    CHECK(reply.retryAfter == Millis{12'000});
}
