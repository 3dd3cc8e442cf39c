#pragma once

#include "savorywick/steps/workercommands.h"

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

// What a simulation of a shard knows of its workers, apart from the owner's state.
namespace savorywick::steps::testing {

// Throws an exception with the message if the condition does not hold.
inline void require(bool condition, const std::string &message)
{
    if (!condition)
        throw std::runtime_error(message);
}

// What really happened to a task, as its workers saw it.
struct TaskGroundTruth
{
    int liveRuns = 0; // Runs on workers that are up.
    bool doneAcknowledged = false; // The owner has acknowledged an end as Done.
    int failuresAcknowledged = 0; // Ends as Failed that the owner has acknowledged.
};

// A worker that follows the worker protocol: it keeps a lease, a fence, the runs that it executes,
// and the ends that the owner has not acknowledged yet.
class SimulatedWorker
{
public:
    struct SimulatedRun
    {
        TaskRef task;
        int run = 0;
        Instant endsAt;
        RunOutcome outcome = RunOutcome::Done;
        ResourceVector demand;
        bool longRunning = false;
    };

    WorkerInfo info;
    bool up = true;
    bool partitioned = false; // It goes on working, but no call reaches it.
    Instant startedAt;
    Fence fence = 0;
    std::int64_t leaseExpiryMs = 0; // On the worker's clock.
    std::vector<SimulatedRun> runs;
    std::vector<RunEndReport> unacknowledgedEnds;
    std::int64_t lastEndNumber = 0;
    // The last end when a lease lapsed. The owner may have ended the runs up to it by itself.
    std::int64_t lapsedEndNumber = 0;
    std::map<TaskRef, int> highestEndedRun; // The highest run number that has ended here.

    // Returns the worker's clock, which runs slow.
    std::int64_t clockMs(Instant now) const
    {
        constexpr int clockSpeedPercent = 98;
        constexpr std::int64_t clockAtStartMs = 1'000;
        return (now - startedAt).count() * clockSpeedPercent / 100 + clockAtStartMs;
    }
};

} // namespace savorywick::steps::testing
