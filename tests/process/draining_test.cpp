#include "harness.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{30'000};
constexpr Millis leavingLimit{5'000};

// Callers that ask entry after entry without a break; one that refuses surely is passed over.
class Load
{
public:
    explicit Load(std::vector<std::string> addresses)
        : m_addresses(std::move(addresses))
    {
        for (std::size_t i = 0; i < callers; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }

    ~Load() { stop(); }

    void stop()
    {
        m_stopping = true;
        for (std::thread &it : m_threads)
            it.join();
        m_threads.clear();
    }

    int answered() const { return m_answered; }
    int cutOff() const { return m_cutOff; }

private:
    static constexpr std::size_t callers = 6;

    void run(std::size_t i)
    {
        while (!m_stopping) {
            const std::string &address = m_addresses[i++ % m_addresses.size()];
            const HttpResult a = call({.address = address,
                                       .method = "POST",
                                       .path = "/v1/services/quotes/requests/quote",
                                       .headers = {{"X-Deadline-Ms", "5000"}},
                                       .body = "load"});
            m_answered += a.status == 200 ? 1 : 0;
            const bool whole = a.outcome == HttpOutcome::ResponseReceived;
            m_cutOff += whole || a.outcome == HttpOutcome::NotSent ? 0 : 1;
        }
    }

    const std::vector<std::string> m_addresses;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_answered = 0;
    std::atomic<int> m_cutOff = 0;
    std::vector<std::thread> m_threads;
};

std::vector<std::string> callerAddresses(Cluster &cluster)
{
    return {cluster.entry(0).address("callers"), cluster.entry(1).address("callers"),
            cluster.entry(2).address("callers")};
}

} // namespace

TEST_CASE("A leaving upstream gets no new work after a few seconds")
{
    Cluster cluster;
    Load load(callerAddresses(cluster));
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
    passTime(leavingLimit);
    const int left = served();
    const int answered = load.answered();
    REQUIRE(eventually(waitLimit, [&] { return load.answered() > answered + 100; }));
    CHECK(served() == left);
}

TEST_CASE("Entries that are restarted in a row under load cut off no request")
{
    Cluster cluster({.serviceMs = 30});
    Load load(callerAddresses(cluster));
    REQUIRE(eventually(waitLimit, [&] { return load.answered() > 50; }));
    for (int i = 0; i < 2; ++i)
        CHECK(cluster.entry(i).stop() == 0);
    load.stop();
    CHECK(load.cutOff() == 0);
    cluster.startEntry(0);
    CHECK(eventually(waitLimit, [&] { return cluster.request(0, "quote", "new").status == 200; }));
    CHECK(cluster.entry(2).stop() == 0);
    CHECK(cluster.entry(0).stop() == 0);
}
