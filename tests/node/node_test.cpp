#include "node/node.h"

#include "core/bootclock.h"
#include "fakeplatform.h"
#include "plaincodec.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr int maxPolls = 1'000; // Generous: only a hang reaches this limit.
constexpr Millis pollInterval{20};

// An object store shared by all entries. It calls back before the call returns.
class ImmediateObjectStore final : public AsyncObjectStore
{
public:
    void put(const std::string &name, const std::string &bytes, PutCallback done) override
    {
        m_objects[name] = bytes;
        done(true);
    }
    void fetch(const std::string &name, FetchCallback done) override { done(m_objects.at(name)); }
    void remove(const std::string &name) override { m_objects.erase(name); }

private:
    std::map<std::string, std::string> m_objects;
};

// A worker whose runs end when the test calls finishAll().
class FakeWorker
{
public:
    steps::WorkerInfo info() const
    {
        steps::WorkerInfo worker;
        worker.incarnation = {"w", 1};
        worker.service = "fits";
        worker.availabilityZone = "a";
        worker.capacity = {8'000, 8'000, 0};
        return worker;
    }
    steps::WorkerReport report() const
    {
        steps::WorkerReport report;
        report.clockMs = m_clock.now().count();
        report.startedWallMs = 1;
        report.running = m_running;
        report.ended = m_ended;
        return report;
    }
    steps::CommandReply start(const steps::StartRunCommand &order)
    {
        ++starts;
        m_running.push_back({order.task, order.run, "", 50, {}});
        return {steps::CommandOutcome::Done, m_clock.now().count()};
    }
    void finishAll()
    {
        for (const steps::RunningReport &it : std::exchange(m_running, {})) {
            const auto number = static_cast<std::int64_t>(m_ended.size()) + 1;
            m_ended.push_back({number, it.task, it.run, steps::RunOutcome::Done, ""});
        }
    }

    int starts = 0;
    bool isListed = true;

private:
    BootClock m_clock;
    std::vector<steps::RunningReport> m_running;
    std::vector<steps::RunEndReport> m_ended;
};

// The stores and the worker, which outlive a restart of the entry.
struct TestCluster
{
    ImmediateTable table;
    ImmediateObjectStore objects;
    FakeWorker worker;
    PlainCodec codec;
    std::optional<Millis> evacuationBound = {};
};

// An entry with its own event loop. It behaves like a killed process while its loop does not run.
class TestEntry final : public AsyncWorkerClient, public ClusterFeed
{
public:
    TestEntry(TestCluster &cluster, bool configured, const std::string &name = "entry-a",
              int shards = 1)
        : m_cluster(cluster)
        , m_configured(configured)
        , m_http(m_loop)
        , m_node(settings(cluster, name, shards), m_loop, m_clock, m_http,
                 {cluster.table, cluster.objects, *this, *this, cluster.codec})
        , m_addresses(m_node.start())
    { }

    const NodeAddresses &addresses() const { return m_addresses; }

    HttpResult call(const std::string &address, const std::string &method, const std::string &path,
                    const std::string &body = {})
    {
        std::optional<HttpResult> answer;
        HttpCall call;
        call.address = address;
        call.method = method;
        call.path = path;
        call.headers = {{"Host", "jobs.example"}};
        call.body = body;
        m_http.exchange(std::move(call), [&](const HttpResult &a) {
            answer = a;
            m_loop.stop();
        });
        m_loop.run();
        return answer.value();
    }
    HttpResult callerRequest(const std::string &method, const std::string &path,
                             const std::string &body = {})
    {
        return call(m_addresses.callers, method, path, body);
    }

    // Returns true if and only if the job was reported in `state` before the poll limit.
    bool reachesState(const std::string &job, const std::string &state)
    {
        for (int i = 0; i < maxPolls; ++i) {
            if (callerRequest("GET", "/q/" + job).body == state)
                return true;
            runFor(pollInterval);
        }
        return false;
    }

