#include "soakdeployment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include <unistd.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr int jobCount = 3;
constexpr int tasksPerJob = 4;
constexpr std::size_t maxWorkersCutOff = 3;
constexpr Millis settlingTime{4'000}; // For the entries to agree on their shards.
constexpr Millis steadyTime{5'000}; // For the crash of a worker not to be put down to its runs.
constexpr Millis recordingTime{300}; // For owners to record the runs of the next lives.
constexpr Millis entriesDowntime{500};
constexpr Millis pollInterval{20};
constexpr Millis patience{30'000};
constexpr Millis ownersTerm{6'000}; // For which owners grant leases.
// That a worker takes. It is longer than the shards' rows promise by some seconds, which pass until
// the next lives have runs that are recorded.
constexpr Millis longestLease{12'000};

enum class Order { Renewal, Start };

// Runs long-running tasks on a deployment of real processes. Its workers start again under their
// ids before the entries know, each carries out an order that was meant for its former life, and
// they are given runs again. Then some of them are cut off, and all entries are replaced.
class RestartOfWorkers
{
public:
    explicit RestartOfWorkers(Order order)
        : m_order(order)
        , m_directory(std::filesystem::temp_directory_path().string() + "/formerlifelease-"
                      + std::to_string(::getpid()) + "-" + std::to_string(static_cast<int>(order)))
        , m_deployment(settings())
    { }

    void run()
    {
        m_deployment.keepEntriesRunning();
        m_deployment.loop().runAfter(settlingTime, [this] {
            for (int i = 0; i < jobCount; ++i)
                submitJob();
            await(
                [this] { return m_deployment.ledger().allTasksRun(); },
                [this] { m_deployment.loop().runAfter(steadyTime, [this] { restartWorkers(); }); });
        });
        m_deployment.loop().run();
    }

    const std::string &directory() const { return m_directory; }
    const std::vector<std::string> &violations() { return m_deployment.ledger().violations(); }
    bool allTasksRun() { return m_deployment.ledger().allTasksRun(); }
    // Returns how many runs were cut off with leases that no owner granted to that life.
    int inheritedLeases() const { return m_inheritedLeases; }

private:
    SoakDeploymentSettings settings() const
    {
        std::filesystem::create_directories(m_directory);
        return {.program = ENTRY_PROGRAM,
                .directory = m_directory,
                .entries = 3,
                .workers = 10,
                .maxLeaseTerm = longestLease};
    }

    void submitJob() { m_deployment.callers().submit(longRunningJob(++m_jobs, tasksPerJob)); }

    // Calls `next` once `condition` holds, or ends the deployment after some time.
    void await(const std::function<bool()> &condition, const std::function<void()> &next)
    {
        m_givesUpAt = m_deployment.clock().now() + patience;
        poll(condition, next);
    }

    void poll(const std::function<bool()> &condition, const std::function<void()> &next)
    {
        if (condition())
            return next();
        if (m_deployment.clock().now() >= m_givesUpAt)
            return m_deployment.loop().stop();
        m_deployment.loop().runAfter(pollInterval,
                                     [this, condition, next] { poll(condition, next); });
    }

    void restartWorkers()
    {
        constexpr Millis downtime{100};
        constexpr Millis callDelay{0};
        constexpr Millis listingDelay{300};
        for (const auto &it : m_deployment.workers())
            it->restartAtNextGrant({m_order == Order::Start ? "/api/run-start" : "/api/hold",
                                    downtime, callDelay, listingDelay});
        if (m_order == Order::Start) {
            submitJob();
            submitJob();
        }
        await([this] { return !inheritors().empty() && m_deployment.ledger().allTasksRun(); },
              [this] { m_deployment.loop().runAfter(recordingTime, [this] { cutOff(); }); });
    }

    // Returns the workers that have runs, and a longer lease than owners grant.
    std::vector<WorkerStandIn *> inheritors() const
    {
        std::vector<WorkerStandIn *> workers = m_deployment.busiestWorkers();
        std::erase_if(workers, [](const WorkerStandIn *it) {
            return it->runCount() == 0 || it->leaseLeft() <= ownersTerm;
        });
        return workers;
    }

    void cutOff()
    {
        m_cutOff = inheritors();
        m_cutOff.resize(std::min(m_cutOff.size(), maxWorkersCutOff));
        for (WorkerStandIn *it : m_cutOff) {
            m_inheritedLeases += static_cast<int>(it->runCount());
            it->setCutOff(true);
        }
        m_deployment.killAllEntries(entriesDowntime);
        await([this] { return leasesAreOver() && m_deployment.ledger().allTasksRun(); },
              [this] { m_deployment.loop().stop(); });
    }

    bool leasesAreOver() const
    {
        return std::all_of(m_cutOff.begin(), m_cutOff.end(),
                           [](const auto *it) { return it->leaseLeft() < Millis{0}; });
    }

    Order m_order;
    std::string m_directory;
    SoakDeployment m_deployment;
    std::vector<WorkerStandIn *> m_cutOff;
    Instant m_givesUpAt;
    int m_jobs = 0;
    int m_inheritedLeases = 0;
};

void checkRestart(const char *what, Order order)
{
    RestartOfWorkers restart(order);
    restart.run();
    std::printf("{\"order\":\"%s\",\"runsWithInheritedLease\":%d,\"violations\":%zu}\n", what,
                restart.inheritedLeases(), restart.violations().size());
    std::fflush(stdout);
    for (const std::string &it : restart.violations())
        FAIL_CHECK(it << "; look for run-lease-over in the logs in " << restart.directory());
    CHECK(restart.inheritedLeases() > 0); // Otherwise the case shows nothing.
    CHECK(restart.allTasksRun());
    if (restart.violations().empty() && restart.inheritedLeases() > 0)
        std::filesystem::remove_all(restart.directory());
}

} // namespace

// Guards against a second run of a task beside one whose worker took its longest lease from a
// renewal for its former life, when a new owner goes by the leases that others granted.
TEST_CASE("No task runs twice after a renewal for the former life of its worker was held back")
{
    checkRestart("renewal held back", Order::Renewal);
}

// Guards against the same after a start for the former life.
TEST_CASE("No task runs twice after a start for the former life of its worker was held back")
{
    checkRestart("start held back", Order::Start);
}
