#pragma once

#include "savorywick/clock.h"

#include <cstdint>

namespace savorywick::steps {

// The current time on two clocks: the process's monotonic clock, for timeouts and leases, and the
// time of day, for schedules and whatever is stored.
struct ClockReading
{
    Instant monotonic;
    std::int64_t wallMs = 0; // Milliseconds since 1970.
};

} // namespace savorywick::steps
