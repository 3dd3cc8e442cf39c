#pragma once

#include "entry/shardengine.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace savorywick {

// Messages to the actor of a shard. A message with a channel is answered through it. The answer is
// NotOwner if this entry may not act as the shard's owner.

// Claims an idempotency key.
struct OpenClaim
{
    KeyedRequest request;
    ReplyChannelPtr<ClaimReply> channel;
};

enum class ClaimOutcome {
    Finished, // The request has run and its answer is known.
    Released, // The request has not run, so the key can be claimed again.
    Unknown, // The request may have run.
};

// Reports how the request that claimed `key` ended. `answer` is used for Finished only.
struct CloseClaim
{
    IdempotencyKey key;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    StoredResponse answer;
};

// Submits a run.
struct SubmitRun
{
    JobSpec spec;
    ReplyChannelPtr<SubmitReply> channel;
};

// Submits a watcher.
struct SubmitWatcher
{
    WatcherSpec spec;
    ReplyChannelPtr<SubmitReply> channel;
};

// Cancels the run or watcher `id` and answers with its state.
struct CancelJob
{
    std::string id;
    ReplyChannelPtr<JobReply> channel;
};

// Asks for the state of the run or watcher `id`.
struct QueryJob
{
    std::string id;
    ReplyChannelPtr<JobReply> channel;
};

// Asks for the shard's part of the operators' report. It is not answered without ownership.
struct QueryReport
{
    ReplyChannelPtr<ShardReport> channel;
};

// Asks for the unfinished runs and watchers of a service.
struct QueryLiveWork
{
    std::string service;
    ReplyChannelPtr<LiveWorkReply> channel;
};

// The weight and the quota of one team in one shard.
struct TeamPolicy
{
    std::string team;
    TeamShare share;
};

// Batch settings from the service documents, the same for every shard.
struct BatchPolicy
{
    // The p99 latency target of each upstream service.
    std::map<std::string, Millis> latencyTargets;
    std::vector<TeamPolicy> teams;
};

// Replaces the workers and the batch settings of a shard. A null `policy` leaves the settings.
struct WorkersChanged
{
    std::vector<HostInfo> workers; // The workers assigned to the shard.
    std::shared_ptr<const BatchPolicy> policy;
};

// Gives up ownership of the shard once everything that it has accepted is durable.
struct ReleaseShard
{
};

using ShardMessage =
    std::variant<OpenClaim, CloseClaim, SubmitRun, SubmitWatcher, CancelJob, QueryJob, QueryReport,
                 QueryLiveWork, WorkersChanged, ReleaseShard>;

} // namespace savorywick
