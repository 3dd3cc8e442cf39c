#include "node/node.h"

#include "core/hash.h"
#include "core/log.h"

#include <algorithm>
#include <utility>

namespace savorywick {

namespace {

AsyncHttpServerLimits peerLimits()
{
    AsyncHttpServerLimits limits;
    limits.bodyBytes = 4U << 20U;
    return limits;
}

void respondStatus(const AsyncHttpServer::Responder &respond, int status)
{
    respond({.status = status, .headers = {}, .body = {}});
}

// The answers of several shards to one question, added up.
struct Sum
{
    int missing = 0;
    ShardAnswer answer{ShardOutcome::Ok, {}, 0};
};

} // namespace

Node::Node(const NodeSettings &settings, EventLoop &loop, const Clock &clock, AsyncHttpClient &http,
           NodePlatform platform)
    : m_settings(settings)
    , m_loop(loop)
    , m_clock(clock)
    , m_platform(platform)
    , m_shardClient(http, m_clock)
    , m_shardServer(
          {.asked = [this](int shard, const ShardRequest &request,
                           const ShardAnswered &answered) { askHere(shard, request, answered); },
           .freed = [this] { m_ownership.observeSoon(); }})
    , m_callerApi(
          settings.callers,
          {loop, clock, platform.callers, m_queues,
           [this](const std::string &key, const ShardRequest &request, Millis timeout,
                  ShardAnswered answered) { ask(key, request, timeout, std::move(answered)); }})
    , m_ownership(settings.ownership, loop, clock, platform.table, settings.name,
                  settings.peersAddress,
                  {.taken = [this](const OwnedShard &owned) { openShard(owned); },
                   .mustRelease =
                       [this](int shard) {
                           if (const auto it = m_runners.find(shard); it != m_runners.end())
                               it->second->release();
                       },
                   .sessionOver =
                       [this] {
                           for (const auto &[shard, runner] : std::map(m_runners))
                               runner->drop();
                       }})
    , m_callers(loop, {},
                [this](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                    ++m_callerRequests;
                    m_callerApi.handle(request, respond);
                })
    , m_readiness(loop, {},
                  [this](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
                      respondStatus(respond, ready() ? 200 : 503);
                  })
    , m_peers(loop, peerLimits(),
              [this](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                  m_shardServer.handle(request, respond);
              })
    , m_metrics(loop, {}, [this](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
        respond({.status = 200,
                 .headers = {},
                 .body = metrics(),
                 .contentType = "text/plain; version=0.0.4"});
    })
{ }

Node::~Node() = default;

NodeAddresses Node::start()
{
    NodeAddresses bound;
    m_peers.listen(m_settings.peersAddress);
    bound.readiness = m_readiness.listen(m_settings.readinessAddress);
    bound.callers = m_callers.listen(m_settings.callersAddress);
    if (!m_settings.metricsAddress.empty())
        bound.metrics = m_metrics.listen(m_settings.metricsAddress);
    logInfo("entry-started",
            {{"callers", bound.callers},
             {"peers", m_settings.peersAddress},
             {"shards", m_ownership.shards()}});
    m_platform.feed.watchQueues([this](steps::QueueConfiguration c) { takeQueues(std::move(c)); });
    m_platform.feed.watchWorkers(
        [this](std::vector<steps::WorkerInfo> all) { takeWorkers(std::move(all)); });
    m_ownership.start();
    return bound;
}

bool Node::ready() const
{
    const auto seen = m_ownership.observedAt();
    return !m_draining && m_queues.hasConfiguration() && seen
        && m_clock.now() - *seen < m_settings.unreadyAfter;
}

int Node::shardOf(const std::string &key) const
{
    return static_cast<int>(stableHash(key) % static_cast<std::uint64_t>(m_ownership.shards()));
}

void Node::ask(const std::string &key, const ShardRequest &request, Millis timeout,
               ShardAnswered answered)
{
    if (std::holds_alternative<CountPending>(request))
        return askAll(request, timeout, answered);
    askShard(shardOf(key), request, timeout, std::move(answered));
}

void Node::askAll(const ShardRequest &request, Millis timeout, const ShardAnswered &answered)
{
    const auto sum = std::make_shared<Sum>();
    sum->missing = m_ownership.shards();
    for (int shard = 0; shard < m_ownership.shards(); ++shard) {
        askShard(shard, request, timeout, [sum, answered](const ShardAnswer &answer) {
            if (answer.outcome != ShardOutcome::Ok)
                sum->answer.outcome = answer.outcome;
            sum->answer.pending += answer.pending;
            if (--sum->missing == 0)
                answered(sum->answer);
        });
    }
}

void Node::askShard(int shard, const ShardRequest &request, Millis timeout, ShardAnswered answered)
{
    if (m_runners.contains(shard))
        return askHere(shard, request, answered);
    const auto owner = m_ownership.ownerOf(shard);
    if (!owner || owner->self) {
        m_ownership.observeSoon();
        return answered({ShardOutcome::NotOwner, {}, 0});
    }
    m_shardClient.ask(owner->peer, shard, request, timeout,
                      [this, answered = std::move(answered)](const ShardAnswer &answer) {
                          if (answer.outcome == ShardOutcome::NotOwner)
                              m_ownership.observeSoon();
                          answered(answer);
                      });
}

void Node::askHere(int shard, const ShardRequest &request, const ShardAnswered &answered)
{
    const auto it = m_runners.find(shard);
    if (it == m_runners.end())
        return answered({ShardOutcome::NotOwner, {}, 0});
    it->second->handle(request, answered);
}

void Node::openShard(const OwnedShard &owned)
{
    const auto runner = std::make_shared<ShardRunner>(
        owned, m_settings.shards,
        ShardRunnerParts{m_loop, m_clock, m_platform.table, m_platform.objects, m_platform.workers,
                         m_shardTimes, [this] { return m_ownership.mayAct(); },
                         [this](int shard) { shardOver(shard); }});
    m_runners[owned.shard] = runner;
    runner->setWorkers(workersOf(owned.shard));
    runner->open();
}

void Node::shardOver(int shard)
{
    // The runner is still on the stack.
    m_loop.post([runner = m_runners.at(shard)] {});
    m_runners.erase(shard);
    m_ownership.shardOver(shard);
    for (const std::string &peer : m_ownership.otherPeers())
        m_shardClient.tellFreed(peer);
}

void Node::takeQueues(steps::QueueConfiguration configuration)
{
    const std::uint64_t version = configuration.version;
    if (!m_queues.apply(std::move(configuration)))
        return;
    const steps::QueueConfiguration &now = m_queues.configuration();
    AsyncHttpServerLimits limits;
    limits.headerBytes = now.maxHeaderBytes;
    limits.bodyBytes = now.maxBodyBytes;
    limits.idleTimeout = now.idleTimeout;
    m_callers.setLimits(limits);
    logInfo("configuration-in-force",
            {{"version", version}, {"queues", static_cast<int>(now.queues.size())}});
}

void Node::takeWorkers(std::vector<steps::WorkerInfo> workers)
{
    m_workers = std::move(workers);
    for (const auto &[shard, runner] : m_runners)
        runner->setWorkers(workersOf(shard));
}

std::vector<steps::WorkerInfo> Node::workersOf(int shard) const
{
    std::vector<steps::WorkerInfo> all;
    std::copy_if(
        m_workers.begin(), m_workers.end(), std::back_inserter(all),
        [&](const steps::WorkerInfo &it) { return shardOf(it.incarnation.workerId) == shard; });
    return all;
}

void Node::drain()
{
    if (std::exchange(m_draining, true))
        return;
    logInfo("draining", {{"shards", static_cast<int>(m_runners.size())}});
    m_ownership.drain();
    m_callers.drain();
    finishDrain(m_clock.now());
}

void Node::finishDrain(Instant begunAt)
{
    constexpr Millis checkEvery{100};
    const Millis passed = m_clock.now() - begunAt;
    const bool idle = m_runners.empty() && m_callers.inFlight() == 0 && m_peers.inFlight() == 0;
    const bool over = passed >= m_settings.longestDrain;
    if (over || (idle && passed >= m_settings.drainTime)) {
        logInfo("entry-stopped", {{"inFlight", static_cast<int>(m_callers.inFlight())}});
        m_ownership.farewell([this] { m_loop.stop(); });
        m_loop.after(checkEvery * 2, [this] { m_loop.stop(); });
        return;
    }
    m_loop.after(checkEvery, [this, begunAt] { finishDrain(begunAt); });
}

} // namespace savorywick
