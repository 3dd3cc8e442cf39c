#pragma once

#include "savorywick/clock.h"
#include "savorywick/placement.h"
#include "savorywick/slowdownmodel.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// Parameters of an InterferenceController. Slowdowns are defined as in SlowdownModel.
struct InterferenceOptions
{
    Millis measurementDelay{15'000}; // Time until measurements show a change made on a worker.
    double maxSlowdown = 0.18; // Above this slowdown of urgent work, batch work is reduced.
    // Below this slowdown, batch work may grow again. Above it, batch work is also reduced if the
    // p99 exceeds the service's target.
    double recoverySlowdown = 0.13;
    double idleFraction = 0.05; // Fraction of the cores that is kept idle.
    // Weight of a new measurement in the moving average of the slowdown that the model does not
    // explain.
    double residualWeight = 0.3;
    // A decrease sets the core limit to the cores that batch work uses times a factor. The factor
    // is 1 less `decreasePerSlowdown` per unit of slowdown above `maxSlowdown`, and at least this.
    double minDecreaseFactor = 0.6;
    double decreasePerSlowdown = 2.0;
    double increaseFraction = 0.125; // Increase of the core limit, as a fraction of the capacity.
    // Measurements with urgent work too slow, since it last recovered, before a task is evicted.
    int samplesBeforeEviction = 6;
    int minSpeedPercent = 25; // The lowest speed to which a task is throttled.
    double evictionsPerStart = 0.01; // Eviction budget earned by each start.
    double evictionBurst = 2.0; // Upper bound on the saved eviction budget.
};

// What one batch task on a worker was measured to do.
struct BatchTaskSample
{
    std::string id;
    std::string runClass;
    double cores = 0; // Cores that it uses at full speed.
    int allocatedCores = 0;
    int speedPercent = 100; // The throttled speed in force when it was measured.
    // Core seconds lost by an eviction: the work since the last checkpoint and the cost of a
    // checkpoint.
    double evictionCost = 0;
};

// A measurement of one worker. It arrives with a delay.
struct WorkerSample
{
    Instant measuredAt; // When the values were measured.
    std::string service; // The urgent service on the worker.
    double urgentCores = 0; // Cores that urgent work used.
    double urgentP99Ms = 0;
    double targetP99Ms = 0; // The p99 that the service document allows; 0 if it sets none.
    std::vector<BatchTaskSample> tasks;
};

// The new speed of one task.
struct TaskThrottle
{
    std::string task;
    int speedPercent = 100; // Of full speed.
};

// The changes to make on one worker.
struct InterferenceDecision
{
    int batchCoreLimit = 0; // Cores that may be allocated to batch work, 0 to the capacity.
    std::vector<TaskThrottle> throttles; // Only tasks whose speed changes.
    std::vector<std::string> evictions; // Tasks to checkpoint, stop and queue again.
};

// Limits the slowdown that batch work causes to urgent work, by feedback control over delayed
// measurements.
//
// Use one controller for the workers of a shard, and pass it to the placement as a cost. It
// compares each measurement with the baseline latency at the same load, learned from all workers.
// - If urgent work is too slow, tasks of the classes that slow it down most are throttled. If the
//   model explains less than half of the slowdown, the core limit for batch work shrinks too.
//   After `samplesBeforeEviction` such measurements, if nothing is left to throttle, one task is
//   evicted: the one that loses the least work for the slowdown it causes. Evictions are limited
//   by a budget that each start adds to.
// - If urgent work is fast enough, tasks regain their speed and the core limit grows.
// A measurement taken less than `measurementDelay` after the last change on its worker updates the
// model but changes nothing, so that control does not oscillate faster than the delay.
// Not thread-safe.
//
// Example:
//   InterferenceController controller({});
//   controller.setWorker("worker-7", 64);
//   const InterferenceDecision decision = controller.observe("worker-7", sample, now);
//   allocations.setCoreLimit("worker-7", decision.batchCoreLimit);
class InterferenceController final : public HostCost
{
public:
    explicit InterferenceController(const InterferenceOptions &options);

    // Adds a worker or changes its capacity; a negative capacity counts as 0.
    void setWorker(std::string_view worker, int cores);
    // Removes a worker. Unknown workers are ignored.
    void removeWorker(std::string_view worker);

    // Evaluates a measurement and returns the changes to make. Unknown workers and those without
    // cores get a core limit of 0.
    InterferenceDecision observe(std::string_view worker, const WorkerSample &sample, Instant now);
    // Records the start of a batch task. It earns eviction budget, and is included in predictions
    // for the worker until a measurement taken later shows what runs there.
    void recordStart(std::string_view worker, std::string_view runClass, int cores, Instant now);

    // Returns the cores that may be allocated to batch work: the limit set by feedback, but no more
    // than urgent work left in the last measurement acted on; 0 for unknown workers.
    int batchCoreLimit(std::string_view worker) const;
    // Returns the slowdown of urgent work that is predicted if `cores` of `runClass` are added to
    // the tasks last measured and started on the worker; 0 for unknown workers.
    double predictedSlowdown(std::string_view worker, std::string_view runClass, int cores) const;
    // Returns the slowdown that the task is predicted to add, or infinity if its class is harmful
    // and the worker is predicted to exceed `maxSlowdown` with it. Hosts that are not workers of
    // this controller cost 0.
    double cost(const HostView &host, const PlacementRequest &request) const override;
    // Returns the learned model.
    const SlowdownModel &model() const { return m_model; }

private:
    struct Start
    {
        Instant at;
        ClassShare share;
    };
    struct Worker
    {
        int cores = 0;
        double feedbackLimit = 0; // Cores that feedback control permits.
        // Cores left by urgent work and the idle fraction, converted to allocated cores.
        double availableCores = 0;
        int coreLimit = 0; // The smaller of both when last decided.
        bool hasChanged = false;
        Instant changedAt;
        int slowSamples = 0; // Measurements with urgent work too slow, since it last recovered.
        std::string service;
        std::vector<ClassShare> shares;
        std::vector<Start> starts; // Since the last measurement was taken, the earliest first.
        double residual = 0; // Moving average of the slowdown that the model does not explain.
    };

    double predictOn(const Worker &worker) const;
    double estimateSlowdown(Worker &worker, const WorkerSample &sample);
    void reduceBatch(Worker &worker, const WorkerSample &sample, double slowdown,
                     InterferenceDecision &decision);
    void growBatch(Worker &worker, const WorkerSample &sample, InterferenceDecision &decision);
    void updateAvailableCores(Worker &worker, const WorkerSample &sample) const;
    bool throttle(const Worker &worker, const WorkerSample &sample,
                  InterferenceDecision &decision) const;
    void raiseSpeeds(const Worker &worker, const WorkerSample &sample,
                     InterferenceDecision &decision) const;
    void evict(const Worker &worker, const WorkerSample &sample, InterferenceDecision &decision);

    InterferenceOptions m_options;
    SlowdownModel m_model;
    std::map<std::string, Worker, std::less<>> m_workers;
    double m_evictionBudget = 0;
};

} // namespace savorywick
