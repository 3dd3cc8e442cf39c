#pragma once

#include <json/value.h>

#include <chrono>
#include <mutex>
#include <string>

namespace savorywick::standin {

// The faults that a stand-in is told to show, as docs/PROTOCOLS.md lists them. Thread-safe.
class Faults
{
public:
    // Sets the faults named in `changes`, keeps the others, and returns all of them.
    // Throws std::invalid_argument if a name is unknown or a value is out of range.
    Json::Value set(const Json::Value &changes);

    bool on(const std::string &name) const { return value(name) > 0; }
    std::chrono::milliseconds span(const std::string &name) const;
    // Returns whether the fault is on, and counts it down by one if so.
    bool take(const std::string &name);

private:
    int value(const std::string &name) const;

    mutable std::mutex m_mutex;
    Json::Value m_values{Json::objectValue};
};

} // namespace savorywick::standin
