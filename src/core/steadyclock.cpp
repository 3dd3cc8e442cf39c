#include "core/steadyclock.h"

#include <chrono>

namespace savorywick {

Instant SteadyClock::now() const
{
    static const auto start = std::chrono::steady_clock::now();
    const auto elapsed = std::chrono::steady_clock::now() - start;
    return Instant{std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()};
}

} // namespace savorywick
