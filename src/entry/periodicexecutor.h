#pragma once

#include "savorywick/clock.h"

#include <functional>
#include <memory>

namespace savorywick {

// Runs functions periodically, each on a thread of its own, until it is stopped or destroyed.
//
// Use it for work that may block, such as polling. An exception that a function throws is logged
// and does not end its schedule.
//
// Example:
//   PeriodicExecutor executor;
//   executor.schedule(Millis{1'000}, [&] { documents.poll(); });
class PeriodicExecutor
{
public:
    PeriodicExecutor();
    // Calls stop().
    ~PeriodicExecutor();

    // Calls `function` at once and then again `interval` after the end of each call.
    void schedule(Millis interval, std::function<void()> function);
    // Ends all schedules and returns once no call is running.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
