#pragma once

#include "core/http.h"
#include "savorywick/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savorywick::bench {

// Describes a load of repeated HTTP POST calls to one loopback address for a fixed time.
struct LoadPlan
{
    std::string address;
    std::string path;
    HttpHeaders headers;
    std::string body;
    int connections = 1; // Each has its own thread and one call in flight at a time.
    Millis duration{2'000};
    double callsPerSecond = 0; // Over all connections; 0 means closed loop.
};

struct LoadResult
{
    std::vector<double> latenciesUs; // Of calls answered 200, measured from the due time.
    std::uint64_t refused = 0; // Answered with a status other than 200.
    std::uint64_t failed = 0; // No complete answer was received.
    double seconds = 0;
};

// Runs the load, blocking until it ends, and returns its latencies and counts.
// Throws std::runtime_error if the address is not a loopback address.
LoadResult runLoad(const LoadPlan &plan);

} // namespace savorywick::bench
