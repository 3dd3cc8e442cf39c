#pragma once

#include "core/bootclock.h"

#include <fstream>
#include <string>

namespace savorywick::review {

// Writes what a case has sent, answered and run to record.txt, a line each, with the seconds since
// the start. Not thread-safe.
//
// Example:
//   Record record(clock, "record.txt");
//   record.line("caller POST 00..01 -> 200");
class Record
{
public:
    Record(const Clock &clock, const std::string &path);

    void line(const std::string &text);
    // Writes the line also to standard output.
    void say(const std::string &text);
    // Notes that a rule was broken.
    void violate(const std::string &what);
    int violations() const { return m_violations; }

private:
    const Clock &m_clock;
    const Instant m_startedAt;
    std::ofstream m_out;
    int m_violations = 0;
};

} // namespace savorywick::review
