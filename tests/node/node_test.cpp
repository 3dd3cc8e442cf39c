#include "node/node.h"

#include "../lib/faketable.h"
#include "core/bootclock.h"
#include "plaincodec.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <utility>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr int mostTries = 1'000; // Only a hang ends a test by it.
constexpr Millis pollEvery{20};

// The table of all entries; it answers at once.
class SharedTable final : public AsyncTable
{
public:
    void commit(const Transaction &t, Committed done) override { done(m_table.commit(t)); }
    void read(const std::vector<std::string> &keys, RowsRead done) override
    {
        done(m_table.read(keys));
    }
    void scan(const std::string &prefix, const std::string &after, std::size_t limit,
              RowsRead done) override
    {
        done(m_table.scan(prefix, after, limit));
    }

private:
    FakeTable m_table;
};

class SharedObjects final : public AsyncObjectStore
{
public:
    void put(const std::string &name, const std::string &bytes, Done done) override
    {
        m_objects[name] = bytes;
        done(true);
    }
    void fetch(const std::string &name, Fetched done) override { done(m_objects.at(name)); }
    void remove(const std::string &name) override { m_objects.erase(name); }

private:
    std::map<std::string, std::string> m_objects;
};

// One worker, which ends its runs when it is told to.
class OneWorker
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

private:
    BootClock m_clock;
    std::vector<steps::RunningReport> m_running;
    std::vector<steps::RunEndReport> m_ended;
};

// What is there whatever entry runs.
struct World
{
    SharedTable table;
    SharedObjects objects;
    OneWorker worker;
    PlainCodec codec;
};

// An entry on a loop of its own; once nobody runs the loop it is as good as killed.
class Entry final : public WorkerLink, public ClusterFeed
{
public:
    Entry(World &world, bool configured)
        : m_world(world)
        , m_configured(configured)
        , m_http(m_loop)
        , m_node(settings(), m_loop, m_clock, m_http,
                 {world.table, world.objects, *this, *this, world.codec})
        , m_addresses(m_node.start())
    { }

    const NodeAddresses &addresses() const { return m_addresses; }

    HttpAnswer call(const std::string &address, const std::string &method, const std::string &path,
                    const std::string &body = {})
    {
        std::optional<HttpAnswer> answer;
        HttpCall call;
        call.address = address;
        call.method = method;
        call.path = path;
        call.headers = {{"Host", "jobs.example"}};
        call.body = body;
        m_http.exchange(std::move(call), [&](const HttpAnswer &a) {
            answer = a;
            m_loop.stop();
        });
        m_loop.run();
        return answer.value();
    }
    HttpAnswer ask(const std::string &method, const std::string &path, const std::string &body = {})
    {
        return call(m_addresses.callers, method, path, body);
    }

    // Returns whether the job was shown in `state` at some time.
    bool reaches(const std::string &job, const std::string &state)
    {
        for (int i = 0; i < mostTries; ++i) {
            if (ask("GET", "/q/" + job).body == state)
                return true;
            pass(pollEvery);
        }
        return false;
    }

    bool becomesReady()
    {
        for (int i = 0; i < mostTries; ++i) {
            if (call(m_addresses.readiness, "GET", "/").status == 200)
                return true;
            pass(pollEvery);
        }
        return false;
    }

    void pass(Millis span)
    {
        m_loop.after(span, [this] { m_loop.stop(); });
        m_loop.run();
    }

    void renew(const steps::RenewLeaseCommand &, RenewDone done) override
    {
        m_loop.after(pollEvery, [this, done] {
            done({steps::CommandOutcome::Done, m_world.worker.report()});
        });
    }
    void start(const steps::StartRunCommand &order, OrderDone done) override
    {
        done(m_world.worker.start(order));
    }
    void stop(const steps::StopRunCommand &, OrderDone done) override
    {
        done({steps::CommandOutcome::Done, {}});
    }
    void pace(const steps::ThrottleRunCommand &, OrderDone done) override
    {
        done({steps::CommandOutcome::Done, {}});
    }

    void watchQueues(std::function<void(steps::QueueConfiguration)> listener) override
    {
        if (!m_configured)
            return;
        steps::QueueConfiguration c;
        c.version = 1;
        c.queues = {{"jobs.example", "/q/", {}}};
        c.queues[0].policy.queue = "q";
        c.queues[0].policy.service = "fits";
        listener(std::move(c));
    }
    void watchWorkers(std::function<void(std::vector<steps::WorkerInfo>)> listener) override
    {
        listener({m_world.worker.info()});
    }

private:
    static NodeSettings settings()
    {
        NodeSettings s;
        s.name = "entry-a";
        for (std::string *it :
             {&s.callersAddress, &s.readinessAddress, &s.peersAddress, &s.metricsAddress})
            *it = "127.0.0.1:0";
        return s;
    }

    World &m_world;
    const bool m_configured;
    EventLoop m_loop;
    BootClock m_clock;
    AsyncHttpClient m_http;
    Node m_node;
    NodeAddresses m_addresses;
};

bool shows(const std::string &metrics, const std::string &line)
{
    return metrics.find("\nsavorywick_" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("A job goes from a caller through the store to a worker and is shown as completed")
{
    World world;
    Entry entry(world, true);
    REQUIRE(entry.becomesReady());
    REQUIRE(entry.ask("POST", "/q/id1", "job").status == 200);
    CHECK(entry.reaches("id1", "running"));
    world.worker.finishAll();
    CHECK(entry.reaches("id1", "completed"));
    CHECK(world.worker.starts == 1);
    const std::string metrics = entry.call(entry.addresses().metrics, "GET", "/metrics").body;
    CHECK(shows(metrics, "submit_commit_ms_count 1"));
    CHECK(shows(metrics, "submit_first_start_ms_count 1"));
    CHECK(shows(metrics, "shard_restore_ms_count 1"));
    CHECK(shows(metrics, "runs_ended_total{how=\"done\"} 1"));
}

// The load of a process that is killed and started again at once.
TEST_CASE("An entry that starts again goes on with the runs of its predecessor")
{
    World world;
    Entry killed(world, true);
    REQUIRE(killed.becomesReady());
    REQUIRE(killed.ask("POST", "/q/id1", "job").status == 200);
    REQUIRE(killed.reaches("id1", "running"));
    Entry again(world, true);
    CHECK(again.reaches("id1", "running"));
    world.worker.finishAll();
    CHECK(again.reaches("id1", "completed"));
    CHECK(world.worker.starts == 1);
}

TEST_CASE("Without a configuration an entry is not ready and tells callers to come back")
{
    World world;
    Entry entry(world, false);
    entry.pass(Millis{100});
    CHECK(entry.call(entry.addresses().readiness, "GET", "/").status == 503);
    const HttpAnswer a = entry.ask("POST", "/q/id1", "job");
    CHECK(a.status == 503);
    CHECK_FALSE(headerValue(a.headers, "Retry-After").empty());
}
