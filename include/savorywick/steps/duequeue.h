#pragma once

#include "savorywick/clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace savorywick::steps {

// Keys by the time at which each is due, so that finding those that are due costs nothing for the
// others.
//
// Use it for whatever would otherwise be looked for among all workers or runs at each event. A key
// has one due time. Not thread-safe.
//
// Example:
//   renewals.schedule("worker-7", now + renewalDelay);
//   for (const std::string &it : renewals.takeDue(now))
//       renew(it);
template<typename Key>
class DueQueue
{
public:
    DueQueue() = default;
    ~DueQueue() = default;
    DueQueue(const DueQueue &) = delete; // `m_queue` points into `m_dueTimes`.
    DueQueue &operator=(const DueQueue &) = delete;
    DueQueue(DueQueue &&) noexcept = default;
    DueQueue &operator=(DueQueue &&) noexcept = default;

    // Sets when the key is due, in place of any earlier call.
    void schedule(const Key &key, Instant at)
    {
        const auto [it, added] = m_dueTimes.try_emplace(key, at);
        if (!added && it->second == at)
            return;
        if (!added)
            m_queue.erase({it->second, &it->first});
        it->second = at;
        m_queue.insert({at, &it->first});
    }

    // Removes the key, if it is there.
    void cancel(const Key &key)
    {
        const auto it = m_dueTimes.find(key);
        if (it == m_dueTimes.end())
            return;
        m_queue.erase({it->second, &it->first});
        m_dueTimes.erase(it);
    }

    bool empty() const { return m_dueTimes.empty(); }
    // Returns true if and only if the key is there.
    bool contains(const Key &key) const { return m_dueTimes.contains(key); }

    // Removes the keys that are due at `now` and returns them, sorted by key.
    std::vector<Key> takeDue(Instant now)
    {
        std::vector<Key> due;
        while (!m_queue.empty() && m_queue.begin()->first <= now) {
            due.push_back(*m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            m_dueTimes.erase(due.back());
        }
        std::sort(due.begin(), due.end());
        return due;
    }

    // Returns when the first key is due, or nothing if there is none.
    std::optional<Instant> nextAt() const
    {
        if (m_queue.empty())
            return {};
        return m_queue.begin()->first;
    }

private:
    std::map<Key, Instant> m_dueTimes;
    std::set<std::pair<Instant, const Key *>> m_queue; // Points to the keys of `m_dueTimes`.
};

} // namespace savorywick::steps
