#pragma once

#include "savorywick/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace savorywick::bench {

// Runs actions in virtual time, in the order of their times and then of their scheduling.
//
// Times are microseconds, since hosts of one zone are half a millisecond apart.
class EventQueue
{
public:
    static constexpr std::int64_t microsPerMilli = 1'000;

    explicit EventQueue(std::int64_t start)
        : m_now(start)
    { }

    std::int64_t micros() const { return m_now; }
    Instant now() const { return Instant{m_now / microsPerMilli}; }

    // Runs `action` after `delay` microseconds.
    void after(std::int64_t delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_sequence, std::move(action)});
    }

    // Runs everything that is due before `end`.
    void runUntil(std::int64_t end)
    {
        while (!m_events.empty() && m_events.top().at < end) {
            // The action is moved out before its slot of the heap goes.
            auto action = std::move(const_cast<Event &>(m_events.top()).action);
            m_now = m_events.top().at;
            m_events.pop();
            action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        std::int64_t at = 0;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at > other.at || (at == other.at && sequence > other.sequence);
        }
    };

    std::priority_queue<Event> m_events;
    std::int64_t m_now;
    std::uint64_t m_sequence = 0;
};

} // namespace savorywick::bench
