#include "node/shardload.h"

#include "core/log.h"

#include <algorithm>
#include <variant>

namespace savorywick {

namespace {

struct OrderCounter
{
    ShardLoad &load;

    void operator()(const steps::RenewLeaseCommand &) const { ++load.renewals; }
    void operator()(const steps::StartRunCommand &) const { ++load.starts; }
    void operator()(const steps::StopRunCommand &) const { ++load.stops; }
    void operator()(const steps::ThrottleRunCommand &) const { ++load.throttles; }
};

struct RequestCounter
{
    ShardLoad &load;

    void operator()(const SubmitJob &) const { ++load.submissions; }
    void operator()(const CancelJob &) const { ++load.cancels; }
    void operator()(const GetJobState &) const { ++load.reads; }
    void operator()(const CountPendingJobs &) const { ++load.reads; }
    void operator()(const TakeJob &) const { ++load.takenJobs; }
};

} // namespace

void ShardLoad::countRequest(const ShardRequest &request)
{
    std::visit(RequestCounter{*this}, request);
}

void ShardLoad::countRound(Millis time)
{
    ++rounds;
    maxRoundTime = std::max(maxRoundTime, time);
}

void ShardLoad::countCommit(Millis time, bool applied)
{
    ++commits;
    failedCommits += applied ? 0 : 1;
    maxCommitTime = std::max(maxCommitTime, time);
}

void ShardLoad::countOrder(const steps::WorkerCommand &order)
{
    std::visit(OrderCounter{*this}, order);
}

void logShardLoad(int shard, const ShardLoad &load, Millis processorTime, Millis maxLag)
{
    logInfo("shard-load",
            {{"shard", shard},
             {"cpuMs", processorTime.count()},
             {"lagMs", load.loopLag.count()},
             {"lagMaxMs", maxLag.count()},
             {"takenJobs", load.takenJobs},
             {"rounds", load.rounds},
             {"passes", load.passes},
             {"roundMaxMs", load.maxRoundTime.count()},
             {"submissions", load.submissions},
             {"cancels", load.cancels},
             {"reads", load.reads},
             {"storeRefusals", load.storeRefusals},
             {"lateRefusals", load.lateRefusals},
             {"overloadRefusals", load.overloadRefusals},
             {"capacityRefusals", load.capacityRefusals},
             {"commits", load.commits},
             {"failedCommits", load.failedCommits},
             {"commitMaxMs", load.maxCommitTime.count()},
             {"commitExpectedMs", load.expectedCommitTime.count()},
             {"records", load.committedRecords},
             {"renewals", load.renewals},
             {"starts", load.starts},
             {"stops", load.stops},
             {"throttles", load.throttles},
             {"pendingReplies", std::uint64_t{load.pendingReplies}},
             {"activeRuns", std::uint64_t{load.activeRuns}},
             {"unconfirmedRuns", std::uint64_t{load.unconfirmedRuns}},
             {"pendingJobs", load.pendingJobs},
             {"readySteps", std::uint64_t{load.readySteps}},
             {"workers", std::uint64_t{load.workers}}});
}

} // namespace savorywick