    bool becomesReady()
    {
        for (int i = 0; i < maxPolls; ++i) {
            if (call(m_addresses.readiness, "GET", "/").status == 200)
                return true;
            runFor(pollInterval);
        }
        return false;
    }

    void drain() { m_node.drain(); }

    void runFor(Millis span)
    {
        m_loop.runAfter(span, [this] { m_loop.stop(); });
        m_loop.run();
    }

    void renew(const steps::RenewLeaseCommand &, RenewCallback done) override
    {
        m_loop.runAfter(pollInterval, [this, done] {
            done({steps::CommandOutcome::Done, m_cluster.worker.report()});
        });
    }
    void start(const steps::StartRunCommand &order, OrderCallback done) override
    {
        done(m_cluster.worker.start(order));
    }
    void stop(const steps::StopRunCommand &, OrderCallback done) override
    {
        done({steps::CommandOutcome::Done, {}});
    }
    void throttle(const steps::ThrottleRunCommand &, OrderCallback done) override
    {
        done({steps::CommandOutcome::Done, {}});
    }

    void watchQueues(std::function<void(steps::QueueConfiguration)> listener) override
    {
        if (!m_configured)
            return;
        steps::QueueConfiguration configuration;
        configuration.version = 1;
        configuration.queues = {{"jobs.example", "/q/", {}}};
        configuration.queues[0].policy.queue = "q";
        configuration.queues[0].policy.service = "fits";
        listener(std::move(configuration));
    }
    void watchWorkers(std::function<void(std::vector<steps::WorkerInfo>)> listener) override
    {
        watchesWorkers = true;
        m_workerListener = std::move(listener);
        listWorkers();
    }
    void unwatchWorkers() override { watchesWorkers = false; }

    // Tells the entry of the worker, if it is listed.
    void listWorkers()
    {
        std::vector<steps::WorkerInfo> workers;
        if (m_cluster.worker.isListed)
            workers.push_back(m_cluster.worker.info());
        m_workerListener(std::move(workers));
    }

    void watchEvacuations(Millis, const EvacuationListener &listener) override
    {
        m_evacuationListener = listener;
    }
    void reportEvacuated(const steps::ZoneNames &zones)
    {
        m_evacuationListener({zones, m_clock.now()});
    }

    bool watchesWorkers = false;

private:
    static NodeSettings settings(const TestCluster &cluster, const std::string &name, int shards)
    {
        NodeSettings s;
        s.name = name;
        s.ownership.lease.shardCount = shards;
        s.shardRunner.coordinator.zoneEvacuation.bound = cluster.evacuationBound;
        for (std::string *it :
             {&s.callersAddress, &s.readinessAddress, &s.peersAddress, &s.metricsAddress})
            *it = "127.0.0.1:0";
        return s;
    }

    TestCluster &m_cluster;
    const bool m_configured;
    EvacuationListener m_evacuationListener;
    std::function<void(std::vector<steps::WorkerInfo>)> m_workerListener;
    EventLoop m_loop;
    BootClock m_clock;
    AsyncHttpClient m_http;
    Node m_node;
    NodeAddresses m_addresses;
};

