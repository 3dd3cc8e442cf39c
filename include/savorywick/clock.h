#pragma once

#include <compare>
#include <cstdint>

namespace savorywick {

// A span of time in whole milliseconds.
//
// Use it for every duration, so that no bare number travels without its unit.
//
// Example:
//   constexpr Millis leaseTerm{9'000};
//   const Millis third = leaseTerm / 3;
class Millis
{
public:
    constexpr Millis() = default;
    constexpr explicit Millis(std::int64_t n)
        : m_count(n)
    { }

    // Returns the span in milliseconds; negative if it points backwards.
    constexpr std::int64_t count() const { return m_count; }

    constexpr bool operator==(const Millis &) const = default;
    constexpr auto operator<=>(const Millis &other) const { return m_count <=> other.m_count; }
    constexpr Millis operator+(Millis other) const { return Millis{m_count + other.m_count}; }
    constexpr Millis operator-(Millis other) const { return Millis{m_count - other.m_count}; }
    constexpr Millis operator*(std::int64_t n) const { return Millis{m_count * n}; }
    // Returns the span divided by `n`, rounded towards zero. `n` must not be zero.
    constexpr Millis operator/(std::int64_t n) const { return Millis{m_count / n}; }

private:
    std::int64_t m_count = 0;
};

// A point in time of one clock, in milliseconds since that clock's own start.
//
// Instants of two clocks, or of two processes, must not be compared.
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

    // Returns the milliseconds since the clock's start.
    constexpr std::int64_t count() const { return m_count; }

    constexpr bool operator==(const Instant &) const = default;
    constexpr auto operator<=>(const Instant &other) const { return m_count <=> other.m_count; }
    constexpr Instant operator+(Millis span) const { return Instant{m_count + span.count()}; }
    constexpr Instant operator-(Millis span) const { return Instant{m_count - span.count()}; }
    constexpr Millis operator-(Instant other) const { return Millis{m_count - other.m_count}; }

private:
    std::int64_t m_count = 0;
};

// Tells the time. Inject it wherever time matters; code that decides takes an Instant instead.
//
// Implementations must be monotonic and safe to call from any thread.
class Clock
{
public:
    virtual ~Clock() = default;

    // Returns the present instant of this clock.
    virtual Instant now() const = 0;
};

// A clock that moves only when told to, for tests and simulations in virtual time.
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

    // Moves the clock forward by `span`, which must not be negative.
    void advance(Millis span) { m_now = m_now + span; }

private:
    Instant m_now;
};

} // namespace savorywick
