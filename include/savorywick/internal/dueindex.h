#pragma once

#include "savorywick/clock.h"

#include <compare>
#include <set>
#include <string>

namespace savorywick::internal {

// Ids ordered by the time at which something is due for them. Not thread-safe.
class DueIndex
{
public:
    struct Entry
    {
        Millis at;
        std::string id;
        bool operator<(const Entry &other) const
        {
            return at != other.at ? at < other.at : id < other.id;
        }
    };

    void add(Millis at, const std::string &id) { m_entries.insert({at, id}); }
    void remove(Millis at, const std::string &id) { m_entries.erase({at, id}); }
    bool empty() const { return m_entries.empty(); }
    // Returns true if and only if something is due at `at`.
    bool isDue(Millis at) const { return !m_entries.empty() && m_entries.begin()->at <= at; }
    // Returns the id that is due first. Must not be empty.
    const std::string &first() const { return m_entries.begin()->id; }

private:
    std::set<Entry> m_entries;
};

} // namespace savorywick::internal
