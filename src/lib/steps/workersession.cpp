#include "savorywick/steps/workersession.h"

#include <algorithm>
#include <utility>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;

} // namespace

Millis WorkerSessionSettings::longestFor(Millis clockTime) const
{
    const std::int64_t longest =
        (clockTime.count() * fullPercent + minClockRatePercent - 1) / minClockRatePercent;
    return Millis{std::max<std::int64_t>(0, longest)};
}

Millis WorkerSessionSettings::expiryDelay(Millis span) const
{
    return longestFor(span + Millis{1} + expiryMargin) - span;
}

WorkerSession::WorkerSession(const WorkerIncarnation &incarnation, std::string address,
                             Fence firstFence, Instant ownedSince,
                             const WorkerSessionSettings &settings,
                             const std::optional<EarlierGrants> &earlierGrants)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_address(std::move(address))
    , m_fence(firstFence)
    , m_renewalDueAt(ownedSince)
    , m_lastAnswerAt(ownedSince)
    , m_earlierLeasesEndAt(ownedSince + settings.longestLease())
    , m_earlierGrantsEndAt(m_earlierLeasesEndAt)
{
    if (!earlierGrants)
        return;
    m_lastEarlierGrantAt = earlierGrants->lastAt;
    m_earlierGrantsEndAt = earlierGrants->endAt.value_or(m_earlierLeasesEndAt);
}

void WorkerSession::update(const WorkerIncarnation &incarnation, std::string address, Instant now)
{
    m_address = std::move(address);
    if (incarnation == m_incarnation)
        return;
    m_incarnation = incarnation;
    reset(now);
}

void WorkerSession::recordDurableEnds(std::int64_t number)
{
    // Ends that became durable after reset() are those of the life before.
    m_durableEnds = std::min(number, m_appliedEnds);
}

// The new incarnation has no clock, fence or ended runs in common with the one before. A command to
// the old incarnation may still reach the new one, so the fence is raised.
void WorkerSession::reset(Instant now)
{
    if (m_clockMs) // Otherwise the incarnation that ends now has confirmed no run.
        m_formerLifeEndsAt = std::max(m_formerLifeEndsAt, leaseExpiresAt());
    m_earlierLeasesEndAt = leasesOfNextLifeEndAt();
    m_knownLeasesEndAt.reset();
    if (m_lastGrantAt)
        m_lastEarlierGrantAt = std::exchange(m_lastGrantAt, {});
    m_lastAnswerAt = now;
    m_renewalInFlight = false;
    m_renewalIsVoid = false;
    m_answeredFence = 0;
    m_answeredWithRuns = false;
    m_leaseExtended = false;
    m_reportWasPartial = false;
    m_clockMs.reset();
    m_leaseUntilClockMs = 0;
    m_appliedEnds = 0;
    m_durableEnds = 0;
    m_answeredAck = 0;
    raiseFence(now);
}

void WorkerSession::raiseFence(Instant now)
{
    ++m_fence;
    m_renewalDueAt = now;
}

void WorkerSession::noteIdle()
{
    m_answeredWithRuns = false;
    m_renewalCoversRuns = false;
    m_leaseExtended = false;
}

std::optional<Instant> WorkerSession::nextRenewalAt(bool hasRuns) const
{
    if (m_renewalInFlight)
        return {};
    const bool fenceUnanswered = m_answeredFence < m_fence;
    if (fenceUnanswered)
        return m_renewalDueAt;
    if (m_durableEnds < m_appliedEnds)
        return m_lastAnswerAt + m_settings.maxAckDelay;
    if (hasFurtherEnds() && !m_unresponsive && startsAreSettled())
        return m_lastAnswerAt;
    const bool holdsAckBack = m_durableEnds > m_answeredAck && !startsAreSettled();
    if (holdsAckBack && m_startsInFlight > 0 && !m_unresponsive)
        return m_renewalDueAt + m_settings.renewalDelay; // Replies that come first settle them.
    return hasRuns || holdsAckBack ? m_renewalDueAt : m_renewalDueAt + m_settings.idleRenewalDelay;
}

