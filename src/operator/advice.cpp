#include "operator/advice.h"

#include <algorithm>
#include <array>

namespace savorywick {

namespace {

constexpr std::array advice{
    // Urgent requests.
    Advice{"deadline-too-short", "too little time was left to answer",
           "have callers allow more time, or add instances"},
    Advice{"queue-full", "more requests waited than the team's part of the queue holds",
           "add instances, or have callers come back as told"},
    Advice{"queue-bytes-full", "the bodies that waited filled the team's part of the queue",
           "raise limits.queueBytes, or send smaller bodies"},
    Advice{"expired-in-queue", "no slot came free before the deadline", "add instances"},
    Advice{"no-instance", "no instance of the service was live",
           "look at the suspect hosts and the membership list"},
    Advice{"store-unavailable", "the table service did not answer, so nothing could be kept",
           "none here: callers come back as told once it answers"},
    Advice{"claims-full", "more idempotency keys are kept than a shard may hold",
           "lower limits.claimRetentionMs, or have callers slow down"},
    Advice{"draining", "this entry was shutting down", "none: another entry takes the request"},
    // Retries and denied retries.
    Advice{"connect-failed", "an instance could not be reached; another one was tried",
           "look at the suspect hosts if there are many"},
    Advice{"refused-not-run", "an instance had no free slot; another one was tried",
           "add instances if there are many"},
    Advice{"failed", "an instance failed a repeatable request; another one was tried",
           "look at the instances' logs if there are many"},
    Advice{"timed-out", "an instance was too slow; another one was tried",
           "look for a slow instance or a noisy neighbour"},
    Advice{"hedge", "a slow repeatable request was sent to a second instance",
           "none unless there are many"},
    Advice{"answered", "the answer came before another try was needed", "none"},
    Advice{"not-repeatable", "a request that may run once only was not sent again",
           "none: the caller was told what is known"},
    Advice{"too-many-attempts", "a request had been tried as often as allowed",
           "look at the instances' logs"},
    Advice{"budget-spent", "retries were held back, so that they do not add to an overload",
           "look at why first tries fail"},
    // Runs and watchers.
    Advice{"fits-no-worker", "no worker is large enough for the declared demand",
           "lower the class's demand in the document"},
    Advice{"key-reused", "an idempotency key came back with another body",
           "have the caller use a new key for each new request"},
    Advice{"next-in-turn", "it is about to start", "none"},
    Advice{"no-room", "no worker has enough room free", "wait, or add workers"},
    Advice{"not-on-any-host", "no live worker is large enough",
           "lower the class's demand, or bring the large workers back"},
    Advice{"team-quota", "the service holds as much as its quotas allow",
           "wait, or raise the quotas in the document"},
    // Runs that were evicted or lost their worker.
    Advice{"evictions",
           "urgent requests on the same host had become slow, or the worker was leaving",
           "none: the runs resume once from their checkpoints"},
    Advice{"abandonedEvictions", "the run ended before it was moved", "none"},
    Advice{"lapsed", "a worker could not be reached for a whole lease",
           "look at the suspect hosts; the runs start again elsewhere"},
    Advice{"vanished", "a worker no longer knew its task",
           "look at the worker's log if there are many"},
    Advice{"restarts", "a worker had restarted and lost its tasks",
           "look at the worker's log if there are many"},
    // Suspect hosts.
    Advice{"quarantined", "it failed the work of several services, so it gets none but probes",
           "look at the host; it comes back by itself once a probe succeeds"},
    Advice{"probing", "it was in quarantine and is being tried with one task",
           "none: it comes back if the probe succeeds"},
    Advice{"unreachable", "it does not answer; its tasks may still be running",
           "look at the host; its work starts elsewhere once its lease has surely lapsed"},
    Advice{"leaving", "it is leaving and gets no new work", "none"},
    Advice{"slow", "it answers much later than the others", "look at the host and its neighbours"},
};

} // namespace

std::span<const Advice> allAdvice()
{
    return advice;
}

Advice adviceFor(std::string_view reason)
{
    const auto it = std::find_if(advice.begin(), advice.end(),
                                 [reason](const Advice &a) { return a.reason == reason; });
    if (it != advice.end())
        return *it;
    return {reason, "no explanation is available", "search the entry's log for the reason"};
}

} // namespace savorywick
