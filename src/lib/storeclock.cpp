#include "savorywick/storeclock.h"

namespace savorywick {

namespace {

// Two clocks drift apart by at most one part in this many.
constexpr std::int64_t driftDivisor = 100;

} // namespace

void StoreClock::observe(Instant sentAt, Instant receivedAt, std::int64_t storeMs)
{
    if (m_reading) {
        const Millis drift = (receivedAt - m_reading->receivedAt) / driftDivisor;
        const Millis uncertainty = m_reading->receivedAt - m_reading->sentAt + drift;
        if (receivedAt - sentAt > uncertainty)
            return;
    }
    m_reading = {sentAt, receivedAt, storeMs};
}

std::optional<std::int64_t> StoreClock::latestAt(Instant time) const
{
    if (!m_reading)
        return {};
    return m_reading->storeMs + (time - m_reading->sentAt).count();
}

std::optional<Instant> StoreClock::surelyBefore(std::int64_t storeMs) const
{
    if (!m_reading)
        return {};
    return m_reading->sentAt + Millis{storeMs - m_reading->storeMs};
}

std::optional<Instant> StoreClock::surelyAfter(std::int64_t storeMs) const
{
    if (!m_reading)
        return {};
    return m_reading->receivedAt + Millis{storeMs - m_reading->storeMs};
}

} // namespace savorywick