std::optional<RenewLeaseCommand> WorkerSession::nextRenewal(bool hasRuns, Millis maxWait,
                                                            Instant now,
                                                            std::optional<Instant> latestEnd)
{
    const auto due = nextRenewalAt(hasRuns);
    if (!due || now < *due)
        return {};
    m_renewalInFlight = true;
    m_renewalSentAt = now;
    m_renewalFence = m_fence;
    m_renewalCoversRuns = hasRuns;
    // The next life of the worker, which numbers its ends anew, would take an acknowledgement for
    // its own. So none is sent again once it was answered, none to a worker of which it is not
    // known whether it has started again, and none while a next life may have ends to forget.
    const bool mayAcknowledge = responsive() && startsAreSettled();
    m_renewalAck = mayAcknowledge && m_durableEnds > m_answeredAck ? m_durableEnds : 0;
    RenewLeaseCommand renewal{target(), m_renewalAck, {}, {}};
    // A renewal that gets no answer may still extend the lease on the worker. Granting a lease with
    // every renewal to an unresponsive worker would thus postpone its expiry for ever. A worker
    // that had no runs was seldom asked, so it must answer first as well.
    const bool wasShort = leaseIsShort();
    const bool mayGrant = !latestEnd || now < *latestEnd;
    if (mayGrant && m_clockMs && hasRuns && m_answeredWithRuns && !m_unresponsive)
        renewal.leaseUntilClockMs = grantLease(m_settings.leaseTerm, now, latestEnd);
    m_renewalExtendsLease = renewal.leaseUntilClockMs.has_value();
    m_renewalMayGrant = mayGrant;
    // A worker with a short lease answers at once, so that there is time to repeat a lost renewal.
    const bool mayWait = renewal.leaseUntilClockMs && !wasShort && m_answeredFence == m_fence
        && m_durableEnds == m_appliedEnds && !m_reportWasPartial
        && m_durableEnds <= std::max(m_answeredAck, m_renewalAck);
    if (mayWait)
        renewal.maxWait = maxWait;
    return renewal;
}

bool WorkerSession::renewalAnswered(const WorkerReport &report, Instant now)
{
    m_renewalInFlight = false;
    const bool lifeIsOver = std::exchange(m_renewalIsVoid, false);
    if (lifeIsOver || report.startedWallMs != m_incarnation.startedWallMs)
        return false;
    if (!hasAnswered())
        boundInheritedLeases(now);
    m_answeredFence = m_renewalFence;
    m_answeredSentAt = m_renewalSentAt;
    m_answeredAck = std::max(m_answeredAck, m_renewalAck);
    m_reportWasPartial = report.isPartial;
    takeClock(report.clockMs, now);
    m_answeredWithRuns = m_renewalCoversRuns;
    m_leaseExtended = m_renewalCoversRuns && m_renewalExtendsLease;
    // Where no lease may be granted any more, another renewal would extend none either.
    const bool extendsNow = m_renewalCoversRuns && m_renewalMayGrant && leaseIsShort();
    const bool fenceRaised = m_fence != m_renewalFence;
    m_renewalDueAt = fenceRaised || extendsNow ? now : now + m_settings.renewalDelay;
    return true;
}

// Reckons when inherited leases are over, as the present incarnation answers for the first time. It
// has seen the fence, so it executes no command any more that was sent by an earlier owner or to an
// earlier incarnation.
void WorkerSession::boundInheritedLeases(Instant now)
{
    if (!m_lastEarlierGrantAt) {
        m_earlierLeasesEndAt = {};
        return;
    }
    m_earlierLeasesEndAt =
        std::min(now + m_settings.longestLease(), inheritedEndOf(*m_lastEarlierGrantAt));
    if (m_knownLeasesEndAt)
        m_earlierLeasesEndAt = std::min(m_earlierLeasesEndAt, *m_knownLeasesEndAt);
}

void WorkerSession::noteKnownLife(Instant leasesEndAt)
{
    m_knownLeasesEndAt = std::min(leasesEndAt, m_knownLeasesEndAt.value_or(leasesEndAt));
}

