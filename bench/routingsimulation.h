#pragma once

#include <cstdint>
#include <vector>

namespace savorywick::bench {

// How the entries share the instances.
enum class RoutingStrategy {
    Random, // Each entry takes any instance of its region.
    LeastOfTwo, // Each entry takes the better of two by its own counts.
    OwnedInstances, // Each instance belongs to one entry.
    OwnedSlots, // Each slot of an instance belongs to one entry.
    OwnedSlotsForwarding, // As OwnedSlots, and an entry without a free slot asks a peer.
};

// What goes wrong. All but None come with a load that differs from entry to entry.
enum class RoutingFault { None, Skew, SlowInstance, FailingInstance, LostRack, LostEntry };

// The outcomes of all requests of a simulation.
struct RoutingTotals
{
    std::vector<double> latenciesMs; // Of the answered requests.
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t overruns = 0; // Attempts at an instance without a free slot.
    std::uint64_t peerMessages = 0;
};

// Simulates 9 entries and 65 instances of 8 slots, in three zones of two regions, in virtual time.
// The same arguments give the same result.
RoutingTotals simulateRouting(RoutingStrategy strategy, RoutingFault fault);

} // namespace savorywick::bench
