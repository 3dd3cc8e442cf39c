#include "core/bootclock.h"

#include <chrono>
#include <ctime>

namespace savorywick {

Instant BootClock::now() const
{
    constexpr std::int64_t msPerSecond = 1'000;
    constexpr std::int64_t nsPerMs = 1'000'000;
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return Instant{t.tv_sec * msPerSecond + t.tv_nsec / nsPerMs};
}

std::int64_t wallClockMs()
{
    const auto span = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace savorywick
