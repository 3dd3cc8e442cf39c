#pragma once

#include "savorywick/clock.h"

#include <cstdint>

namespace savorywick {

// What this process has used of its host since it started.
struct ProcessUsage
{
    Millis processorTime; // Of all threads, in user and kernel mode.
    std::uint64_t peakMemoryBytes = 0; // The largest resident set.
};

// Returns the usage up to now. Thread-safe.
ProcessUsage processUsage();

} // namespace savorywick
