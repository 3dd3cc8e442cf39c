#include "cli/wait.h"

#include "core/steadyclock.h"

#include <chrono>
#include <thread>

namespace savorywick {

namespace {

constexpr std::chrono::milliseconds pause{100};

} // namespace

void waitUntil(Millis limit, const std::function<bool()> &done)
{
    const SteadyClock clock;
    const Instant end = clock.now() + limit;
    while (!done() && clock.now() < end)
        std::this_thread::sleep_for(pause);
}

} // namespace savorywick
