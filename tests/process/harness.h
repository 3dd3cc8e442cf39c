#pragma once

#include "core/http.h"
#include "core/httpclient.h"
#include "savorywick/clock.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace savorywick::testing {

// Polls `condition` every few milliseconds and returns whether it became true within `timeout`.
bool eventually(Millis timeout, const std::function<bool()> &condition);

// Blocks for `span`, for example to let a lease expire. To wait for a state, use eventually().
void sleepFor(Millis span);

// Returns `text` parsed as JSON, or null if it is malformed.
Json::Value parseJson(const std::string &text);

// Sends one request on a new connection and returns its outcome.
HttpResult call(const HttpCall &call);

// Sends raw bytes on a new connection and returns all bytes that are received until the peer closes
// it or `timeout` expires.
std::string exchangeBytes(const std::string &address, const std::string &bytes, Millis timeout);

// A directory that the destructor removes together with its files.
//
// Example:
//   const TemporaryDirectory directory;
//   const std::string path = directory.write("settings.json", "{}");
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    // Returns the path of `name` inside the directory.
    std::string filePath(const std::string &name) const;
    // Writes `text` to the file `name` in the directory and returns the file's path.
    std::string write(const std::string &name, const std::string &text) const;

private:
    std::string m_path;
};

// A child process, an entry or a stand-in, that is killed when the object is destroyed. Its output
// goes to a temporary file.
//
// Create it on a thread that outlives it: the kernel kills the process when that thread ends, so
// that an aborted test leaves no process behind.
//
// Example:
//   Process platform({STANDIN_PROGRAM, "platform"});
//   call({.address = platform.address(), .path = "/membership"});
class Process
{
public:
    // Starts `command` and waits for its line with the event `listening`.
    // Throws std::runtime_error with the output if the line doesn't appear in time.
    explicit Process(std::vector<std::string> command);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    // Returns the address under `key` in the line with the event `listening`.
    std::string address(const std::string &key = "address") const;
    // Returns whether the process hasn't exited yet.
    bool isRunning();
    pid_t pid() const { return m_pid; }
    // Returns all that the process has written to its standard output and standard error so far.
    std::string output() const;

    // Sends SIGTERM and returns the exit status, or -1 if the process didn't exit within `timeout`
    // or was killed by a signal.
    int stop(Millis timeout = Millis{60'000});
    // Sends SIGTERM without waiting for the exit.
    void terminate();
    // Sends SIGKILL and waits for the exit.
    void kill();
    // Sends SIGSTOP.
    void pause();
    // Sends SIGCONT.
    void resume();

private:
    int wait(Millis timeout);

    TemporaryDirectory m_directory;
    pid_t m_pid = 0;
    int m_status = -1;
    Json::Value m_listeningEvent;
};

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
