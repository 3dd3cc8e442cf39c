#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/orders.h"

#include <cstdint>
#include <optional>

namespace savorywick::steps {

struct WorkerSessionSettings
{
    Millis lease{6'000}; // Longer than a takeover of the shard takes, so that runs outlive it.
    Millis longestLease{10'000}; // What a worker shortens a longer lease to.
    Millis renewalWait{1'000}; // How long a worker with runs waits for an end before it answers.
    Millis renewalGap{120}; // From an answer to the next renewal, so that ends are gathered.
    Millis idleRenewal{2'500}; // From one renewal of a worker without runs to the next.
    Millis unackedRenewal{1'000}; // The longest wait for ends to become durable before a renewal.
    Millis retryAfter{250}; // From a renewal without an answer to the next.
    Millis lapseMargin{250}; // Added before a lease counts as surely over.
    int slowestClockPercent = 97; // A worker's clock may be that slow.
};

// One owner's dealings with one worker: fence, lease, clock and which ends it has acknowledged.
//
// It knows nothing of tasks. A fence that is raised makes all orders sent before it void on the
// worker once a renewal with it is answered. Not thread-safe.
//
// Example:
//   if (const auto renewal = session.nextRenewal(hasRuns, wait, now))
//       send(*renewal);
//   session.renewalAnswered(report, now);
class WorkerSession
{
public:
    // `firstFence` must be above every fence that an earlier owner has used. `ownedSince` is when
    // the shard was taken: no earlier owner sent an order after it.
    WorkerSession(const WorkerLife &life, std::string address, Fence firstFence, Instant ownedSince,
                  const WorkerSessionSettings &settings);

    // Changes the address; a different life starts the session anew with a higher fence.
    void update(const WorkerLife &life, std::string address, Instant now);
    const WorkerLife &life() const { return m_life; }

    // Returns the renewal to send now, if one is due. At most one is in flight. `wait` is how long
    // a worker with runs may wait for an end before it answers.
    std::optional<RenewOrder> nextRenewal(bool hasRuns, Millis wait, Instant now);
    // Returns when nextRenewal() is worth a call; nothing while a renewal is in flight.
    std::optional<Instant> nextRenewalAt(bool hasRuns) const;
    // Takes the answer to the renewal in flight. Returns false, and changes nothing, if it comes
    // from another life than the one that was asked; call update() then.
    bool renewalAnswered(const WorkerReport &report, Instant now);
    void renewalFailed(Instant now);
    // Takes in a clock reading that came with another answer.
    void noteClock(std::int64_t clockMs, Instant now);

    // Makes every order sent until now void, from the next answered renewal on.
    void raiseFence(Instant now);
    Fence fence() const { return m_fence; }
    // Returns the fence that the latest answered renewal carried; 0 before the first.
    Fence answeredFence() const { return m_answeredFence; }
    // Returns when the latest answered renewal was sent. Call only after one was answered.
    Instant answeredRenewalSentAt() const { return m_answeredSentAt; }

    // Returns what an order to the worker carries now.
    OrderTarget target() const { return {m_life, m_address, m_fence}; }
    // Returns until when a lease granted now lasts, on the worker's clock, and remembers it.
    // Call only if answered() is true.
    std::int64_t grantLease(Instant now);

    // Returns true if and only if this life has answered a renewal.
    bool answered() const { return m_answeredFence != 0; }
    // Returns true if and only if this life has answered a renewal with the present fence and no
    // call to it has failed since its last answer.
    bool responsive() const { return m_answeredFence == m_fence && !m_silent; }
    // Notes that an order got no answer.
    void noteSilence() { m_silent = true; }
    // Returns when the worker last answered anything; `ownedSince` if it never did.
    Instant heardAt() const { return m_heardAt; }
    // Returns true if and only if whatever ran on the worker is surely over.
    bool lapsed(Instant now) const;

    // Notes that the ends up to `number` were taken into the state, not durably yet.
    void endsTaken(std::int64_t number) { m_takenEnds = number; }
    std::int64_t takenEnds() const { return m_takenEnds; }
    // Notes that the ends up to `number` are durable, so that the worker may forget them.
    void endsDurable(std::int64_t number) { m_durableEnds = number; }

private:
    void restart(Instant now);

    WorkerSessionSettings m_settings;
    WorkerLife m_life;
    std::string m_address;
    Fence m_fence;
    Instant m_ownedSince;

    bool m_inFlight = false;
    Instant m_sentAt;
    Fence m_sentFence = 0;
    Instant m_dueAt;
    Fence m_answeredFence = 0;
    Instant m_answeredSentAt;
    Instant m_heardAt;
    bool m_silent = false;

    std::optional<std::int64_t> m_clockMs; // The worker's clock at m_clockAt, or a little earlier.
    Instant m_clockAt;
    std::int64_t m_grantedUntil = 0; // The longest lease granted, on the worker's clock.
    std::int64_t m_takenEnds = 0;
    std::int64_t m_durableEnds = 0;
};

} // namespace savorywick::steps
