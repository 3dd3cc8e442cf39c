#include "savorywick/retrybudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace savorywick;

namespace {

constexpr RetryBudgetSettings settings{
    .share = 0.2, .perSecond = 2, .largestSavings = 10, .maxAttempts = 3};

// Returns what was decided as text, which a failure message can show.
std::string textOf(const RetryDecision &decision)
{
    return decision.retry ? "retry: " + std::string(toString(decision.reason))
                          : "no: " + std::string(toString(decision.denial));
}

RetryQuestion question(bool repeatable, int attempts = 1)
{
    return {repeatable, attempts, Instant{1'000}, Millis{10}};
}

} // namespace

TEST_CASE("Repeats stay within the share of first tries and the floor")
{
    CHECK(rc::check("over any sequence of tries, failures, hedges and time", [] {
        Instant now{0};
        RetryBudget budget(settings, now);
        double firstTries = 0;
        double repeats = 0;
        const int events = *rc::gen::inRange(0, 400);
        for (int n = 0; n < events; ++n) {
            const RetryQuestion asked{true, 1, now + Millis{1'000}, Millis{10}};
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                budget.firstTry(now);
                ++firstTries;
                break;
            case 1:
                now = now + Millis{*rc::gen::inRange(0, 300)};
                break;
            case 2:
                repeats += budget.hedge(asked, now).retry ? 1 : 0;
                break;
            default:
                repeats += budget.afterAttempt(AttemptOutcome::Failed, asked, now).retry ? 1 : 0;
            }
            const double seconds = static_cast<double>(now.count()) / 1'000;
            const double bound = settings.share * firstTries + settings.perSecond * (seconds + 1);
            RC_ASSERT(repeats <= bound + 1e-6);
            RC_ASSERT(budget.savings(now) <= settings.largestSavings);
        }
    }));
}

TEST_CASE("A request is repeated only if it is repeatable or surely did not run")
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
            budget.afterAttempt(row.outcome, question(row.repeatable), Instant{0});
        CHECK(textOf(decision) == row.expected);
    }
}

TEST_CASE("A hedge needs a repeatable request")
{
    RetryBudget budget(settings, Instant{0});
    CHECK(textOf(budget.hedge(question(false), Instant{0})) == "no: not-repeatable");
    CHECK(textOf(budget.hedge(question(true), Instant{0})) == "retry: hedge");
}

TEST_CASE("A request is not repeated too often or too late and a denial costs nothing")
{
    RetryBudget budget(settings, Instant{0});
    const double before = budget.savings(Instant{990});
    const auto failed = AttemptOutcome::Failed;
    CHECK(textOf(budget.afterAttempt(failed, question(true, 3), Instant{990}))
          == "no: too-many-attempts");
    CHECK(textOf(budget.afterAttempt(failed, question(true), Instant{990}))
          == "no: deadline-too-short");
    CHECK(budget.savings(Instant{990}) == before);
}

TEST_CASE("A spent budget denies until first tries have earned a repeat")
{
    RetryBudget budget(settings, Instant{0});
    const auto ask = [&] {
        return textOf(budget.afterAttempt(AttemptOutcome::Failed, question(true), Instant{0}));
    };
    CHECK(ask() == "retry: failed");
    CHECK(ask() == "retry: failed");
    CHECK(ask() == "no: budget-spent");
    for (int n = 0; n < 6; ++n)
        budget.firstTry(Instant{0});
    CHECK(ask() == "retry: failed");
    CHECK(ask() == "no: budget-spent");
}
