#pragma once

#include "json.h"

#include <mutex>

namespace savorywick::standin {

// The faults that a stand-in injects; docs/PROTOCOLS.md lists them. Each has a whole number, 0 if
// it is off. Thread-safe.
class Faults
{
public:
    // Sets the faults named in `changes` and returns the values of all faults.
    // Throws std::invalid_argument and changes nothing if one is unknown or isn't a whole number.
    Json::Value set(const Json::Value &changes)
    {
        const std::lock_guard lock{m_mutex};
        Json::Value values = m_values;
        for (const std::string &it : changes.getMemberNames()) {
            const Json::Value &requested = changes[it];
            const bool isNumber =
                requested.isBool() || requested.isInt() || requested == Json::Value{""};
            if (!values.isMember(it) || !isNumber)
                throw std::invalid_argument("fault '" + it + "' is unknown or not a whole number");
            values[it] = requested.isString() ? 0 : requested.asInt();
        }
        return m_values = values;
    }

    // Returns the fault's value, or 0 if it is off.
    int value(const std::string &name) const
    {
        const std::lock_guard lock{m_mutex};
        return m_values[name].asInt();
    }

    // Returns whether the fault is on, and decrements its value if so.
    bool consume(const std::string &name)
    {
        const std::lock_guard lock{m_mutex};
        const int n = m_values[name].asInt();
        m_values[name] = n > 0 ? n - 1 : 0;
        return n > 0;
    }

private:
    mutable std::mutex m_mutex;
    Json::Value m_values = jsonObject({{"down", 0},
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
