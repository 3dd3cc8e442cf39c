#pragma once

#include "platformstandin.h"
#include "runledger.h"
#include "savorywick/steps/workercommands.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace savorywick::testing {

// Stands in for a worker, as the platform's protocol describes it: it keeps a fence, a lease, its
// runs and the ends that were not acknowledged, registers in the store, and starts whatever it is
// told to. It checks from its side that no start exceeds its capacity, and reports all it sees to
// the ledger.
//
// Its process can crash and come back, under a new id or the one that it had, and then carry out a
// call that was meant for its former life; it can fall silent, and then carry out late what it was
// told meanwhile; it can be cut off from the entries; its capacity can shrink and grow. Use several
// in a soak, on the loop of the soak. Not thread-safe.
//
// Example:
//   WorkerStandIn worker(loop, clock, store, ledger, "w1", "127.0.0.20:8080", seed);
//   worker.crash(Millis{3'000}, true);
class WorkerStandIn
{
public:
    WorkerStandIn(EventLoop &loop, const BootClock &clock, PlatformStandIn &store,
                  RunLedger &ledger, std::string name, std::string address, unsigned seed,
                  Millis maxLeaseTerm);

    // Ends the process. A new life begins after `downtime`, under the same id or a new one.
    void crash(Millis downtime, bool underNewId);
    // How a worker starts again under its id before anyone knows.
    struct Restart
    {
        // The path of the call that it ends at, which its next life carries out; any call that
        // grants a lease if this is empty.
        std::string path = {};
        Millis downtime;
        Millis callDelay; // From the start of the next life until it carries the call out.
        Millis listingDelay; // From the start of the next life until it writes to the store.
    };
    // Starts the process again under its id as the next call that grants a lease arrives: that call
    // is held back on its way and reaches the next life.
    void restartAtNextGrant(Restart restart) { m_restart = std::move(restart); }
    // Starts the process again under its id at once. The next life writes to the store after
    // `listingDelay` only, so calls come that are meant for the life before.
    void restartUnlisted(Millis listingDelay);
    // Ends the process for good.
    void vanish();
    // Keeps all calls of the entries away until setCutOff(false), and the answers to earlier ones.
    // It reaches the store, and what runs there runs on.
    void setCutOff(bool cutOff);
    // Returns how long the lease still lasts on the clock of this life; negative once it is over.
    Millis leaseLeft() const { return Millis{m_leaseUntilMs - clockMs()}; }
    // Returns how many runs it has.
    std::size_t runCount() const { return m_runs.size(); }
    // Leaves all calls unanswered until setSilent(false), which carries out some of them late.
    void setSilent(bool silent);
    // Shrinks the capacity to `percent` of the full one, or restores it with 100.
    void setCapacity(int percent);
    bool isUp() const { return m_server != nullptr; }

private:
    using Responder = AsyncHttpServer::Responder;
    struct LiveRun
    {
        steps::TaskRef task;
        int number = 0;
        Millis work;
        Instant startedAt;
        std::optional<Instant> stopsAt;
    };
    struct WaitingHold
    {
        Instant until;
        Responder respond;
    };
    struct HeldCall
    {
        HttpRequest request;
        Responder respond;
    };

    void receive(HttpRequest request, Responder respond);
    void restartWith(HttpRequest request);
    void beginNextLife(bool underNewId);
    void beginLife(bool underNewId);
    void endLife();
    void tick();
    void writeEntry();
    void handle(const HttpRequest &request, const Responder &respond);
    void start(const Json::Value &order, const Responder &respond);
    void stop(const Json::Value &order, const Responder &respond);
    void hold(const Json::Value &order, const Responder &respond);
    void confirm(const Responder &respond) const;
    void refuse(const Responder &respond, const char *reason) const;
    void acknowledge(std::int64_t lastSeen);
    void checkCapacity(const steps::TaskRef &task);
    void addRun(const steps::TaskRef &task, int number);
    void endRun(const LiveRun &run, steps::RunOutcome outcome);
    void advanceRuns();
    void answerHolds();
    Json::Value report() const;
    int randomBelow(int below)
    {
        return static_cast<int>(m_random() % static_cast<unsigned>(below));
    }
    std::int64_t clockMs() const { return (m_clock.now() - m_bornAt).count(); }

    EventLoop &m_loop;
    const BootClock &m_clock;
    PlatformStandIn &m_store;
    RunLedger &m_ledger;
    const std::string m_address;
    const std::string m_name; // The first part of its ids.
    std::mt19937 m_random;
    const Millis m_maxLeaseTerm;
    std::unique_ptr<AsyncHttpServer> m_server; // Null while the process is down.
    std::string m_id;
    int m_lives = 0;
    // At the start; leases of a life this old end late on the clock of the next one.
    Millis m_age{60'000};
    Instant m_bornAt;
    std::int64_t m_bornWallMs = 0;
    Instant m_nextEntryAt;
    std::optional<Instant> m_unlistedAt; // When the entry of a crashed life leaves the list.
    std::string m_staleId;
    std::int64_t m_sequence = 0;

    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0; // On the clock of this life.
    std::list<LiveRun> m_runs;
    std::vector<steps::RunEndReport> m_ends; // Not acknowledged.
    std::int64_t m_lastEnd = 0;
    std::int64_t m_lapsedEnd = 0; // The last end when the lease lapsed.
    std::map<steps::TaskRef, int> m_highestEnded;
    std::vector<WaitingHold> m_holds;
    bool m_silent = false;
    std::vector<HeldCall> m_heldCalls;
    bool m_cutOff = false;
    std::vector<Responder> m_lostCalls; // While it is cut off.
    std::optional<Restart> m_restart; // At the next call that grants a lease.
    std::optional<HttpRequest> m_callForNextLife;
    Millis m_callDelay{0};
    Millis m_listingDelay{0}; // Of the next life.
    steps::ResourceVector m_capacity;
    steps::ResourceVector m_earlierCapacity;
    Instant m_capacityChangedAt;
};

} // namespace savorywick::testing
