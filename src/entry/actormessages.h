#pragma once

// What the entry's actors send each other; the only header that tells CAF about our types.

#include "entry/shardmessages.h"

#include <caf/all.hpp>

namespace savorywick {

struct Tick
{
};

struct DropShard
{
};

// To the store's actor.
struct CommitOrder
{
    Transaction transaction;
};

struct ReadRowOrder
{
    std::string key;
};

struct PutOrder
{
    SnapshotObject object;
};

struct RemoveOrder
{
    std::string name;
};

struct LoadOrder
{
    OwnedShard owned;
};

// From the store's actor.
struct CommitEnded
{
    CommitResult result;
};

struct RowRead
{
    Row row;
};

struct ObjectPut
{
    bool stored = false;
};

struct ShardLoaded
{
    std::string snapshot;
    std::vector<std::string> records;
};

// To a worker caller, and back.
struct EffectOrder
{
    WorkerCall effect;
    int shard = 0;
    std::uint64_t epoch = 0;
    caf::actor replyTo;
};

struct LeaseAnswer
{
    std::string worker;
    bool granted = false;
    LeaseReply report;
};

struct StartAnswer
{
    std::string job;
    int attempt = 0;
    StartReply reply;
};

struct StopAnswer
{
    StopTask call;
    bool stopped = false;
};

struct CheckpointAnswer
{
    std::string job;
    int attempt = 0;
    std::optional<std::string> checkpoint;
};

} // namespace savorywick

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::Tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::DropShard)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::CommitOrder)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::ReadRowOrder)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::PutOrder)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::RemoveOrder)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::LoadOrder)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::CommitEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::RowRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::ObjectPut)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::ShardLoaded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::EffectOrder)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::LeaseAnswer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::StartAnswer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::StopAnswer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::CheckpointAnswer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorywick::ShardMessage)
