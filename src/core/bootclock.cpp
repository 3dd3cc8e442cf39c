#include "core/bootclock.h"

#include <chrono>
#include <ctime>

namespace savorywick {

Instant BootClock::now() const
{
    constexpr std::int64_t msPerSecond = 1'000;
    constexpr std::int64_t nsPerMs = 1'000'000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant{time.tv_sec * msPerSecond + time.tv_nsec / nsPerMs};
}

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace savorywick
