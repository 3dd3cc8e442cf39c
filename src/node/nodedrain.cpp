// Implements Node::drain(). A stop has four phases:
//   1. The entry serves as usual, but reports not ready and asks callers to close their
//      connections. This ends when the balancer sends no new callers and no request is open, or
//      when answers are due.
//   2. Answers are due: whatever still waits gets the response that is true now.
//   3. No more connections are accepted. Those that were get the time to send their first request.
//   4. The session ends, and requests are refused at once. Each connection is closed at a moment
//      when it owes no response. The loop stops when both is done.

#include "core/log.h"
#include "node/node.h"

#include <algorithm>
#include <map>

namespace savorywick {

namespace {

constexpr Millis drainPollInterval{100};
constexpr Millis closePollInterval{20};
// How long new connections get to send their first request.
constexpr Millis maxFirstRequestTime{500};
constexpr Millis maxEndSessionTime{200}; // The store may not answer.

} // namespace

void Node::drain()
{
    if (m_drain)
        return;
    m_drain = Drain{StopTimes(m_settings.gracePeriod, m_clock.now(), m_loadReporter.lag()),
                    m_callerApi.answerCounts(),
                    {}};
    logInfo("draining",
            {{"shards", static_cast<int>(m_runners.size())},
             {"inFlight", static_cast<int>(m_callerServer.inFlight())},
             {"gracePeriodMs", m_settings.gracePeriod.count()}});
    m_ownership.drain();
    m_callerServer.drain();
    m_callerApi.limitDeadlines(m_drain->times.answersDueAt());
    serveUntilDrained();
}

void Node::serveUntilDrained()
{
    const Instant now = m_clock.now();
    const Instant answersDueAt = m_drain->times.answersDueAt();
    m_drain->times.observeLag(m_loadReporter.lag());
    const bool isIdle =
        m_runners.empty() && m_callerServer.inFlight() == 0 && m_peerServer.inFlight() == 0;
    const bool balancerHasTurned = now - m_drain->times.startedAt() >= m_settings.minDrainTime;
    if (now >= answersDueAt || (isIdle && balancerHasTurned))
        return closeConnections();
    m_loop.runAfter(std::min(drainPollInterval, answersDueAt - now),
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
    awaitFirstRequests(m_clock.now());
}

void Node::awaitFirstRequests(Instant closedAt)
{
    const Instant now = m_clock.now();
    m_drain->times.observeLag(m_loadReporter.lag());
    const std::size_t inFlight = m_callerServer.inFlight() + m_peerServer.inFlight();
    const bool waitedLongEnough = now - closedAt >= maxFirstRequestTime
        || m_callerServer.unusedConnections() + m_peerServer.unusedConnections() == 0;
    if ((inFlight == 0 && waitedLongEnough) || m_drain->times.mustEndSession(now))
        return endSession();
    m_loop.runAfter(closePollInterval, [this, closedAt] { awaitFirstRequests(closedAt); });
}

void Node::endSession()
{
    m_callerApi.limitDeadlines(m_clock.now()); // What is read from now on is refused at once.
    m_drain->leaveFrom = m_clock.now() + maxEndSessionTime;
    m_ownership.endSession([this] { m_drain->leaveFrom = m_clock.now(); });
    awaitClosedConnections();
}

void Node::awaitClosedConnections()
{
    m_callerServer.closeAnswered();
    m_peerServer.closeAnswered();
    const std::size_t open = m_callerServer.openConnections() + m_peerServer.openConnections();
    const Instant now = m_clock.now();
    m_drain->times.observeLag(m_loadReporter.lag());
    if ((open == 0 && now >= m_drain->leaveFrom) || m_drain->times.mustLeave(now))
        return leave();
    m_loop.runAfter(closePollInterval, [this] { awaitClosedConnections(); });
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
             {"tookMs", (m_clock.now() - m_drain->times.startedAt()).count()}});
}

} // namespace savorywick
