#pragma once

#include "savorywick/attempt.h"
#include "savorywick/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorywick {

// One upstream instance of a service, as the router knows it.
struct InstanceInfo
{
    std::string id;
    std::string availabilityZone;
    std::string region;
    std::string rack;
    int slots = 0; // Largest number of attempts that this router may have in flight there.
    bool draining = false; // Gets no new attempts; those in flight finish.
};

// The place of an entry and the rules by which its Router ejects instances.
struct RouterSettings
{
    std::string availabilityZone; // The entry's zone; its instances are preferred.
    std::string region; // The entry's region; its instances are preferred to those of others.
    int candidatesPerPick = 2; // Random instances compared for each pick.
    // How long a slot stays taken after a timeout, since the instance may still run the request.
    Millis slotHoldAfterTimeout{2'000};
    Millis baseEjectionTime{500}; // Doubles with each consecutive ejection.
    Millis maxEjectionTime{30'000};
    Millis latencyHalfLife{5'000}; // Time in which a latency sample loses half its weight.
    // The rate of failures, or of slow answers, above which an instance is ejected. The threshold
    // rises with the mean rate of all instances.
    double ejectionThreshold = 0.5;
    // An answer is slow if it takes more than this many times its tier's mean latency.
    double slowLatencyFactor = 4;
    double maxEjectedFraction = 0.5; // Of all instances; further outliers only cost more to pick.
};

// Chooses the upstream instance for each attempt and counts the slots in use.
//
// Use one for each service in each entry. It balances load by the power of two choices: it compares
// a few random instances of the nearest tier that has a free slot, by latency, load and failure
// rate, so that a pick costs the same whatever the number of instances. Outlier detection ejects an
// instance that fails often or is much slower than the others. After the ejection, one attempt at a
// time probes the instance until one succeeds.
//
// Not thread-safe.
//
// Example:
//   Router router({.availabilityZone = "yyc-a", .region = "prairie-west"}, seed);
//   router.setInstances(instances, now);
//   if (const auto id = router.pick({}, now))
//       router.recordCompletion(*id, AttemptOutcome::Answered, Millis{12}, later);
class Router
{
public:
    // Creates a router without instances. `seed` starts the random choice of instances.
    Router(RouterSettings settings, std::uint64_t seed);

    // Replaces the list of instances. An instance that is missing from it gets no new attempts and
    // is removed once it has no slots in use.
    void setInstances(std::span<const InstanceInfo> instances, Instant now);

    // Takes a slot of an instance that is not in `excluded` and returns the instance's id, or
    // nothing if no such instance has a free slot. Call recordCompletion() once for each id.
    std::optional<std::string> pick(std::span<const std::string> excluded, Instant now);

    // Releases the slot of an attempt that took `latency` and records its outcome. After a timeout
    // the slot is released later; see RouterSettings::slotHoldAfterTimeout. An id without attempts
    // in flight is ignored.
    void recordCompletion(std::string_view instance, AttemptOutcome outcome, Millis latency,
                          Instant now);

    // Returns the number of attempts in flight at an instance plus its slots held after timeouts.
    int slotsInUse(std::string_view instance) const;
    // Returns the number of slots that pick() could take now if it excluded no instance.
    int freeSlots(Instant now);
    // Returns the number of instances that are ejected now.
    int ejectedInstances(Instant now);

private:
    enum class Tier : std::uint8_t { SameZone, SameRegion, OtherRegion };
    static constexpr std::size_t tierCount = 3;
    static constexpr std::size_t notInFreeList = static_cast<std::size_t>(-1);

    struct Instance
    {
        InstanceInfo info;
        Tier tier = Tier::OtherRegion;
        bool listed = false;
        bool ejected = false;
        bool probing = false; // Since an ejection: one attempt at a time until one succeeds.
        int inFlight = 0;
        int heldAfterTimeout = 0;
        int consecutiveEjections = 0;
        double failureRate = 0;
        double slowRate = 0;
        bool hasLatencySample = false;
        double latencyMs = 0;
        Instant latencyAt;
        Instant ejectedUntil;
        std::size_t freeIndex = notInFreeList; // Position in the tier's free list.
    };

    // The mean latency of a tier, which also estimates that of an instance without samples.
    struct TierLatency
    {
        double meanMs = 0;
        double samples = 0;
    };

    struct Timer
    {
        Instant at;
        std::string id;
        bool releasesSlot = false; // Releases a held slot; if false, ends an ejection.
        bool operator>(const Timer &other) const { return at > other.at; }
    };

    struct StringHash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): set by the standard.
        std::size_t operator()(std::string_view s) const
        {
            return std::hash<std::string_view>{}(s);
        }
    };

    void runDueTimers(Instant now);
    Tier tierOf(const InstanceInfo &info) const;
    void updateFreeList(Instance &instance);
    void removeFromFreeList(Instance &instance);
    void eraseIfIdle(const std::string &id);
    static int freeSlotsOf(const Instance &instance);
    double expectedLatencyMs(const Instance &instance, Instant now) const;
    double cost(const Instance &instance, Instant now) const;
    Instance *chooseCandidate(const std::vector<Instance *> &candidates,
                              std::span<const std::string> excluded, Instant now);
    Instance *cheapestCandidate(const std::vector<Instance *> &candidates,
                                std::span<const std::string> excluded, Instant now) const;
    void recordLatency(Instance &instance, Millis latency, Instant now);
    bool isSlow(const Instance &instance, Millis latency) const;
    void recordSuccess(Instance &instance, bool slow, Instant now);
    void recordFailure(Instance &instance, AttemptOutcome outcome, Instant now);
    bool isOutlier(double rate, double meanRate) const;
    void eject(Instance &instance, Instant now);

    RouterSettings m_settings;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, Instance, StringHash, std::equal_to<>> m_instances;
    std::array<std::vector<Instance *>, tierCount> m_free;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    int m_ejectedCount = 0;
    int m_freeSlots = 0;
    double m_meanFailureRate = 0;
    double m_meanSlowRate = 0;
    std::array<TierLatency, tierCount> m_tierLatency;
};

} // namespace savorywick
