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

constexpr int jobCount = 8;
constexpr int tasksPerJob = 4;
constexpr int workersLost = 4; // For good.
constexpr Millis settlingTime{4'000}; // For the entries to agree on their shards.
constexpr Millis steadyTime{3'000}; // From the moment that all tasks run to the loss.
constexpr Millis downtime{1'300}; // Of what comes back.
constexpr Millis pollInterval{20};
constexpr Millis longestLease{10'000}; // That a worker takes.

// By the target, a long-running task has a run again within this time from the end of its last one,
constexpr Millis maxGap{9'000};
// or within this time from the end of the trouble, if that is later.
constexpr Millis maxGapAfterTrouble{7'000};
// What the test itself waits before it gives up.
constexpr Millis patience{25'000};

// What is lost together with the workers that don't come back.
struct Loss
{
    std::string what;
    bool entries = false; // All of them, for `downtime`.
    bool allWorkers = false; // The others too, for `downtime`; they come back under new ids.
    std::vector<Millis> entriesAgain = {}; // When all entries are lost again, from the first loss.

    // Returns how long no task may be without a run.
    Millis bound() const
    {
        const Millis lastLoss = entriesAgain.empty() ? Millis{0} : entriesAgain.back();
        return std::max(maxGap, lastLoss + downtime + maxGapAfterTrouble);
    }
};

// Runs long-running tasks on a deployment of real processes and loses parts of it at one moment.
class LossOfRuns
{
public:
    explicit LossOfRuns(Loss loss)
        : m_loss(std::move(loss))
        , m_directory(std::filesystem::temp_directory_path().string() + "/longrunningloss-"
                      + std::to_string(::getpid()))
        , m_deployment(settings())
    { }

    // Returns how long it took from the loss until all tasks had a run again.
    Millis run()
    {
        m_deployment.keepEntriesRunning();
        m_deployment.loop().runAfter(settlingTime, [this] {
            submitJobs();
            awaitAllRuns([this] { loseSoon(); });
        });
        m_deployment.loop().run();
        return m_gap;
    }

    // Lets the store fail for this time. Returns how many runs have ended with their lease once it
    // has been back for as long as a lease lasts.
    int runThroughOutage(StoreFault fault, Millis duration)
    {
        m_deployment.keepEntriesRunning();
        m_deployment.loop().runAfter(settlingTime, [this, fault, duration] {
            submitJobs();
            awaitAllRuns([this, fault, duration] { failStore(fault, duration); });
        });
        m_deployment.loop().run();
        return m_deployment.ledger().lapsedRunCount();
    }

    const std::string &directory() const { return m_directory; }
    const std::vector<std::string> &violations() { return m_deployment.ledger().violations(); }

private:
    SoakDeploymentSettings settings() const
    {
        std::filesystem::create_directories(m_directory);
        return {.program = ENTRY_PROGRAM,
                .directory = m_directory,
                .entries = 3,
                .workers = 14,
                .maxLeaseTerm = longestLease};
    }

    void submitJobs()
    {
        for (int i = 0; i < jobCount; ++i)
            m_deployment.callers().submit(longRunningJob(i + 1, tasksPerJob));
    }

    void awaitAllRuns(const std::function<void()> &next)
    {
        const bool late = m_lostAt != Instant{} && m_deployment.clock().now() - m_lostAt > patience;
        if (m_deployment.ledger().allTasksRun() || late)
            return next();
        m_deployment.loop().runAfter(pollInterval, [this, next] { awaitAllRuns(next); });
    }

    void loseSoon()
    {
        m_deployment.loop().runAfter(steadyTime, [this] {
            m_lostAt = m_deployment.clock().now();
            lose();
            awaitAllRuns([this] {
                m_gap = m_deployment.clock().now() - m_lostAt;
                m_deployment.loop().stop();
            });
        });
    }

    void failStore(StoreFault fault, Millis duration)
    {
        EventLoop &loop = m_deployment.loop();
        loop.runAfter(steadyTime, [this, fault] { m_deployment.store().setFault(fault); });
        loop.runAfter(steadyTime + duration,
                      [this] { m_deployment.store().setFault(StoreFault::None); });
        loop.runAfter(steadyTime + duration + longestLease, [this] { m_deployment.loop().stop(); });
    }

    void lose()
    {
        const std::vector<WorkerStandIn *> workers = m_deployment.busiestWorkers();
        if (m_loss.entries)
            m_deployment.killAllEntries(downtime);
        for (std::size_t i = 0; i < workers.size(); ++i) {
            if (i < workersLost)
                workers[i]->vanish();
            else if (m_loss.allWorkers)
                workers[i]->crash(downtime, true);
        }
        for (const Millis it : m_loss.entriesAgain)
            m_deployment.loop().runAfter(it, [this] { m_deployment.killAllEntries(downtime); });
    }

    Loss m_loss;
    std::string m_directory;
    SoakDeployment m_deployment;
    Instant m_lostAt;
    Millis m_gap;
};

void checkLosses(const std::vector<Loss> &losses)
{
    for (const Loss &it : losses) {
        CAPTURE(it.what);
        LossOfRuns loss(it);
        const Millis gap = loss.run();
        std::printf("{\"lost\":\"%s\",\"gapMs\":%lld,\"boundMs\":%lld}\n", it.what.c_str(),
                    static_cast<long long>(gap.count()),
                    static_cast<long long>(it.bound().count()));
        std::fflush(stdout);
        INFO("tasks had no run for " << gap.count() << " ms, allowed are " << it.bound().count()
                                     << "; look for long-running-restarted in the logs in "
                                     << loss.directory());
        CHECK(gap.count() <= it.bound().count());
        CHECK(loss.violations().empty());
        if (gap <= it.bound() && loss.violations().empty())
            std::filesystem::remove_all(loss.directory());
    }
}

} // namespace

// Guards against a new owner that waits for the longest lease of workers that were lost with the
// owner before it.
TEST_CASE("Long-running tasks run again in time after their workers are lost with all entries")
{
    checkLosses({{.what = "workers alone"},
                 {.what = "workers and all entries", .entries = true},
                 {.what = "all workers and entries", .entries = true, .allWorkers = true}});
}

// Guards against a wait that starts anew with each owner of a series.
TEST_CASE("Long-running tasks run again in time although owners follow each other")
{
    checkLosses(
        {{.what = "entries once more after 5 s", .entries = true, .entriesAgain = {Millis{5'000}}},
         {.what = "entries twice more",
          .entries = true,
          .allWorkers = true,
          .entriesAgain = {Millis{3'000}, Millis{6'000}}}});
}

// Guards against a promise of the shard's row that is so short that an outage of the store ends all
// runs, as nobody can raise it then.
TEST_CASE("Long-running tasks run on while the store is away for as long as the pages say")
{
    constexpr Millis longestOutage{4'500}; // 'platform_down' among the troubles of the site files.
    struct Case
    {
        std::string what;
        StoreFault fault;
    };
    for (const Case &it :
         {Case{"it refuses", StoreFault::Refuses}, Case{"it is silent", StoreFault::Silent}}) {
        CAPTURE(it.what);
        LossOfRuns deployment({});
        CHECK(deployment.runThroughOutage(it.fault, longestOutage) == 0);
        CHECK(deployment.violations().empty());
    }
}
