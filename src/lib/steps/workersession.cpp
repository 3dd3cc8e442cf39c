#include "savorywick/steps/workersession.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr int percent = 100;

} // namespace

WorkerSession::WorkerSession(const WorkerLife &life, std::string address, Fence firstFence,
                             Instant ownedSince, const WorkerSessionSettings &settings)
    : m_settings(settings)
    , m_life(life)
    , m_address(std::move(address))
    , m_fence(firstFence)
    , m_ownedSince(ownedSince)
    , m_dueAt(ownedSince)
    , m_heardAt(ownedSince)
{ }

void WorkerSession::update(const WorkerLife &life, std::string address, Instant now)
{
    m_address = std::move(address);
    if (life == m_life)
        return;
    m_life = life;
    restart(now);
}

// The new life knows nothing: no clock, no fence, no ends. An order that was meant for the life
// before may still reach it, so the fence rises.
void WorkerSession::restart(Instant now)
{
    m_ownedSince = now;
    m_heardAt = now;
    m_inFlight = false;
    m_answeredFence = 0;
    m_clockMs.reset();
    m_grantedUntil = 0;
    m_takenEnds = 0;
    m_durableEnds = 0;
    raiseFence(now);
}

void WorkerSession::raiseFence(Instant now)
{
    ++m_fence;
    m_dueAt = now;
}

std::optional<Instant> WorkerSession::nextRenewalAt(bool hasRuns) const
{
    if (m_inFlight)
        return {};
    const bool urgent = m_answeredFence < m_fence;
    if (urgent)
        return m_dueAt;
    if (m_durableEnds < m_takenEnds)
        return m_heardAt + m_settings.unackedRenewal;
    return hasRuns ? m_dueAt : m_dueAt + m_settings.idleRenewal;
}

std::optional<RenewOrder> WorkerSession::nextRenewal(bool hasRuns, Millis wait, Instant now)
{
    const auto due = nextRenewalAt(hasRuns);
    if (!due || now < *due)
        return {};
    m_inFlight = true;
    m_sentAt = now;
    m_sentFence = m_fence;
    RenewOrder renewal{target(), m_durableEnds, {}, {}};
    // A renewal without an answer may still extend the lease, which could then never be known as
    // over.
    if (m_clockMs && hasRuns && !m_silent)
        renewal.untilClockMs = grantLease(now);
    const bool waits = hasRuns && m_answeredFence == m_fence && m_durableEnds == m_takenEnds;
    if (waits)
        renewal.wait = wait;
    return renewal;
}

bool WorkerSession::renewalAnswered(const WorkerReport &report, Instant now)
{
    m_inFlight = false;
    if (report.bornWallMs != m_life.bornWallMs)
        return false;
    m_answeredFence = m_sentFence;
    m_answeredSentAt = m_sentAt;
    noteClock(report.clockMs, now);
    const bool fenceRaised = m_fence != m_sentFence;
    m_dueAt = fenceRaised ? now : now + m_settings.renewalGap;
    return true;
}

void WorkerSession::renewalFailed(Instant now)
{
    m_inFlight = false;
    m_silent = true;
    m_dueAt = now + m_settings.retryAfter;
}

void WorkerSession::noteClock(std::int64_t clockMs, Instant now)
{
    m_heardAt = now;
    m_silent = false;
    m_clockMs = clockMs;
    m_clockAt = now;
}

std::int64_t WorkerSession::grantLease(Instant now)
{
    const std::int64_t until =
        m_clockMs.value_or(0) + (now - m_clockAt).count() + m_settings.lease.count();
    m_grantedUntil = std::max(m_grantedUntil, until);
    return until;
}

bool WorkerSession::lapsed(Instant now) const
{
    const std::int64_t margin = m_settings.lapseMargin.count();
    // What an earlier owner granted ends a longest lease after this one took over, at the latest.
    const std::int64_t owned = (now - m_ownedSince).count() * m_settings.slowestClockPercent;
    const bool earlierOver =
        owned >= (m_settings.longestLease.count() + margin) * std::int64_t{percent};
    if (!m_clockMs)
        return earlierOver;
    const std::int64_t passed =
        (now - m_clockAt).count() * m_settings.slowestClockPercent / percent;
    const bool ownOver = *m_clockMs + passed > m_grantedUntil + margin;
    // Once a renewal of ours was answered, its report tells what earlier owners left running; the
    // lease on that may be theirs still.
    return ownOver && earlierOver;
}

} // namespace savorywick::steps
