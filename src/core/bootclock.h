#pragma once

#include "savorywick/clock.h"

namespace savorywick {

// A monotonic clock that also counts the time for which the host was suspended.
//
// Use it for leases: a process that wakes up from a long pause must see that its term is over.
// Thread-safe.
class BootClock final : public Clock
{
public:
    Instant now() const override;
};

// Returns the time of day in milliseconds since 1970.
std::int64_t wallClockMs();

} // namespace savorywick
