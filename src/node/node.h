#pragma once

#include "net/asynchttpclient.h"
#include "net/asynchttpserver.h"
#include "net/eventloop.h"
#include "node/admissiondigest.h"
#include "node/asyncstore.h"
#include "node/asyncworkerclient.h"
#include "node/callerapi.h"
#include "node/connectionshares.h"
#include "node/loadreporter.h"
#include "node/ownership.h"
#include "node/shardlink.h"
#include "node/shardrunner.h"
#include "node/stoptimes.h"
#include "savorywick/steps/evacuatedzones.h"
#include "savorywick/steps/queues.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// The settings of one Node. Addresses have the form "IP:PORT".
struct NodeSettings
{
    std::string name; // Must be unique among live entries.
    std::string callersAddress;
    std::string readinessAddress;
    std::string peersAddress;
    std::string metricsAddress; // If empty, no metrics are served.
    OwnershipSettings ownership;
    ShardCountSettings shardCount; // Used if the ownership settings name no number of shards.
    ShardRunnerSettings shardRunner;
    CallerApiSettings callerApi;
    // Keep serving for at least this long after a stop signal, since the load balancer still sends
    // new callers for a while.
    Millis minDrainTime{2'300};
    // The platform kills the process this long after the stop signal. All requests are answered
    // after 65 % of it, so that a loaded host has time left to end the connections.
    Millis gracePeriod{6'000};
    // Of the file descriptors that the process may hold.
    ConnectionShares connections = shareConnections(descriptorLimit());
    // With older ownership data this node reports not ready, so that the load balancer prefers
    // other entries.
    Millis maxOwnershipAge{6'000};
};

// Notifies a node of changes to the queue configuration, the list of workers and the zones that
// operators evacuate.
//
// Implement it in a platform adapter. Each listener is called on the event loop: first when the
// platform has delivered the initial value, then on every change.
class ClusterFeed
{
public:
    using EvacuationListener = std::function<void(const steps::EvacuationReport &)>;

    virtual ~ClusterFeed() = default;

    // Registers the listener for the queue configuration.
    virtual void watchQueues(std::function<void(steps::QueueConfiguration)> listener) = 0;
    // Registers the listener for the complete list of workers, until unwatchWorkers() is called.
    virtual void watchWorkers(std::function<void(std::vector<steps::WorkerInfo>)> listener) = 0;
    // Stops following the list of workers. The listener is not called any more.
    virtual void unwatchWorkers() = 0;
    // Registers the listener for operators' requests to evacuate availability zones. It is called
    // with the complete requests whenever they have been read, changed or not, and several times
    // within `maxAge`. Call it before watchQueues(). A platform without such requests does nothing;
    // then nothing is started if the node's settings have a bound for evacuations.
    virtual void watchEvacuations(Millis /*maxAge*/, const EvacuationListener & /*listener*/) { }
};

class PrometheusWriter;

// A client whose connections the metrics tell of.
struct NamedClient
{
    std::string_view name; // Such as "workers".
    const AsyncHttpClient &client;
};

// The services that a platform adapter provides to a Node. All of them must outlive the node.
struct NodePlatform
{
    AsyncTable &table;
    AsyncObjectStore &objects;
    AsyncWorkerClient &workers;
    ClusterFeed &feed;
    const CallerCodec &callerCodec;
    std::vector<NamedClient> clients = {};
};

// The addresses that a node has bound, each in the form "IP:PORT".
struct NodeAddresses
{
    std::string callers;
    std::string readiness;
    std::string metrics; // Empty if no metrics are served.
};

// What owners in other entries replied to requests that this one passed on.
struct OwnerReplies
{
    struct Total
    {
        std::uint64_t count = 0;
        Millis time; // Summed from passing a request on to its outcome.
    };

    LatencyHistogram times;
    std::map<ShardOutcome, Total> byOutcome;
};

// Runs one entry on an event loop: serves callers, owns shards, and forwards requests for other
// shards to their owners.
//
// Create one per process. Not thread-safe.
//
// Example:
//   Node node(settings, loop, clock, http, platform);
//   node.start();
//   loop.run();
class Node
{
public:
    // All references must outlive this object.
    Node(const NodeSettings &settings, EventLoop &loop, const Clock &clock, AsyncHttpClient &http,
         NodePlatform platform);
    ~Node();

    // Binds the addresses, starts serving and returns the bound addresses. Throws
    // Error(InvalidInput) if an address can't be bound.
    NodeAddresses start();
    // Releases the shards, answers all requests, ends the connections in order, then stops the loop
    // before the grace period is over. Further calls have no effect.
    void drain();

    // Returns the metrics in the Prometheus text exposition format.
    std::string metrics() const;

private:
    // The times of a stop, and the counts at its begin.
    struct Drain
    {
        StopTimes times;
        CallerAnswerCounts answersBefore;
        Instant leaveFrom; // The session has ended by then, or is given up.
    };

    bool isReady() const;
    void dispatch(const std::string &key, const ShardRequest &request, Millis timeout,
                  ShardReplyCallback onReply);
    void sendToOwner(int shard, const ShardRequest &request, Millis timeout,
                     ShardReplyCallback onReply);
    void followDelegation(const ShardRequest &request, Millis timeout, const ShardReply &reply,
                          int followed, const ShardReplyCallback &onReply);
    // Adds the reply of one more shard to those of the others.
    using AddReply = void (*)(ShardReply &sum, const ShardReply &reply);
    void sendToAllShards(const ShardRequest &request, Millis timeout, const ShardReply &initial,
                         AddReply add, const ShardReplyCallback &onReply);
    void handleLocally(int shard, const ShardRequest &request, const ShardReplyCallback &onReply);
    int shardOf(const std::string &key) const;

    void openShard(const OwnedShard &owned);
    void shardEnded(int shard);
    void reportShardLoads(Millis processorTime, Millis maxLag);
    void recordOwnerReply(ShardOutcome outcome, Millis time);
    void notifyShardsFreed();
    void applyQueues(steps::QueueConfiguration configuration);
    void watchWorkers();
    void unwatchWorkers();
    void setWorkers(std::vector<steps::WorkerInfo> workers);
    std::vector<steps::WorkerInfo> workersOf(int shard) const;
    std::vector<std::int64_t> shardCapacities() const;
    void watchEvacuations();
    void applyEvacuations(const steps::EvacuationReport &report);
    void noteEvacuationAge();
    void writeEvacuationMetrics(PrometheusWriter &out) const;
    void chooseShardCount();
    void shareWorkersOut();
    void assignWorkersToShards();
    void serveUntilDrained();
    void closeConnections();
    void awaitFirstRequests(Instant closedAt);
    void endSession();
    void awaitClosedConnections();
    void leave();
    void logStop() const;

    const NodeSettings m_settings;
    EventLoop &m_loop;
    const Clock &m_clock;
    LoadReporter m_loadReporter;
    NodePlatform m_platform;
    steps::QueueTable m_queues;
    std::vector<steps::WorkerInfo> m_workers;
    steps::ShardFit m_shardFit; // Of `m_workers`.
    steps::EvacuatedZones m_evacuatedZones;
    bool m_evacuationsCurrent = true; // As last logged.
    ShardCountChooser m_shardCountChooser;
    ShardClient m_shardClient;
    AdmissionDigest m_admissionDigest;
    ShardServer m_shardServer;
    CallerApi m_callerApi;
    Ownership m_ownership;
    ShardLatencies m_shardLatencies;
    std::map<int, std::shared_ptr<ShardRunner>> m_runners;
    AsyncHttpServer m_callerServer;
    AsyncHttpServer m_readinessServer;
    AsyncHttpServer m_peerServer;
    AsyncHttpServer m_metricsServer;
    std::optional<Drain> m_drain; // Set once the entry stops.
    std::uint64_t m_callerRequestCount = 0;
    OwnerReplies m_ownerReplies; // Of owners in other entries.
};

} // namespace savorywick
