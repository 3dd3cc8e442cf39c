#include "savorywick/hostreservation.h"

#include <algorithm>
#include <limits>

namespace savorywick {

namespace {

// Returns the part of `demand` that exceeds `free`, as a share of `size`.
double relativeShortfall(int demand, int free, int size)
{
    return size > 0 ? std::max(demand - free, 0) / static_cast<double>(size) : 0;
}

// Returns the sum over all kinds of resources of what a host lacks to hold `demand`, each as a
// share of the host's size. Returns 0 if the host can hold it now.
double shortfall(const Resources &demand, const Resources &free, const Resources &size)
{
    return relativeShortfall(demand.cores, free.cores, size.cores)
        + relativeShortfall(demand.memoryMb, free.memoryMb, size.memoryMb)
        + relativeShortfall(demand.accelerators, free.accelerators, size.accelerators);
}

} // namespace

std::optional<std::string> HostReservation::reserveFor(std::string_view task,
                                                       const Resources &demand,
                                                       const AllocationTable &allocations)
{
    if (m_task == task && m_host && demand.fitsIn(allocations.allocatable(*m_host)))
        return m_host;
    m_task = task;
    m_host.reset();
    double smallestShortfall = std::numeric_limits<double>::infinity();
    for (const std::string &host : allocations.hosts()) {
        const Resources size = allocations.allocatable(host);
        if (!allocations.isSchedulable(host) || !demand.fitsIn(size))
            continue;
        const double missing = shortfall(demand, allocations.free(host), size);
        if (missing >= smallestShortfall)
            continue;
        smallestShortfall = missing;
        m_host = host;
    }
    return m_host;
}

void HostReservation::release()
{
    m_task.clear();
    m_host.reset();
}

} // namespace savorywick
