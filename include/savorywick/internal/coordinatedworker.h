#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/job.h"
#include "savorywick/steps/latencyheadroom.h"
#include "savorywick/steps/workercommands.h"
#include "savorywick/steps/workersession.h"

#include <optional>
#include <string>
#include <vector>

namespace savorywick::steps {

// A latency-critical run on a worker, as placement sees it.
struct CriticalRun
{
    std::string job;
    std::string image;
};

// What the runs on a worker mean for placement, as long as neither they nor the worker's
// capacity change.
struct RunSummary
{
    ResourceVector available;
    int idleMilliCores = 0;
    std::vector<CriticalRun> criticalRuns;
    std::string criticalImages; // The set of their images.
    std::vector<BestEffortLoad> plannedLoads;
    int runCount = 0;
    Instant latestStartAt; // Of any run.
    bool hasProbation = false; // Some run is on probation.
};

// A worker, as its Coordinator knows it.
struct CoordinatedWorker
{
    WorkerInfo info;
    WorkerSession session;
    std::optional<Instant> unlistedSince;
    bool everListed = false;
    Instant lastObservedAt; // When its measurements were last given to the estimator.
    std::optional<Instant> targetMissedSince; // Start of the present miss, if there is one.
    Instant lastTargetMissAt; // The latest report of a missed latency target.
    bool hasThrottledRuns = false;
    bool hasLowHeadroom = false; // Some latency-critical run is below monitorBelowHeadroom.
    int startsInFlight = 0; // Start orders without a reply.
    int failedStarts = 0; // Starts in a row that it refused or left unanswered.
    Instant lastFailedStartAt;
    Instant blockedUntil; // It gets no starts until then.
    Instant avoidedUntil; // Until then it gets starts only if no other worker can take them.
    // When its host first closed or refused a connection since the worker last answered.
    std::optional<Instant> closedAt;
    // What runs need that the worker has and this owner does not know, until they are stopped.
    ResourceVector allocatedToStrays;
    bool lifeIsOver = false; // Another life of it, or another worker, has its address.
    bool dueTimesStale = false; // It is in `m_staleWorkers`.
    RunSummary runSummary;
    bool runSummaryStale = true; // It must be computed anew before use.
};

} // namespace savorywick::steps
