#pragma once

#include "savorywick/allocationtable.h"

#include <optional>
#include <string>
#include <string_view>

namespace savorywick {

// Reserves one host for a large task that has waited long, so that the host drains until the task
// fits on it.
//
// Use it in a FitChecker: `fitsBeside` reserves a host for the overdue item and lets other items
// start on any other host. At most one task has a reservation at a time. Not thread-safe.
//
// Example:
//   const auto host = reservation.reserveFor(overdue.id, overdue.demand, allocations);
//   if (host)
//       excludedHosts.push_back(*host);
class HostReservation
{
public:
    // Returns the host reserved for `task`, or nothing if no host could hold `demand` even when
    // empty. The host stays the same while it could hold `demand` once its work has ended.
    // Otherwise, and for another task, the schedulable host with the smallest shortfall of free
    // resources is chosen, which takes time linear in the number of hosts.
    std::optional<std::string> reserveFor(std::string_view task, const Resources &demand,
                                          const AllocationTable &allocations);
    // Ends the reservation. Call it when the task has started or was cancelled. Does nothing if no
    // host is reserved.
    void release();
    // Returns the reserved host, or nothing if there is none.
    const std::optional<std::string> &reservedHost() const { return m_host; }

private:
    std::string m_task;
    std::optional<std::string> m_host;
};

} // namespace savorywick
