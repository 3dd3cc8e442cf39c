#pragma once

#include "savorywick/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace savorywick {

// Runs callbacks on one thread: timers, signals and whatever the async HTTP classes deliver.
//
// Use it for a process that waits for many peers at once and has a small share of one processor:
// it wakes up only when there is something to do. Everything but stop() is called on the thread
// that runs it, or before run().
//
// Example:
//   EventLoop loop;
//   loop.after(Millis{250}, [&] { loop.stop(); });
//   loop.run();
class EventLoop
{
public:
    using Action = std::function<void()>;
    using TimerId = std::uint64_t;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs `action` once, `delay` from now. Returns what cancel() takes.
    TimerId after(Millis delay, Action action);
    // Drops a timer; one that has fired or was dropped already is no error.
    void cancel(TimerId timer);
    // Runs `action` as soon as the callback that runs now has returned.
    void post(Action action);
    // Runs `action` at each arrival of the signal.
    void onSignal(int signal, const Action &action);

    // Runs callbacks until stop() is called.
    void run();
    // Makes run() return after the callback that runs now.
    void stop();

    // The loop's parts that only the classes of this package know.
    struct Impl;
    Impl &impl() { return *m_impl; }

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
