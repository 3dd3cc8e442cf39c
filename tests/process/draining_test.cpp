#include "harness.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{30'000};
constexpr Millis drainDelay{5'000};

// Concurrent callers that send requests continuously, each to the entries in turn. A request that
// was certainly not sent, since the connection was refused, doesn't count as incomplete.
class LoadGenerator
{
public:
    explicit LoadGenerator(std::vector<std::string> addresses)
        : m_addresses(std::move(addresses))
    {
        for (std::size_t i = 0; i < callerCount; ++i)
            m_threads.emplace_back([this, i] { sendRequests(i); });
    }

    ~LoadGenerator() { stop(); }

    void stop()
    {
        m_stopping = true;
        for (std::thread &it : m_threads)
            it.join();
        m_threads.clear();
    }

    int successCount() const { return m_successCount; }
    int incompleteCount() const { return m_incompleteCount; }

private:
    static constexpr std::size_t callerCount = 6;

    void sendRequests(std::size_t i)
    {
        while (!m_stopping) {
            const std::string &address = m_addresses[i++ % m_addresses.size()];
            const HttpResult a = call({.address = address,
                                       .method = "POST",
                                       .path = "/v1/services/quotes/requests/quote",
                                       .headers = {{"X-Deadline-Ms", "5000"}},
                                       .body = "load"});
            m_successCount += a.status == 200 ? 1 : 0;
            const bool complete = a.outcome == HttpOutcome::ResponseReceived;
            m_incompleteCount += complete || a.outcome == HttpOutcome::NotSent ? 0 : 1;
        }
    }

    const std::vector<std::string> m_addresses;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_successCount = 0;
    std::atomic<int> m_incompleteCount = 0;
    std::vector<std::thread> m_threads;
};

std::vector<std::string> callerAddresses(Cluster &cluster)
{
    return {cluster.entry(0).address("callers"), cluster.entry(1).address("callers"),
            cluster.entry(2).address("callers")};
}

} // namespace

TEST_CASE("An upstream marked as leaving gets no new requests after a few seconds")
{
    Cluster cluster;
    LoadGenerator load(callerAddresses(cluster));
    const auto served = [&] { return cluster.stats(cluster.upstream(0))["served"].asInt(); };
    const int before = served();
    REQUIRE(eventually(waitLimit, [&] { return served() > before; }));
    const HttpResult list = call({.address = cluster.platform().address(), .path = "/membership"});
    Json::Value hosts = parseJson(list.body)["hosts"];
    for (Json::Value &it : hosts) {
        if (it["id"] != "upstream-0")
            continue;
        it["state"] = "leaving";
        call({.address = cluster.platform().address(),
              .method = "PUT",
              .path = "/membership/upstream-0",
              .body = it.toStyledString()});
    }
    sleepFor(drainDelay);
    const int servedAfterDrain = served();
    const int successCount = load.successCount();
    REQUIRE(eventually(waitLimit, [&] { return load.successCount() > successCount + 100; }));
    CHECK(served() == servedAfterDrain);
}

TEST_CASE("Stopping entries one after another under load interrupts no request")
{
    Cluster cluster({.serviceMs = 30});
    LoadGenerator load(callerAddresses(cluster));
    REQUIRE(eventually(waitLimit, [&] { return load.successCount() > 50; }));
    for (int i = 0; i < 2; ++i)
        CHECK(cluster.entry(i).stop() == 0);
    load.stop();
    CHECK(load.incompleteCount() == 0);
    cluster.startEntry(0);
    CHECK(eventually(waitLimit, [&] { return cluster.request(0, "quote", "new").status == 200; }));
    CHECK(cluster.entry(2).stop() == 0);
    CHECK(cluster.entry(0).stop() == 0);
}
