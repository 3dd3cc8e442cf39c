#pragma once

#include "node/jobdealer.h"
#include "node/shardrequest.h"
#include "savorywick/steps/coordinator.h"

namespace savorywick {

// The meaning of a ShardRequest for the coordinator of the shard. ShardRunner uses them in turn.

// Returns true if and only if the request would change the shard's state: it brings a new job, or
// cancels one that has not ended.
bool changesState(const steps::Coordinator &coordinator, const ShardRequest &request);
// Passes the request to the coordinator of the shard, or leaves a new job to another shard if
// `dealer` says so. Returns the reply to send once it awaits no commit.
ShardReply applyRequest(steps::Coordinator &coordinator, int shard, JobDealer &dealer,
                        const ShardRequest &request, steps::ClockReading now);
// Returns true if and only if the reply to a request that changed nothing rests on a record of an
// earlier request that is not durable.
bool awaitsCommit(const steps::Coordinator &coordinator, const ShardRequest &request,
                  const ShardReply &reply);

} // namespace savorywick
