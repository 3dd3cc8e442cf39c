#pragma once

#include "node/shardrequest.h"
#include "savorywick/clock.h"
#include "savorywick/steps/workercommands.h"

#include <cstddef>
#include <cstdint>

namespace savorywick {

// The work that one owned shard caused since it was last asked for, and its present backlog.
//
// Use it to tell why an owner is slow: long rounds and a late event loop point to its processor,
// long commits with a prompt loop to the store.
struct ShardLoad
{
    std::uint64_t submissions = 0; // Requests by kind, whatever the reply.
    std::uint64_t cancels = 0;
    std::uint64_t reads = 0;
    std::uint64_t takenJobs = 0; // Jobs that other shards handed over, with repetitions.
    std::uint64_t storeRefusals = 0; // Requests refused because the store can't persist changes.
    std::uint64_t lateRefusals = 0; // Those of them that would not have been durable in time.
    std::uint64_t overloadRefusals = 0; // New jobs refused because the owner was too far behind.
    std::uint64_t capacityRefusals = 0; // New jobs refused because of the backlog.
    std::uint64_t rounds = 0; // Passes over the shard's decisions.
    Millis maxRoundTime;
    std::uint64_t passes = 0; // Rounds that included the coordinator's own pass, such as placement.
    std::uint64_t commits = 0; // Commits whose outcome is known.
    std::uint64_t failedCommits = 0; // Those of them that were not applied.
    Millis maxCommitTime;
    std::uint64_t committedRecords = 0;
    std::uint64_t renewals = 0; // Orders to workers by kind.
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t throttles = 0;

    std::size_t pendingReplies = 0; // Requests whose change is not durable yet.
    std::size_t activeRuns = 0;
    std::size_t unconfirmedRuns = 0; // Those of them that no worker has confirmed.
    int pendingJobs = 0; // As callers are told, over all queues.
    std::size_t readySteps = 0; // Steps with tasks that wait for a worker.
    std::size_t workers = 0;
    Millis loopLag;
    Millis expectedCommitTime; // What the next commit is expected to take.

    void countRequest(const ShardRequest &request);
    void countRound(Millis time);
    void countCommit(Millis time, bool applied);
    void countOrder(const steps::WorkerCommand &order);
};

// Writes the line "shard-load" about one interval of the shard. `processorTime` is that of the
// whole process in the interval, `maxLag` the highest lag of its event loop.
void logShardLoad(int shard, const ShardLoad &load, Millis processorTime, Millis maxLag);

} // namespace savorywick
