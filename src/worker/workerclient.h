#pragma once

#include "core/httpclient.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savorywick {

// The outcome of a call to a worker.
enum class WorkerCallOutcome {
    Done, // The worker performed the operation.
    Refused, // The worker refused the operation and did nothing; `reason` says why.
    NotSent, // The worker cannot have received the call.
    Unknown, // The worker may or may not have performed the operation.
};

// The state of one task, as the worker reports it when its lease is renewed.
struct WorkerTaskStatus
{
    std::string taskId; // The task's id.
    int attempt = 0; // The number of the attempt that the worker runs.
    std::string state; // "running", "finished" or "failed".
    std::string result; // What a finished task returned.
    Millis progress{0}; // The part of the task's expected duration that is done.
    int cores = 0; // Measured use, which may differ from the demand and lags behind.
    int memoryMb = 0; // Measured use, as for `cores`.
};

// The resources in use on a worker, over all of its tasks.
struct WorkerUsage
{
    int cores = 0;
    int memoryMb = 0;
    int accelerators = 0;
    Millis urgentLatencyP99{
        0}; // The 99th percentile of the latency of urgent requests on the same host.
};

// The reply to a lease call. Only `outcome` is set if the call got no valid response.
struct WorkerLeaseReply
{
    WorkerCallOutcome outcome = WorkerCallOutcome::NotSent;
    std::string reason; // The reason of a refusal, such as "stale-epoch".
    std::string incarnation; // Changes when the worker restarts and when its lease expires.
    std::vector<WorkerTaskStatus> tasks;
    WorkerUsage usage;
};

// The parameters of an attempt to run a task on a worker.
struct StartTaskRequest
{
    std::string taskId; // The task's id.
    int attempt = 0;
    std::string incarnation; // The incarnation of the worker that the task was placed on.
    int cores = 0;
    int memoryMb = 0;
    int accelerators = 0;
    Millis expectedDuration{0}; // The expected duration.
    std::string checkpoint; // The reference to resume from, or empty.
    std::string payload;
};

// The reply to a start, stop, checkpoint or throttle call.
struct WorkerReply
{
    WorkerCallOutcome outcome = WorkerCallOutcome::NotSent;
    std::string reason; // The reason of a refusal, such as "no-room".
    std::string checkpoint; // The reference of the new checkpoint.
};

// The worker to call and the shard on whose behalf it is called.
//
// The epoch is a fencing token: a worker refuses calls for a shard with a lower epoch than the
// highest that it has seen for that shard.
struct WorkerCallContext
{
    std::string address; // The worker's IP address and port.
    int shard = 0;
    std::uint64_t epoch = 0;
};

// Leases workers and controls the tasks that run on them.
//
// Implement it for the protocol that the workers speak. Implementations are thread-safe, block the
// calling thread, and report a worker that is down or slow by the outcome, not by throwing.
//
// Example:
//   const WorkerCallContext context{"10.0.0.9:7000", shard, epoch};
//   const WorkerLeaseReply lease = client.renewLease(context, incarnation, Millis{5'000});
//   if (lease.outcome == WorkerCallOutcome::Done)
//       client.stop(context, taskId, attempt);
class WorkerClient
{
public:
    virtual ~WorkerClient() = default;

    // Renews the lease for `term` if `incarnation` is empty or names the worker's incarnation.
    // Otherwise the lease is not renewed, and the reply carries the worker's actual incarnation.
    // Returns the worker's tasks and usage in both cases.
    virtual WorkerLeaseReply renewLease(const WorkerCallContext &context,
                                        const std::string &incarnation, Millis term) = 0;
    // Starts an attempt to run a task.
    virtual WorkerReply start(const WorkerCallContext &context,
                              const StartTaskRequest &request) = 0;
    // Stops an attempt.
    virtual WorkerReply stop(const WorkerCallContext &context, const std::string &taskId,
                             int attempt) = 0;
    // Saves a checkpoint of a running attempt and returns the reference to resume from.
    virtual WorkerReply checkpoint(const WorkerCallContext &context, const std::string &taskId,
                                   int attempt) = 0;
    // Limits a running attempt to `percent` of its full speed.
    virtual WorkerReply throttle(const WorkerCallContext &context, const std::string &taskId,
                                 int attempt, int percent) = 0;
};

// Calls workers over HTTP, by the protocol of docs/PROTOCOLS.md.
class HttpWorkerClient final : public WorkerClient
{
public:
    // `timeout` is the limit of each call. The client must outlive this object.
    HttpWorkerClient(HttpClient &client, Millis timeout)
        : m_client(client)
        , m_timeout(timeout)
    { }

    WorkerLeaseReply renewLease(const WorkerCallContext &context, const std::string &incarnation,
                                Millis term) override;
    WorkerReply start(const WorkerCallContext &context, const StartTaskRequest &request) override;
    WorkerReply stop(const WorkerCallContext &context, const std::string &taskId,
                     int attempt) override;
    WorkerReply checkpoint(const WorkerCallContext &context, const std::string &taskId,
                           int attempt) override;
    WorkerReply throttle(const WorkerCallContext &context, const std::string &taskId, int attempt,
                         int percent) override;

private:
    HttpClient &m_client;
    Millis m_timeout;
};

} // namespace savorywick
