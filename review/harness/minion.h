#pragma once

#include "../../tests/soak/platformstandin.h"
#include "record.h"
#include "savorywick/steps/workercommands.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorywick::review {

// What a minion is and how its tasks behave.
struct MinionSettings
{
    std::string name; // The first part of its ids.
    std::string address;
    std::string service;
    std::string kind = "a";
    std::string rack = "r1";
    std::string zone = "a";
    int milliCores = 64'000;
    int memoryMb = 250'000;
    Millis maxLease{10'000}; // 'holdMaxMs'
    Millis stopTime{200}; // Within 'stopMs'.
    // Returns how long a task works; tasks for which it returns nothing last until they are
    // stopped.
    std::function<std::optional<Millis>(const steps::TaskRef &)> workOf;
};

// What the minions of a case have seen of one run.
struct RunSeen
{
    std::string minion; // The id of its life.
    std::string kind; // Of that life.
    int number = 0;
    Instant startedAt;
    std::optional<Instant> endedAt; // Also set when the minion crashed under it.
    std::string how; // Empty while it runs; "crash" if its minion crashed.
    bool notedDone = false; // Its end as done was acknowledged, and no lease lapsed between.
};

// All runs of a case, in the order of their starts.
using RunsSeen = std::map<steps::TaskRef, std::vector<RunSeen>>;

// Stands in for a minion as the platform's page "Running tasks" describes it: one fence, one lease
// for all that runs, the ends that are not acknowledged (returned 500 at a time), and the entry in
// the store. The cases ask for no more than it has, so it never lacks room. Not thread-safe.
//
// Example:
//   Minion minion(loop, clock, store, record, runs, settings);
//   minion.crash(Millis{1'000}); // It comes back under a new id.
class Minion
{
public:
    Minion(EventLoop &loop, const BootClock &clock, testing::PlatformStandIn &store, Record &record,
           RunsSeen &runs, MinionSettings settings);

    // Ends the process as SIGKILL does. A new life, under a new id, begins after the time.
    void crash(Millis downtime);
    // Cuts the minion off from all callers: channels are reset and new ones refused for this time,
    // while it runs on and still reaches the store.
    void cutOff(Millis duration);
    // Lets all work take `factor` times as long as usual from now on.
    void setSlowness(double factor);
    // Ends the process for good.
    void vanish();
    // Crashes, but the new life has the id that the minion had, and is of this kind.
    void crashAndReturnAs(const std::string &kind, Millis downtime);
    const std::string &kind() const { return m_settings.kind; }
    const std::string &id() const { return m_id; }
    bool isUp() const { return m_isUp; }
    std::size_t runCount() const { return m_live.size(); }
    std::size_t unacknowledgedEnds() const { return m_ends.size(); }

private:
    struct Live
    {
        steps::TaskRef task;
        int number = 0;
        std::optional<Millis> work;
        Instant startedAt;
        std::optional<Instant> stopsAt;
        std::size_t seenIndex = 0;
        double workedMs = 0;
    };
    struct End
    {
        std::int64_t number = 0;
        steps::TaskRef task;
        int run = 0;
        std::string how;
        std::size_t seenIndex = 0;
    };
    struct WaitingHold
    {
        Instant until;
        AsyncHttpServer::Responder respond;
    };

    void beginLife(bool underNewId);
    void listen();
    void die();
    void tick();
    void writeEntry();
    void handle(const HttpRequest &request, const AsyncHttpServer::Responder &respond);
    void start(const Json::Value &order, const AsyncHttpServer::Responder &respond);
    void stop(const Json::Value &order, const AsyncHttpServer::Responder &respond);
    void hold(const Json::Value &order, const AsyncHttpServer::Responder &respond);
    void answer(const AsyncHttpServer::Responder &respond, int status, const char *reason) const;
    void extendLease(const Json::Value &order);
    void acknowledge(std::int64_t lastSeen);
    void addRun(const steps::TaskRef &task, int number);
    void endRun(const Live &run, const std::string &how);
    void advance();
    void answerHolds();
    std::string report() const;
    std::int64_t clockMs() const { return (m_clock.now() - m_bornAt).count(); }

    EventLoop &m_loop;
    const BootClock &m_clock;
    testing::PlatformStandIn &m_store;
    Record &m_record;
    RunsSeen &m_runs;
    MinionSettings m_settings;
    std::unique_ptr<AsyncHttpServer> m_server; // Null while nobody can reach the minion.
    bool m_isUp = false; // The process runs.
    std::string m_id;
    int m_lives = 0;
    Instant m_bornAt;
    std::int64_t m_bornWallMs = 0;
    Instant m_nextEntryAt;
    std::int64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::list<Live> m_live;
    std::vector<End> m_ends; // Not acknowledged, in the order of their numbers.
    std::int64_t m_lastEnd = 0;
    std::int64_t m_lapsedEnd = 0; // The last end when the lease lapsed.
    std::map<steps::TaskRef, int> m_highestEnded;
    std::vector<WaitingHold> m_holds;
    double m_slowness = 1;
    Instant m_advancedAt;
};

} // namespace savorywick::review
