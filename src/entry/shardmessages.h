#pragma once

#include "entry/shardengine.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace savorywick {

// What request threads and pollers ask of a shard's owner. Each with a slot is answered through it.

struct OpenClaim
{
    KeyedRequest request;
    ReplySlotPtr<ClaimReply> slot;
};

enum class ClaimEnd {
    Finished, // The answer is known.
    Released, // The request surely did not run.
    Unknown, // It may have run.
};

struct CloseClaim
{
    IdempotencyKey key;
    ClaimEnd end = ClaimEnd::Unknown;
    StoredResponse answer;
};

struct SubmitRun
{
    JobSpec spec;
    ReplySlotPtr<SubmitReply> slot;
};

struct SubmitWatcher
{
    WatcherSpec spec;
    ReplySlotPtr<SubmitReply> slot;
};

struct CancelJob
{
    std::string id;
    ReplySlotPtr<JobReply> slot;
};

struct QueryJob
{
    std::string id;
    ReplySlotPtr<JobReply> slot;
};

struct AskReport
{
    ReplySlotPtr<ShardReport> slot;
};

struct AskLiveWork
{
    std::string service;
    ReplySlotPtr<LiveWorkReply> slot;
};

// One team's part of a shard.
struct TeamPolicy
{
    std::string team;
    TeamShare share;
};

// What the service documents say about batch work, for every shard alike.
struct BatchPolicy
{
    std::map<std::string, Millis> targets; // The p99 that each service allows.
    std::vector<TeamPolicy> teams;
};

struct WorkersChanged
{
    std::vector<HostInfo> workers; // The shard's slice.
    std::shared_ptr<const BatchPolicy> policy;
};

struct ReleaseShard
{
};

using ShardMessage = std::variant<OpenClaim, CloseClaim, SubmitRun, SubmitWatcher, CancelJob,
                                  QueryJob, AskReport, AskLiveWork, WorkersChanged, ReleaseShard>;

} // namespace savorywick
