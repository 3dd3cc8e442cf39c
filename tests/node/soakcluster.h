#pragma once

#include "core/bootclock.h"
#include "faultystore.h"
#include "node/node.h"
#include "plaincodec.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace savorywick::testing {

constexpr Millis soakGracePeriod{1'000}; // Of a stop.

// Returns an address that no other socket has.
inline std::string unusedAddress()
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
    REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) == 0);
    close(listener);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// A worker that obeys fences and ends each run as soon as it starts.
class FencedWorker
{
public:
    steps::WorkerInfo info() const
    {
        steps::WorkerInfo worker;
        worker.incarnation = {"w", 1};
        worker.service = "fits";
        worker.capacity = {8'000, 8'000, 0};
        return worker;
    }
    steps::RenewLeaseReply renew(const steps::RenewLeaseCommand &order)
    {
        if (!admits(order.target.fence))
            return {steps::CommandOutcome::Fenced, {}};
        std::erase_if(m_ended,
                      [&](const auto &it) { return it.endNumber <= order.ackedEndNumber; });
        steps::WorkerReport report;
        report.clockMs = m_clock.now().count();
        report.startedWallMs = 1;
        report.ended = m_ended;
        return {steps::CommandOutcome::Done, report};
    }
    steps::CommandReply start(const steps::StartRunCommand &order)
    {
        if (!admits(order.target.fence))
            return {steps::CommandOutcome::Fenced, m_clock.now().count()};
        int &highest = m_highestRun[steps::toString(order.task)];
        if (order.run <= highest)
            return {steps::CommandOutcome::StaleRun, m_clock.now().count()};
        highest = order.run;
        m_ended.push_back({++m_endCount, order.task, order.run, steps::RunOutcome::Done, ""});
        return {steps::CommandOutcome::Done, m_clock.now().count()};
    }

    bool isCut = false; // Its orders get no answer.
    bool isListed = true;

private:
    bool admits(steps::Fence fence)
    {
        m_fence = std::max(m_fence, fence);
        return fence == m_fence;
    }

    BootClock m_clock;
    steps::Fence m_fence = 0;
    std::int64_t m_endCount = 0;
    std::vector<steps::RunEndReport> m_ended;
    std::map<std::string, int> m_highestRun;
};

// What outlives the entries.
struct Cluster
{
    explicit Cluster(unsigned seed)
        : network(seed)
    { }

    TestNetwork network;
    SharedStore store;
    FencedWorker worker;
    PlainCodec codec;
};

