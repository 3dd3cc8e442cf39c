#pragma once

#include "entry/callerrequest.h"
#include "entry/documentservice.h"
#include "entry/forwarder.h"
#include "entry/shardsupervisor.h"
#include "entry/workerpoller.h"

#include <optional>
#include <string>

namespace savorywick {

struct RunServiceSettings
{
    int shardCount = 16; // Number of shards of the cluster.
    Millis replyTimeout{5'000}; // How long a request waits for a durable answer.
};

// Handles the requests that submit, show and cancel runs and watchers.
//
// The owner of the shard handles the request; other entries forward it to that owner. A run
// involves two shards: the one that its idempotency key hashes to stores which id the key is bound
// to, and the id names the shard that executes the run, chosen among those with a large enough
// worker.
//
// Thread-safe. Calls block until the answer is durable or `replyTimeout` has passed.
//
// Example:
//   const HttpResponse response = runs.submitRun(request);
class RunService
{
public:
    // All references must outlive this object.
    RunService(RunServiceSettings settings, DocumentService &documents, ShardSupervisor &supervisor,
               const Topology &topology, Forwarder &forwarder, const WorkerPoller &workers);

    // Submit a run or watcher of the class `request.name`. Return 202 with its id and state, or a
    // problem. A repeated submission with the same key and body returns the same id. The service
    // must have a document.
    HttpResponse submitRun(const CallerRequest &request);
    HttpResponse submitWatcher(const CallerRequest &request);
    // Show or cancel the run or watcher whose id is `request.name`. Return 200 with its state, or a
    // problem. `watcher` tells which of the two the id must stand for.
    HttpResponse show(const CallerRequest &request, bool watcher);
    HttpResponse cancel(const CallerRequest &request, bool watcher);

private:
    // Sends `spec` as a Message, SubmitRun or SubmitWatcher, to the owner of `shard`.
    template<typename Message, typename Spec>
    HttpResponse submitToShard(const CallerRequest &request, Spec spec, int shard);
    // Sends the id of the request as a Message, QueryJob or CancelJob, to the owner of its shard.
    template<typename Message>
    HttpResponse sendToJob(const CallerRequest &request, bool watcher);
    std::optional<HttpResponse> bindKey(const CallerRequest &request, JobSpec &spec, int keyShard);
    HttpResponse forwardToOwner(const CallerRequest &request, int shard);
    HttpResponse awaitResponse(const ReplyChannelPtr<SubmitReply> &channel) const;
    HttpResponse awaitResponse(const ReplyChannelPtr<JobReply> &channel, bool watcher) const;

    const RunServiceSettings m_settings;
    DocumentService &m_documents;
    ShardSupervisor &m_shardSupervisor;
    const Topology &m_topology;
    Forwarder &m_forwarder;
    const WorkerPoller &m_workerPoller;
};

} // namespace savorywick
