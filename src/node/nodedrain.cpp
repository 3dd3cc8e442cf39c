// Implements Node::drain(). A stop has four phases:
//   1. The entry serves as usual, but reports not ready and asks callers to close their
//      connections. This ends when the balancer sends no new callers and no request is open, or
//      when answers are due.
//   2. Answers are due: whatever still waits gets the response that is true now.
//   3. The connections end in order. Requests that arrive meanwhile are answered.
//   4. The session ends, and the loop stops.

#include "core/log.h"
#include "node/node.h"

#include <algorithm>
#include <map>

namespace savorywick {

namespace {

// The parts of the grace period after which answers are due and the loop stops. Timers fire late on
// a loaded host; the rest of the period covers that.
constexpr std::int64_t answersDuePercent = 65;
constexpr std::int64_t stopPercent = 85;
constexpr std::int64_t wholePercent = 100;

constexpr Millis drainPollInterval{100};
constexpr Millis closePollInterval{20};
// How long callers get to close their side and new connections to send their first request.
constexpr Millis maxCloseTime{500};
constexpr Millis maxEndSessionTime{200};

Millis percentOf(Millis whole, std::int64_t percent)
{
    return Millis{whole.count() * percent / wholePercent};
}

} // namespace

void Node::drain()
{
    if (m_drain)
        return;
    const Instant now = m_clock.now();
    m_drain =
        Drain{now, now + percentOf(m_settings.gracePeriod, answersDuePercent),
              now + percentOf(m_settings.gracePeriod, stopPercent), m_callerApi.answerCounts()};
    logInfo("draining",
            {{"shards", static_cast<int>(m_runners.size())},
             {"inFlight", static_cast<int>(m_callerServer.inFlight())},
             {"gracePeriodMs", m_settings.gracePeriod.count()}});
    m_ownership.drain();
    m_callerServer.drain();
    m_callerApi.limitDeadlines(m_drain->answersDueAt);
    serveUntilDrained();
}

void Node::serveUntilDrained()
{
    const Instant now = m_clock.now();
    const bool isIdle =
        m_runners.empty() && m_callerServer.inFlight() == 0 && m_peerServer.inFlight() == 0;
    const bool balancerHasTurned = now - m_drain->startedAt >= m_settings.minDrainTime;
    if (now >= m_drain->answersDueAt || (isIdle && balancerHasTurned))
        return closeConnections();
    m_loop.runAfter(std::min(drainPollInterval, m_drain->answersDueAt - now),
                    [this] { serveUntilDrained(); });
}

void Node::closeConnections()
{
    // If shards are left, the store holds back their release: peers learn that the outcome of their
    // requests is unknown.
    for (const auto &[shard, runner] : std::map(m_runners))
        runner->drop();
    m_callerServer.close();
    m_peerServer.close();
    awaitClosedConnections(m_clock.now());
}

void Node::awaitClosedConnections(Instant closingAt)
{
    const Instant now = m_clock.now();
    const std::size_t open = m_callerServer.openConnections() + m_peerServer.openConnections();
    const std::size_t inFlight = m_callerServer.inFlight() + m_peerServer.inFlight();
    const bool waitedLongEnough = inFlight == 0 && now - closingAt >= maxCloseTime;
    if (open == 0 || waitedLongEnough || now >= m_drain->stopAt)
        return stop();
    m_loop.runAfter(closePollInterval, [this, closingAt] { awaitClosedConnections(closingAt); });
}

void Node::stop()
{
    // What is read from now on is refused at once.
    m_callerApi.limitDeadlines(m_clock.now());
    m_ownership.endSession([this] { leave(); });
    // Stop after this time at the latest, even if the store does not answer.
    m_loop.runAfter(maxEndSessionTime, [this] { leave(); });
}

void Node::leave()
{
    logStop();
    m_loop.stop();
}

void Node::logStop() const
{
    const CallerAnswerCounts &before = m_drain->answersBefore;
    const CallerAnswerCounts &counts = m_callerApi.answerCounts();
    logInfo("entry-stopped",
            {{"inFlight", static_cast<int>(m_callerServer.inFlight())},
             {"peersInFlight", static_cast<int>(m_peerServer.inFlight())},
             {"connections", static_cast<int>(m_callerServer.openConnections())},
             {"peerConnections", static_cast<int>(m_peerServer.openConnections())},
             {"unread", static_cast<int>(m_callerServer.unreadConnections())},
             {"peersUnread", static_cast<int>(m_peerServer.unreadConnections())},
             {"unanswered", m_callerServer.counts().unanswered},
             {"discardedBytes", m_callerServer.counts().discardedBytes},
             {"shards", static_cast<int>(m_runners.size())},
             {"answered", counts.conclusive - before.conclusive},
             {"refused", counts.refused - before.refused},
             {"undecided", counts.undecided - before.undecided},
             {"tookMs", (m_clock.now() - m_drain->startedAt).count()}});
}

} // namespace savorywick
