#include "harness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{60'000};

} // namespace

TEST_CASE("Accepted runs and watchers are finished by another entry after a kill")
{
    Cluster cluster({.upstreams = 0, .workers = 4});
    std::vector<std::string> ids(6);
    for (std::size_t i = 0; i < ids.size(); ++i)
        ids[i] = cluster.submit(0, "runs", "refresh", R"({"durationMs":1500})",
                                "run-" + std::to_string(i));
    const std::string watcher = cluster.submit(
        0, "watchers", "stock", R"({"until":{"run":")" + ids[0] + R"("}})", "watcher");
    cluster.entry(0).kill();
    cluster.entry(1).kill();
    for (const std::string &it : ids)
        CHECK(cluster.waitForFinalState(2, "runs", it, waitLimit) == "finished");
    CHECK(cluster.waitForFinalState(2, "watchers", watcher, waitLimit) == "finished");
    CHECK(cluster.submit(2, "runs", "refresh", R"({"durationMs":1500})", "run-0") == ids[0]);
    CHECK(cluster.overlappingRuns().empty());
}

TEST_CASE("A killed entry is replaced even if entries renew their leases often")
{
    Cluster cluster({.entries = 2, .upstreams = 0, .editSettings = [](Json::Value &settings) {
                         settings["leases"]["entryRenewalMs"] = 300;
                     }});
    std::vector<std::string> ids(4); // Enough to reach both shards.
    for (std::size_t i = 0; i < ids.size(); ++i)
        ids[i] = cluster.submit(0, "runs", "refresh", "{}", "run-" + std::to_string(i));
    cluster.entry(0).kill();
    for (const std::string &it : ids)
        CHECK(cluster.waitForFinalState(1, "runs", it, Millis{10'000}) == "finished");
}
