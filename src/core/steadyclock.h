#pragma once

#include "savorywick/clock.h"

namespace savorywick {

// The process's own monotonic clock, counted from the first use of any SteadyClock.
//
// Thread-safe.
class SteadyClock final : public Clock
{
public:
    Instant now() const override;
};

} // namespace savorywick
