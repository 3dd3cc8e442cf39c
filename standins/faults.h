#pragma once

#include "json.h"

#include <mutex>

namespace savorywick::standin {

// The faults that a stand-in is told to show, as docs/PROTOCOLS.md lists them. Thread-safe.
class Faults
{
public:
    // Sets the faults named in `changes` and returns all of them.
    // Throws std::invalid_argument, and changes nothing, if one is unknown or no whole number.
    Json::Value set(const Json::Value &changes)
    {
        const std::lock_guard lock{m_mutex};
        Json::Value values = m_values;
        for (const std::string &it : changes.getMemberNames()) {
            const Json::Value &wanted = changes[it];
            const bool number = wanted.isBool() || wanted.isInt() || wanted == Json::Value{""};
            if (!values.isMember(it) || !number)
                throw std::invalid_argument("fault '" + it + "' is unknown or no whole number");
            values[it] = wanted.isString() ? 0 : wanted.asInt();
        }
        return m_values = values;
    }

    // Returns the fault's number; 0 if it is off.
    int value(const std::string &name) const
    {
        const std::lock_guard lock{m_mutex};
        return m_values[name].asInt();
    }

    // Returns whether the fault is on, and counts it down by one if so.
    bool take(const std::string &name)
    {
        const std::lock_guard lock{m_mutex};
        const int n = m_values[name].asInt();
        m_values[name] = n > 0 ? n - 1 : 0;
        return n > 0;
    }

private:
    mutable std::mutex m_mutex;
    Json::Value m_values = object({{"down", 0},
                                   {"refuse", 0},
                                   {"delayMs", 0},
                                   {"delayBeforeMs", 0},
                                   {"loseReplies", 0},
                                   {"crossAnswers", 0},
                                   {"shortBody", 0},
                                   {"wrongId", 0},
                                   {"failAll", 0},
                                   {"usageLagMs", 0},
                                   {"ignoreStop", 0}});
};

} // namespace savorywick::standin
