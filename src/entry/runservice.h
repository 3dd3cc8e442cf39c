#pragma once

#include "entry/callerrequest.h"
#include "entry/documentservice.h"
#include "entry/forwarder.h"
#include "entry/shardhost.h"
#include "entry/workerpoll.h"

#include <optional>
#include <string>

namespace savorywick {

struct RunServiceSettings
{
    int shards = 16;
    Millis replyLimit{5'000}; // A caller waits so long for a durable answer.
};

// Accepts, shows and cancels long runs and watchers, here or through the owner of their shard.
//
// The shard that a run's key hashes to keeps which id the key stands for; the id names the shard
// that runs it, chosen among those that have a worker large enough.
//
// Thread-safe; calls block until the answer is durable or the limit is over.
class RunService
{
public:
    // All references must outlive this object.
    RunService(RunServiceSettings settings, DocumentService &documents, ShardHost &shards,
               const Topology &topology, Forwarder &forwarder, const WorkerPoll &workers);

    HttpResponse submitRun(const CallerRequest &request);
    HttpResponse submitWatcher(const CallerRequest &request);
    HttpResponse show(const CallerRequest &request, bool watcher);
    HttpResponse cancel(const CallerRequest &request, bool watcher);

private:
    HttpResponse submitTo(const CallerRequest &request, JobSpec spec, int shard);
    std::optional<HttpResponse> bindKey(const CallerRequest &request, JobSpec &spec, int home);
    HttpResponse forward(const CallerRequest &request, int shard);
    HttpResponse await(const ReplySlotPtr<SubmitReply> &slot) const;
    HttpResponse await(const ReplySlotPtr<JobReply> &slot, bool watcher) const;

    const RunServiceSettings m_settings;
    DocumentService &m_documents;
    ShardHost &m_shards;
    const Topology &m_topology;
    Forwarder &m_forwarder;
    const WorkerPoll &m_workers;
};

} // namespace savorywick
