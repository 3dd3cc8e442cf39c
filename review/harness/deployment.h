#pragma once

#include "../../tests/soak/platformstandin.h"
#include "minion.h"
#include "net/asynchttpclient.h"
#include "record.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace savorywick::review {

// One process of the deploy file's role, started with its command: the words of 'run', with the
// settings file in SAVORYWICK_NODE_FILE. The destructor kills it, and the kernel does so if the
// case ends before. Not thread-safe.
class EntryProcess
{
public:
    EntryProcess(std::string program, std::string settingsPath, std::string logPath);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    void start();
    void signal(int number) const;
    // Returns true if the process has ended since start() without a signal of signal() that ends
    // it. Reaps it.
    bool hasEnded();
    // Returns the status that waitpid() told of the end. Call it only if hasEnded() is true.
    int endStatus() const { return m_endStatus; }

private:
    std::string m_program;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid = 0; // 0 while it does not run.
    int m_endStatus = 0;
};

// Passes one entry's calls to the store on, so that the store can turn that entry away. Each
// channel lasts as long as the entry keeps it.
class StoreGate
{
public:
    enum class Mode {
        Open,
        Busy, // It answers 503 and does nothing.
        Silent, // It neither does nor answers anything; the calls end with silence.
    };

    StoreGate(EventLoop &loop, const std::string &address, std::string store);

    void setMode(Mode mode);
    // If set, called with each call before it is passed on; may change the mode.
    void onCall(std::function<void(const HttpRequest &)> listener)
    {
        m_listener = std::move(listener);
    }

private:
    void handle(const HttpRequest &request, const AsyncHttpServer::Responder &respond);

    const std::string m_store;
    Mode m_mode = Mode::Open;
    std::function<void(const HttpRequest &)> m_listener;
    std::vector<AsyncHttpServer::Responder> m_unanswered;
    AsyncHttpClient m_http;
    AsyncHttpServer m_server;
};

// How large a deployment is.
struct DeploymentSettings
{
    std::string program; // The first word of 'run' in deploy/system.toml.
    std::string directory; // For settings and logs of the entries.
    int entries = 3;
    bool gated = false; // Each entry reaches the store through a StoreGate of its own.
};

// A small deployment on loopback addresses: the store, the entries, the manifest. The manifest has
// one route, of the queue `queue` and the service `service`.
//
// Example:
//   Deployment deployment(settings, record);
//   deployment.startEntries();
//   deployment.addMinion({.name = "m1", ...});
class Deployment
{
public:
    static constexpr const char *service = "work";
    static constexpr const char *host = "review.example";
    static constexpr const char *prefix = "/jobs/";

    Deployment(DeploymentSettings settings, const BootClock &clock, Record &record);

    void startEntries();
    void addMinion(MinionSettings settings);
    // Runs the callback each `interval` until it returns false.
    void every(Millis interval, const std::function<bool()> &step);

    EventLoop &loop() { return m_loop; }
    const BootClock &clock() const { return m_clock; }
    Record &record() { return m_record; }
    RunsSeen &runs() { return m_runs; }
    const RunsSeen &runs() const { return m_runs; }
    testing::PlatformStandIn &store() { return *m_store; }
    std::vector<std::unique_ptr<Minion>> &minions() { return m_minions; }
    std::vector<std::unique_ptr<EntryProcess>> &entries() { return m_entries; }
    StoreGate &gate(std::size_t entry) { return *m_gates[entry]; }
    std::string frontendOf(std::size_t entry) const;
    // Returns an address of the loopback network that other cases on this machine don't use.
    std::string ipOf(int host) const;
    std::string logOf(std::size_t entry) const;

private:
    void writeManifest();
    std::string writeSettings(int entry);

    DeploymentSettings m_settings;
    const BootClock &m_clock;
    Record &m_record;
    EventLoop m_loop;
    RunsSeen m_runs;
    std::unique_ptr<testing::PlatformStandIn> m_store;
    std::vector<std::unique_ptr<StoreGate>> m_gates;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<std::unique_ptr<EntryProcess>> m_entries;
};

// How a call of a caller ended: the status, or 0 without an answer.
using StatusCallback = std::function<void(int status, const std::string &body)>;

// Stands in for the clients: sends requests to the entries in turn and repeats a submission with
// the same ID after no answer, 429, 502, 503 and 504.
class Callers
{
public:
    explicit Callers(Deployment &deployment);

    // Submits until a 2xx response. `done` runs once, with the last status.
    void submit(const std::string &id, const std::string &body, int attempts,
                const StatusCallback &done);
    void cancel(const std::string &id, int attempts, const StatusCallback &done);
    void ask(const std::string &id, const StatusCallback &done);

private:
    void send(const char *method, const std::string &id, const std::string &body,
              const StatusCallback &done);

    Deployment &m_deployment;
    AsyncHttpClient m_http;
    std::size_t m_next = 0;
};

// Returns the state that the body of an answer to GET tells; empty if it tells none.
std::string stateOf(const std::string &body);
// Returns true unless the variable TROUBLE is 0.
bool troubleWanted();

// The main function of a case that is called with the program, a folder for settings and logs and
// the path of the record. `run` carries the case out and returns the exit code: 1 if a rule was
// broken, 0 if it held, 2 if the case couldn't run.
using RunCase = std::function<int(DeploymentSettings, const BootClock &, Record &)>;
int caseMain(int argc, char **argv, const RunCase &run);

} // namespace savorywick::review
