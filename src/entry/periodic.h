#pragma once

#include "savorywick/clock.h"

#include <functional>
#include <memory>

namespace savorywick {

// Calls functions again and again, each on an actor and a thread of its own, until destroyed.
//
// Example:
//   Periodic periodic;
//   periodic.every(Millis{1'000}, [&] { documents.poll(); });
class Periodic
{
public:
    Periodic();
    ~Periodic();

    // Starts calling `work`, with `span` from the end of one call to the start of the next.
    void every(Millis span, std::function<void()> work);
    // Ends all calls and returns once none is running.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
