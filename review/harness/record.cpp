#include "record.h"

#include <cstdio>
#include <iostream>

namespace savorywick::review {

Record::Record(const Clock &clock, const std::string &path)
    : m_clock(clock)
    , m_startedAt(clock.now())
    , m_out(path)
{ }

void Record::line(const std::string &text)
{
    constexpr double msPerSecond = 1'000.0;
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ",
                  static_cast<double>((m_clock.now() - m_startedAt).count()) / msPerSecond);
    m_out << time << text << "\n" << std::flush;
}

void Record::say(const std::string &text)
{
    line(text);
    std::cout << text << "\n" << std::flush;
}

void Record::violate(const std::string &what)
{
    constexpr int maxSaid = 5;
    ++m_violations;
    if (m_violations <= maxSaid)
        say("BROKEN " + what);
    else
        line("BROKEN " + what);
}

} // namespace savorywick::review
