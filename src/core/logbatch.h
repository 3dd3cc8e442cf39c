#pragma once

#include "core/logbudget.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace savorywick {

// Collects the log lines of one thread and writes many of them at once, without ever blocking.
//
// While an object exists, the functions of log.h pass it their lines. A line waits until flush() is
// called; warnings and errors are written at once, with all that waits. Under load, routine and
// notable lines are left out (LogBudget), and so is every line while too much waits because the
// stream takes nothing. A line "log-lines-dropped" then says how many. Its destructor writes what
// waits. There is at most one object, and no other thread may log while it exists.
//
// Example:
//   LogBatch batch([&] { loop.runAfter(Millis{100}, [&] { batch.flush(); }); });
class LogBatch
{
public:
    // Calls `scheduleFlush` when something waits that did not before; it has flush() called later,
    // never at once.
    explicit LogBatch(std::function<void()> scheduleFlush, LogLimits limits = {});
    ~LogBatch();
    LogBatch(const LogBatch &) = delete;
    LogBatch &operator=(const LogBatch &) = delete;

    // Writes what waits, as far as the stream takes it.
    void flush();

    // Returns the object that exists, or null. For log.cpp, as are the following functions.
    static LogBatch *current();
    // Returns true if and only if a line of this weight may be added now.
    bool allows(LogWeight weight);
    // Adds a line, which ends without a line break. If it is urgent, writes all that waits.
    void add(std::string_view line, bool urgent);

private:
    // Writes whole lines while the stream becomes ready. All waits together last up to `maxWait`.
    void write(Millis maxWait);
    bool streamReady(Millis maxWait);
    bool hasDropped() const { return m_budget.hasDropped() || m_droppedByStream > 0; }
    void reportDropped();
    void schedule();

    const std::function<void()> m_scheduleFlush;
    LogBudget m_budget;
    std::string m_waiting; // Lines, each with its line break.
    std::int64_t m_droppedByStream = 0;
    Instant m_lastReport{};
    bool m_scheduled = false;
    bool m_streamBusy = false; // It did not take all of the last write; flush() tries again.
    bool m_written = false; // The stream has been asked, and written to, once.
    bool m_canAskStream = false;
};

} // namespace savorywick