// Returns when a lease is over that was granted at `grantedAt`, whichever incarnation takes it and
// however late.
Instant WorkerSession::inheritedEndOf(Instant grantedAt) const
{
    return grantedAt + m_settings.maxExecutionDelay + m_settings.longestLease();
}

Instant WorkerSession::leasesOfNextLifeEndAt() const
{
    return m_lastGrantAt ? std::max(m_earlierLeasesEndAt, inheritedEndOf(*m_lastGrantAt))
                         : m_earlierLeasesEndAt;
}

void WorkerSession::renewalFailed(Instant now)
{
    m_renewalInFlight = false;
    m_renewalIsVoid = false;
    m_unresponsive = true;
    m_leaseExtended = false; // What is left of the lease may be short by now.
    m_renewalDueAt = now + m_settings.retryDelay;
}

bool WorkerSession::recordClock(std::int64_t clockMs, Instant now)
{
    if (!m_clockMs)
        return false; // Which life the clock is of is not known.
    // Answers may overtake each other, but by no more than the time that one may take.
    const bool ofOtherLife = clockMs < *m_clockMs - m_settings.maxAnswerTime.count();
    if (ofOtherLife) {
        const bool inFlight = m_renewalInFlight;
        reset(now);
        m_renewalInFlight = inFlight;
        m_renewalIsVoid = inFlight;
        return false;
    }
    takeClock(clockMs, now);
    return true;
}

void WorkerSession::takeClock(std::int64_t clockMs, Instant now)
{
    m_lastAnswerAt = now;
    m_unresponsive = false;
    m_clockMs = clockMs;
    m_clockReadAt = now;
}

std::int64_t WorkerSession::grantStartLease(Instant now, std::optional<Instant> latestEnd)
{
    ++m_startsInFlight;
    return grantLease(m_settings.startLeaseTerm, now, latestEnd);
}

// An incarnation that began after the latest answered renewal was sent has a clock that shows less
// than the time since then.
void WorkerSession::startReplied(std::optional<std::int64_t> clockMs, Instant now)
{
    if (m_startsInFlight > 0)
        --m_startsInFlight;
    const bool mayBeOfLaterLife =
        !hasAnswered() || !clockMs || *clockMs <= (now - m_answeredSentAt).count();
    if (mayBeOfLaterLife)
        m_startInDoubtAt = now;
}

std::int64_t WorkerSession::grantLease(Millis term, Instant now, std::optional<Instant> latestEnd)
{
    if (latestEnd)
        term = std::max(Millis{0}, std::min(term, *latestEnd - now));
    m_hasGranted = true;
    const std::int64_t until = m_clockMs.value_or(0) + (now - m_clockReadAt).count() + term.count();
    m_leaseUntilClockMs = std::max(m_leaseUntilClockMs, until);
    m_lastGrantAt = now;
    return until;
}

// Returns from when on a lease until this time on the worker's clock has surely expired, by the
// latest reading of the clock.
Instant WorkerSession::ownLeaseEnd(std::int64_t untilClockMs) const
{
    const Millis untilExpired =
        Millis{untilClockMs - m_clockMs.value_or(0) + 1} + m_settings.expiryMargin;
    return m_clockReadAt + m_settings.longestFor(untilExpired);
}

LeaseBound WorkerSession::confirmedRunsBound() const
{
    const LeaseBound any = leaseBound();
    if (m_hasGranted || any.end <= m_earlierGrantsEndAt)
        return any;
    return {m_earlierGrantsEndAt, "earlier-grants"};
}

LeaseBound WorkerSession::leaseBound() const
{
    // The worker's report may list runs of earlier owners, which may still run under their lease.
    const LeaseBound earlier{m_earlierLeasesEndAt, "longest-lease"};
    if (!m_clockMs)
        return earlier;
    const Instant ownEnd = ownLeaseEnd(m_leaseUntilClockMs);
    return ownEnd > earlier.end ? LeaseBound{ownEnd, "own-lease"} : earlier;
}

} // namespace savorywick::steps
