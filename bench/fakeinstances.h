#pragma once

#include "eventqueue.h"

#include "savorywick/attempt.h"
#include "savorywick/router.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorywick::bench {

// One instance and its faults.
struct FakeInstance
{
    InstanceInfo info;
    double slowFactor = 1; // Of the service time.
    bool failing = false; // Fails every attempt at once.
    bool lost = false; // Accepts no connections, and loses the attempts in progress.
    int slotsInUse = 0;
};

// Test double of the instances of an upstream, in virtual time: each serves as many requests at
// once as it has slots.
//
// The event queue and the random engine must outlive the object, which must outlive its events.
//
// Example:
//   FakeInstances instances(events, random, infos);
//   instances.at(0).lost = true;
//   instances.serve("i1", [](AttemptOutcome outcome) { ... });
class FakeInstances
{
public:
    using Reply = std::function<void(AttemptOutcome)>;

    static constexpr double meanServiceMicros = 40'000;
    // The time after which a connection to a lost host fails.
    static constexpr std::int64_t connectTimeoutMicros = 20'000;

    FakeInstances(EventQueue &events, std::mt19937_64 &random,
                  const std::vector<InstanceInfo> &infos);

    // Returns the instance at the position `n` of the constructor's list.
    FakeInstance &at(int n) { return m_instances[static_cast<std::size_t>(n)]; }
    // Returns the instance `id`, which must exist.
    FakeInstance &find(const std::string &id) { return at(m_indexById.at(id)); }
    // Returns what the list of instances says of them.
    std::vector<InstanceInfo> infos() const;

    // Serves one request at the instance `id` and calls `reply` with the outcome.
    void serve(const std::string &id, const Reply &reply);
    // Returns how many requests arrived at an instance without a free slot.
    std::uint64_t overruns() const { return m_overruns; }

private:
    EventQueue &m_events;
    std::mt19937_64 &m_random;
    std::vector<FakeInstance> m_instances;
    std::unordered_map<std::string, int> m_indexById;
    std::uint64_t m_overruns = 0;
};

} // namespace savorywick::bench
