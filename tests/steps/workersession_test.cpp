#include "savorywick/steps/workersession.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr Fence firstFence = 100;
constexpr Instant ownedSince{50'000};
constexpr Millis maxWait{1'000}; // How long the worker may wait before it answers a renewal.
constexpr std::int64_t leaseTermMs = 6'000; // The default term of a lease.
const Millis renewalDelay = WorkerSessionSettings().renewalDelay;
const WorkerIncarnation incarnation{"w", 7};

WorkerSession startSession()
{
    return {incarnation, "10.0.0.1:1", firstFence, ownedSince, {}};
}

// Returns a report without runs from a worker whose clock shows `clockMs`.
WorkerReport reportAt(std::int64_t clockMs, std::int64_t startedWallMs = 7)
{
    WorkerReport r;
    r.clockMs = clockMs;
    r.startedWallMs = startedWallMs;
    return r;
}

// Loses the renewal of this number after a start on an idle worker, and checks that the others
// extend the lease before it lapses, if it takes `roundTrip` to answer one.
void checkLeaseOutlivesLoss(int lost, Millis roundTrip)
{
    constexpr Millis commandTimeout{500}; // Of platform/httpworkerclient.cpp.
    const WorkerSessionSettings settings;
    WorkerSession session = startSession();
    session.nextRenewal(false, maxWait, ownedSince);
    session.renewalAnswered(reportAt(0), ownedSince);
    const Instant startAt = ownedSince + Millis{2'000};
    std::int64_t leaseUntil = session.grantStartLease(startAt);
    Instant now = startAt;
    int renewals = 0;
    for (; now < startAt + settings.leaseTerm; now = now + Millis{1}) {
        const std::int64_t clockMs = (now - ownedSince).count();
        REQUIRE(clockMs < leaseUntil); // Else the run has lapsed.
        const auto renewal = session.nextRenewal(true, maxWait, now);
        if (!renewal)
            continue;
        if (++renewals == lost) {
            now = now + commandTimeout + renewal->maxWait;
            session.renewalFailed(now);
            continue;
        }
        REQUIRE(clockMs + roundTrip.count() / 2 < leaseUntil); // When the renewal arrives.
        leaseUntil = std::max(leaseUntil, renewal->leaseUntilClockMs.value_or(0));
        now = now + roundTrip + renewal->maxWait;
        session.renewalAnswered(reportAt((now - ownedSince).count()), now);
    }
}

} // namespace

TEST_CASE("The first renewal grants no lease and later ones grant it on the worker's clock")
{
    WorkerSession session = startSession();
    const auto first = session.nextRenewal(true, maxWait, ownedSince);
    REQUIRE(first.has_value());
    CHECK_FALSE(first->leaseUntilClockMs.has_value());
    CHECK(first->maxWait == Millis{0});
    CHECK_FALSE(session.nextRenewal(true, maxWait, ownedSince).has_value()); // One is in flight.
    REQUIRE(session.renewalAnswered(reportAt(3'000), ownedSince + Millis{10}));
    CHECK_FALSE(
        session.nextRenewal(true, maxWait, ownedSince + Millis{9} + renewalDelay).has_value());
    const auto second = session.nextRenewal(true, maxWait, ownedSince + Millis{10} + renewalDelay);
    REQUIRE(second.has_value());
    CHECK(*second->leaseUntilClockMs == 3'000 + renewalDelay.count() + leaseTermMs);
    CHECK(second->maxWait == maxWait);
}

TEST_CASE("A raised fence makes a renewal due and the worker unresponsive until it answers")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(1), ownedSince);
    CHECK(session.responsive());
    session.raiseFence(ownedSince + Millis{5});
    CHECK_FALSE(session.responsive());
    const auto renewal = session.nextRenewal(true, maxWait, ownedSince + Millis{5});
    REQUIRE(renewal.has_value());
    CHECK(renewal->target.fence == firstFence + 1);
    CHECK(renewal->maxWait == Millis{0});
    session.renewalAnswered(reportAt(2), ownedSince + Millis{9});
    CHECK(session.responsive());
    CHECK(session.answeredFence() == firstFence + 1);
}

TEST_CASE("Ends of runs are acknowledged only once they are durable")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(1), ownedSince);
    session.recordAppliedEnds(5);
    CHECK_FALSE(session.nextRenewal(true, maxWait, ownedSince + Millis{500}).has_value());
    // While the store is down, ends don't become durable; the lease must be renewed nevertheless.
    const auto renewal = session.nextRenewal(true, maxWait, ownedSince + Millis{1'000});
    REQUIRE(renewal.has_value());
    CHECK(renewal->ackedEndNumber == 0);
    CHECK(renewal->maxWait == Millis{0});
    session.renewalAnswered(reportAt(1'000), ownedSince + Millis{1'001});
    session.recordDurableEnds(5);
    CHECK(session.nextRenewal(true, maxWait, ownedSince + Millis{1'001} + renewalDelay)
              ->ackedEndNumber
          == 5);
}

TEST_CASE("A lease counts as expired only after the slowest worker clock has passed its end")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(1'000), ownedSince);
    const auto renewal = session.nextRenewal(true, maxWait, ownedSince + Millis{20'000});
    REQUIRE(renewal.has_value());
    CHECK(*renewal->leaseUntilClockMs == 1'000 + 20'000 + leaseTermMs);
    CHECK_FALSE(session.leaseExpired(ownedSince + Millis{26'000}));
    CHECK(session.leaseExpired(ownedSince + Millis{27'200}));
}

// Guards against a task that is held up for a whole lease because the start on a worker that was
// gone by then granted one.
TEST_CASE("A start on an idle worker grants a short lease and renewals a full one after an answer")
{
    const std::int64_t startLeaseTermMs = WorkerSessionSettings().startLeaseTerm.count();
    WorkerSession session = startSession();
    const Instant answeredAt = ownedSince + Millis{10'000};
    session.nextRenewal(false, maxWait, answeredAt);
    session.renewalAnswered(reportAt(18'500), answeredAt);
    const Instant startAt = answeredAt + Millis{2'500};
    CHECK(session.grantStartLease(startAt) == 21'000 + startLeaseTermMs);
    const auto probe = session.nextRenewal(true, maxWait, startAt);
    REQUIRE(probe.has_value());
    CHECK_FALSE(probe->leaseUntilClockMs.has_value());
    CHECK(probe->maxWait == Millis{0});
    CHECK(session.leaseExpired(startAt + Millis{2'400}));
    session.renewalAnswered(reportAt(21'000), startAt + Millis{5});
    const auto next = session.nextRenewal(true, maxWait, startAt + Millis{5});
    REQUIRE(next.has_value());
    CHECK(*next->leaseUntilClockMs == 21'000 + leaseTermMs);
    CHECK(next->maxWait == Millis{0}); // If it is lost, there must be time to repeat it.
    session.renewalAnswered(reportAt(21'005), startAt + Millis{10});
    const auto held = session.nextRenewal(true, maxWait, startAt + Millis{10} + renewalDelay);
    REQUIRE(held.has_value());
    CHECK(held->maxWait == maxWait);
}

// A renewal whose answer is lost may still extend the lease. If each renewal to an unresponsive
// worker granted a lease, the owner could never tell that its runs are over.
TEST_CASE("The lease of an unresponsive worker expires however often renewals are sent")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(1'000), ownedSince);
    Instant now = ownedSince + Millis{20'000};
    REQUIRE(session.nextRenewal(true, maxWait, now)->leaseUntilClockMs.has_value());
    const Instant lastGrant = now;
    while (!session.leaseExpired(now) && now < lastGrant + Millis{20'000}) {
        session.renewalFailed(now);
        now = now + Millis{1'000};
        const auto renewal = session.nextRenewal(true, maxWait, now);
        REQUIRE(renewal.has_value());
        CHECK_FALSE(renewal->leaseUntilClockMs.has_value());
    }
    CHECK(now <= lastGrant + Millis{8'000});
}

// Guards against an owner that has lost the store and asks its workers in a tight loop: the answer
// to a renewal without a lease made the next one due at once.
TEST_CASE("Renewals that may grant no lease are sent no more often than others")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(1'000), ownedSince);
    session.nextRenewal(true, maxWait, ownedSince + renewalDelay);
    session.renewalAnswered(reportAt(1'120), ownedSince + renewalDelay);
    const Instant latestEnd = ownedSince + Millis{1'000};
    int renewals = 0;
    for (Instant now = latestEnd; now < latestEnd + Millis{1'200}; now = now + Millis{1}) {
        if (!session.nextRenewal(true, Millis{0}, now, latestEnd))
            continue;
        ++renewals;
        session.renewalAnswered(reportAt((now - ownedSince).count() + 1'000), now);
    }
    CHECK(renewals <= 1'200 / renewalDelay.count() + 1);
}

TEST_CASE("A lease of an earlier owner expires one longest term after the shard was taken over")
{
    const WorkerSession session = startSession();
    CHECK_FALSE(session.leaseExpired(ownedSince + Millis{10'500}));
    CHECK(session.leaseExpired(ownedSince + Millis{10'600}));
}

// Guards against a wait for the longest lease of a worker whose leases are known to be over before.
TEST_CASE("Runs that an earlier owner knew of end with its grants while this owner grants nothing")
{
    const Instant grantsEnd = ownedSince + Millis{3'000};
    WorkerSession session({"w", 7}, "10.0.0.1:1", firstFence, ownedSince, {},
                          EarlierGrants{ownedSince, grantsEnd});
    CHECK(session.confirmedRunsEndAt() == grantsEnd);
    CHECK(session.leaseExpiresAt() > grantsEnd); // A run that no worker had confirmed may last.
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(9'000), ownedSince);
    CHECK_FALSE(session.hasGranted());
    CHECK(session.confirmedRunsEndAt() == grantsEnd);
    session.grantStartLease(ownedSince + Millis{100});
    CHECK(session.hasGranted());
    CHECK(session.confirmedRunsEndAt() == session.leaseExpiresAt());
}

TEST_CASE("A lease has surely expired after the delay by the slowest clock that a worker may have")
{
    const WorkerSessionSettings settings;
    const Millis span{9'700};
    CHECK(settings.expiryDelay(span) == settings.longestFor(span + Millis{251}) - span);
    CHECK(settings.expiryDelay(span) > Millis{300}); // 3 % of the span.
}

TEST_CASE("A new incarnation of the worker resets the session and raises the fence")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(9'000), ownedSince);
    session.recordAppliedEnds(4);
    session.nextRenewal(true, maxWait, ownedSince + Millis{1'000});
    // The answer comes from another incarnation than the renewal was for.
    CHECK_FALSE(session.renewalAnswered(reportAt(5, 8), ownedSince + Millis{1'010}));
    session.update({"w", 8}, "10.0.0.1:1", ownedSince + Millis{1'010});
    CHECK(session.fence() == firstFence + 1);
    CHECK_FALSE(session.hasAnswered());
    CHECK(session.appliedEnds() == 0);
}

// Guards against runs that are believed to run for minutes on a worker that has restarted under its
// id: its clock starts anew near 0, far before the end of the lease on the clock of the life
// before.
TEST_CASE("A clock that starts anew does not put off the end of the lease")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(500'000), ownedSince);
    const Instant grantedAt = ownedSince + Millis{20'000};
    session.recordClock(520'000, grantedAt);
    session.grantStartLease(grantedAt);
    const Millis executionDelay = WorkerSessionSettings().maxExecutionDelay;
    for (Millis t{10}; t < Millis{30'000}; t = t + Millis{250}) {
        session.recordClock(50 + t.count(), grantedAt + t); // Answers to repeated stop orders.
        // The restarted worker may take the lease over late, for the longest term.
        const Millis longestInherited = executionDelay + Millis{10'000};
        CHECK((t >= longestInherited || !session.leaseExpired(grantedAt + t)));
        CHECK((t <= longestInherited + Millis{600} || session.leaseExpired(grantedAt + t)));
    }
}

// Guards against a second run beside one that the worker's next life executes late, with a lease
// that was meant for the life before.
TEST_CASE("Leases that a worker inherited end one longest term after it has seen the raised fence")
{
    for (const bool fromEarlierOwner : {true, false}) {
        CAPTURE(fromEarlierOwner);
        WorkerSession session({"w", 7}, "10.0.0.1:1", firstFence, ownedSince, {},
                              EarlierGrants{ownedSince});
        Instant answeredAt = ownedSince + Millis{4'000};
        session.nextRenewal(true, maxWait, ownedSince);
        session.renewalAnswered(reportAt(500'000), answeredAt);
        if (!fromEarlierOwner) {
            const Instant grantedAt = answeredAt + Millis{60'000};
            CHECK(session.inheritedLeasesEndAt() < grantedAt);
            session.recordClock(560'000, grantedAt);
            session.grantStartLease(grantedAt);
            session.update({"w", 8}, "10.0.0.1:1", grantedAt + Millis{100});
            answeredAt = grantedAt + Millis{3'000};
            session.nextRenewal(true, maxWait, grantedAt + Millis{100});
            session.renewalAnswered(reportAt(2'900, 8), answeredAt);
        }
        CHECK(session.inheritedLeasesEndAt() >= answeredAt + Millis{10'204}); // 2 % slow.
        CHECK(session.inheritedLeasesEndAt() <= answeredAt + Millis{10'600});
    }
}

// Guards against waits for leases that nobody can have inherited.
TEST_CASE("A worker that a shard's first owner meets has inherited no lease")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(1'000), ownedSince);
    CHECK(session.inheritedLeasesEndAt() <= ownedSince);
}

TEST_CASE("An order of an earlier owner is executed within the longest delay or not at all")
{
    WorkerSession session({"w", 7}, "10.0.0.1:1", firstFence, ownedSince, {},
                          EarlierGrants{ownedSince});
    const Instant joinedAt = ownedSince + Millis{60'000};
    session.nextRenewal(false, maxWait, joinedAt);
    session.renewalAnswered(reportAt(1'000), joinedAt);
    CHECK(session.inheritedLeasesEndAt() < joinedAt);
}

// Guards against ends that are lost: a worker that starts again under its id numbers its ends from
// 1 and forgets those that the number of the life before covers.
TEST_CASE("An acknowledgement that a worker has answered is not sent again")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(1'000), ownedSince);
    session.recordAppliedEnds(57);
    session.recordDurableEnds(57);
    const Instant ackedAt = ownedSince + renewalDelay;
    const auto ack = session.nextRenewal(true, maxWait, ackedAt);
    REQUIRE(ack.has_value());
    CHECK(ack->ackedEndNumber == 57);
    session.renewalAnswered(reportAt(1'120), ackedAt);
    const auto next = session.nextRenewal(true, maxWait, ackedAt + renewalDelay);
    REQUIRE(next.has_value());
    CHECK(next->ackedEndNumber == 0); // The worker may have started again since.
}

// Guards against ends that are lost: an acknowledgement for the life of a worker that is over is
// sent to the next one, of which only the clock in the reply to a start tells so far.
TEST_CASE("A clock that starts anew holds back acknowledgements and starts until a report")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(500'000), ownedSince);
    session.recordAppliedEnds(57);
    const Instant restartedAt = ownedSince + Millis{500};
    session.recordClock(40, restartedAt);
    session.recordDurableEnds(57);
    CHECK_FALSE(session.responsive());
    const auto renewal = session.nextRenewal(true, maxWait, restartedAt);
    REQUIRE(renewal.has_value());
    CHECK(renewal->ackedEndNumber == 0);
    CHECK_FALSE(renewal->leaseUntilClockMs.has_value());
    CHECK(renewal->target.fence == firstFence + 1);
    CHECK_FALSE(session.renewalAnswered(reportAt(50, 8), restartedAt + Millis{10}));
}

// Guards against ends that are lost: a worker is silent because it starts again, and is then sent
// the acknowledgement that its life before did not answer.
TEST_CASE("A silent worker must answer before ends are acknowledged to it")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(1'000), ownedSince);
    session.recordAppliedEnds(5);
    session.recordDurableEnds(5);
    Instant now = ownedSince + renewalDelay;
    REQUIRE(session.nextRenewal(true, maxWait, now)->ackedEndNumber == 5);
    session.renewalFailed(now);
    now = now + WorkerSessionSettings().retryDelay;
    const auto probe = session.nextRenewal(true, maxWait, now);
    REQUIRE(probe.has_value());
    CHECK(probe->ackedEndNumber == 0);
    session.renewalAnswered(reportAt(1'400), now);
    const auto next = session.nextRenewal(true, maxWait, now + renewalDelay);
    REQUIRE(next.has_value());
    CHECK(next->ackedEndNumber == 5);
}

// Guards against a new run that lapses although its worker is up: the first renewal that would
// extend the short lease of its start is lost.
TEST_CASE("A run outlives the loss of any one renewal after its start")
{
    for (const int lost : {1, 2}) {
        CAPTURE(lost);
        checkLeaseOutlivesLoss(lost, Millis{60});
    }
}

// Guards against a new run that lapses because its worker held the renewal that would have extended
// the lease: when the owner learnt that it was lost, no time was left to repeat it.
TEST_CASE("A run outlives the loss of any one renewal after its start with slow answers")
{
    for (const int lost : {1, 2}) {
        CAPTURE(lost);
        checkLeaseOutlivesLoss(lost, Millis{300});
    }
}

// Guards against new runs that lapse because their owner's event loop stood still: it learns only
// after that pause that the first renewal was answered, or that it has timed out.
TEST_CASE("A run outlives a pause of its owner right after its start")
{
    constexpr Millis pause{1'600};
    constexpr Millis roundTrip{60};
    for (const bool answered : {true, false}) {
        CAPTURE(answered);
        WorkerSession session = startSession();
        session.nextRenewal(false, maxWait, ownedSince);
        session.renewalAnswered(reportAt(0), ownedSince);
        const Instant startAt = ownedSince + Millis{2'000};
        const std::int64_t leaseUntil = session.grantStartLease(startAt);
        REQUIRE(session.nextRenewal(true, maxWait, startAt).has_value());
        Instant now = startAt + pause;
        if (answered)
            session.renewalAnswered(reportAt(2'030), now);
        else
            session.renewalFailed(now);
        std::optional<RenewLeaseCommand> renewal;
        for (; !renewal || !renewal->leaseUntilClockMs; now = now + Millis{1}) {
            REQUIRE((now - ownedSince).count() + roundTrip.count() / 2 < leaseUntil);
            renewal = session.nextRenewal(true, maxWait, now);
            if (!renewal || renewal->leaseUntilClockMs)
                continue;
            now = now + roundTrip;
            session.renewalAnswered(reportAt((now - ownedSince).count()), now);
        }
    }
}

// Guards against an owner that has lost touch with the store, and goes on renewing leases that its
// successor takes for over.
TEST_CASE("No lease is granted beyond the limit that its owner is under")
{
    WorkerSession session = startSession();
    session.nextRenewal(true, maxWait, ownedSince);
    session.renewalAnswered(reportAt(0), ownedSince);
    const Instant limit = ownedSince + Millis{8'000};
    std::int64_t longest = 0;
    for (Instant now = ownedSince + renewalDelay; now < limit + Millis{2'000};
         now = now + renewalDelay) {
        const auto renewal = session.nextRenewal(true, maxWait, now, limit);
        REQUIRE(renewal.has_value());
        CHECK(renewal->leaseUntilClockMs.has_value() == (now < limit));
        longest = std::max(longest, renewal->leaseUntilClockMs.value_or(0));
        session.renewalAnswered(reportAt((now - ownedSince).count()), now);
    }
    CHECK(longest == (limit - ownedSince).count());
    CHECK(session.grantStartLease(limit - Millis{500}, limit) <= (limit - ownedSince).count());
}
