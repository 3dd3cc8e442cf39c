#include "cli/poll.h"

#include "core/steadyclock.h"

#include <chrono>
#include <thread>

namespace savorywick {

namespace {

constexpr std::chrono::milliseconds pollInterval{100};

} // namespace

void pollUntil(Millis timeout, const std::function<bool()> &condition)
{
    const SteadyClock clock;
    const Instant end = clock.now() + timeout;
    while (!condition() && clock.now() < end)
        std::this_thread::sleep_for(pollInterval);
}

} // namespace savorywick
