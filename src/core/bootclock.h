#pragma once

#include "savorywick/clock.h"

namespace savorywick {

// Monotonic clock that keeps counting while the host is suspended (CLOCK_BOOTTIME).
//
// Use it for leases: a process that resumes after a suspend must see that its lease has expired.
// Thread-safe.
//
// Example:
//   const BootClock clock;
//   const Instant leaseEnd = clock.now() + Millis{9'000};
class BootClock final : public Clock
{
public:
    // Returns the time since the host booted, in whole milliseconds.
    Instant now() const override;
};

// Returns the system's wall-clock time in milliseconds since the Unix epoch. It may jump backwards;
// use a Clock to measure intervals.
std::int64_t wallClockMs();

} // namespace savorywick
