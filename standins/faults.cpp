#include "faults.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace savorywick::standin {

namespace {

constexpr std::array names{"down",         "refuse",     "delayMs",   "delayBeforeMs",
                           "loseReplies",  "shortBody",  "wrongId",   "failAll",
                           "crossAnswers", "usageLagMs", "ignoreStop"};

int toNumber(const std::string &name, const Json::Value &value)
{
    if (std::find(names.begin(), names.end(), name) == names.end())
        throw std::invalid_argument("unknown fault '" + name + "'");
    if (value.isBool())
        return value.asBool() ? 1 : 0;
    if (value == Json::Value{""})
        return 0;
    if (!value.isInt() || value.asInt() < 0)
        throw std::invalid_argument("fault '" + name + "' takes true, false or a whole number");
    return value.asInt();
}

} // namespace

Json::Value Faults::set(const Json::Value &changes)
{
    const std::lock_guard lock{m_mutex};
    Json::Value values = m_values;
    for (const auto &it : changes.getMemberNames())
        values[it] = toNumber(it, changes[it]);
    m_values = values;
    return values;
}

int Faults::value(const std::string &name) const
{
    const std::lock_guard lock{m_mutex};
    return m_values.get(name, 0).asInt();
}

std::chrono::milliseconds Faults::span(const std::string &name) const
{
    return std::chrono::milliseconds{value(name)};
}

bool Faults::take(const std::string &name)
{
    const std::lock_guard lock{m_mutex};
    const int n = m_values.get(name, 0).asInt();
    if (n > 0)
        m_values[name] = n - 1;
    return n > 0;
}

} // namespace savorywick::standin
