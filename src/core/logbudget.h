#pragma once

#include "savorywick/clock.h"

#include <cstdint>

namespace savorywick {

// How much a line is missed if it is left out while there are too many.
enum class LogWeight {
    Routine, // One of many alike, such as a task that was started and ended as it should.
    Notable, // Something that went otherwise, such as a task that failed.
};

// The largest number of lines that are written in a second.
struct LogLimits
{
    int routineLines = 200; // Routine lines alone.
    int allLines = 1'000; // Routine and notable lines together.
};

// Decides which log lines are written when there are too many.
//
// Use it so that the log of a process under load costs a bounded share of its time. It counts the
// lines of each second and those that it leaves out. Not thread-safe.
//
// Example:
//   LogBudget budget;
//   if (budget.take(LogWeight::Routine, clock.now()))
//       write(line);
class LogBudget
{
public:
    // The number of lines that were left out.
    struct Dropped
    {
        std::int64_t routine = 0;
        std::int64_t notable = 0;
    };

    explicit LogBudget(LogLimits limits = {});

    // Returns true if and only if a line of this weight may be written now.
    bool take(LogWeight weight, Instant now);
    // Returns the number of lines left out since the last call.
    Dropped takeDropped();
    // Returns true if and only if takeDropped() would return a number other than 0.
    bool hasDropped() const { return m_dropped.routine > 0 || m_dropped.notable > 0; }

private:
    const LogLimits m_limits;
    Instant m_secondStart{};
    int m_routineLines = 0; // In this second, as the next.
    int m_allLines = 0;
    Dropped m_dropped;
};

} // namespace savorywick
