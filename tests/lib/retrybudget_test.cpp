#include "savorywick/retrybudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace savorywick;

namespace {

constexpr RetryBudgetSettings settings{
    .retryRatio = 0.2, .minRetriesPerSecond = 2, .maxBalance = 10, .maxAttempts = 3};

// Returns the decision as text for failure messages.
std::string describe(const RetryDecision &decision)
{
    return decision.retry ? "retry: " + std::string(toString(decision.reason))
                          : "no: " + std::string(toString(decision.denial));
}

RetryContext contextOf(bool repeatable, int attempts = 1)
{
    return {repeatable, attempts, Instant{1'000}, Millis{10}};
}

} // namespace

// Guards against retry storms: retries without a bound multiply the load during an outage.
TEST_CASE("Retries stay within the share of first attempts and the rate per second")
{
    CHECK(rc::check("over any sequence of first attempts, failures, hedges and time", [] {
        Instant now{0};
        RetryBudget budget(settings, now);
        double firstAttempts = 0;
        double retries = 0;
        const int events = *rc::gen::inRange(0, 400);
        for (int n = 0; n < events; ++n) {
            const RetryContext context{true, 1, now + Millis{1'000}, Millis{10}};
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                budget.recordFirstAttempt(now);
                ++firstAttempts;
                break;
            case 1:
                now = now + Millis{*rc::gen::inRange(0, 300)};
                break;
            case 2:
                retries += budget.decideHedge(context, now).retry ? 1 : 0;
                break;
            default:
                retries += budget.decideRetry(AttemptOutcome::Failed, context, now).retry ? 1 : 0;
            }
            const double seconds = static_cast<double>(now.count()) / 1'000;
            const double bound =
                settings.retryRatio * firstAttempts + settings.minRetriesPerSecond * (seconds + 1);
            RC_ASSERT(retries <= bound + 1e-6);
            RC_ASSERT(budget.balance(now) <= settings.maxBalance);
        }
    }));
}

TEST_CASE("A request is retried only if it is repeatable or certainly did not run")
{
    struct Row
    {
        AttemptOutcome outcome;
        bool repeatable;
        const char *expected;
    };
    const Row rows[]{
        {AttemptOutcome::Answered, true, "no: answered"},
        {AttemptOutcome::Failed, true, "retry: failed"},
        {AttemptOutcome::Failed, false, "no: not-repeatable"},
        {AttemptOutcome::TimedOut, true, "retry: timed-out"},
        {AttemptOutcome::TimedOut, false, "no: not-repeatable"},
        {AttemptOutcome::RefusedNotRun, true, "retry: refused-not-run"},
        {AttemptOutcome::RefusedNotRun, false, "retry: refused-not-run"},
        {AttemptOutcome::ConnectFailed, true, "retry: connect-failed"},
        {AttemptOutcome::ConnectFailed, false, "retry: connect-failed"},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(toString(row.outcome)));
        CAPTURE(row.repeatable);
        RetryBudget budget(settings, Instant{0});
        const auto decision =
            budget.decideRetry(row.outcome, contextOf(row.repeatable), Instant{0});
        CHECK(describe(decision) == row.expected);
    }
}

TEST_CASE("A hedge needs a repeatable request")
{
    RetryBudget budget(settings, Instant{0});
    CHECK(describe(budget.decideHedge(contextOf(false), Instant{0})) == "no: not-repeatable");
    CHECK(describe(budget.decideHedge(contextOf(true), Instant{0})) == "retry: hedge");
}

TEST_CASE("A request is not retried too often or too late and a denial spends no budget")
{
    RetryBudget budget(settings, Instant{0});
    const double before = budget.balance(Instant{990});
    const auto failed = AttemptOutcome::Failed;
    CHECK(describe(budget.decideRetry(failed, contextOf(true, 3), Instant{990}))
          == "no: too-many-attempts");
    CHECK(describe(budget.decideRetry(failed, contextOf(true), Instant{990}))
          == "no: deadline-too-short");
    CHECK(budget.balance(Instant{990}) == before);
}

TEST_CASE("A spent budget denies retries until first attempts have refilled it")
{
    RetryBudget budget(settings, Instant{0});
    const auto ask = [&] {
        return describe(budget.decideRetry(AttemptOutcome::Failed, contextOf(true), Instant{0}));
    };
    CHECK(ask() == "retry: failed");
    CHECK(ask() == "retry: failed");
    CHECK(ask() == "no: budget-spent");
    for (int n = 0; n < 6; ++n)
        budget.recordFirstAttempt(Instant{0});
    CHECK(ask() == "retry: failed");
    CHECK(ask() == "no: budget-spent");
}
