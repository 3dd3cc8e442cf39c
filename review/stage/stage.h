#pragma once

#include "minion.h"

#include "../../tests/soak/platformstandin.h"
#include "core/bootclock.h"
#include "net/asynchttpclient.h"
#include "net/eventloop.h"

#include <json/value.h>

#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

// How a case ends: the exit codes that run.sh passes on.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

// One process of `savorywick node`, started with the command of the deploy file. The destructor
// ends it.
class NodeProcess
{
public:
    NodeProcess(std::string name, std::string settingsPath, std::string logPath);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    void signal(int number) const;
    // Returns whether the process runs. Reaps it if it has ended.
    bool isRunning();
    const std::string &name() const { return m_name; }
    // Returns how the process ended by itself, if it did.
    const std::string &endedHow() const { return m_endedHow; }

private:
    std::string m_name;
    std::string m_settingsPath;
    std::string m_logPath;
    std::string m_endedHow;
    pid_t m_pid = 0;
};

// A small deployment of real processes on loopback addresses, with stand-ins of the platform's
// store, of minions and of clients in this process. What happens goes to the record.
//
// Use one for each run of a case, from the root of the repository. Not thread-safe.
//
// Example:
//   Stage stage("review/6/record.txt", {.nodes = 3, .minions = 6}, listener);
//   stage.start([&] { stage.submit(id, body, [](int status) {}); });
//   return stage.run(Millis{60'000});
class Stage
{
public:
    struct Settings
    {
        int nodes = 3;
        int minions = 6;
        Json::Value bounds = {}; // Replaces some of the bounds.
    };
    using StatusCallback = std::function<void(int status, const std::string &body)>;

    Stage(const std::string &recordPath, const Settings &settings,
          const Minion::Listener &listener);
    ~Stage();

    // Starts the nodes and calls `ready` once one of them answers a readiness check and serves.
    void start(const std::function<void()> &ready);
    // Runs the loop until finish() is called. A case that takes longer counts as not run.
    Verdict run(Millis limit);
    void finish(Verdict verdict, const std::string &why);

    // Sends a client's request to a node: POST, GET or DELETE of PREFIX + ID. Status 0: no answer.
    void call(const char *method, const std::string &id, const std::string &body,
              StatusCallback done);
    // Hands the submission in until it is accepted, as clients do.
    void submit(const std::string &id, const std::string &body,
                const std::function<void()> &accepted);
    // Asks for the state each `interval` until `seen` returns false.
    void watch(const std::string &id, Millis interval,
               const std::function<bool(const std::string &state)> &seen);

    void record(const std::string &line);
    void after(Millis delay, std::function<void()> action);
    Millis elapsed() const { return m_clock.now() - m_startedAt; }

    savorywick::EventLoop &loop() { return m_loop; }
    const savorywick::BootClock &clock() const { return m_clock; }
    savorywick::testing::PlatformStandIn &store() { return *m_store; }
    std::vector<std::unique_ptr<Minion>> &minions() { return m_minions; }
    std::vector<std::unique_ptr<NodeProcess>> &nodes() { return m_nodes; }
    // Returns the minion with this name.
    Minion &minion(const std::string &machine);

private:
    std::string ipOf(int host) const;
    void writeManifest();
    std::string writeSettings(int node, const Json::Value &bounds) const;
    void awaitReady(const std::function<void()> &ready);

    savorywick::BootClock m_clock;
    savorywick::EventLoop m_loop;
    Instant m_startedAt;
    std::ofstream m_record;
    std::string m_directory; // Temporary; removed at the end.
    std::unique_ptr<savorywick::testing::PlatformStandIn> m_store;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    std::unique_ptr<savorywick::AsyncHttpClient> m_http;
    std::size_t m_nextNode = 0;
    std::optional<Verdict> m_verdict;
};

// Returns whether the disruption is to happen: false with TROUBLE=0 in the environment.
bool hasTrouble();

} // namespace review
