#pragma once

#include "core/httpclient.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savorywick {

// How a call to a worker ended.
enum class WorkerOutcome {
    Done, // The worker did what was asked.
    Refused, // The worker refused; see `reason`. It did nothing.
    NotSent, // The worker has surely not seen the call.
    Unknown, // The worker may or may not have acted.
};

struct WorkerTask
{
    std::string task;
    int attempt = 0;
    std::string state; // "running", "finished" or "failed".
    std::string result;
    Millis progress{0};
    int cores = 0; // Used, not declared; lags behind.
    int memoryMb = 0;
};

struct WorkerUsage
{
    int cores = 0;
    int memoryMb = 0;
    int accelerators = 0;
    Millis urgentP99{0};
};

struct LeaseGrant
{
    WorkerOutcome outcome = WorkerOutcome::NotSent;
    std::string reason;
    std::string incarnation; // Changes when the worker restarts and when its lease lapses.
    std::vector<WorkerTask> tasks;
    WorkerUsage usage;
};

struct StartOrder
{
    std::string task;
    int attempt = 0;
    std::string incarnation;
    int cores = 0;
    int memoryMb = 0;
    int accelerators = 0;
    Millis duration{0};
    std::string checkpoint;
    std::string payload;
};

struct WorkerReply
{
    WorkerOutcome outcome = WorkerOutcome::NotSent;
    std::string reason;
    std::string checkpoint; // Of a checkpoint call that was done.
};

// Who is calling: a worker refuses a lower epoch of the same shard than it has seen.
struct WorkerCaller
{
    std::string address;
    int shard = 0;
    std::uint64_t epoch = 0;
};

// Calls workers. Implement it for the wire that they speak. Thread-safe; calls block.
class WorkerClient
{
public:
    virtual ~WorkerClient() = default;

    // Renews the lease if the worker's incarnation is still `incarnation`, or if that is empty.
    virtual LeaseGrant lease(const WorkerCaller &caller, const std::string &incarnation,
                             Millis term) = 0;
    virtual WorkerReply start(const WorkerCaller &caller, const StartOrder &order) = 0;
    virtual WorkerReply stop(const WorkerCaller &caller, const std::string &task, int attempt) = 0;
    virtual WorkerReply checkpoint(const WorkerCaller &caller, const std::string &task,
                                   int attempt) = 0;
    virtual WorkerReply throttle(const WorkerCaller &caller, const std::string &task, int attempt,
                                 int percent) = 0;
};

// Speaks the wire of docs/PROTOCOLS.md.
class HttpWorkerClient final : public WorkerClient
{
public:
    // The client must outlive this object.
    HttpWorkerClient(HttpClient &client, Millis timeout)
        : m_client(client)
        , m_timeout(timeout)
    { }

    LeaseGrant lease(const WorkerCaller &caller, const std::string &incarnation,
                     Millis term) override;
    WorkerReply start(const WorkerCaller &caller, const StartOrder &order) override;
    WorkerReply stop(const WorkerCaller &caller, const std::string &task, int attempt) override;
    WorkerReply checkpoint(const WorkerCaller &caller, const std::string &task,
                           int attempt) override;
    WorkerReply throttle(const WorkerCaller &caller, const std::string &task, int attempt,
                         int percent) override;

private:
    HttpClient &m_client;
    Millis m_timeout;
};

} // namespace savorywick
