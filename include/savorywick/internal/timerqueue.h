#pragma once

#include "savorywick/clock.h"

#include <compare>
#include <set>
#include <string>

namespace savorywick::internal {

// A queue of timers, each an id with the time at which it is due, ordered by that time.
//
// Use it to find the next due id without a scan of all of them. An id may have several timers, at
// different times. Not thread-safe.
//
// Example:
//   queue.add(Millis{1'500}, "job-7");
//   while (queue.isDue(now)) {
//       const std::string id = queue.firstId();
//       ... // Handles the timer and removes it, with the time at which it was added.
//   }
class TimerQueue
{
public:
    struct Entry
    {
        Millis dueAt;
        std::string id;
        bool operator<(const Entry &other) const
        {
            return dueAt != other.dueAt ? dueAt < other.dueAt : id < other.id;
        }
    };

    // Adds a timer for `id`. Does nothing if `id` already has one at the same time.
    void add(Millis dueAt, const std::string &id) { m_entries.insert({dueAt, id}); }
    // Removes the timer that was added with the same arguments. Does nothing if there is none.
    void remove(Millis dueAt, const std::string &id) { m_entries.erase({dueAt, id}); }
    bool empty() const { return m_entries.empty(); }
    // Returns true if and only if at least one timer is due at `now` or earlier.
    bool isDue(Millis now) const { return !m_entries.empty() && m_entries.begin()->dueAt <= now; }
    // Returns the id that is due first. The queue must not be empty.
    const std::string &firstId() const { return m_entries.begin()->id; }

private:
    std::set<Entry> m_entries;
};

} // namespace savorywick::internal
