// Measures the CPU cost of the scheduling decisions for one urgent request with 65 to 10,000
// instances, of a claim, and of updating the slot assignment.

#include "report.h"

#include "savorywick/admission.h"
#include "savorywick/hedge.h"
#include "savorywick/idempotency.h"
#include "savorywick/retrybudget.h"
#include "savorywick/router.h"
#include "savorywick/slotassignment.h"

#include <chrono>
#include <random>

using namespace savorywick;
using namespace savorywick::bench;

namespace {

constexpr int slotsPerInstance = 8;
constexpr int requests = 400'000;
constexpr int claimRequests = 100'000;
constexpr std::size_t inFlightTarget = 40;

std::vector<InstanceInfo> makeInstances(int count)
{
    std::vector<InstanceInfo> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        const std::string zone = "zone-" + std::to_string(n % 3);
        result.push_back({"instance-" + std::to_string(n), zone, n % 3 == 2 ? "east" : "west",
                          "rack-" + std::to_string(n / 11), slotsPerInstance});
    }
    return result;
}

std::vector<EntryInfo> makeEntries(int count)
{
    std::vector<EntryInfo> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        const std::string zone = "zone-" + std::to_string(n % 3);
        result.push_back({"entry-" + std::to_string(n), zone, n % 3 == 2 ? "east" : "west"});
    }
    return result;
}

// Runs `action` once and returns its duration in nanoseconds divided by `count`.
template<typename Action>
double nanosPerIteration(int count, Action action)
{
    const auto begin = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - begin;
    return taken.count() / count;
}

// Measures all decisions for a repeatable request that is answered at the first attempt.
double nanosPerRequest(int instanceCount)
{
    Instant now{1};
    Router router({.availabilityZone = "zone-0", .region = "west"}, 1);
    router.setInstances(makeInstances(instanceCount), now);
    AdmissionQueue admission({}, {});
    RetryBudget budget({}, now);
    HedgeDelayEstimator hedge({});
    std::mt19937_64 random(20261203);
    std::vector<std::string> inFlight;
    std::int64_t hedgeable = 0;
    return nanosPerIteration(requests, [&] {
        for (int n = 0; n < requests; ++n) {
            now = Instant{1 + n / 10};
            budget.recordFirstAttempt(now);
            admission.submit({static_cast<std::uint64_t>(n), "", 500, now + Millis{1'000}},
                             router.freeSlots(now), now);
            inFlight.push_back(*router.pick({}, now));
            hedgeable += hedge.delay().has_value() ? 1 : 0;
            if (inFlight.size() < inFlightTarget)
                continue;
            std::swap(inFlight[random() % inFlight.size()], inFlight.back());
            const Millis latency{static_cast<std::int64_t>(random() % 40)};
            router.recordCompletion(inFlight.back(), AttemptOutcome::Answered, latency, now);
            admission.recordCompletion("", latency, now);
            hedge.recordLatency(latency);
            inFlight.pop_back();
        }
    });
}

double millisPerAssignmentUpdate(int instanceCount, int entryCount)
{
    const auto instances = makeInstances(instanceCount);
    auto entries = makeEntries(entryCount);
    SlotAssignment assignment({.entryId = "entry-0"});
    assignment.update(entries, instances, Instant{0}, Instant{0});
    const EntryInfo last = entries.back();
    constexpr int rounds = 4;
    const double nanos = nanosPerIteration(rounds, [&] {
        for (int n = 1; n <= rounds; ++n) { // One entry alternately leaves and rejoins.
            if (n % 2 == 1)
                entries.pop_back();
            else
                entries.push_back(last);
            assignment.update(entries, instances, Instant{n}, Instant{n});
        }
    });
    return nanos / 1e6;
}

double nanosPerClaim()
{
    const Instant now{1};
    IdempotencyRegistry registry({}, now);
    std::vector<std::string> records;
    const StoredResponse answer{200, std::string(200, 'x')};
    return nanosPerIteration(claimRequests, [&] {
        for (int n = 0; n < claimRequests; ++n) {
            const std::string key = "key-" + std::to_string(n);
            registry.open({"offers", key, "0123456789abcdef", "request"}, now, records);
            registry.finish("offers", key, answer, now, records);
            records.clear();
        }
    });
}

} // namespace

int main()
{
    reportTableHeader("decisions on one request", {"us"});
    for (const int count : {65, 500, 2'000, 10'000}) {
        report("decision", std::to_string(count) + " instances",
               {{"request us", nanosPerRequest(count) / 1'000}});
    }
    report("decision", "claim and its end", {{"claim us", nanosPerClaim() / 1'000}});
    reportTableHeader("slot share update", {"ms"});
    for (const auto &[instances, entries] :
         {std::pair{65, 9}, {65, 240}, {10'000, 9}, {10'000, 240}}) {
        report("decision",
               std::to_string(instances) + " instances and " + std::to_string(entries) + " entries",
               {{"list ms", millisPerAssignmentUpdate(instances, entries)}});
    }
    return 0;
}
