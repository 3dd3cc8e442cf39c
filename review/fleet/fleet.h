#pragma once

#include "minion.h"
#include "storegate.h"
#include "submissions.h"

#include "core/bootclock.h"
#include "net/asynchttpclient.h"
#include "net/eventloop.h"
#include "tests/soak/nodeprocess.h"
#include "tests/soak/platformstandin.h"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savorywick::review {

// How large a deployment is.
struct FleetSettings
{
    std::string program; // `savorywick` of the deploy file.
    std::string directory; // For settings and logs; `record.txt` is written to `recordPath`.
    std::string recordPath;
    int entries = 3;
    int minions = 6;
    int maxAttempts = 3;
};

// A small deployment: processes of `savorywick node` on loopback addresses, with stand-ins of the
// store, the minions and a client, on one event loop. Ends only the processes that it started.
//
// Example:
//   Fleet fleet(settings);
//   fleet.start();
//   fleet.loop().run();
class Fleet
{
public:
    static constexpr const char *service = "match-svc";
    static constexpr const char *host = "queue.example";
    static constexpr const char *prefix = "/q1/";

    explicit Fleet(FleetSettings settings);

    // Writes the manifest, and starts the entries and what keeps them running.
    void start();
    // Sends a request of a client to an entry, and notes it and the answer.
    void call(int entry, const std::string &method, const std::string &id, const std::string &body,
              const std::function<void(const HttpResult &)> &done);
    // Submits the specification, again and again until it is accepted.
    void submit(const steps::JobSpec &spec, const std::function<void()> &accepted);
    // Calls `then` once `condition` holds, or `otherwise` after the time.
    void await(const std::function<bool()> &condition, Millis patience,
               const std::function<void()> &then, const std::function<void()> &otherwise);

    EventLoop &loop() { return m_loop; }
    const BootClock &clock() const { return m_clock; }
    MinionWorld &world() { return m_world; }
    Submissions &submissions() { return m_submissions; }
    testing::PlatformStandIn &store() { return m_store; }
    std::vector<std::unique_ptr<Minion>> &minions() { return m_minions; }
    const std::vector<std::unique_ptr<Minion>> &minions() const { return m_minions; }
    StoreGate &gate(int entry) { return *m_gates[static_cast<std::size_t>(entry)]; }
    testing::NodeProcess &entry(int index) { return *m_entries[static_cast<std::size_t>(index)]; }
    // While it is false, entries that end are not started again.
    void setRestarts(bool restarts) { m_restarts = restarts; }

private:
    static std::string ipOf(int machine);
    static std::string entryIp(int entry);
    void writeManifest();
    std::string writeSettings(int entry) const;
    void keepRunning();

    const FleetSettings m_settings;
    BootClock m_clock;
    EventLoop m_loop;
    Submissions m_submissions;
    testing::PlatformStandIn m_store;
    MinionWorld m_world;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<std::unique_ptr<StoreGate>> m_gates; // By entry.
    std::vector<std::unique_ptr<testing::NodeProcess>> m_entries;
    AsyncHttpClient m_clients;
    bool m_restarts = true;
};

// Returns the body of the request that hands the submission in.
std::string encodeSubmission(const steps::JobSpec &spec);
// Returns the state in the answer to a GET, or an empty text.
std::string stateIn(const HttpResult &answer);

} // namespace savorywick::review
