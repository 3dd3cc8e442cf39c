// Shows how a retry budget limits retries to a share of the requests while an upstream is down.
#include "savorywick/retrybudget.h"

#include <cstdio>

using namespace savorywick;

namespace {

constexpr int requestCount = 1'000;
constexpr Millis requestInterval{10};
constexpr Millis remainingTime{500};
constexpr Millis expectedLatency{20};

constexpr int outageSeconds = 10; // The duration of requestCount requests.
constexpr int requestsPerRetry = 10; // The inverse of the budget's share, 0.1.
constexpr int maxSavedRetries = 50;

// Sends requests whose attempts all fail to connect. Returns how many retries the budget grants.
int countRetriesDuringOutage(RetryBudget &budget, ManualClock &clock)
{
    int retries = 0;
    for (int n = 0; n < requestCount; ++n) {
        const Instant now = clock.now();
        const RetryContext question{.repeatable = true,
                                    .deadline = now + remainingTime,
                                    .expectedLatency = expectedLatency};
        budget.recordFirstAttempt(now);
        if (budget.decideRetry(AttemptOutcome::ConnectFailed, question, now).retry)
            ++retries;
        clock.advance(requestInterval);
    }
    return retries;
}

} // namespace

int main()
{
    ManualClock clock;
    const RetryBudgetSettings settings{
        .retryRatio = 0.1, .minRetriesPerSecond = 1, .maxBalance = maxSavedRetries};
    RetryBudget budget(settings, clock.now());
    const int retries = countRetriesDuringOutage(budget, clock);
    std::printf("%d requests failed within %d s; the budget granted %d retries\n", requestCount,
                outageSeconds, retries);

    // Waits until the budget has retries again, so that only the deadline can deny the next one.
    clock.advance(Millis{10'000});
    const RetryContext nearDeadline{.repeatable = true,
                                    .deadline = clock.now() + Millis{5},
                                    .expectedLatency = expectedLatency};
    const RetryDecision decision =
        budget.decideRetry(AttemptOutcome::Failed, nearDeadline, clock.now());
    std::printf("no retry 5 ms before the deadline when an attempt takes 20 ms: %s\n",
                toString(decision.denial).data());

    // The upper limit adds one retry per second and the retries saved up before the outage.
    constexpr int minRetries = requestCount / requestsPerRetry;
    constexpr int maxRetries = minRetries + outageSeconds + maxSavedRetries;
    const bool withinBudget = retries >= minRetries && retries <= maxRetries;
    const bool deniedByDeadline =
        !decision.retry && decision.denial == RetryDenial::DeadlineTooShort;
    return withinBudget && deniedByDeadline ? 0 : 1;
}
