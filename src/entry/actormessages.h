#pragma once

// Messages between the actors of an entry. This is the only header that registers types with CAF.

#include "entry/shardmessages.h"

#include <caf/all.hpp>

namespace savorywick {

// Timer message that an actor sends to itself.
struct Tick
{
};

// Stops a shard's actor at once, without releasing the shard.
struct StopShard
{
};

// Requests to a shard's StoreActor.

struct CommitRequest
{
    Transaction transaction;
};

struct ReadRowRequest
{
    std::string key;
};

struct PutObjectRequest
{
    SnapshotObject object;
};

struct RemoveObjectRequest
{
    std::string name;
};

// Reads the snapshot and the journal records of a shard.
struct LoadShardRequest
{
    OwnedShard owned;
};

// Responses of the StoreActor.

struct CommitResponse
{
    CommitResult result;
};

struct ReadRowResponse
{
    Row row;
};

struct PutObjectResponse
{
    bool stored = false;
};

// `snapshot` is empty if there is none; `records` are those written after it, in order.
struct LoadShardResponse
{
    std::string snapshot;
    std::vector<std::string> records;
};

// Requests a call to a worker from a WorkerActor, which sends the response to `replyTo`.
struct WorkerCallRequest
{
    WorkerCall call;
    int shard = 0;
    std::uint64_t epoch = 0;
    caf::actor replyTo;
};

struct RenewLeaseResponse
{
    std::string worker;
    bool granted = false;
    LeaseReply report;
};

struct StartTaskResponse
{
    std::string job;
    int attempt = 0;
    StartReply reply;
};

struct StopTaskResponse
{
    StopTask request;
    bool stopped = false;
};

// `checkpoint` is empty if the worker did not return one.
struct CheckpointTaskResponse
{
    std::string job;
    int attempt = 0;
    std::optional<std::string> checkpoint;
};

} // namespace savorywick

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::Tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::StopShard)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::CommitRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::ReadRowRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::PutObjectRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::RemoveObjectRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::LoadShardRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::CommitResponse)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::ReadRowResponse)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::PutObjectResponse)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::LoadShardResponse)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::WorkerCallRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::RenewLeaseResponse)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::StartTaskResponse)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::StopTaskResponse)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::CheckpointTaskResponse)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::ShardMessage)
