#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/workercommands.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorywick::steps {

// The periods and margins of a WorkerSession.
struct WorkerSessionSettings
{
    // The term of a lease. It must be longer than the takeover of a shard takes, so that runs
    // survive a takeover.
    Millis leaseTerm{6'000};
    // The term that a start grants. The renewal after the first answer to it extends the lease; if
    // there is no answer, the start's task must wait for no more than this term.
    Millis startLeaseTerm{2'000};
    // Workers shorten a longer lease to this term.
    Millis maxLeaseTerm{10'000};
    // How long a worker with runs may wait for a run to end before it answers a renewal.
    Millis maxRenewalWait{1'000};
    // The time from an answer to the next renewal, so that one answer reports several ends.
    Millis renewalDelay{120};
    // The further time before the next renewal of a worker without runs.
    Millis idleRenewalDelay{2'500};
    // The longest time for which a renewal is put off until it can acknowledge all reported ends.
    Millis maxAckDelay{1'000};
    // The time from a failed renewal to the next.
    Millis retryDelay{250};
    // The longest time from sending a command to its answer.
    Millis maxAnswerTime{1'500};
    // The longest time from sending a command to its execution by a worker that left it unanswered:
    // seconds, as its owner can't cancel it.
    Millis maxExecutionDelay{15'000};
    // How far past its end a lease must be to count as expired.
    Millis expiryMargin{250};
    // The rate of the slowest worker clock, in percent of this process's clock.
    int minClockRatePercent = 97;

    // Returns the longest time in which the slowest clock advances by `clockTime`.
    Millis longestFor(Millis clockTime) const;
    // Returns how long a lease lasts at most after a worker has taken it.
    Millis longestLease() const { return longestFor(maxLeaseTerm + expiryMargin); }
    // Returns how long after its end a lease has surely expired that ends no more than `span` after
    // the worker's clock was read.
    Millis expiryDelay(Millis span) const;
};

// From when on a lease has certainly ended, and the name of what proves it, for logs:
//
// - "own-lease": this owner granted it, on the clock of the present life.
// - "longest-lease": other owners, or this one to another life, granted it; a worker shortens it to
//   the longest term.
// - "earlier-grants": earlier owners granted it, and told the next ones by when it is over.
// - "inherited-leases": as "longest-lease", and an earlier owner recorded by when they are over.
// - "former-life": this owner granted it to a life that has been replaced since.
struct LeaseBound
{
    Instant end;
    std::string_view basis;
};

// The leases that a worker may have that its session knows nothing of: earlier owners of the shard
// granted them, or an earlier session of this owner.
struct EarlierGrants
{
    // None was granted after this.
    Instant lastAt;
    // When they are over, if it is known: see WorkerSession::confirmedRunsEndAt().
    std::optional<Instant> endAt = {};
};

// The session of a shard's owner with one worker: fence, lease, worker clock and acknowledgements
// of ended runs.
//
// Use one session for each worker of a shard. It decides when to renew the lease and tells when the
// lease has certainly expired; it knows nothing of tasks. Not thread-safe.
//
// Raising the fence makes all commands that were sent before it void on the worker as soon as a
// renewal with the new fence is answered.
//
// Example:
//   if (const auto renewal = session.nextRenewal(hasRuns, maxWait, now))
//       send(*renewal);
//   ...
//   session.renewalAnswered(report, now);
class WorkerSession
{
public:
    // `firstFence` must be higher than every fence that an earlier owner used. `ownedSince` is when
    // the shard was taken over; no earlier owner sent a command after it. `earlierGrants` tells of
    // the leases of earlier owners; nothing if there were none.
    WorkerSession(const WorkerIncarnation &incarnation, std::string address, Fence firstFence,
                  Instant ownedSince, const WorkerSessionSettings &settings,
                  const std::optional<EarlierGrants> &earlierGrants = {});

    // Changes the address. A different incarnation resets the session and raises the fence.
    void update(const WorkerIncarnation &incarnation, std::string address, Instant now);
    // Returns the incarnation of the worker that the session is with.
    const WorkerIncarnation &incarnation() const { return m_incarnation; }

    // Returns the renewal to send now, or nothing if none is due. The renewal is in flight until
    // renewalAnswered() or renewalFailed() is called; at most one is. `maxWait` is how long a
    // worker with runs may wait for a run to end before it answers. The renewal grants no lease
    // beyond `latestEnd`, if that is set.
    std::optional<RenewLeaseCommand> nextRenewal(bool hasRuns, Millis maxWait, Instant now,
                                                 std::optional<Instant> latestEnd = {});
    // Returns when nextRenewal() is due to be called, or nothing while a renewal is in flight.
    std::optional<Instant> nextRenewalAt(bool hasRuns) const;
    // Records the answer to the renewal in flight. Returns false, and takes nothing from the
    // report, if it comes from another incarnation than the renewal was for, or may do so; call
    // update() then.
    bool renewalAnswered(const WorkerReport &report, Instant now);
    // Records that the renewal in flight failed or got no answer.
    void renewalFailed(Instant now);
    // Records the worker's clock, in milliseconds, as told in an answer to another command. Returns
    // false, and takes nothing from the answer, if it is not known to come from the present
    // incarnation. A clock that has fallen back is another one's: the session is reset then, and
    // the answer to the next renewal tells the incarnation.
    bool recordClock(std::int64_t clockMs, Instant now);

    // Records that the worker has no runs any more. It must answer a renewal that is sent once it
    // has runs again before it is granted a full lease.
    void noteIdle();

    // Raises the fence, so that a renewal is due at once.
    void raiseFence(Instant now);
    Fence fence() const { return m_fence; }
    // Returns the fence of the latest answered renewal, or 0 if none was answered.
    Fence answeredFence() const { return m_answeredFence; }
    // Returns when the latest answered renewal was sent. Call it only if hasAnswered() is true.
    Instant answeredRenewalSentAt() const { return m_answeredSentAt; }

    // Returns the recipient and fence for a command that is sent now.
    CommandTarget target() const { return {m_incarnation, m_address, m_fence}; }
    // Returns when the lease that a start sent now grants expires, on the worker's clock in
    // milliseconds, and records the grant and the start. It is not beyond `latestEnd`, if that is
    // set. Call it only if hasAnswered() is true, and call startReplied() once for it.
    std::int64_t grantStartLease(Instant now, std::optional<Instant> latestEnd = {});
    // Records that a start was answered or got no answer. `clockMs` is the worker's clock, in
    // milliseconds, if the answer tells it. Call it before recordClock().
    void startReplied(std::optional<std::int64_t> clockMs, Instant now);

    // Returns true if and only if this owner has granted the worker a lease.
    bool hasGranted() const { return m_hasGranted; }
    // Returns true if and only if the present incarnation has answered a renewal.
    bool hasAnswered() const { return m_answeredFence != 0; }
    // Returns true if and only if the present incarnation has answered a renewal with the present
    // fence, and no command to it has failed since its latest answer.
    bool responsive() const { return m_answeredFence == m_fence && !m_unresponsive; }
    // Records that a command did not reach the worker or got no answer.
    void markUnresponsive() { m_unresponsive = true; }
    // Returns when the worker last answered; if it never did, when this owner or the present
    // incarnation began.
    Instant lastAnswerAt() const { return m_lastAnswerAt; }
    // Returns true if and only if every lease on the worker has expired even by the slowest clock
    // that a worker may have, so that everything that ran there is over.
    bool leaseExpired(Instant now) const { return now >= leaseExpiresAt(); }
    // Returns from when on leaseExpired() is true unless the session changes.
    Instant leaseExpiresAt() const { return leaseBound().end; }
    LeaseBound leaseBound() const;
    // Returns from when on every run of an earlier owner is over that the worker was known to have
    // then. It can be earlier than leaseExpiresAt(): a start that the worker had not confirmed may
    // have been taken over by its next life, which may have taken the longest lease for it.
    Instant confirmedRunsEndAt() const { return confirmedRunsBound().end; }
    LeaseBound confirmedRunsBound() const;
    // Returns from when on all leases of runs that an earlier incarnation confirmed have expired.
    // A run that none has confirmed may have been taken over by the present one. Call it only if
    // update() was called with another incarnation.
    Instant formerLifeEndsAt() const { return m_formerLifeEndsAt; }
    // Returns from when on all leases are over that the present incarnation may have inherited:
    // taken from commands of earlier owners, or from commands that this one sent to earlier
    // incarnations. It takes them by its own clock, which starts anew, for up to the longest term,
    // and a run that it starts later has them as well. Call it only if hasAnswered() is true.
    Instant inheritedLeasesEndAt() const { return m_earlierLeasesEndAt; }
    // Records that the present incarnation confirmed a run to an earlier owner, and that all leases
    // are over by `leasesEndAt` that it has of earlier owners or had inherited by then.
    void noteKnownLife(Instant leasesEndAt);
    // Returns when a lease was last granted to any incarnation, or may have been by an earlier
    // owner; nothing if there was none.
    std::optional<Instant> lastGrantAt() const
    {
        return m_lastGrantAt ? m_lastGrantAt : m_lastEarlierGrantAt;
    }
    // Returns for how long the leases granted so far may last, if the worker's next life takes
    // them.
    Millis leasesLeftInNextLife(Instant now) const
    {
        return std::max(Millis{0}, leasesOfNextLifeEndAt() - now);
    }

    // Records that ended runs up to `number` were applied to the state, but not durably yet.
    void recordAppliedEnds(std::int64_t number) { m_appliedEnds = number; }
    // Returns the number of the latest ended run that was applied to the state.
    std::int64_t appliedEnds() const { return m_appliedEnds; }
    // Records that ended runs up to `number` are durable, so that the worker may forget them.
    // Has no effect on ends that recordAppliedEnds() has not recorded for the present incarnation.
    void recordDurableEnds(std::int64_t number);

private:
    void reset(Instant now);
    void boundInheritedLeases(Instant now);
    Instant inheritedEndOf(Instant grantedAt) const;
    // Returns when all leases are over that the next incarnation may inherit. Of the commands of
    // earlier owners this assumes that none is executed after the takeover.
    Instant leasesOfNextLifeEndAt() const;
    // Returns true if and only if no later incarnation can have executed one of the starts.
    bool startsAreSettled() const
    {
        return m_startsInFlight == 0 && (!m_startInDoubtAt || *m_startInDoubtAt < m_answeredSentAt);
    }
    // Returns true if and only if acknowledging the ends that are durable makes the worker tell of
    // further ones.
    bool hasFurtherEnds() const
    {
        return m_reportWasPartial && m_durableEnds == m_appliedEnds
            && m_durableEnds > m_answeredAck;
    }
    void takeClock(std::int64_t clockMs, Instant now);
    std::int64_t grantLease(Millis term, Instant now, std::optional<Instant> latestEnd);
    // Returns true if and only if the worker has been granted a lease, and may have no more than
    // the short one of a start, or the rest of one.
    bool leaseIsShort() const { return m_leaseUntilClockMs > 0 && !m_leaseExtended; }
    Instant ownLeaseEnd(std::int64_t untilClockMs) const;

    WorkerSessionSettings m_settings;
    WorkerIncarnation m_incarnation;
    std::string m_address;
    Fence m_fence;

    bool m_renewalInFlight = false;
    bool m_renewalIsVoid = false; // It was sent before the clock told of another incarnation.
    Instant m_renewalSentAt;
    Fence m_renewalFence = 0;
    bool m_renewalCoversRuns = false; // The worker had runs when the renewal was sent.
    bool m_renewalExtendsLease = false;
    bool m_renewalMayGrant = false; // The limit of leases was not reached when it was sent.
    Instant m_renewalDueAt;
    Fence m_answeredFence = 0;
    Instant m_answeredSentAt;
    // The latest answered renewal was sent while the worker had runs.
    bool m_answeredWithRuns = false;
    // The latest renewal granted a full lease, and was answered.
    bool m_leaseExtended = false;
    bool m_reportWasPartial = false; // The latest one; the next tells of more.
    Instant m_lastAnswerAt;
    bool m_unresponsive = false;

    // The worker's clock at `m_clockReadAt`, or a little earlier.
    std::optional<std::int64_t> m_clockMs;
    Instant m_clockReadAt;
    // When the longest granted lease expires, on the worker's clock.
    std::int64_t m_leaseUntilClockMs = 0;
    std::optional<Instant> m_lastGrantAt; // To the present incarnation.
    // When the last lease was granted by an earlier owner, or to an earlier incarnation.
    std::optional<Instant> m_lastEarlierGrantAt;
    // As noteKnownLife() recorded for the present incarnation.
    std::optional<Instant> m_knownLeasesEndAt;
    // When every lease of earlier owners, and every one granted to earlier incarnations, has
    // expired.
    Instant m_earlierLeasesEndAt;
    // When every lease that earlier owners granted has, by the clock of the life they granted it
    // to.
    Instant m_earlierGrantsEndAt;
    bool m_hasGranted = false; // This owner has granted a lease.
    Instant m_formerLifeEndsAt; // Of the latest earlier incarnation; none if it is not set.
    std::int64_t m_appliedEnds = 0;
    std::int64_t m_durableEnds = 0;
    std::int64_t m_renewalAck = 0; // The ends that the latest renewal acknowledged; 0 for none.
    std::int64_t m_answeredAck = 0; // The highest acknowledgement that was answered.
    int m_startsInFlight = 0; // To any incarnation.
    // When the last start was replied to that a later incarnation may have executed.
    std::optional<Instant> m_startInDoubtAt;
};

} // namespace savorywick::steps
