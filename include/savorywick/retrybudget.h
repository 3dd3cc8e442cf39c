#pragma once

#include "savorywick/attempt.h"
#include "savorywick/clock.h"

#include <array>
#include <optional>
#include <string_view>

namespace savorywick {

// Why a request was sent once more. Each has its own counter.
enum class RetryReason {
    ConnectFailed, // The instance could not be reached.
    RefusedNotRun, // The instance refused without running it.
    Failed, // The instance failed; the request is repeatable.
    TimedOut, // The attempt's own limit passed, the request's deadline not; it is repeatable.
    Hedge, // No answer yet when most others have one; the request is repeatable.
};

inline constexpr std::array retryReasons{
    RetryReason::ConnectFailed, RetryReason::RefusedNotRun, RetryReason::Failed,
    RetryReason::TimedOut,      RetryReason::Hedge,
};

// Why a request was not sent once more.
enum class RetryDenial {
    Answered, // There is nothing to repeat.
    NotRepeatable, // It may have run and may not run twice.
    DeadlineTooShort, // Another attempt could not be answered in time.
    TooManyAttempts,
    BudgetSpent, // The service's budget of repeats is used up.
};

inline constexpr std::array retryDenials{
    RetryDenial::Answered,        RetryDenial::NotRepeatable, RetryDenial::DeadlineTooShort,
    RetryDenial::TooManyAttempts, RetryDenial::BudgetSpent,
};

// Return the names as they appear in counters, such as "connect-failed" and "budget-spent".
std::string_view toString(RetryReason reason);
std::string_view toString(RetryDenial denial);

struct RetryBudgetSettings
{
    double share = 0.1; // Repeats for each first try.
    double perSecond = 1; // Repeats allowed besides, so that a quiet service may repeat too.
    double largestSavings = 50; // Repeats that may be saved up.
    int maxAttempts = 3; // Of one request, the first included.
};

// What is known of a request when one of its attempts has ended, or a hedge is due.
struct RetryQuestion
{
    bool repeatable = false; // The document says that it may take effect twice.
    int attempts = 1; // Made so far.
    Instant deadline;
    Millis expectedLatency; // Of another attempt.
};

struct RetryDecision
{
    bool retry = false;
    RetryReason reason = RetryReason::Failed; // Set only if `retry`.
    RetryDenial denial = RetryDenial::Answered; // Set only if not `retry`.
};

// Decides whether a request is sent once more, within a budget that is a share of first tries, so
// that an outage is not multiplied.
//
// Use one for each service in each entry. Retries and hedges share the budget. Whoever repeats
// excludes the instances tried before (see Router::pick) and passes on the remaining deadline.
//
// Not thread-safe.
//
// Example:
//   RetryBudget budget({}, now);
//   budget.firstTry(now);
//   if (budget.afterAttempt(AttemptOutcome::ConnectFailed, question, later).retry)
//       sendElsewhere();
class RetryBudget
{
public:
    RetryBudget(RetryBudgetSettings settings, Instant now);

    // Notes a first try, which earns a share of a repeat.
    void firstTry(Instant now);
    // Decides after an attempt has ended; spends one repeat of the budget if it says so.
    RetryDecision afterAttempt(AttemptOutcome outcome, const RetryQuestion &question, Instant now);
    // Decides whether to hedge an attempt that is still in flight; spends one repeat if so.
    RetryDecision hedge(const RetryQuestion &question, Instant now);
    // Returns the repeats that may be spent now.
    double savings(Instant now);

private:
    RetryDecision decide(RetryReason reason, bool allowed, const RetryQuestion &question,
                         Instant now);
    void earn(double repeats);
    void earnByTime(Instant now);

    RetryBudgetSettings m_settings;
    double m_savings = 0;
    Instant m_earnedAt;
};

} // namespace savorywick
