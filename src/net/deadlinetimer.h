#pragma once

#include "net/eventloop.h"

#include <chrono>
#include <map>

namespace savorywick {

// Runs callbacks at their deadlines, with one timer of the event loop for all of them.
//
// Use it where many operations have a deadline and nearly all end before it, such as requests: a
// deadline that is removed in time costs no system call, since the loop's timer stays set to the
// earliest deadline that it was set to and is set anew when it fires. Not thread-safe.
//
// Example:
//   DeadlineTimer deadlines(loop);
//   const auto deadline = deadlines.add(Millis{500}, [&] { giveUp(); });
//   deadlines.remove(deadline);
class DeadlineTimer
{
public:
    using Clock = std::chrono::steady_clock;
    using Deadlines = std::multimap<Clock::time_point, EventLoop::Callback>;
    // Refers to a deadline. It is valid until its callback runs or remove() is called.
    using Handle = Deadlines::iterator;

    // `loop` must outlive this object.
    explicit DeadlineTimer(EventLoop &loop);
    ~DeadlineTimer();
    DeadlineTimer(const DeadlineTimer &) = delete;
    DeadlineTimer &operator=(const DeadlineTimer &) = delete;

    // Runs `callback` after `delay`, unless the deadline is removed before. The callback may add
    // and remove deadlines, but must not destroy this object.
    Handle add(Millis delay, EventLoop::Callback callback);
    // Removes a deadline whose callback has not run.
    void remove(Handle deadline);

private:
    void arm();
    void fire();

    EventLoop &m_loop;
    Deadlines m_deadlines;
    EventLoop::TimerId m_timer = 0;
    Clock::time_point m_armedFor = Clock::time_point::max();
};

} // namespace savorywick
