#pragma once

#include "savorywick/clock.h"
#include "savorywick/pairslowdown.h"
#include "savorywick/placement.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

struct InterferenceOptions
{
    Millis lag{15'000}; // From a change on a worker until a measurement may show it.
    double excessLimit = 0.18; // Tolerated slowdown of urgent work above its batch-free p99.
    double relaxBelow = 0.13; // Below this slowdown batch work may grow again.
    double headroom = 0.05; // Part of the cores that is left idle beside urgent and batch work.
    double smoothing = 0.3; // Weight of a new measurement in what the pairs do not explain.
    double stepDown = 0.6; // The smallest factor on the allowance when urgent work is hurt.
    double cutPerExcess = 2.0; // Part of the allowance cut for each unit over `excessLimit`.
    double stepUp = 0.125; // Part of the capacity given back at a time.
    int throttleSteps = 6; // Measurements with throttled work that still hurts before evicting.
    int leastThrottlePercent = 25; // Speed of a fully throttled task.
    double evictionsPerStart = 0.01; // Evictions allowed for each start, ...
    double evictionBurst = 2.0; // ... and how many may be saved up.
};

// One batch task as measured on a worker.
struct BatchTask
{
    std::string id;
    std::string runClass;
    double cores = 0; // Cores that it uses at full speed.
    int bookedCores = 0; // Cores that the ledger keeps for it.
    int throttlePercent = 100; // The speed that was in force when it was measured.
    double wastedIfEvicted = 0; // Core seconds since the last checkpoint, plus its cost.
};

// What a worker reported. It lags: `takenAt` is when it was true.
struct WorkerSample
{
    Instant takenAt;
    std::string service; // The urgent service on the worker.
    double urgentLoad = 0; // Cores that urgent work used.
    double urgentP99Ms = 0;
    double targetMs = 0; // The p99 that the service's document allows.
    std::vector<BatchTask> tasks;
};

struct TaskThrottle
{
    std::string task;
    int percent = 100;
};

// What to do on one worker now.
struct InterferenceDecision
{
    int allowance = 0; // Cores that batch work may be booked up to; 0 to the capacity.
    std::vector<TaskThrottle> throttles; // Only the tasks whose speed changes.
    std::vector<std::string> evictions; // Checkpoint, stop and queue these again.
};

// Keeps batch work from hurting urgent work, from measurements that lag.
//
// Use one for the workers of a shard. Each measurement of a worker is judged against what urgent
// work needs at that load without batch work, as learned from all workers. If it is hurt, the
// batch allowance steps down at once and the tasks that hurt most are throttled; if that does not
// help within `throttleSteps` measurements, the cheapest of the harmful tasks is evicted, within a
// budget per start. If urgent work is well, tasks regain their speed and the allowance steps up.
// Measurements that were taken less than `lag` after the last change on the worker teach, but
// decide nothing, so nothing swings faster than the lag. Not thread-safe.
//
// Example:
//   InterferenceController controller({});
//   controller.setWorker("worker-7", 64);
//   const InterferenceDecision decision = controller.observe("worker-7", sample, now);
//   ledger.setAllowance("worker-7", decision.allowance);
class InterferenceController final : public HostCost
{
public:
    explicit InterferenceController(const InterferenceOptions &options);

    // Adds a worker or changes its capacity.
    void setWorker(std::string_view worker, int cores);
    void removeWorker(std::string_view worker);

    // Notes a measurement and returns what to do. Unknown workers get an allowance of 0.
    InterferenceDecision observe(std::string_view worker, const WorkerSample &sample, Instant now);
    // Notes that a batch task was started. It adds to the eviction budget, and counts on the worker
    // until a measurement that was taken later shows what runs there.
    void noteStart(std::string_view worker, std::string_view runClass, int cores, Instant now);

    // Returns what batch work may be booked up to: what feedback grants, but no more than the cores
    // that urgent work was last seen to leave.
    int allowance(std::string_view worker) const;
    // Returns the slowdown of urgent work that is expected on the worker with the tasks that it
    // was last seen to run and `cores` more of `runClass`.
    double expectedExcess(std::string_view worker, std::string_view runClass, int cores) const;
    // Returns the slowdown that the task is expected to add, or infinity if it is expected to bring
    // the worker over the tolerated one.
    double cost(const HostView &host, const PlacementRequest &request) const override;
    const PairSlowdown &slowdowns() const { return m_slowdowns; }

private:
    struct Start
    {
        Instant at;
        ClassShare share;
    };
    struct Worker
    {
        int cores = 0;
        double allowance = 0; // What feedback grants.
        double room = 0; // What urgent work and the headroom leave, as booked cores.
        int inForce = 0; // The smaller of both, as last decided.
        bool hasChanged = false;
        Instant changedAt;
        int throttledSteps = 0;
        std::string service;
        std::vector<ClassShare> shares;
        std::vector<Start> starts; // Since the last measurement was taken, the earliest first.
        double unexplained = 0; // Smoothed slowdown beyond what the pairs explain.
    };

    double expectedOn(const Worker &worker) const;
    double judge(Worker &worker, const WorkerSample &sample);
    void hurt(Worker &worker, const WorkerSample &sample, double excess,
              InterferenceDecision &decision);
    void relax(Worker &worker, const WorkerSample &sample, InterferenceDecision &decision);
    void updateRoom(Worker &worker, const WorkerSample &sample) const;
    bool throttle(const Worker &worker, const WorkerSample &sample,
                  InterferenceDecision &decision) const;
    void restore(const Worker &worker, const WorkerSample &sample,
                 InterferenceDecision &decision) const;
    void evict(const Worker &worker, const WorkerSample &sample, InterferenceDecision &decision);

    InterferenceOptions m_options;
    PairSlowdown m_slowdowns;
    std::map<std::string, Worker, std::less<>> m_workers;
    double m_evictionBudget = 0;
};

} // namespace savorywick
