#pragma once

#include "savorywick/steps/workercommands.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
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
    int failures = 0; // Ends as Failed, acknowledged or not.
    int crashes = 0; // Of workers that had a run of it.
    int startsAfterThreeCrashes = 0;
};

// What a worker does with start orders.
enum class StartBehaviour {
    Accepts,
    Rejects, // It answers that it is not healthy.
    HasNoRoom, // It answers that it has no room, whatever it runs.
    Ignores, // It neither starts the run nor answers.
    StartsSilently, // It starts the run and does not answer.
};

// A renewal that a worker holds until a run ends.
struct HeldRenewal
{
    RenewLeaseCommand order;
    std::uint64_t epoch = 0; // Of the owner that sent it.
    Instant until;
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
        StepSpec spec;
        Instant startedAt;
        Millis work;
        Millis remainingWork;
        RunOutcome outcome = RunOutcome::Done;
        int speedPercent = 100;
        bool standsStill = false; // It makes no progress.
        std::optional<Instant> stopsAt;

        // Returns the progress that the worker reports, in percent.
        int progressPercent(Instant now) const
        {
            constexpr Millis startupTime{400}; // Until a long-running task is at work.
            if (spec.longRunning)
                return !standsStill && now - startedAt >= startupTime ? 100 : 0;
            const std::int64_t done = (work - remainingWork).count();
            return static_cast<int>(done * 99 / std::max<std::int64_t>(1, work.count()));
        }
    };

    WorkerInfo info;
    std::optional<WorkerInfo> entry; // What the platform lists.
    Instant entryChangesAt; // When `entry` is next set to what is true.
    bool entryStays = false; // The entry is kept although the worker is down.
    bool up = true;
    bool closesConnections = false; // While it is down, rather than leaving calls unanswered.
    bool partitioned = false; // It goes on working, but no call reaches it.
    int lostCallsPercent = 0; // The share of the calls that get no answer.
    StartBehaviour startBehaviour = StartBehaviour::Accepts;
    Instant leavesAt; // When a draining worker exits.
    ResourceVector earlierCapacity; // Before the capacity last changed.
    Instant capacityChangedAt;
    Instant startedAt;
    Fence fence = 0;
    std::int64_t leaseExpiryMs = 0; // On the worker's clock.
    std::vector<SimulatedRun> runs;
    std::vector<HeldRenewal> heldRenewals;
    std::vector<RunEndReport> unacknowledgedEnds;
    std::int64_t lastEndNumber = 0;
    // The last end when a lease lapsed. The owner may have ended the runs up to it by itself.
    std::int64_t lapsedEndNumber = 0;
    std::map<TaskRef, int> highestEndedRun; // The highest run number that has ended here.

    // Returns the worker's clock, which runs slow and starts anew in each life.
    std::int64_t clockMs(Instant now) const
    {
        constexpr int clockSpeedPercent = 98;
        return (now - startedAt).count() * clockSpeedPercent / 100;
    }

    // Extends the lease, by the longest term at the most.
    void extendLease(std::int64_t untilMs, Millis maxLeaseTerm, Instant now)
    {
        const std::int64_t longest = clockMs(now) + maxLeaseTerm.count();
        leaseExpiryMs = std::max(leaseExpiryMs, std::min(untilMs, longest));
    }

    // Returns what the runs have booked.
    ResourceVector booked() const
    {
        ResourceVector sum;
        for (const SimulatedRun &it : runs) {
            ResourceVector demand = it.spec.demand;
            if (it.spec.bestEffort)
                demand.milliCores = 0;
            sum += demand;
        }
        return sum;
    }
};

} // namespace savorywick::steps::testing
