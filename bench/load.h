#pragma once

#include "core/http.h"
#include "savorywick/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savorywick::bench {

// What a load is made of. It goes to loopback only and ends by itself.
struct LoadPlan
{
    std::string address;
    std::string path;
    HttpHeaders headers;
    std::string body;
    int connections = 1; // Each on a thread of its own, one call in flight.
    Millis length{2'000};
    double callsPerSecond = 0; // Over all connections; 0 sends as fast as answers come.
};

struct LoadResult
{
    std::vector<double> latenciesUs; // Of calls answered 200, from when each was due.
    std::uint64_t refused = 0; // Answered 4xx or 5xx.
    std::uint64_t failed = 0; // No whole answer.
    double seconds = 0;
};

// Runs the load and returns what came of it.
// Throws std::runtime_error if the address is not on the loopback.
LoadResult runLoad(const LoadPlan &plan);

} // namespace savorywick::bench
