#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/job.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// The control law of BestEffortLimit. Headroom is that of the long-running run on the worker that
// has the least.
struct BestEffortLimitSettings
{
    bool enabled = false;
    // Below this headroom the limit falls below the load by the first share; beside a miss by at
    // least the second, and by more the further the target is missed.
    double decreaseBelowHeadroom = 1.2;
    double decreaseFactor = 0.9;
    double missFactor = 0.75;
    double minMissFactor = 0.35;
    // The limit rises only with this headroom. The interference and the load of long-running tasks
    // change by half within seconds, so what is left at the moment may soon be needed.
    double increaseAboveHeadroom = 1.3;
    double increaseStep = 0.08; // Share of the limit that is added with just that headroom.
    int minIncreaseMilliCores = 600;
    double maxStepScale = 4; // Of the step, with more headroom.
    // For this time after a miss the limit rises beyond the share of the load that caused it only
    // by a fourth of the usual step. The load of long-running tasks varies over seconds, so what
    // was too much may be bearable soon after.
    Millis missMemory{10'000};
    double cautiousAboveMiss = 0.85;
    // The limit does not fall below this, so that it can recover within seconds.
    int minLimitMilliCores = 2'000;
    // Without measurements the limit holds for the first time and then doubles with each second
    // one.
    Millis holdTime{5'000};
    Millis doublingTime{10'000};
    // The share of a worker's room for best-effort work that is used before the first measurement
    // beside runs that are expected to have hardly any headroom; all of it with `ampleHeadroom`.
    double minInitialShare = 0.3;
    double ampleHeadroom = 2;
    // A task that was stopped for its interference avoids equal sets of images for this time.
    Millis stopMemory{6'000};
};

// Limits, for each worker, the processors that best-effort runs may use beside long-running runs
// with a latency target, by what was measured there. The limit increases slowly while it is used
// and there is headroom, and falls fast, in proportion to the load, when headroom is short. It
// belongs to the worker and the set of images of its long-running runs, and is reset when the set
// changes. Memory grows with the workers and the tasks that were stopped lately. Not thread-safe.
//
// Example:
//   limit.observe({"worker-7", images, used, steady, room, lowestHeadroom}, now);
//   if (limit.limitFor({"worker-7", images, room, expectedHeadroom}, now) >= used + demand)
//       start();
class BestEffortLimit
{
public:
    struct Measurement
    {
        std::string_view worker;
        std::string_view images; // The set of images of its long-running runs.
        int usedMilliCores = 0; // By the best-effort runs that run now.
        // By those of them that have run unchanged for the time that the headroom was measured
        // over.
        int steadyMilliCores = 0;
        int roomMilliCores = 0; // That best-effort runs might use without a limit.
        double lowestHeadroom = 0;
    };
    // A worker as placement knows it.
    struct Prospect
    {
        std::string_view worker;
        std::string_view images;
        int roomMilliCores = 0;
        double expectedHeadroom = 0; // The lowest, beside the best-effort runs on the worker.
    };

    explicit BestEffortLimit(const BestEffortLimitSettings &settings)
        : m_settings(settings)
    { }

    bool isEnabled() const { return m_settings.enabled; }

    // Learns from a report of the worker.
    void observe(const Measurement &measurement, Instant now);
    // Returns how many thousandths of a processor best-effort runs may use on the worker; at most
    // its room.
    int limitFor(const Prospect &prospect, Instant now) const;
    // Notes that the limit kept a run from starting, so it is used up. Returns true if and only if
    // that is the first time since the latest measurement of the worker.
    bool notePrevented(std::string_view worker);

    // Notes that a run of the task was stopped for its interference with this set of images.
    void noteStop(const TaskRef &task, std::string_view images, Instant now);
    // Returns the sets of images that tasks of the step should avoid.
    std::vector<std::string> avoidedImages(const StepRef &step, Instant now) const;

    // Discards what is known of the worker.
    void removeWorker(std::string_view worker);
    // Returns how many workers have a limit below their room as of their latest measurement.
    std::size_t limitedWorkerCount() const;

private:
    struct WorkerState
    {
        std::string images;
        std::optional<double> limit; // Nothing while all of the room may be used.
        int lastUsed = 0;
        Instant measuredAt;
        double missedLoad = 0; // That caused the latest miss.
        std::optional<Instant> missedAt;
        bool prevented = false; // The limit kept a run from starting since `measuredAt`.
    };
    struct Stop
    {
        std::string images;
        Instant until;
    };

    double initialLimit(int roomMilliCores, double headroom) const;
    void decrease(WorkerState &state, double load, double headroom, Instant now) const;
    void increase(WorkerState &state, const Measurement &measurement, Instant now) const;

    BestEffortLimitSettings m_settings;
    std::map<std::string, WorkerState, std::less<>> m_workers;
    std::map<TaskRef, Stop> m_stops;
};

} // namespace savorywick::steps
