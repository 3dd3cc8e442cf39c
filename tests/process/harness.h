#pragma once

#include "childprocess.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savorywick::testing {

// The number of processes in a cluster and their settings.
struct ClusterOptions
{
    int entries = 3;
    int upstreams = 2;
    int workers = 2;
    int serviceMs = 2; // The time that an upstream takes for a request.
    int slots = 8; // The number of requests that an upstream serves at once.
    std::string document; // The service document to apply; the default document if empty.
    std::function<void(Json::Value &)> editSettings; // Modifies each entry's settings, if set.
};

// A complete cluster for tests: platform, upstreams, workers and entries on loopback addresses,
// with short leases. The constructor applies the service document and returns when all entries
// serve it.
//
// The team is `counter` and the service is `quotes`. The default document has the request classes
// `quote` (repeatable) and `order` (not repeatable), the run classes `refresh` (300 ms) and
// `rebuild` (20 s), and the watcher class `stock`.
//
// Example:
//   Cluster cluster({.entries = 2});
//   const HttpResult a = cluster.request(0, "quote", "6204-2RS");
class Cluster
{
public:
    explicit Cluster(ClusterOptions options = {});
    ~Cluster();

    Process &platform() { return *m_platform; }
    Process &entry(int i) { return *m_entries.at(std::size_t(i)); }
    Process &upstream(int i) { return *m_upstreams.at(std::size_t(i)); }
    Process &worker(int i) { return *m_workers.at(std::size_t(i)); }

    // Starts entry `i`. If it already exists, kills it and restarts it under the same id.
    void startEntry(int i);
    // Pauses or kills a worker after recording its executions for overlappingRuns().
    void pauseWorker(int i);
    void killWorker(int i);

    // Sends a request to entry `i` with the team's credentials and returns the outcome.
    HttpResult call(int i, const std::string &method, const std::string &path,
                    const std::string &body = "", HttpHeaders headers = {});
    // Sends an urgent request with the idempotency key `key`, or without one if it is empty.
    HttpResult request(int i, const std::string &className, const std::string &body,
                       const std::string &key = "", Millis deadline = Millis{5'000});
    // Submits a run or a watcher and returns its id; `kind` is "runs" or "watchers".
    // Throws std::runtime_error if it is refused.
    std::string submit(int i, const std::string &kind, const std::string &className,
                       const std::string &body, const std::string &key);
    // Returns the JSON that entry `i` has at /v1/KIND/ID.
    Json::Value fetchStatus(int i, const std::string &kind, const std::string &id);
    // Waits until a run or a watcher has ended and returns its state, or the last state seen when
    // `timeout` expires.
    std::string waitForFinalState(int i, const std::string &kind, const std::string &id,
                                  Millis timeout);

    // Sets faults of a stand-in, such as R"({"down":true})".
    // Throws std::runtime_error if the stand-in refuses them.
    void setFaults(const Process &standin, const std::string &faults);
    // Returns the stand-in's /stats.
    Json::Value stats(const Process &standin);
    // Returns how many times all upstreams together have executed a request with this body.
    int executionCount(const std::string &body);

    // Returns the pairs of executions of one task that overlapped in time on any workers. The
    // result is empty if and only if no task was executed twice at once.
    std::vector<std::string> overlappingRuns();

private:
    void startUpstream(int i);
    void startWorker(int i);
    void applyServiceDocument();
    void recordIntervals(const Process &worker);

    const ClusterOptions m_options;
    TemporaryDirectory m_directory;
    std::unique_ptr<Process> m_platform;
    std::vector<std::unique_ptr<Process>> m_upstreams;
    std::vector<std::unique_ptr<Process>> m_workers;
    std::vector<std::unique_ptr<Process>> m_entries;
    std::vector<Json::Value> m_recordedIntervals;
};

} // namespace savorywick::testing
