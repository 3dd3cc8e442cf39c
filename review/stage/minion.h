#pragma once

#include "relay.h"

#include "../../tests/soak/platformstandin.h"
#include "core/bootclock.h"
#include "net/asynchttpserver.h"
#include "net/eventloop.h"

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

using savorywick::Instant;
using savorywick::Millis;

// What a minion does with a run that it starts.
struct RunPlan
{
    Millis work{500}; // Until it ends as `end`; without an end it goes on.
    std::string end = "done"; // Empty for a task that lasts.
    std::optional<Millis> crashAfter; // The run crashes the minion after this time.
};

// A run on a minion, for the record of a case.
struct RunEvent
{
    std::string minion; // Its id.
    std::string machine; // Its name, which stays through its lives.
    std::string task;
    int run = 0;
};

// Stands in for a minion as the users' PROTOCOL page describes it: fence, lease, runs, ends, gangs,
// and its entry in the store. The network path to it is a Relay that a case can cut.
//
// Use several on the loop of a case. Not thread-safe.
//
// Example:
//   Minion minion(loop, clock, store, {.name = "m1", .ip = "127.0.0.20"}, listener);
//   minion.path().setMode(Relay::Mode::Refuse);
class Minion
{
public:
    struct Settings
    {
        std::string name;
        std::string ip;
        std::string zone = "hobart";
        std::string rack = "r1";
        std::string kind = "a"; // The first label.
        int milliCores = 64'000;
        int memoryMb = 256'000;
        Millis maxLease{10'000};
        Millis stopTime{100};
        Millis gangTimeout{3'000};
    };
    struct Listener
    {
        std::function<RunPlan(const RunEvent &)> plan; // Called at each start.
        std::function<void(const RunEvent &)> started = [](const RunEvent &) {};
        std::function<void(const RunEvent &, const std::string &how)> ended =
            [](const RunEvent &, const std::string &) {};
        std::function<void(const RunEvent &)> crashing = [](const RunEvent &) {};
        // A hold has come that may wait for so long.
        std::function<void(const std::string &machine, Millis wait)> held = [](const std::string &,
                                                                               Millis) {};
        // Tells whether the tasks of this step (ID.K.STEP) work only together.
        std::function<bool(const std::string &step)> isGang = [](const std::string &) {
            return false;
        };
    };

    Minion(savorywick::EventLoop &loop, const savorywick::BootClock &clock,
           savorywick::testing::PlatformStandIn &store, Settings settings, Listener listener);

    const std::string &id() const { return m_id; }
    const Settings &settings() const { return m_settings; }
    Relay &path() { return *m_path; }
    bool isUp() const { return m_server != nullptr; }
    bool has(const std::string &task) const;

    // Returns how many members of the gang's run are here.
    int membersOf(const std::string &step, int run) const;
    // Lets the members of the gang's run work, as all of them are there.
    void beginWork(const std::string &step, int run);
    // Ends the members of the gang's run.
    void endMembers(const std::string &step, int run, const std::string &how);

    // Cuts the minion off, also from the store, or ends that. It runs on meanwhile.
    void setCutOff(bool cutOff, Relay::Mode mode = Relay::Mode::Refuse);
    // Ends this life with all its runs. `silent`: the host sends nothing from now on.
    void crash(bool silent);
    // Begins another life, under the same id or a new one, of this kind.
    void restart(bool sameId, const std::string &kind);

private:
    struct LiveRun
    {
        RunEvent event;
        RunPlan plan;
        Instant startedAt;
        std::optional<Instant> worksSince; // Of a gang, once all members are there.
        std::optional<Instant> stopsAt;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };
    struct WaitingHold
    {
        Instant until;
        savorywick::AsyncHttpServer::Responder respond;
    };

    void beginLife(bool sameId);
    void tick();
    void writeEntry();
    void handle(const savorywick::HttpRequest &request,
                const savorywick::AsyncHttpServer::Responder &respond);
    void start(const Json::Value &order, const savorywick::AsyncHttpServer::Responder &respond);
    void stop(const Json::Value &order, const savorywick::AsyncHttpServer::Responder &respond);
    void hold(const Json::Value &order, const savorywick::AsyncHttpServer::Responder &respond);
    void answer(const savorywick::AsyncHttpServer::Responder &respond, int status,
                const std::string &reason = {}) const;
    void endRun(std::list<LiveRun>::iterator it, const std::string &how);
    void advanceRuns();
    void answerHolds();
    Json::Value report() const;
    std::int64_t clockMs() const { return (m_clock.now() - m_bornAt).count(); }

    savorywick::EventLoop &m_loop;
    const savorywick::BootClock &m_clock;
    savorywick::testing::PlatformStandIn &m_store;
    Settings m_settings;
    Listener m_listener;
    const std::string m_address;
    std::unique_ptr<Relay> m_path;
    std::unique_ptr<savorywick::AsyncHttpServer> m_server; // Null while it is down.
    std::string m_id;
    int m_lives = 0;
    bool m_cutOff = false;
    Instant m_bornAt;
    std::int64_t m_bornWallMs = 0;
    Instant m_nextEntryAt;
    Instant m_lastEntryAt;
    bool m_listed = false;
    std::int64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0; // On the clock of this life.
    std::list<LiveRun> m_runs;
    std::vector<End> m_ends; // Those that are not seen yet.
    std::int64_t m_lastEnd = 0;
    std::map<std::string, int> m_highestEnded; // By task.
    std::vector<WaitingHold> m_holds;
};

} // namespace review
