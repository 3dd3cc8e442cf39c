#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// The part of a host's cores that batch work of one class uses, 0 to 1.
struct ClassShare
{
    std::string runClass;
    double share = 0;
};

// Learns how much each class of batch work slows each urgent service down, and how long urgent
// work takes without batch work.
//
// Use it to tell the slowdown that batch work causes from that of the load. The batch-free p99 is
// kept per service and step of load, and tracks the low end of what is seen after subtracting the
// slowdown that is known. The slowdown of a pair is that of a host filled with the class, and is
// fitted to the excess by normalised least mean squares. Memory grows with the pairs seen.
// Not thread-safe.
//
// Example:
//   slowdowns.learn("quotes", 0.4, 18.5, shares);
//   const double excess = slowdowns.expected("quotes", shares);
class PairSlowdown
{
public:
    // Notes the p99 seen on a host of a service at `load` (part of the host's cores, 0 to 1)
    // beside `shares`. Returns the measured excess over the batch-free p99, such as 0.1 for 10%.
    double learn(std::string_view service, double load, double p99Ms,
                 std::span<const ClassShare> shares);
    // Returns the expected excess beside `shares`.
    double expected(std::string_view service, std::span<const ClassShare> shares) const;
    // Returns the excess on a host filled with `runClass`; 0 if nothing is known.
    double slowdown(std::string_view service, std::string_view runClass) const;
    // Returns the batch-free p99 at that load, or 0 if nothing is known.
    double batchFreeP99Ms(std::string_view service, double load) const;

private:
    struct Pair
    {
        double slowdown = 0; // On a host filled with the class.
        double share = 0; // In the measurement at hand.
        double meanShare = 0;
        int samples = 0; // Measurements that showed the class.
    };
    struct Service
    {
        std::map<int, double> batchFree; // By step of load.
        std::map<std::string, Pair, std::less<>> byClass;
    };

    static void blame(Service &service, double error, std::span<const ClassShare> shares);

    std::map<std::string, Service, std::less<>> m_services;
};

} // namespace savorywick
