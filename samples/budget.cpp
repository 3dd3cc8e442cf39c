// A retry budget: in an outage only a share of the requests is sent once more.
#include "savorywick/retrybudget.h"

#include <cstdio>

using namespace savorywick;

namespace {

constexpr int requests = 1'000;
constexpr Millis between{10};
constexpr Millis timeLeft{500};

int repeatsInOutage(RetryBudget &budget, ManualClock &clock)
{
    int repeats = 0;
    for (int n = 0; n < requests; ++n) {
        const Instant now = clock.now();
        const RetryContext question{
            .repeatable = true, .deadline = now + timeLeft, .expectedLatency = Millis{20}};
        budget.recordFirstAttempt(now);
        if (budget.decideRetry(AttemptOutcome::ConnectFailed, question, now).retry)
            ++repeats;
        clock.advance(between);
    }
    return repeats;
}

} // namespace

int main()
{
    ManualClock clock;
    const RetryBudgetSettings settings{
        .retryRatio = 0.1, .minRetriesPerSecond = 1, .maxBalance = 50};
    RetryBudget budget(settings, clock.now());
    const int repeats = repeatsInOutage(budget, clock);
    std::printf("%d requests failed in 10 s; %d were sent once more\n", requests, repeats);

    clock.advance(Millis{10'000});
    const RetryContext late{
        .repeatable = true, .deadline = clock.now() + Millis{5}, .expectedLatency = Millis{20}};
    const RetryDecision decision = budget.decideRetry(AttemptOutcome::Failed, late, clock.now());
    std::printf("5 ms before its deadline a request of 20 ms is not repeated: %s\n",
                toString(decision.denial).data());

    // A tenth of the first tries, one a second, and what may have been saved up before.
    const bool held = repeats >= requests / 10 && repeats <= requests / 10 + 10 + 50;
    return held && !decision.retry && decision.denial == RetryDenial::DeadlineTooShort ? 0 : 1;
}
