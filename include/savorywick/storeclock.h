#pragma once

#include "savorywick/clock.h"

#include <cstdint>
#include <optional>

namespace savorywick {

// Relates the steady clock of the platform's store to this process's clock.
//
// Use one for each store, and give it the times that the store's answers tell. All processes that
// use the store can then agree on a point in time, such as the end of a lease, although their own
// clocks have nothing in common. The store's time lies between bounds that are as far apart as the
// call took; each function returns the bound that is safe for its purpose. Not thread-safe.
//
// Example:
//   clock.observe(sentAt, receivedAt, answer.nowMs);
//   const auto end = clock.latestAt(now); // To store as the end of what begins now.
//   ...
//   const auto over = clock.surelyAfter(*end); // In another process.
class StoreClock
{
public:
    // Takes in that the store's clock showed `storeMs` between these two times.
    void observe(Instant sentAt, Instant receivedAt, std::int64_t storeMs);

    // Returns the latest time that the store's clock may show at `time`, in milliseconds, or
    // nothing if no answer has told a time yet.
    std::optional<std::int64_t> latestAt(Instant time) const;
    // Returns the last time at which the store's clock surely shows no more than `storeMs`.
    std::optional<Instant> surelyBefore(std::int64_t storeMs) const;
    // Returns the first time at which the store's clock surely shows `storeMs` or more.
    std::optional<Instant> surelyAfter(std::int64_t storeMs) const;

private:
    struct Reading
    {
        Instant sentAt;
        Instant receivedAt;
        std::int64_t storeMs = 0;
    };

    std::optional<Reading> m_reading; // The most exact one, for the time since.
};

} // namespace savorywick