bool containsSample(const std::string &metrics, const std::string &line)
{
    return metrics.find("\nsavorywick_" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("A submitted job is stored and run on a worker and reported as completed")
{
    TestCluster cluster;
    TestEntry entry(cluster, true);
    REQUIRE(entry.becomesReady());
    REQUIRE(entry.callerRequest("POST", "/q/id1", "job").status == 200);
    CHECK(entry.reachesState("id1", "running"));
    cluster.worker.finishAll();
    CHECK(entry.reachesState("id1", "completed"));
    CHECK(cluster.worker.starts == 1);
    const std::string metrics = entry.call(entry.addresses().metrics, "GET", "/metrics").body;
    CHECK(containsSample(metrics, "submit_commit_ms_count 1"));
    CHECK(containsSample(metrics, "submit_first_start_ms_count 1"));
    CHECK(containsSample(metrics, "shard_restore_ms_count 1"));
    CHECK(containsSample(metrics, "runs_ended_total{how=\"done\"} 1"));
    CHECK(metrics.find("savorywick_event_loop_lag_ms_count") != std::string::npos);
    CHECK(metrics.find("savorywick_process_cpu_ms_total") != std::string::npos);
    CHECK(metrics.find("savorywick_process_peak_memory_bytes") != std::string::npos);
}

// A process that is killed and restarted immediately must not lose or repeat the run in progress.
TEST_CASE("A restarted entry adopts the runs of its predecessor")
{
    TestCluster cluster;
    TestEntry killed(cluster, true);
    REQUIRE(killed.becomesReady());
    REQUIRE(killed.callerRequest("POST", "/q/id1", "job").status == 200);
    REQUIRE(killed.reachesState("id1", "running"));
    TestEntry restarted(cluster, true);
    CHECK(restarted.reachesState("id1", "running"));
    cluster.worker.finishAll();
    CHECK(restarted.reachesState("id1", "completed"));
    CHECK(cluster.worker.starts == 1);
}

TEST_CASE("Without a configuration an entry is not ready and asks callers to retry later")
{
    TestCluster cluster;
    TestEntry entry(cluster, false);
    entry.runFor(Millis{100});
    CHECK(entry.call(entry.addresses().readiness, "GET", "/").status == 503);
    const HttpResult a = entry.callerRequest("POST", "/q/id1", "job");
    CHECK(a.status == 503);
    CHECK_FALSE(headerValue(a.headers, "Retry-After").empty());
}

// Guards against a link between regions that is full of changes to the list of workers, which every
// entry followed although only owners of shards need it.
TEST_CASE("An entry follows the list of workers only while it owns a shard")
{
    TestCluster cluster;
    TestEntry owner(cluster, true, "entry-a");
    REQUIRE(owner.becomesReady());
    REQUIRE(owner.callerRequest("POST", "/q/id1", "job").status == 200);
    CHECK(owner.watchesWorkers);
    TestEntry other(cluster, true, "entry-b");
    REQUIRE(other.becomesReady());
    CHECK_FALSE(other.watchesWorkers);
    owner.drain();
    for (int i = 0; i < maxPolls && owner.watchesWorkers; ++i)
        owner.runFor(pollInterval);
    CHECK_FALSE(owner.watchesWorkers);
}

// Guards against jobs that are accepted and not found again, since they run in another shard than
// the one that their id hashes to: the only worker is in one of the three.
TEST_CASE("Jobs that are left to another shard are found by their id")
{
    TestCluster cluster;
    TestEntry entry(cluster, true, "entry-a", 3);
    REQUIRE(entry.becomesReady());
    for (const char *id : {"id1", "id2", "id3", "id4", "id5", "id6"}) {
        CAPTURE(id);
        const std::string path = std::string("/q/") + id;
        for (int i = 0; i < maxPolls; ++i) {
            if (entry.callerRequest("POST", path, "long-running").status == 200)
                break;
            entry.runFor(pollInterval);
        }
        CHECK(entry.callerRequest("POST", path, "long-running").status == 200);
        CHECK(entry.reachesState(id, "running"));
    }
    CHECK(cluster.worker.starts == 6);
    CHECK(entry.callerRequest("GET", "/q/id-unknown").status == 410);
    CHECK(entry.callerRequest("DELETE", "/q/id1").status == 200);
    CHECK(entry.reachesState("id1", "cancelled"));
}

// Guards against jobs that wait for ever in a shard without a suitable worker: they were accepted
// while no shard had one, and the only one that comes is in one of the three.
TEST_CASE("Jobs that wait move to the shard that gets a worker for them and are found there")
{
    TestCluster cluster;
    cluster.worker.isListed = false;
    TestEntry entry(cluster, true, "entry-a", 3);
    REQUIRE(entry.becomesReady());
    const std::vector<std::string> ids{"id1", "id2", "id3", "id4", "id5", "id6"};
    for (const std::string &id : ids) {
        for (int i = 0; i < maxPolls; ++i) {
            if (entry.callerRequest("POST", "/q/" + id, "job").status == 200)
                break;
            entry.runFor(pollInterval);
        }
        CHECK(entry.callerRequest("GET", "/q/" + id).body == "queued");
    }
    cluster.worker.isListed = true;
    entry.listWorkers();
    for (const std::string &id : ids) {
        CAPTURE(id);
        CHECK(entry.reachesState(id, "running"));
        CHECK(entry.callerRequest("POST", "/q/" + id, "job").status == 200);
    }
    CHECK(entry.callerRequest("DELETE", "/q/id1").status == 200);
    CHECK(entry.reachesState("id1", "cancelled"));
    cluster.worker.finishAll();
    for (const std::string &id : ids)
        CHECK(entry.reachesState(id, id == "id1" ? "cancelled" : "completed"));
    CHECK(cluster.worker.starts == 6);
    const std::string metrics = entry.call(entry.addresses().metrics, "GET", "/metrics").body;
    CHECK(metrics.find("savorywick_jobs_handed_over_total") != std::string::npos);
    CHECK_FALSE(containsSample(metrics, "jobs_handed_over_total 0"));
}

// Guards against a job that is accepted where no worker suits it although one in another shard
// does.
TEST_CASE("Jobs go to the shard with a worker for them when they are accepted")
{
    TestCluster cluster;
    TestEntry entry(cluster, true, "entry-a", 3);
    REQUIRE(entry.becomesReady());
    for (const char *id : {"id1", "id2", "id3", "id4", "id5", "id6"}) {
        CAPTURE(id);
        for (int i = 0; i < maxPolls; ++i) {
            if (entry.callerRequest("POST", std::string("/q/") + id, "job").status == 200)
                break;
            entry.runFor(pollInterval);
        }
        CHECK(entry.reachesState(id, "running"));
    }
    const std::string metrics = entry.call(entry.addresses().metrics, "GET", "/metrics").body;
    CHECK(containsSample(metrics, "jobs_handed_over_total 0"));
}

// Guards against starts by an entry that does not know the evacuated zones, and by one that learned
// of them before it owned the shard, also if the number of shards was agreed on since (0).
TEST_CASE("An entry that becomes an owner starts nothing in zones that are evacuated already")
{
    for (const int shards : {1, 0}) {
        CAPTURE(shards);
        TestCluster cluster;
        cluster.evacuationBound = Millis{600'000}; // Nothing gets too old here.
        TestEntry first(cluster, true, "entry-a", shards);
        for (int i = 0; i < maxPolls && first.callerRequest("POST", "/q/id1", "job").status != 200;
             ++i)
            first.runFor(pollInterval);
        first.runFor(Millis{300});
        TestEntry second(cluster, true, "entry-b", shards);
        second.reportEvacuated({"a"});
        first.drain();
        for (int i = 0; i < maxPolls && !second.watchesWorkers; ++i) {
            first.runFor(pollInterval);
            second.runFor(pollInterval);
        }
        second.runFor(Millis{500});
        CHECK(cluster.worker.starts == 0);
        const HttpResult refusal = second.callerRequest("POST", "/q/id2", "job");
        CHECK(refusal.status == 503); // All workers are in the zone.
        CHECK_FALSE(headerValue(refusal.headers, "Retry-After").empty());
        const std::string metrics = second.call(second.addresses().metrics, "GET", "/metrics").body;
        CHECK(containsSample(metrics, "zone_evacuated{zone=\"a\"} 1"));
        second.reportEvacuated({});
        CHECK(second.reachesState("id1", "running"));
    }
}
