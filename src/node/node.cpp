#include "node/node.h"

#include "core/hash.h"
#include "core/log.h"

#include <algorithm>
#include <utility>

namespace savorywick {

namespace {

constexpr Millis shardCountPollInterval{100};
constexpr int maxFollowedDelegations = 16; // Of one job, from shard to shard.

AsyncHttpServerLimits limitsFor(std::size_t maxConnections, const ConnectionShares &shares)
{
    AsyncHttpServerLimits limits;
    limits.maxConnections = maxConnections;
    limits.maxRejections = shares.rejections;
    return limits;
}

AsyncHttpServerLimits peerLimits(const ConnectionShares &shares)
{
    AsyncHttpServerLimits limits = limitsFor(shares.entries, shares);
    // Above the limit of a caller's body (256 KiB unless the queue configuration sets another one),
    // since a submission is forwarded as an encoded record, in which a character may take 3 bytes.
    limits.maxBodyBytes = 4U << 20U;
    return limits;
}

// Checks of readiness and readings of metrics come from few clients and have no bodies.
AsyncHttpServerLimits probeLimits()
{
    AsyncHttpServerLimits limits;
    limits.maxConnections = 128;
    limits.maxRejections = 16;
    limits.maxBodyBytes = 4'096;
    limits.maxHeldBytes = 1U << 20U;
    return limits;
}

void respondStatus(const AsyncHttpServer::Responder &respond, int status)
{
    respond({.status = status, .headers = {}, .body = {}});
}

// The combined replies of all shards to one request.
struct CombinedReply
{
    int outstanding = 0;
    ShardReply reply;
};

// Adds a shard's count to the sum, which is worth nothing if a shard is missing.
void addCount(ShardReply &sum, const ShardReply &it)
{
    if (it.outcome != ShardOutcome::Ok)
        sum.outcome = it.outcome;
    sum.pendingCount += it.pendingCount;
}

// Returns the request for shards that are only asked whether they know the job. The shard that its
// submissions come to first remembers what is cancelled.
ShardRequest withoutMemory(const ShardRequest &request)
{
    const auto *cancel = std::get_if<CancelJob>(&request);
    return cancel ? ShardRequest(CancelJob{cancel->jobId, {}, cancel->answerDueAt}) : request;
}

// Takes the reply of the shard that knows the job. If none does, a shard that did not say so comes
// before those that don't know it.
void addJobReply(ShardReply &found, const ShardReply &it)
{
    if (found.outcome == ShardOutcome::Ok)
        return;
    if (it.outcome == ShardOutcome::Ok)
        found = it;
    else if (it.outcome != ShardOutcome::UnknownJob)
        found.outcome = it.outcome;
}

} // namespace

Node::Node(const NodeSettings &settings, EventLoop &loop, const Clock &clock, AsyncHttpClient &http,
           NodePlatform platform)
    : m_settings(settings)
    , m_loop(loop)
    , m_clock(clock)
    , m_loadReporter(
          loop, clock,
          [this](Millis processorTime, Millis maxLag) { reportShardLoads(processorTime, maxLag); })
    , m_platform(std::move(platform))
    , m_evacuatedZones(settings.shardRunner.coordinator.zoneEvacuation)
    , m_shardCountChooser(settings.shardCount)
    , m_shardClient(http, m_clock)
    , m_admissionDigest(settings.callerApi.digest)
    , m_shardServer(
          {.shardRequested =
               [this](int shard, const ShardRequest &request, const ShardReplyCallback &onReply) {
                   handleLocally(shard, request, onReply);
               },
           .shardsFreed = [this] { m_ownership.observeNow(); },
           .now = [this] { return m_clock.now(); }})
    , m_callerApi(settings.callerApi,
                  {loop, clock, m_platform.callerCodec, m_queues,
                   [this](const std::string &key, const ShardRequest &request, Millis timeout,
                          ShardReplyCallback onReply) {
                       dispatch(key, request, timeout, std::move(onReply));
                   }})
    , m_ownership(settings.ownership, loop, clock, m_platform.table, settings.name,
                  settings.peersAddress,
                  {.shardAcquired = [this](const OwnedShard &owned) { openShard(owned); },
                   .releaseRequested =
                       [this](int shard) {
                           if (const auto it = m_runners.find(shard); it != m_runners.end())
                               it->second->release();
                       },
                   .sessionLost =
                       [this] {
                           for (const auto &[shard, runner] : std::map(m_runners))
                               runner->drop();
                       },
                   .entryExpired = [this] { notifyShardsFreed(); },
                   .shardCountAgreed = [this] { shareWorkersOut(); }})
    , m_callerServer(loop, limitsFor(settings.connections.callers, settings.connections),
                     [this](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                         ++m_callerRequestCount;
                         m_callerApi.handle(request, respond);
                     })
    , m_readinessServer(loop, probeLimits(),
                        [this](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
                            respondStatus(respond, isReady() ? 200 : 503);
                        })
    , m_peerServer(loop, peerLimits(settings.connections),
                   [this](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                       m_shardServer.handle(request, respond);
                   })
    , m_metricsServer(loop, probeLimits(),
                      [this](const HttpRequest &, const AsyncHttpServer::Responder &respond) {
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
    m_peerServer.listen(m_settings.peersAddress);
    bound.readiness = m_readinessServer.listen(m_settings.readinessAddress);
    bound.callers = m_callerServer.listen(m_settings.callersAddress);
    if (!m_settings.metricsAddress.empty())
        bound.metrics = m_metricsServer.listen(m_settings.metricsAddress);
    logInfo("entry-started",
            {{"callers", bound.callers},
             {"peers", m_settings.peersAddress},
             {"shards", m_ownership.shardCount()},
             {"callerConnections", std::uint64_t{m_settings.connections.callers}},
             {"entryConnections", std::uint64_t{m_settings.connections.entries}},
             {"workerConnections", std::uint64_t{m_settings.connections.toWorkers.maxOpen}}});
    watchEvacuations();
    m_platform.feed.watchQueues([this](steps::QueueConfiguration c) { applyQueues(std::move(c)); });
    m_ownership.start();
    m_loadReporter.start();
    return bound;
}

bool Node::isReady() const
{
    const auto observedAt = m_ownership.lastObservedAt();
    return !m_drain && m_queues.hasConfiguration() && observedAt
        && m_clock.now() - *observedAt < m_settings.maxOwnershipAge;
}

int Node::shardOf(const std::string &key) const
{
    return static_cast<int>(stableHash(key) % static_cast<std::uint64_t>(m_ownership.shardCount()));
}

void Node::dispatch(const std::string &key, const ShardRequest &request, Millis timeout,
                    ShardReplyCallback onReply)
{
    if (m_ownership.shardCount() == 0) {
        m_ownership.observeNow();
        return onReply({ShardOutcome::NotOwner, {}, 0});
    }
    if (std::holds_alternative<CountPendingJobs>(request))
        return sendToAllShards(request, timeout, {ShardOutcome::Ok, {}, 0}, addCount, onReply);
    if (m_ownership.shardCount() == 1)
        return sendToOwner(0, request, timeout, std::move(onReply));
    sendToOwner(shardOf(key), request, timeout,
                [this, request, timeout, onReply = std::move(onReply)](const ShardReply &reply) {
                    followDelegation(request, timeout, reply, 0, onReply);
                });
}

// Sends the request on if its job was left or handed over to another shard, which may have handed
// it over in turn. Shards forget that after a long time, so then all shards are asked for a job
// that is not known.
void Node::followDelegation(const ShardRequest &request, Millis timeout, const ShardReply &reply,
                            int followed, const ShardReplyCallback &onReply)
{
    if (reply.outcome == ShardOutcome::UnknownJob)
        return sendToAllShards(withoutMemory(request), timeout, reply, addJobReply, onReply);
    if (reply.outcome != ShardOutcome::Delegated || reply.shard < 0
        || reply.shard >= m_ownership.shardCount())
        return onReply(reply);
    ShardRequest delegated = request;
    if (auto *submission = std::get_if<SubmitJob>(&delegated))
        submission->delegated = true;
    if (followed >= maxFollowedDelegations && std::holds_alternative<SubmitJob>(request))
        return onReply({ShardOutcome::Undecided, {}, 0}); // Else several shards could accept it.
    if (followed >= maxFollowedDelegations)
        return sendToAllShards(request, timeout, {ShardOutcome::UnknownJob, {}, 0}, addJobReply,
                               onReply);
    sendToOwner(reply.shard, delegated, timeout,
                [this, delegated, timeout, followed, onReply](const ShardReply &next) {
                    followDelegation(delegated, timeout, next, followed + 1, onReply);
                });
}

void Node::sendToAllShards(const ShardRequest &request, Millis timeout, const ShardReply &initial,
                           AddReply add, const ShardReplyCallback &onReply)
{
    const auto combined = std::make_shared<CombinedReply>();
    combined->outstanding = m_ownership.shardCount();
    combined->reply = initial;
    for (int shard = 0; shard < m_ownership.shardCount(); ++shard) {
        sendToOwner(shard, request, timeout, [combined, add, onReply](const ShardReply &reply) {
            add(combined->reply, reply);
            if (--combined->outstanding == 0)
                onReply(combined->reply);
        });
    }
}

void Node::sendToOwner(int shard, const ShardRequest &request, Millis timeout,
                       ShardReplyCallback onReply)
{
    if (m_runners.contains(shard))
        return handleLocally(shard, request, onReply);
    const auto owner = m_ownership.ownerOf(shard);
    if (!owner || owner->isSelf) {
        m_ownership.observeNow();
        return onReply({ShardOutcome::NotOwner, {}, 0});
    }
    const Instant now = m_clock.now();
    if (const auto refusal = m_admissionDigest.refusalOf(owner->peerAddress, shard, request, now))
        return onReply(*refusal);
    m_shardClient.send(owner->peerAddress, shard, request, timeout,
                       [this, sentAt = now, owner = owner->peerAddress, shard, request,
                        onReply = std::move(onReply)](const ShardReply &reply) {
                           recordOwnerReply(reply.outcome, m_clock.now() - sentAt);
                           m_admissionDigest.observe(owner, shard, request, reply, m_clock.now());
                           if (reply.outcome == ShardOutcome::NotOwner)
                               m_ownership.observeNow();
                           onReply(reply);
                       });
}

void Node::handleLocally(int shard, const ShardRequest &request, const ShardReplyCallback &onReply)
{
    const auto it = m_runners.find(shard);
    if (it == m_runners.end())
        return onReply({ShardOutcome::NotOwner, {}, 0});
    it->second->handle(request, onReply);
}

void Node::openShard(const OwnedShard &owned)
{
    const auto runner = std::make_shared<ShardRunner>(
        owned, m_settings.shardRunner,
        ShardRunnerDependencies{
            m_loop, m_clock, m_platform.table, m_platform.objects, m_platform.workers,
            m_shardLatencies, [this] { return m_ownership.leaseValidUntil(); },
            [this](int shard) { shardEnded(shard); }, [this] { return m_loadReporter.lag(); },
            [this] { return std::span<const steps::WorkerInfo>(m_workers); },
            [this](int shard, bool rejected) { m_ownership.commitEnded(shard, rejected); },
            &m_shardFit,
            [this](int shard, const ShardRequest &request, Millis timeout,
                   ShardReplyCallback onReply) {
                sendToOwner(shard, request, timeout, std::move(onReply));
            }});
    m_runners[owned.shard] = runner;
    if (m_runners.size() == 1)
        watchWorkers();
    runner->setWorkers(workersOf(owned.shard));
    runner->setShardCapacities(shardCapacities());
    runner->setEvacuatedZones(m_evacuatedZones);
    runner->open();
    if (owned.shard == 0)
        chooseShardCount();
}

void Node::shardEnded(int shard)
{
    // The runner is still on the call stack, so its destruction is deferred to the event loop.
    m_loop.post([runner = m_runners.at(shard)] {});
    m_runners.erase(shard);
    if (m_runners.empty())
        unwatchWorkers();
    m_ownership.shardEnded(shard);
    notifyShardsFreed();
}

void Node::notifyShardsFreed()
{
    for (const std::string &peer : m_ownership.otherPeerAddresses())
        m_shardClient.notifyShardsFreed(peer);
}

void Node::reportShardLoads(Millis processorTime, Millis maxLag)
{
    noteEvacuationAge();
    for (const auto &[shard, runner] : m_runners)
        logShardLoad(shard, runner->takeLoad(), processorTime, maxLag);
}

void Node::recordOwnerReply(ShardOutcome outcome, Millis time)
{
    m_ownerReplies.times.record(time);
    OwnerReplies::Total &total = m_ownerReplies.byOutcome[outcome];
    ++total.count;
    total.time = total.time + time;
}

void Node::applyQueues(steps::QueueConfiguration configuration)
{
    const std::uint64_t version = configuration.version;
    if (!m_queues.apply(std::move(configuration)))
        return;
    const steps::QueueConfiguration &current = m_queues.configuration();
    AsyncHttpServerLimits limits =
        limitsFor(m_settings.connections.callers, m_settings.connections);
    limits.maxHeaderBytes = current.maxHeaderBytes;
    limits.maxBodyBytes = current.maxBodyBytes;
    limits.idleTimeout = current.idleTimeout;
    m_callerServer.setLimits(limits);
    logInfo("configuration-in-force",
            {{"version", version}, {"queues", static_cast<int>(current.queues.size())}});
}

// The list changes many times a second and grows with the fleet, and only owners of shards use it.
void Node::watchWorkers()
{
    m_platform.feed.watchWorkers(
        [this](std::vector<steps::WorkerInfo> workers) { setWorkers(std::move(workers)); });
}

void Node::unwatchWorkers()
{
    m_platform.feed.unwatchWorkers();
    m_shardFit.assign({}, {}, 0);
    m_workers.clear();
}

void Node::setWorkers(std::vector<steps::WorkerInfo> workers)
{
    m_shardFit.assign({}, {}, 0);
    m_workers = std::move(workers);
    if (m_ownership.shardCount() == 0)
        return m_shardCountChooser.observe(m_workers.size(), m_clock.now());
    shareWorkersOut();
}

// Proposes a number of shards as long as this entry owns the first shard and there is none. Jobs
// that the shard holds already were accepted by a version that had only this shard.
void Node::chooseShardCount()
{
    const auto it = m_runners.find(0);
    if (m_ownership.shardCount() != 0 || it == m_runners.end())
        return;
    const bool hasJobs = !it->second->coordinator().jobTable().jobs().empty();
    const auto shards = hasJobs ? std::optional(1) : m_shardCountChooser.choose(m_clock.now());
    if (shards && it->second->isRestored()) {
        logInfo("shard-count-proposed",
                {{"shards", *shards}, {"workers", static_cast<int>(m_workers.size())}});
        m_ownership.proposeShardCount(*shards);
    }
    m_loop.runAfter(shardCountPollInterval, [this] { chooseShardCount(); });
}

void Node::shareWorkersOut()
{
    assignWorkersToShards();
    for (const auto &[shard, runner] : m_runners)
        runner->setShardCapacities(shardCapacities());
    for (const auto &[shard, runner] : m_runners)
        runner->setWorkers(workersOf(shard));
}

void Node::assignWorkersToShards()
{
    std::vector<int> shards;
    shards.reserve(m_workers.size());
    for (const steps::WorkerInfo &it : m_workers)
        shards.push_back(shardOf(it.incarnation.workerId));
    m_shardFit.assign(m_workers, shards, m_ownership.shardCount());
}

std::vector<steps::WorkerInfo> Node::workersOf(int shard) const
{
    std::vector<steps::WorkerInfo> workers;
    if (m_ownership.shardCount() == 0)
        return workers;
    std::copy_if(
        m_workers.begin(), m_workers.end(), std::back_inserter(workers),
        [&](const steps::WorkerInfo &it) { return shardOf(it.incarnation.workerId) == shard; });
    return workers;
}

// Returns the processors that each shard's workers offer, in thousandths of a core.
std::vector<std::int64_t> Node::shardCapacities() const
{
    std::vector<std::int64_t> milliCores(static_cast<std::size_t>(m_ownership.shardCount()));
    if (milliCores.empty())
        return milliCores;
    constexpr std::int64_t wholePercent = 100;
    const Instant now = m_clock.now();
    for (const steps::WorkerInfo &it : m_workers)
        milliCores[static_cast<std::size_t>(shardOf(it.incarnation.workerId))] +=
            std::int64_t{it.capacity.milliCores}
            * m_evacuatedZones.offeredPercent(it.availabilityZone, now) / wholePercent;
    return milliCores;
}

} // namespace savorywick
