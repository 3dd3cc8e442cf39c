#pragma once

#include <compare>
#include <cstdint>

namespace savorywick {

// A duration in whole milliseconds.
//
// Use it for every duration, so that no number is passed without its unit.
//
// Example:
//   constexpr Millis leaseTerm{9'000};
//   const Millis renewalPeriod = leaseTerm / 3;
class Millis
{
public:
    constexpr Millis() = default;
    constexpr explicit Millis(std::int64_t n)
        : m_count(n)
    { }

    // Returns the duration in milliseconds. It is negative if it leads to an earlier instant.
    constexpr std::int64_t count() const { return m_count; }

    constexpr bool operator==(const Millis &) const = default;
    constexpr auto operator<=>(const Millis &other) const { return m_count <=> other.m_count; }
    constexpr Millis operator+(Millis other) const { return Millis{m_count + other.m_count}; }
    constexpr Millis operator-(Millis other) const { return Millis{m_count - other.m_count}; }
    constexpr Millis operator*(std::int64_t n) const { return Millis{m_count * n}; }
    // Returns the duration divided by `n`, rounded towards zero. `n` must not be zero.
    constexpr Millis operator/(std::int64_t n) const { return Millis{m_count / n}; }

private:
    std::int64_t m_count = 0;
};

// A point in time on one clock, in milliseconds since the origin of that clock.
//
// Use it for every point in time inside one process. Instants of different clocks or of different
// processes must not be compared.
//
// Example:
//   const Instant deadline = clock.now() + Millis{1'300};
class Instant
{
public:
    constexpr Instant() = default;
    constexpr explicit Instant(std::int64_t n)
        : m_count(n)
    { }

    // Returns the number of milliseconds since the origin of the clock.
    constexpr std::int64_t count() const { return m_count; }

    constexpr bool operator==(const Instant &) const = default;
    constexpr auto operator<=>(const Instant &other) const { return m_count <=> other.m_count; }
    constexpr Instant operator+(Millis duration) const
    {
        return Instant{m_count + duration.count()};
    }
    constexpr Instant operator-(Millis duration) const
    {
        return Instant{m_count - duration.count()};
    }
    constexpr Millis operator-(Instant other) const { return Millis{m_count - other.m_count}; }

private:
    std::int64_t m_count = 0;
};

// The interface of a source of time.
//
// Inject it into code that reads the time, so that tests can control the time. Code that only makes
// decisions takes an Instant as a parameter instead.
//
// Implementations must be monotonic and safe to call from any thread.
class Clock
{
public:
    virtual ~Clock() = default;

    // Returns the current instant of this clock.
    virtual Instant now() const = 0;
};

// A clock that advances only on request, for tests and simulations in virtual time.
//
// Not thread-safe.
//
// Example:
//   ManualClock clock;
//   clock.advance(Millis{250});
class ManualClock final : public Clock
{
public:
    Instant now() const override { return m_now; }

    // Advances the clock by `duration`, which must not be negative.
    void advance(Millis duration) { m_now = m_now + duration; }

private:
    Instant m_now;
};

} // namespace savorywick