// Returns settings with the times of the defaults, several times shorter.
inline NodeSettings soakSettings(const std::string &name)
{
    NodeSettings s;
    s.name = name;
    for (std::string *it : {&s.callersAddress, &s.readinessAddress})
        *it = "127.0.0.1:0";
    s.peersAddress = unusedAddress();
    s.gracePeriod = soakGracePeriod;
    s.minDrainTime = Millis{200};
    s.ownership.lease.term = Millis{500};
    s.ownership.lease.clockDriftMargin = Millis{60};
    s.ownership.lease.renewalInterval = Millis{140};
    s.ownership.lease.preference = {Millis{100}, Millis{150}, Millis{400}, Millis{1'500}};
    s.ownership.observeInterval = Millis{140};
    s.ownership.tickInterval = Millis{20};
    s.ownership.maxClaimDelay = Millis{100};
    s.shardRunner.journal.commitInterval = Millis{5};
    s.shardRunner.journal.maxRetryDelay = Millis{100};
    s.shardRunner.journal.snapshotMinSegments = 8;
    s.shardRunner.restoreRetryDelay = Millis{30};
    s.shardRunner.snapshotRetryDelay = Millis{100};
    s.shardRunner.coordinator.workerSessions.leaseTerm = Millis{800};
    s.shardRunner.coordinator.workerSessions.maxLeaseTerm = Millis{1'000};
    s.shardRunner.coordinator.workerSessions.idleRenewalDelay = Millis{100};
    s.shardRunner.coordinator.workerSessions.renewalDelay = Millis{20};
    s.shardRunner.coordinator.workerSessions.retryDelay = Millis{50};
    return s;
}

// One process of an entry: its node, its event loop and its ways to the others.
class EntryProcess final : public AsyncWorkerClient, public ClusterFeed
{
public:
    EntryProcess(Cluster &cluster, const std::string &name, const EntryCapacity &capacity)
        : m_cluster(cluster)
        , path(cluster.store, cluster.network)
        , m_http(m_loop)
        , m_node(withCapacity(soakSettings(name), capacity), m_loop, m_clock, m_http,
                 {path, path, *this, *this, cluster.codec})
        , m_callersAddress(m_node.start().callers)
    { }

    const std::string &callersAddress() const { return m_callersAddress; }
    void drain() { m_node.drain(); }
    std::string metrics() const { return m_node.metrics(); }

    // Runs what is due. Returns false once the process has stopped by itself.
    bool poll()
    {
        bool polled = false;
        m_loop.post([&] {
            polled = true;
            m_loop.stop();
        });
        m_loop.run();
        return polled;
    }

    void renew(const steps::RenewLeaseCommand &order, RenewCallback done) override
    {
        exchange([this, order] { return m_cluster.worker.renew(order); },
                 steps::RenewLeaseReply{steps::CommandOutcome::Unknown, {}}, std::move(done));
    }
    void start(const steps::StartRunCommand &order, OrderCallback done) override
    {
        exchange([this, order] { return m_cluster.worker.start(order); },
                 steps::CommandReply{steps::CommandOutcome::Unknown, {}}, std::move(done));
    }
    void stop(const steps::StopRunCommand &, OrderCallback done) override
    {
        exchange(
            [] {
                return steps::CommandReply{steps::CommandOutcome::Done, {}};
            },
            steps::CommandReply{steps::CommandOutcome::Unknown, {}}, std::move(done));
    }
    void throttle(const steps::ThrottleRunCommand &, OrderCallback) override { }

    void watchQueues(std::function<void(steps::QueueConfiguration)> listener) override
    {
        steps::QueueConfiguration configuration;
        configuration.version = 1;
        configuration.queues = {{"jobs.example", "/q/", {}}};
        configuration.queues[0].policy.queue = "q";
        configuration.queues[0].policy.service = "fits";
        listener(std::move(configuration));
    }
    void watchWorkers(std::function<void(std::vector<steps::WorkerInfo>)> listener) override
    {
        m_watch = std::make_shared<int>(0);
        readWorkers(listener, m_watch);
    }
    void unwatchWorkers() override { m_watch.reset(); }

private:
    static NodeSettings withCapacity(NodeSettings s, const EntryCapacity &capacity)
    {
        s.ownership.capacity = capacity;
        return s;
    }

    // Passes the list on again and again, as one that changes often.
    void readWorkers(const std::function<void(std::vector<steps::WorkerInfo>)> &listener,
                     const std::weak_ptr<int> &watch)
    {
        m_cluster.network.send(m_cluster.network.between(Millis{2}, Millis{60}),
                               [this, listener, watch] {
                                   if (watch.expired())
                                       return;
                                   std::vector<steps::WorkerInfo> workers;
                                   if (m_cluster.worker.isListed)
                                       workers.push_back(m_cluster.worker.info());
                                   listener(std::move(workers));
                                   readWorkers(listener, watch);
                               });
    }

    template<typename Reply, typename Done>
    void exchange(const std::function<Reply()> &handle, const Reply &unanswered, Done done)
    {
        constexpr Millis answerTimeout{60};
        TestNetwork &network = m_cluster.network;
        const Millis delay = network.between(Millis{1}, Millis{3});
        const std::weak_ptr<int> alive = m_alive;
        if (m_cluster.worker.isCut) {
            // Half of the orders take effect all the same.
            if (network.chance(0.5))
                network.send(network.between(Millis{1}, Millis{400}), [alive, handle] {
                    if (!alive.expired())
                        handle();
                });
            return network.send(answerTimeout, [alive, done, unanswered] {
                if (!alive.expired())
                    done(unanswered);
            });
        }
        network.send(delay, [&network, delay, alive, handle, done] {
            if (alive.expired())
                return;
            network.send(delay, [alive, done, reply = handle()] {
                if (!alive.expired())
                    done(reply);
            });
        });
    }
    template<typename Handle, typename Reply, typename Done>
    void exchange(const Handle &handle, const Reply &unanswered, Done done)
    {
        exchange<Reply, Done>(std::function<Reply()>(handle), unanswered, std::move(done));
    }

    Cluster &m_cluster;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    std::shared_ptr<int> m_watch;

public:
    StorePath path;

private:
    EventLoop m_loop;
    BootClock m_clock;
    AsyncHttpClient m_http;
    Node m_node;
    std::string m_callersAddress;
};

} // namespace savorywick::testing
