#include "core/processusage.h"

#include <sys/resource.h>

namespace savorywick {

namespace {

constexpr std::int64_t msPerSecond = 1'000;
constexpr std::int64_t usPerMs = 1'000;
constexpr std::uint64_t bytesPerKib = 1'024;

Millis toMillis(const timeval &time)
{
    return Millis{time.tv_sec * msPerSecond + time.tv_usec / usPerMs};
}

} // namespace

ProcessUsage processUsage()
{
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) != 0)
        return {};
    return {toMillis(usage.ru_utime) + toMillis(usage.ru_stime),
            static_cast<std::uint64_t>(usage.ru_maxrss) * bytesPerKib};
}

} // namespace savorywick
