#pragma once

#include "savorywick/attempt.h"
#include "savorywick/clock.h"

#include <array>
#include <optional>
#include <string_view>

namespace savorywick {

// Why a request was sent again. Each reason has its own counter.
enum class RetryReason {
    ConnectFailed, // The instance could not be reached.
    RefusedNotRun, // The instance refused the request without running it.
    Failed, // The instance failed; the request is repeatable.
    TimedOut, // The attempt timed out before the request's deadline; the request is repeatable.
    Hedge, // The attempt takes longer than most; the request is repeatable.
};

inline constexpr std::array retryReasons{
    RetryReason::ConnectFailed, RetryReason::RefusedNotRun, RetryReason::Failed,
    RetryReason::TimedOut,      RetryReason::Hedge,
};

// Why a request was not sent again. Each reason has its own counter.
enum class RetryDenial {
    Answered, // The attempt was answered, so there is nothing to retry.
    NotRepeatable, // The request may have run and must not run twice.
    DeadlineTooShort, // Another attempt could not be answered by the deadline.
    TooManyAttempts, // The request has used RetryBudgetSettings::maxAttempts.
    BudgetSpent, // The service's retry budget is spent.
};

inline constexpr std::array retryDenials{
    RetryDenial::Answered,        RetryDenial::NotRepeatable, RetryDenial::DeadlineTooShort,
    RetryDenial::TooManyAttempts, RetryDenial::BudgetSpent,
};

// Return the names as they appear in counters, such as "connect-failed" and "budget-spent".
std::string_view toString(RetryReason reason);
std::string_view toString(RetryDenial denial);

// The size of a retry budget and the limit for one request.
struct RetryBudgetSettings
{
    double retryRatio = 0.1; // Retries that each first attempt adds to the budget.
    double minRetriesPerSecond =
        1; // Retries added each second, so that a service with few requests can retry.
    double maxBalance = 50; // Retries that the budget holds at most.
    int maxAttempts = 3; // Attempts of one request, including the first.
};

// The state of a request when one of its attempts has ended or a hedge is due.
struct RetryContext
{
    bool repeatable = false; // The service document says that the request may take effect twice.
    int attempts = 1; // Attempts made so far.
    Instant deadline;
    Millis expectedLatency; // Expected duration of another attempt.
};

// Whether a request is sent again, and why.
struct RetryDecision
{
    bool retry = false;
    RetryReason reason = RetryReason::Failed; // Valid only if `retry`.
    RetryDenial denial = RetryDenial::Answered; // Valid only if not `retry`.
};

// Decides whether a request is retried or hedged, within a budget that is a fraction of the first
// attempts, so that an outage does not multiply the load.
//
// Use one for each service in each entry. The budget is a token bucket that retries and hedges
// share. The code that sends the next attempt excludes the instances tried before (see
// Router::pick) and passes on the remaining time until the deadline.
//
// Not thread-safe.
//
// Example:
//   RetryBudget budget({}, now);
//   budget.recordFirstAttempt(now);
//   if (budget.decideRetry(AttemptOutcome::ConnectFailed, context, later).retry)
//       sendElsewhere();
class RetryBudget
{
public:
    // Creates a budget that holds the retries of one second, but no more than its maximum.
    RetryBudget(RetryBudgetSettings settings, Instant now);

    // Records a first attempt, which adds a fraction of a retry to the budget.
    void recordFirstAttempt(Instant now);
    // Returns whether to retry after an attempt has ended; spends one retry of the budget if so.
    RetryDecision decideRetry(AttemptOutcome outcome, const RetryContext &context, Instant now);
    // Returns whether to hedge an attempt that is still in flight; spends one retry of the budget
    // if so.
    RetryDecision decideHedge(const RetryContext &context, Instant now);
    // Returns the number of retries that the budget holds now, which may be a fraction.
    double balance(Instant now);

private:
    RetryDecision decide(RetryReason reason, bool allowed, const RetryContext &context,
                         Instant now);
    void deposit(double retries);
    void depositForElapsedTime(Instant now);

    RetryBudgetSettings m_settings;
    double m_balance = 0;
    Instant m_depositedAt;
};

} // namespace savorywick
