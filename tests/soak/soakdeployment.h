#pragma once

#include "nodeprocess.h"
#include "platformstandin.h"
#include "runledger.h"
#include "soakcallers.h"
#include "workerstandin.h"

#include "core/bootclock.h"
#include "net/eventloop.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorywick::testing {

// How large a deployment is, and what its processes are told.
struct SoakDeploymentSettings
{
    unsigned seed = 1;
    std::string program; // `savorywick`.
    std::string directory; // For settings and logs of the entries.
    int entries = 4;
    int workers = 10;
    Millis maxLeaseTerm{4'000}; // The longest lease that a worker takes.
    // Limits of a caller's request that the manifest sets; without a value, it sets none.
    std::optional<int> maxHeaderBytes = {};
    std::optional<int> maxBodyBytes = {};
};

// A deployment of real processes of `savorywick node` on loopback addresses, with stand-ins of the
// platform, of workers and of callers. Entries that end are started again. Ends only the processes
// that it started. Not thread-safe.
//
// Example:
//   SoakDeployment deployment(settings);
//   deployment.keepEntriesRunning();
//   deployment.killEntry(0, Millis{1'300});
//   deployment.loop().run();
class SoakDeployment
{
public:
    explicit SoakDeployment(SoakDeploymentSettings settings);

    // Starts the entries that don't run and whose time has come, now and from time to time.
    void keepEntriesRunning();
    // Kills the entry and starts it again after `downtime`.
    void killEntry(std::size_t entry, Millis downtime);
    // Kills all entries at one moment and starts them again after `downtime`.
    void killAllEntries(Millis downtime);

    // Returns the workers, those with most runs first.
    std::vector<WorkerStandIn *> busiestWorkers() const;

    EventLoop &loop() { return m_loop; }
    const BootClock &clock() const { return m_clock; }
    RunLedger &ledger() { return m_ledger; }
    const RunLedger &ledger() const { return m_ledger; }
    PlatformStandIn &store() { return *m_store; }
    SoakCallers &callers() { return *m_callers; }
    std::vector<std::unique_ptr<WorkerStandIn>> &workers() { return m_workers; }
    std::vector<std::unique_ptr<NodeProcess>> &entries() { return m_entries; }
    std::string ipOfEntry(int entry) const;

private:
    std::string ipOf(int host) const;
    void writeConfiguration();
    std::string writeNodeFile(int entry) const;

    SoakDeploymentSettings m_settings;
    BootClock m_clock;
    EventLoop m_loop;
    RunLedger m_ledger;
    std::unique_ptr<PlatformStandIn> m_store;
    std::vector<std::unique_ptr<WorkerStandIn>> m_workers;
    std::vector<std::unique_ptr<NodeProcess>> m_entries;
    std::vector<Instant> m_restartAt; // By entry: it is not started again before.
    std::unique_ptr<SoakCallers> m_callers;
};

} // namespace savorywick::testing
