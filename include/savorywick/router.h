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

// One upstream instance of a service, as the router sees it.
struct InstanceInfo
{
    std::string id;
    std::string availabilityZone;
    std::string region;
    std::string rack;
    int slots = 0; // Requests that this router may have in flight there at once.
    bool leaving = false; // Gets nothing new; what is in flight finishes.
};

struct RouterSettings
{
    std::string availabilityZone; // Where this entry is; instances there come first.
    std::string region; // Then those of this region, then the others.
    int choices = 2; // Instances compared for each pick.
    Millis slotHoldAfterTimeout{2'000}; // The instance may still run what timed out here.
    Millis firstSuspension{500}; // Doubled for each suspension in a row.
    Millis longestSuspension{30'000};
    Millis latencyHalfLife{5'000}; // How fast an old latency sample loses its weight.
    double suspendAboveShare = 0.5; // Of failures, or of slow answers; more if others have them.
    double slowLatencyFactor = 4; // A slow answer takes more than this by its tier's typical one.
    double largestSuspendedShare = 0.5; // Of all instances; the rest is merely avoided.
};

// Chooses the upstream instance for each attempt, and keeps count of the slots in use.
//
// Use one for each service in each entry. It compares a few random instances of the nearest tier
// that has a free slot, by latency, load and failures, so that a pick costs the same whatever the
// number of instances. An instance that fails, or is much slower than the others, is suspended and
// then probed with one request.
//
// Not thread-safe.
//
// Example:
//   Router router({.availabilityZone = "yyc-a", .region = "prairie-west"}, seed);
//   router.setInstances(instances, now);
//   if (const auto id = router.pick({}, now))
//       router.finished(*id, AttemptOutcome::Answered, Millis{12}, later);
class Router
{
public:
    Router(RouterSettings settings, std::uint64_t seed);

    // Replaces the list. An instance that is missing from it gets nothing new, and is forgotten
    // once all that it has in flight has finished.
    void setInstances(std::span<const InstanceInfo> instances, Instant now);

    // Returns an instance that is not in `excluded` and takes one of its slots, or nothing if none
    // has a free slot. Every returned id must be given back by one call of finished().
    std::optional<std::string> pick(std::span<const std::string> excluded, Instant now);

    // Gives back the slot of an attempt that took `latency`, and learns from its outcome.
    // An id without attempts in flight is ignored.
    void finished(std::string_view instance, AttemptOutcome outcome, Millis latency, Instant now);

    // Returns the attempts in flight at an instance, and its slots still held after timeouts.
    int inFlight(std::string_view instance) const;
    // Returns the slots that pick() could take now if it excluded nothing.
    int freeSlots(Instant now);
    // Returns the number of instances suspended now.
    int suspendedInstances(Instant now);

private:
    enum class Tier : std::uint8_t { SameZone, SameRegion, Elsewhere };
    static constexpr std::size_t tierCount = 3;
    static constexpr std::size_t notFree = static_cast<std::size_t>(-1);

    struct Instance
    {
        InstanceInfo info;
        Tier tier = Tier::Elsewhere;
        bool listed = false;
        bool suspended = false;
        bool probing = false; // After a suspension: one attempt at a time until one is answered.
        int inFlight = 0;
        int held = 0;
        int suspensionsInRow = 0;
        double failureShare = 0;
        double slowShare = 0;
        bool sampled = false; // Whether the latency was ever measured.
        double latencyMs = 0;
        Instant latencyAt;
        Instant suspendedUntil;
        std::size_t freeIndex = notFree; // Position in the tier's free list.
    };

    // Of all instances of a tier; stands in for what is not measured of one.
    struct TypicalLatency
    {
        double ms = 0;
        double samples = 0;
    };

    struct Wake
    {
        Instant at;
        std::string id;
        bool releasesSlot = false; // Otherwise it ends a suspension.
        bool operator>(const Wake &other) const { return at > other.at; }
    };

    struct StringHash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the standard's.
        std::size_t operator()(std::string_view s) const
        {
            return std::hash<std::string_view>{}(s);
        }
    };

    void runWakes(Instant now);
    Tier tierOf(const InstanceInfo &info) const;
    void refresh(Instance &instance);
    void leaveFreeList(Instance &instance);
    void forgetIfDone(const std::string &id);
    static int spareSlots(const Instance &instance);
    double latencyOf(const Instance &instance, Instant now) const;
    double cost(const Instance &instance, Instant now) const;
    Instance *choose(const std::vector<Instance *> &candidates,
                     std::span<const std::string> excluded, Instant now);
    Instance *scan(const std::vector<Instance *> &candidates, std::span<const std::string> excluded,
                   Instant now) const;
    void learnLatency(Instance &instance, Millis latency, Instant now);
    bool isSlow(const Instance &instance, Millis latency) const;
    void learnSuccess(Instance &instance, bool slow, Instant now);
    void learnFailure(Instance &instance, AttemptOutcome outcome, Instant now);
    bool isOutlier(double share, double typicalShare) const;
    void suspend(Instance &instance, Instant now);

    RouterSettings m_settings;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, Instance, StringHash, std::equal_to<>> m_instances;
    std::array<std::vector<Instance *>, tierCount> m_free;
    std::priority_queue<Wake, std::vector<Wake>, std::greater<>> m_wakes;
    int m_suspended = 0;
    int m_freeSlots = 0;
    double m_typicalFailureShare = 0;
    double m_typicalSlowShare = 0;
    std::array<TypicalLatency, tierCount> m_typicalLatency;
};

} // namespace savorywick
