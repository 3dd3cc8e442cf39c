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
    , m_savings(std::min(settings.perSecond, settings.largestSavings))
    , m_earnedAt(now)
{ }

void RetryBudget::firstTry(Instant now)
{
    earnByTime(now);
    earn(m_settings.share);
}

RetryDecision RetryBudget::afterAttempt(AttemptOutcome outcome, const RetryQuestion &question,
                                        Instant now)
{
    if (outcome == AttemptOutcome::Answered)
        return deny(RetryDenial::Answered);
    const bool allowed = question.repeatable || isKnownNotExecuted(outcome);
    return decide(reasonFor(outcome), allowed, question, now);
}

RetryDecision RetryBudget::hedge(const RetryQuestion &question, Instant now)
{
    return decide(RetryReason::Hedge, question.repeatable, question, now);
}

double RetryBudget::savings(Instant now)
{
    earnByTime(now);
    return m_savings;
}

RetryDecision RetryBudget::decide(RetryReason reason, bool allowed, const RetryQuestion &question,
                                  Instant now)
{
    earnByTime(now);
    if (!allowed)
        return deny(RetryDenial::NotRepeatable);
    if (question.attempts >= m_settings.maxAttempts)
        return deny(RetryDenial::TooManyAttempts);
    if (now + question.expectedLatency >= question.deadline)
        return deny(RetryDenial::DeadlineTooShort);
    if (m_savings < 1)
        return deny(RetryDenial::BudgetSpent);
    m_savings -= 1;
    return {true, reason, RetryDenial::Answered};
}

void RetryBudget::earn(double repeats)
{
    m_savings = std::min(m_settings.largestSavings, m_savings + repeats);
}

void RetryBudget::earnByTime(Instant now)
{
    if (now <= m_earnedAt)
        return;
    const double seconds = static_cast<double>((now - m_earnedAt).count()) / millisPerSecond;
    m_earnedAt = now;
    earn(m_settings.perSecond * seconds);
}

} // namespace savorywick
