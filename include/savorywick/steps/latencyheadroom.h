#pragma once

#include "savorywick/clock.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace savorywick::steps {

// The best-effort work of one image on a worker.
struct BestEffortLoad
{
    std::string image;
    double cores = 0; // Processors in use.
};

// Estimates the latency headroom of long-running tasks and how much of it best-effort work beside
// them costs, so that best-effort tasks can be placed and throttled before a target is missed.
//
// Headroom is the latency target divided by the tail latency: the target is met if and only if it
// is at least 1. As in a queue, the tail latency is modelled as proportional to 1 / (1 - load), so
// that equal loads reduce the headroom by equal amounts and the costs of several best-effort tasks
// add up. The headroom without best-effort work is tracked per job, with its slope, since all tasks
// of a job serve the same users. The cost per processor is learned per pair of images by normalised
// least mean squares; a pair that is known to cost much receives a larger share of each error.
// Memory grows with the jobs and the pairs of images seen. Not thread-safe.
//
// Example:
//   estimator.observe({"job-1", "quotes:3", 1.8}, bestEffortLoads, now);
//   if (estimator.expectedHeadroom("job-1", now) - estimator.headroomCost("quotes:3", load) > 1)
//       start();
class LatencyHeadroomEstimator
{
public:
    // One measurement of a long-running task.
    struct Observation
    {
        std::string_view job;
        std::string_view image;
        double headroom = 0;
    };

    LatencyHeadroomEstimator();

    // Learns from a measurement of a long-running task beside `bestEffort`, which must name each
    // image once and must not have changed within the time that the tail latency was measured over.
    void observe(const Observation &observation, std::span<const BestEffortLoad> bestEffort,
                 Instant now);

    // Returns by how much best-effort work reduces the headroom of tasks of the long-running image
    // `longRunning`. Unknown pairs of images have a small default cost.
    double headroomCost(std::string_view longRunning, const BestEffortLoad &bestEffort) const;
    double headroomCost(std::string_view longRunning,
                        std::span<const BestEffortLoad> bestEffort) const;

    // Returns the headroom that tasks of the job have now without best-effort work, or the lowest
    // headroom of a typical job if the job is unknown.
    double currentHeadroom(std::string_view job, Instant now) const;
    // Returns the headroom that tasks of the job are expected to keep in the next seconds without
    // best-effort work: the mean of the current and the lowest observed one, or the current one if
    // that is lower. Returns the lowest headroom of a typical job if the job is unknown.
    double expectedHeadroom(std::string_view job, Instant now) const;

    // Discards what is known of the job's headroom. The costs learned from it are kept.
    void forgetJob(std::string_view job);

private:
    // The headroom of a job's tasks without best-effort work, over time.
    struct HeadroomTrend
    {
        double level = 0;
        double slope = 0; // Change of the level per second.
        double lowest = 0; // Rises slowly towards the level, so that old minima lose weight.
        Instant at;

        double levelAt(Instant now) const;
    };
    using CostsByImage = std::map<std::string, double, std::less<>>; // By best-effort image.

    double costPerCore(std::string_view longRunning, std::string_view bestEffort) const;
    HeadroomTrend &findOrAddTrend(const Observation &observation, double headroomAlone,
                                  Instant now);
    void updateTrend(HeadroomTrend &trend, double headroomAlone, double cost, Instant now);
    void updateCosts(const Observation &observation, double error,
                     std::span<const BestEffortLoad> bestEffort);

    std::map<std::string, HeadroomTrend, std::less<>> m_jobs;
    // Headroom lost per best-effort processor, by long-running image.
    std::map<std::string, CostsByImage, std::less<>> m_costPerCore;
    double m_typicalLowest; // Moving average of the jobs' lowest headroom.
};

} // namespace savorywick::steps
