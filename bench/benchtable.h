#pragma once

#include <cstdio>
#include <string>

namespace benchtable {

// Prints one measurement as a JSON line on stdout. The texts must need no escaping.
inline void emit(const std::string &bench, const std::string &benchCase, const std::string &metric,
                 double value)
{
    std::printf("{\"bench\":\"%s\",\"case\":\"%s\",\"metric\":\"%s\",\"value\":%.6g}\n",
                bench.c_str(), benchCase.c_str(), metric.c_str(), value);
}

} // namespace benchtable
