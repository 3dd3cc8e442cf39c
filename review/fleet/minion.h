#pragma once

#include "submissions.h"

#include "core/bootclock.h"
#include "net/asynchttpserver.h"
#include "net/eventloop.h"
#include "tests/soak/platformstandin.h"

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace savorywick::review {

class Minion;

// The members of one run of a gang that are present, on any minion.
struct GangRun
{
    std::map<int, Minion *> members; // By index of the task.
    std::optional<Instant> completeAt; // When the last member came.
};

// What the minions of a deployment share: the gangs, and how they and the rest behave.
struct MinionWorld
{
    EventLoop &loop;
    const BootClock &clock;
    testing::PlatformStandIn &store;
    Submissions &submissions;
    std::map<std::pair<steps::StepRef, int>, GangRun> gangs = {};
    Millis maxHold{10'000};
    Millis stopTime{300};
    Millis gangTimeout{3'000};
    Millis startupTime{320}; // Until a task that lasts is at work.
    Millis crashDowntime{3'000};
    // Returns after which time an order is carried out that gets no answer; nothing for most.
    std::function<std::optional<Millis>()> lateOrder = [] { return std::optional<Millis>(); };
    // Returns how the run ends by itself and after which time at work; nothing if it does not.
    std::function<std::optional<OwnEnd>(const steps::TaskRef &, int run)> ownEnd;
    // Are told of each run that begins and of each that ends, also with its minion.
    std::function<void(const steps::TaskRef &, int run)> started = [](const auto &, int) {};
    std::function<void(const steps::TaskRef &, int run, const std::string &how)> ended =
        [](const auto &, int, const auto &) {};
    // Is told of each listed end that `lastSeen` has reached.
    std::function<void(const steps::TaskRef &, int run, const std::string &how)> noted =
        [](const auto &, int, const auto &) {};
};

// Stands in for a minion, as PROTOCOL.md describes it under "Running tasks": it keeps the highest
// fence, a lease on its own clock, its runs and the ends that were not taken note of. It guards its
// capacity. Tasks of a gang work once all members of their run are present.
//
// Example:
//   Minion minion(world, {"m1", "127.0.0.20:8080", "svc", {"a", "r1"}, {64'000, 250'000, 0}});
class Minion
{
public:
    struct Identity
    {
        std::string id;
        std::string address;
        std::string service;
        std::vector<std::string> labels;
        steps::ResourceVector capacity;
        std::string zone = "hobart";
    };

    Minion(MinionWorld &world, Identity identity);

    // Ends a run of this minion that is there.
    void endRun(const steps::TaskRef &task, int run, const char *how);
    // Ends the process with all that it runs. A next life begins at the address after `downtime`,
    // under the same id.
    void crash(Millis downtime);
    // Keeps the next start of a task of the submission back, unanswered, for the life that begins
    // `lives` crashes later, which carries it out first. `kept` is called when the start has come.
    void keepNextStart(std::string submission, int lives, std::function<void()> kept);
    // Leaves all calls unanswered and not carried out until it is called with false.
    void setCut(bool cut);
    // Fails all that it starts, soon after the start, until it is called with false.
    void setGrey(bool grey);
    // Ends all runs as failed.
    void failRuns();
    std::size_t runCount() const { return m_runs.size(); }
    // Returns how many runs of the submission's tasks it has.
    std::size_t runCountOf(const std::string &submission) const;
    // Returns what is left of its capacity.
    steps::ResourceVector room() const;

private:
    using Responder = AsyncHttpServer::Responder;
    struct LiveRun
    {
        steps::TaskRef task;
        int number = 0;
        Instant startedAt;
        std::optional<Instant> stopsAt;
    };
    struct End
    {
        std::int64_t number = 0;
        steps::TaskRef task;
        int run = 0;
        std::string how;
    };
    struct WaitingHold
    {
        Instant until;
        Responder respond;
    };

    void beginLife();
    void tick();
    void writeEntry();
    void receive(const HttpRequest &request, const Responder &respond);
    void handle(const HttpRequest &request, const Responder &respond);
    void start(const Json::Value &order, const Responder &respond);
    void stop(const Json::Value &order, const Responder &respond);
    void hold(const Json::Value &order, const Responder &respond);
    void answerClock(const Responder &respond, const char *reason = nullptr) const;
    void answerHolds();
    void advanceRuns();
    std::string howItEnds(const LiveRun &run) const;
    std::optional<Instant> worksSince(const LiveRun &run) const;
    bool hasRoomFor(const steps::TaskRef &task) const;
    bool isGang(const steps::TaskRef &task) const;
    void joinGang(const steps::TaskRef &task, int run);
    void breakGang(const steps::TaskRef &task, int run, const std::string &how);
    int percentOf(const LiveRun &run) const;
    Json::Value lists() const;
    std::int64_t clockMs() const { return (m_world.clock.now() - m_bornAt).count(); }

    MinionWorld &m_world;
    const Identity m_identity;
    Instant m_bornAt;
    std::int64_t m_bornWallMs = 0;
    std::int64_t m_sequence = 0;
    Instant m_nextEntryAt;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::vector<LiveRun> m_runs;
    std::deque<End> m_ends;
    std::int64_t m_lastEnd = 0;
    std::map<steps::TaskRef, int> m_highestEnded;
    std::vector<WaitingHold> m_holds;
    bool m_cut = false;
    std::string m_keptSubmission; // Whose next start is to be kept back; empty for none.
    std::function<void()> m_kept;
    int m_livesUntilKept = 0;
    std::optional<HttpRequest> m_keptStart;
    std::optional<Instant> m_greySince;
    std::vector<Responder> m_unanswered;
    std::unique_ptr<AsyncHttpServer> m_server; // Null while the process is down.
};

} // namespace savorywick::review
