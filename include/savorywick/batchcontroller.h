#pragma once

#include "savorywick/demandestimator.h"
#include "savorywick/interference.h"
#include "savorywick/jobscheduler.h"

#include <map>
#include <span>
#include <string>

namespace savorywick {

struct BatchControllerSettings
{
    InterferenceOptions interference;
    DemandEstimatorOptions demandEstimator;
};

// Controls the batch work of one shard by what its workers measure: it resizes allocations, limits
// the cores for batch work on each worker, throttles and evicts.
//
// Use one beside each JobScheduler, and construct the scheduler with the controller's cost() and
// demandEstimator(). Pass the controller each lease report right after
// JobScheduler::handleLeaseReply(). Not thread-safe.
//
// Example:
//   BatchController control({});
//   JobScheduler scheduler(settings, &placement, &control.cost(), &control.demandEstimator());
//   scheduler.handleLeaseReply(worker, report, now, records);
//   control.observe(worker, report, scheduler, now, records);
class BatchController
{
public:
    explicit BatchController(const BatchControllerSettings &settings);

    // Replaces the list of the shard's workers. HostInfo::service names the urgent service that
    // runs on the same host.
    void setWorkers(std::span<const HostInfo> workers);
    // Sets the p99 latency that each service document allows, by service.
    void setTargetP99s(std::map<std::string, Millis> targets) { m_targetP99s = std::move(targets); }

    // Evaluates a report and applies the resulting changes to the scheduler. A task that uses more
    // memory than is allocated to it gets a larger allocation, or is evicted if its host has no
    // memory left for that.
    void observe(const std::string &worker, const LeaseReply &report, JobScheduler &scheduler,
                 Instant now, JobScheduler::Records &records);
    // Records that an attempt is being started.
    void recordStart(const StartTask &start, const JobScheduler &scheduler, Instant now);

    // Returns the cost to pass to the JobScheduler. It lives as long as this object.
    const HostCost &cost() const { return m_interference; }
    // Returns the estimator to pass to the JobScheduler. It lives as long as this object.
    const DemandEstimator &demandEstimator() const { return m_demandEstimator; }
    // Returns the controller that limits interference with urgent work.
    const InterferenceController &interference() const { return m_interference; }

private:
    struct Worker
    {
        std::string service; // The urgent service on the same host.
        std::map<std::string, int> speedPercent; // By job; tasks at full speed are left out.
    };

    void resizeAllocations(const std::string &worker, const LeaseReply &report,
                           JobScheduler &scheduler, Instant now, JobScheduler::Records &records);
    WorkerSample toSample(const std::string &worker, const LeaseReply &report,
                          const JobScheduler &scheduler, Instant now) const;

    InterferenceController m_interference;
    DemandEstimator m_demandEstimator;
    std::map<std::string, Millis> m_targetP99s; // By service.
    std::map<std::string, Worker> m_workers;
};

} // namespace savorywick
