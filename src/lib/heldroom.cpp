#include "savorywick/heldroom.h"

#include <algorithm>
#include <limits>

namespace savorywick {

namespace {

double lackingPart(int need, int free, int size)
{
    return size > 0 ? std::max(need - free, 0) / static_cast<double>(size) : 0;
}

// Returns how far a host is from holding `need`, in parts of its size; 0 if it does.
double lacking(const Resources &need, const Resources &free, const Resources &size)
{
    return lackingPart(need.cores, free.cores, size.cores)
        + lackingPart(need.memoryMb, free.memoryMb, size.memoryMb)
        + lackingPart(need.accelerators, free.accelerators, size.accelerators);
}

} // namespace

std::optional<std::string> HeldRoom::holdFor(std::string_view task, const Resources &need,
                                             const AllocationTable &ledger)
{
    if (m_task == task && m_host && need.fitsIn(ledger.allocatable(*m_host)))
        return m_host;
    m_task = task;
    m_host.reset();
    double least = std::numeric_limits<double>::infinity();
    for (const std::string &host : ledger.hosts()) {
        const Resources size = ledger.allocatable(host);
        if (!ledger.isSchedulable(host) || !need.fitsIn(size))
            continue;
        const double lack = lacking(need, ledger.free(host), size);
        if (lack >= least)
            continue;
        least = lack;
        m_host = host;
    }
    return m_host;
}

void HeldRoom::release()
{
    m_task.clear();
    m_host.reset();
}

} // namespace savorywick
