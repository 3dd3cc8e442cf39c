#pragma once

#include "savorywick/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace savorywick {

// Runs callbacks on one thread: timers, signals and the completions of the async HTTP classes.
//
// Use it for a process that serves many peers at once on a small share of one core: the loop sleeps
// until there is a callback to run. Call every function except stop() on the thread that runs the
// loop, or before run().
//
// Example:
//   EventLoop loop;
//   loop.runAfter(Millis{250}, [&] { loop.stop(); });
//   loop.run();
class EventLoop
{
public:
    using Callback = std::function<void()>;
    using TimerId = std::uint64_t;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs `callback` once after `delay`. Returns an id that cancel() accepts.
    TimerId runAfter(Millis delay, Callback callback);
    // Cancels a timer. Does nothing if the timer has fired or was cancelled before.
    void cancel(TimerId timer);
    // Queues `callback` to run after the current callback has returned.
    void post(Callback callback);
    // Runs `callback` each time the process receives `signal`, such as SIGTERM.
    void onSignal(int signal, const Callback &callback);

    // Runs callbacks until stop() is called.
    void run();
    // Makes run() return once the current callback has returned. Thread-safe.
    void stop();

    // Internal state, for the classes of this package only.
    struct Impl;
    Impl &impl() { return *m_impl; }

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
