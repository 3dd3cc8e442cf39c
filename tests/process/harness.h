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

// Returns whether `holds` became true within `limit`; asks again every few milliseconds.
bool eventually(Millis limit, const std::function<bool()> &holds);

// Lets time pass, such as a lease's term. To wait for a state, use eventually().
void passTime(Millis span);

// Returns the JSON in `text`, or null if it is none.
Json::Value parseJson(const std::string &text);

// Sends one call on a connection of its own and returns how it ended.
HttpResult call(const HttpCall &call);

// Sends raw bytes and returns all that comes back until the peer closes or `limit` is over.
std::string exchangeBytes(const std::string &address, const std::string &bytes, Millis limit);

// A directory that goes with the object.
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    // Returns the path of `name` inside the directory.
    std::string file(const std::string &name) const;
    // Writes a file there and returns its path.
    std::string write(const std::string &name, const std::string &text) const;

private:
    std::string m_path;
};

// A process of ours, from its start until the object goes. Its output is kept in a file.
//
// Create it on a thread that outlives it: the process is killed together with that thread, so that
// none is ever left behind.
//
// Example:
//   Process platform({STANDIN_PROGRAM, "platform"});
//   call({.address = platform.address(), .path = "/membership"});
class Process
{
public:
    // Starts `command` and waits for its line with the event `listening`.
    // Throws std::runtime_error with the output if the line doesn't come.
    explicit Process(std::vector<std::string> command);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    // Returns an address of the listening line.
    std::string address(const std::string &key = "address") const;
    bool isRunning();
    pid_t pid() const { return m_pid; }
    std::string output() const;

    // Asks the process to end and returns its exit status, or -1 if it didn't end within `limit`
    // or was killed by a signal.
    int stop(Millis limit = Millis{60'000});
    // Asks the process to end without waiting for it.
    void terminate();
    void kill();
    void pause();
    void resume();

private:
    int wait(Millis limit);

    TemporaryDirectory m_directory;
    pid_t m_pid = 0;
    int m_status = -1;
    Json::Value m_listening;
};

// How many processes a cluster has, and what their settings say.
struct ClusterShape
{
    int entries = 3;
    int upstreams = 2;
    int workers = 2;
    int serviceMs = 2;
    int slots = 8;
    std::string document; // The service document that is put in force; a small one if empty.
    std::function<void(Json::Value &)> editSettings; // Changes every entry's settings, if set.
};

// The platform, upstreams, workers and entries on loopback addresses, with short leases.
//
// The team is `counter`, the service `quotes`; its classes are `quote` (repeatable) and `order`
// (not repeatable) of requests, `refresh` (300 ms) and `rebuild` (20 s) of runs, `stock` of
// watchers.
//
// Example:
//   Cluster cluster({.entries = 2});
//   const HttpAnswer a = cluster.request(0, "quote", "6204-2RS");
class Cluster
{
public:
    explicit Cluster(ClusterShape shape = {});
    ~Cluster();

    Process &platform() { return *m_platform; }
    Process &entry(int i) { return *m_entries.at(std::size_t(i)); }
    Process &upstream(int i) { return *m_upstreams.at(std::size_t(i)); }
    Process &worker(int i) { return *m_workers.at(std::size_t(i)); }

    // Starts entry `i`, or starts it again under the same id.
    void startEntry(int i);
    // Pauses or kills a worker; its tasks so far still count in doubledTasks().
    void pauseWorker(int i);
    void killWorker(int i);

    // Calls entry `i` as the team.
    HttpResult call(int i, const std::string &method, const std::string &path,
                    const std::string &body = "", HttpHeaders headers = {});
    // Sends an urgent request; `key` is its idempotency key.
    HttpResult request(int i, const std::string &className, const std::string &body,
                       const std::string &key = "", Millis deadline = Millis{5'000});
    // Asks for a run or a watcher and returns its id. Throws std::runtime_error if it is refused.
    std::string submit(int i, const std::string &kind, const std::string &className,
                       const std::string &body, const std::string &key);
    // Returns what entry `i` says of /v1/KIND/ID.
    Json::Value look(int i, const std::string &kind, const std::string &id);
    // Returns the state of a run or a watcher once it has ended, or the last one seen.
    std::string endState(int i, const std::string &kind, const std::string &id, Millis limit);

    // Switches faults of a stand-in, such as R"({"down":true})".
    void fault(const Process &standin, const std::string &faults);
    Json::Value stats(const Process &standin);
    // Returns how often all upstreams together ran a request with this body.
    int runsOf(const std::string &body);

    // Returns every pair of overlapping runs of one task, on whatever workers; empty if all is
    // well.
    std::vector<std::string> doubledTasks();

private:
    void startUpstream(int i);
    void startWorker(int i);
    void putDocumentInForce();
    void keepIntervals(const Process &worker);

    const ClusterShape m_shape;
    TemporaryDirectory m_directory;
    std::unique_ptr<Process> m_platform;
    std::vector<std::unique_ptr<Process>> m_upstreams;
    std::vector<std::unique_ptr<Process>> m_workers;
    std::vector<std::unique_ptr<Process>> m_entries;
    std::vector<Json::Value> m_pastIntervals;
};

} // namespace savorywick::testing
