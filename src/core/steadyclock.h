#pragma once

#include "savorywick/clock.h"

namespace savorywick {

// Monotonic clock of this process, based on std::chrono::steady_clock.
//
// Use it for time-outs and durations within one process; its instants mean nothing to another
// process. All instances share one origin, the first call of now(). Thread-safe.
class SteadyClock final : public Clock
{
public:
    // Returns the time since the first call in this process, in whole milliseconds.
    Instant now() const override;
};

} // namespace savorywick
