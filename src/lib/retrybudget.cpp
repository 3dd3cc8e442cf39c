#include "savorywick/retrybudget.h"

#include <algorithm>

namespace savorywick {

namespace {

constexpr double millisPerSecond = 1'000;

RetryReason reasonFor(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::ConnectFailed:
        return RetryReason::ConnectFailed;
    case AttemptOutcome::RefusedNotRun:
        return RetryReason::RefusedNotRun;
    case AttemptOutcome::TimedOut:
        return RetryReason::TimedOut;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Answered:
        break;
    }
    return RetryReason::Failed;
}

RetryDecision deny(RetryDenial denial)
{
    return {false, RetryReason::Failed, denial};
}

} // namespace

std::string_view toString(RetryReason reason)
{
    switch (reason) {
    case RetryReason::ConnectFailed:
        return "connect-failed";
    case RetryReason::RefusedNotRun:
        return "refused-not-run";
    case RetryReason::Failed:
        return "failed";
    case RetryReason::TimedOut:
        return "timed-out";
    case RetryReason::Hedge:
        return "hedge";
    }
    return "unnamed";
}

std::string_view toString(RetryDenial denial)
{
    switch (denial) {
    case RetryDenial::Answered:
        return "answered";
    case RetryDenial::NotRepeatable:
        return "not-repeatable";
    case RetryDenial::DeadlineTooShort:
        return "deadline-too-short";
    case RetryDenial::TooManyAttempts:
        return "too-many-attempts";
    case RetryDenial::BudgetSpent:
        return "budget-spent";
    }
    return "unnamed";
}

RetryBudget::RetryBudget(RetryBudgetSettings settings, Instant now)
    : m_settings(settings)
    , m_balance(std::min(settings.minRetriesPerSecond, settings.maxBalance))
    , m_depositedAt(now)
{ }

void RetryBudget::recordFirstAttempt(Instant now)
{
    depositForElapsedTime(now);
    deposit(m_settings.retryRatio);
}

RetryDecision RetryBudget::decideRetry(AttemptOutcome outcome, const RetryContext &context,
                                       Instant now)
{
    if (outcome == AttemptOutcome::Answered)
        return deny(RetryDenial::Answered);
    const bool allowed = context.repeatable || isKnownNotExecuted(outcome);
    return decide(reasonFor(outcome), allowed, context, now);
}

RetryDecision RetryBudget::decideHedge(const RetryContext &context, Instant now)
{
    return decide(RetryReason::Hedge, context.repeatable, context, now);
}

double RetryBudget::balance(Instant now)
{
    depositForElapsedTime(now);
    return m_balance;
}

RetryDecision RetryBudget::decide(RetryReason reason, bool allowed, const RetryContext &context,
                                  Instant now)
{
    depositForElapsedTime(now);
    if (!allowed)
        return deny(RetryDenial::NotRepeatable);
    if (context.attempts >= m_settings.maxAttempts)
        return deny(RetryDenial::TooManyAttempts);
    if (now + context.expectedLatency >= context.deadline)
        return deny(RetryDenial::DeadlineTooShort);
    if (m_balance < 1)
        return deny(RetryDenial::BudgetSpent);
    m_balance -= 1;
    return {true, reason, RetryDenial::Answered};
}

void RetryBudget::deposit(double retries)
{
    m_balance = std::min(m_settings.maxBalance, m_balance + retries);
}

void RetryBudget::depositForElapsedTime(Instant now)
{
    if (now <= m_depositedAt)
        return;
    const double seconds = static_cast<double>((now - m_depositedAt).count()) / millisPerSecond;
    m_depositedAt = now;
    deposit(m_settings.minRetriesPerSecond * seconds);
}

} // namespace savorywick
