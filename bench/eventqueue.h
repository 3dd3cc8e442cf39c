#pragma once

#include "savorywick/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace savorywick::bench {

constexpr std::int64_t microsPerSecond = 1'000'000;

// Event queue of a discrete-event simulation: runs actions in virtual time, ordered by due time
// and, for equal times, by the order in which they were scheduled.
//
// Times are in microseconds because the network delay within a zone is half a millisecond.
class EventQueue
{
public:
    static constexpr std::int64_t microsPerMilli = 1'000;

    explicit EventQueue(std::int64_t startMicros)
        : m_nowMicros(startMicros)
    { }

    std::int64_t nowMicros() const { return m_nowMicros; }
    Instant now() const { return Instant{m_nowMicros / microsPerMilli}; }

    // Schedules `action` to run `delayMicros` microseconds from now.
    void scheduleAfter(std::int64_t delayMicros, std::function<void()> action)
    {
        m_events.push({m_nowMicros + delayMicros, ++m_sequence, std::move(action)});
    }

    // Runs all actions that are due before `endMicros` and advances the clock to `endMicros`.
    void runUntil(std::int64_t endMicros)
    {
        while (!m_events.empty() && m_events.top().dueMicros < endMicros) {
            // top() is const, so the cast lets the action be moved out before pop() destroys it.
            auto action = std::move(const_cast<Event &>(m_events.top()).action);
            m_nowMicros = m_events.top().dueMicros;
            m_events.pop();
            action();
        }
        m_nowMicros = endMicros;
    }

private:
    struct Event
    {
        std::int64_t dueMicros = 0;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return dueMicros > other.dueMicros
                || (dueMicros == other.dueMicros && sequence > other.sequence);
        }
    };

    std::priority_queue<Event> m_events;
    std::int64_t m_nowMicros;
    std::uint64_t m_sequence = 0;
};

} // namespace savorywick::bench
