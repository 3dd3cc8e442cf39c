#include "savorywick/steps/workersession.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr Instant ownedSince{50'000};
constexpr Millis maxWait{1'000}; // How long the worker may wait before it answers a renewal.
const Millis renewalDelay = WorkerSessionSettings().renewalDelay;

// Returns a report without runs from a worker whose clock shows `clockMs`.
WorkerReport reportAt(std::int64_t clockMs, bool isPartial = false)
{
    WorkerReport r;
    r.clockMs = clockMs;
    r.startedWallMs = 7;
    r.isPartial = isPartial;
    return r;
}

// Returns the session of a worker that answered at `ownedSince`, when its clock showed `clockMs`,
// and whose ends up to `number` are durable and not acknowledged yet.
WorkerSession sessionWithDurableEnds(std::int64_t number, std::int64_t clockMs,
                                     bool isPartial = false)
{
    WorkerSession session({"w", 7}, "10.0.0.1:1", 100, ownedSince, {});
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(clockMs, isPartial), ownedSince);
    session.recordAppliedEnds(number);
    session.recordDurableEnds(number);
    return session;
}

} // namespace

// Guards against ends that are lost: a worker starts again before it is known, ends a run that was
// started on it in the meantime, and takes the acknowledgement for the life before for that end.
TEST_CASE("No end is acknowledged to a worker that may have started a run in its next life")
{
    struct Case
    {
        std::int64_t firstClockMs; // When the life that is known answers the first renewal.
        bool replied; // The start has a reply.
        std::int64_t replyClockMs;
        std::int64_t acked;
    };
    const auto cases = {
        Case{60'000, false, 0, 0}, // The next life may have started and ended the run by now.
        Case{60'000, true, 60'100, 57}, // No life that began since then has such a clock.
        Case{30, true, 60, 0}, // One may have.
        Case{30, true, 140, 57},
    };
    for (const Case &it : cases) {
        CAPTURE(it.firstClockMs);
        CAPTURE(it.replyClockMs);
        WorkerSession session = sessionWithDurableEnds(57, it.firstClockMs);
        session.grantStartLease(ownedSince + Millis{80});
        if (it.replied) {
            session.startReplied(it.replyClockMs, ownedSince + Millis{100});
            session.recordClock(it.replyClockMs, ownedSince + Millis{100});
        }
        const auto renewal = session.nextRenewal(true, maxWait, ownedSince + renewalDelay * 2);
        REQUIRE(renewal.has_value());
        CHECK(renewal->ackedEndNumber == it.acked);
    }
}

// Guards against ends that are never acknowledged, and further ones that are never told of.
TEST_CASE("Ends that a start holds back are acknowledged once the worker has answered after it")
{
    WorkerSession session = sessionWithDurableEnds(500, 30, true);
    session.grantStartLease(ownedSince + Millis{10});
    Instant now = ownedSince + Millis{20};
    CHECK_FALSE(session.nextRenewal(true, maxWait, now).has_value()); // It would ask in a loop.
    now = ownedSince + renewalDelay * 2;
    auto renewal = session.nextRenewal(true, maxWait, now);
    REQUIRE(renewal.has_value());
    CHECK(renewal->ackedEndNumber == 0);
    CHECK(renewal->maxWait == Millis{0});
    session.startReplied({}, now + Millis{5});
    session.renewalAnswered(reportAt(280), now + Millis{10});
    now = now + Millis{10} + renewalDelay; // The answered renewal was sent before the reply.
    renewal = session.nextRenewal(true, maxWait, now);
    REQUIRE(renewal.has_value());
    CHECK(renewal->ackedEndNumber == 0);
    session.renewalAnswered(reportAt(410), now + Millis{10});
    renewal = session.nextRenewal(true, maxWait, now + Millis{10} + renewalDelay);
    REQUIRE(renewal.has_value());
    CHECK(renewal->ackedEndNumber == 500);
}

// Guards against ends that are never acknowledged on a worker that starts short runs all the time.
TEST_CASE("Ends are acknowledged in time under a steady flow of starts")
{
    constexpr Millis startInterval{10};
    constexpr Millis replyTime{5};
    constexpr Millis roundTrip{10}; // Of renewals.
    constexpr Millis commitTime{30};
    constexpr Millis youngAge{2'000}; // Until then a reply may be of a later life.
    WorkerSession session = sessionWithDurableEnds(1, 0);
    Instant answerAt;
    Instant appliedAt = ownedSince;
    Instant ackedAt = ownedSince;
    std::int64_t ends = 1;
    Millis longestWait{0};
    for (Millis t{0}; t < Millis{20'000}; t = t + Millis{1}) {
        const Instant now = ownedSince + t;
        if (t.count() % startInterval.count() == 0)
            session.grantStartLease(now);
        if (t.count() % startInterval.count() == replyTime.count()) {
            session.startReplied(t.count(), now);
            session.recordClock(t.count(), now);
        }
        if (answerAt == now) {
            session.renewalAnswered(reportAt(t.count()), now);
            session.recordAppliedEnds(++ends);
            appliedAt = now;
        }
        if (now == appliedAt + commitTime)
            session.recordDurableEnds(ends);
        if (const auto renewal = session.nextRenewal(true, maxWait, now)) {
            answerAt = now + roundTrip;
            ackedAt = renewal->ackedEndNumber == ends ? now : ackedAt;
        }
        if (t >= youngAge)
            longestWait = std::max(longestWait, now - ackedAt);
    }
    CHECK(ends > 100);
    CHECK(longestWait < WorkerSessionSettings().maxAckDelay);
}
