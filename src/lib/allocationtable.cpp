#include "savorywick/allocationtable.h"

#include <algorithm>
#include <limits>

namespace savorywick {

struct AllocationTable::Host
{
    std::string id;
    std::string rack;
    std::size_t serial = 0;
    bool listed = true;
    bool leaving = false;
    bool schedulable = true;
    bool indexed = false;
    Resources capacity;
    Resources allocated;
    Resources indexedFree; // The free resources under which it is in m_hostsByFree.
    int coreLimit = std::numeric_limits<int>::max();
    std::map<std::string, Resources, std::less<>> allocations;

    // A live host can run work in principle, even if it is full or not schedulable now.
    bool isLive() const { return listed && !leaving; }
    bool takesNewWork() const { return isLive() && schedulable; }

    Resources free() const
    {
        if (!takesNewWork())
            return {};
        const Resources rest = capacity - allocated;
        const int cores = std::min(rest.cores, coreLimit - allocated.cores);
        return {std::max(cores, 0), std::max(rest.memoryMb, 0), std::max(rest.accelerators, 0)};
    }

    // A host that is overcommitted in any dimension gets no new allocations at all.
    bool overcommitted() const { return !allocated.fitsIn(capacity); }
};

namespace {

std::string describeShortage(const Resources &demand, const Resources &largest)
{
    std::string text;
    const auto add = [&text](std::string_view what, int demanded, int most) {
        if (demanded <= most)
            return;
        text += text.empty() ? "" : ", ";
        text += std::to_string(demanded) + " " + std::string(what)
            + " requested, but no host has more than " + std::to_string(most);
    };
    add("cores", demand.cores, largest.cores);
    add("MiB of memory", demand.memoryMb, largest.memoryMb);
    add("accelerators", demand.accelerators, largest.accelerators);
    if (text.empty())
        text = "some host has enough of each resource, but no host has enough of all of them";
    return text;
}

} // namespace

bool AllocationTable::FreeEntry::operator<(const FreeEntry &other) const
{
    return memoryMb != other.memoryMb ? memoryMb < other.memoryMb : serial < other.serial;
}

AllocationTable::AllocationTable() = default;
AllocationTable::~AllocationTable() = default;
AllocationTable::AllocationTable(AllocationTable &&) noexcept = default;
AllocationTable &AllocationTable::operator=(AllocationTable &&) noexcept = default;

AllocationTable::Host *AllocationTable::find(std::string_view host) const
{
    const auto it = m_hosts.find(host);
    return it == m_hosts.end() ? nullptr : it->second.get();
}

void AllocationTable::unindex(const Host &host)
{
    if (!host.indexed)
        return;
    const auto it = m_hostsByFree.find({host.indexedFree.accelerators, host.indexedFree.cores});
    it->second.erase({host.indexedFree.memoryMb, host.serial, &host});
    if (it->second.empty())
        m_hostsByFree.erase(it);
}

void AllocationTable::index(Host &host)
{
    unindex(host);
    host.indexed = host.takesNewWork() && !host.overcommitted();
    if (!host.indexed)
        return;
    host.indexedFree = host.free();
    m_hostsByFree[{host.indexedFree.accelerators, host.indexedFree.cores}].insert(
        {host.indexedFree.memoryMb, host.serial, &host});
}

void AllocationTable::countCapacity(const Host &host, int delta)
{
    if (!host.isLive())
        return;
    const auto it = m_capacityCounts.try_emplace(host.capacity, 0).first;
    it->second += delta;
    if (it->second == 0)
        m_capacityCounts.erase(it);
}

void AllocationTable::setHost(const HostInfo &info)
{
    auto &slot = m_hosts[info.id];
    if (!slot) {
        slot = std::make_unique<Host>();
        slot->id = info.id;
        slot->serial = m_nextSerial++;
        slot->listed = false;
    }
    Host &host = *slot;
    countCapacity(host, -1);
    host.rack = info.rack;
    host.listed = true;
    host.leaving = info.state == HostState::Leaving;
    host.capacity = {std::max(info.cores, 0), std::max(info.memoryMb, 0),
                     std::max(info.accelerators, 0)};
    countCapacity(host, 1);
    index(host);
}

void AllocationTable::removeHost(std::string_view host)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    countCapacity(*it->second, -1);
    it->second->listed = false;
    index(*it->second);
    eraseIfUnused(it);
}

void AllocationTable::eraseIfUnused(Hosts::iterator it)
{
    if (!it->second->listed && it->second->allocations.empty())
        m_hosts.erase(it);
}

void AllocationTable::setCoreLimit(std::string_view host, int cores)
{
    if (Host *h = find(host)) {
        h->coreLimit = std::max(cores, 0);
        index(*h);
    }
}

void AllocationTable::setSchedulable(std::string_view host, bool schedulable)
{
    if (Host *h = find(host)) {
        h->schedulable = schedulable;
        index(*h);
    }
}

bool AllocationTable::allocate(std::string_view host, std::string_view task,
                               const Resources &demand)
{
    Host *h = find(host);
    if (!h || !demand.isValid())
        return false;
    if (const auto it = h->allocations.find(task); it != h->allocations.end())
        return it->second == demand;
    if (!h->takesNewWork() || h->overcommitted() || !demand.fitsIn(h->free()))
        return false;
    h->allocations.emplace(task, demand);
    h->allocated = h->allocated + demand;
    index(*h);
    return true;
}

void AllocationTable::restore(std::string_view host, std::string_view task, const Resources &held)
{
    auto &slot = m_hosts[std::string(host)];
    if (!slot) {
        slot = std::make_unique<Host>();
        slot->id = host;
        slot->serial = m_nextSerial++;
        slot->listed = false;
    }
    const Resources size{std::max(held.cores, 0), std::max(held.memoryMb, 0),
                         std::max(held.accelerators, 0)};
    Resources &allocation = slot->allocations[std::string(task)];
    slot->allocated = slot->allocated - allocation + size;
    allocation = size;
    index(*slot);
}

bool AllocationTable::resize(std::string_view host, std::string_view task, const Resources &demand)
{
    Host *h = find(host);
    if (!h || !demand.isValid())
        return false;
    const auto it = h->allocations.find(task);
    if (it == h->allocations.end())
        return false;
    const Resources after = h->allocated - it->second + demand;
    const bool shrinks = demand.fitsIn(it->second);
    if (!shrinks && !(h->isLive() && after.fitsIn(h->capacity)))
        return false;
    it->second = demand;
    h->allocated = after;
    index(*h);
    return true;
}

void AllocationTable::release(std::string_view host, std::string_view task)
{
    const auto hostIt = m_hosts.find(host);
    if (hostIt == m_hosts.end())
        return;
    Host &h = *hostIt->second;
    const auto it = h.allocations.find(task);
    if (it == h.allocations.end())
        return;
    h.allocated = h.allocated - it->second;
    h.allocations.erase(it);
    index(h);
    eraseIfUnused(hostIt);
}

Resources AllocationTable::free(std::string_view host) const
{
    const Host *h = find(host);
    return h && !h->overcommitted() ? h->free() : Resources{};
}

Resources AllocationTable::allocated(std::string_view host) const
{
    const Host *h = find(host);
    return h ? h->allocated : Resources{};
}

Resources AllocationTable::allocatedTo(std::string_view host, std::string_view task) const
{
    const Host *h = find(host);
    if (!h)
        return {};
    const auto it = h->allocations.find(task);
    return it == h->allocations.end() ? Resources{} : it->second;
}

Resources AllocationTable::capacity(std::string_view host) const
{
    const Host *h = find(host);
    return h ? h->capacity : Resources{};
}

Resources AllocationTable::allocatable(std::string_view host) const
{
    const Host *h = find(host);
    if (!h || !h->takesNewWork())
        return {};
    Resources size = h->capacity;
    size.cores = std::min(size.cores, h->coreLimit);
    return size;
}

bool AllocationTable::isSchedulable(std::string_view host) const
{
    const Host *h = find(host);
    return h && h->takesNewWork();
}

std::vector<std::string> AllocationTable::tasks(std::string_view host) const
{
    std::vector<std::string> ids;
    if (const Host *h = find(host)) {
        for (const auto &[id, size] : h->allocations)
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> AllocationTable::hosts() const
{
    std::vector<std::string> ids;
    ids.reserve(m_hosts.size());
    for (const auto &[id, host] : m_hosts)
        ids.push_back(id);
    return ids;
}

std::size_t AllocationTable::hostCount() const
{
    return m_hosts.size();
}

HostFit AllocationTable::fitsAnyHost(const Resources &demand) const
{
    if (m_capacityCounts.empty())
        return {HostFitStatus::NoHosts, "no listed worker accepts work"};
    Resources largest;
    for (const auto &[capacity, count] : m_capacityCounts) {
        if (demand.isValid() && demand.fitsIn(capacity))
            return {HostFitStatus::Fits, ""};
        largest.cores = std::max(largest.cores, capacity.cores);
        largest.memoryMb = std::max(largest.memoryMb, capacity.memoryMb);
        largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
    }
    if (!demand.isValid())
        return {HostFitStatus::TooLarge, "a requested amount is negative"};
    return {HostFitStatus::TooLarge, describeShortage(demand, largest)};
}

// Visits the fitting hosts of one group. Returns false if the visitor ended the visit.
bool AllocationTable::visitSize(const FreeSize &size, const std::set<FreeEntry> &entries,
                                const Resources &demand, Order order, std::size_t maxPerSize,
                                const std::function<bool(const HostView &)> &visit) const
{
    if (size.cores < demand.cores)
        return true;
    const auto visitEntry = [&visit](const FreeEntry &entry) {
        const Host &h = *entry.host;
        return visit({h.id, h.rack, h.capacity, h.indexedFree});
    };
    const auto first = entries.lower_bound({demand.memoryMb, 0, nullptr});
    std::size_t n = 0;
    if (order == Order::LeastFreeFirst) {
        for (auto it = first; it != entries.end() && n < maxPerSize; ++it, ++n) {
            if (!visitEntry(*it))
                return false;
        }
        return true;
    }
    for (auto it = entries.end(); it != first && n < maxPerSize; ++n) {
        if (!visitEntry(*--it))
            return false;
    }
    return true;
}

void AllocationTable::visitFitting(const Resources &demand, Order order, std::size_t maxPerSize,
                                   const std::function<bool(const HostView &)> &visit) const
{
    auto begin = m_hostsByFree.lower_bound({demand.accelerators, 0});
    while (begin != m_hostsByFree.end()) {
        const auto end = m_hostsByFree.lower_bound({begin->first.accelerators + 1, 0});
        if (order == Order::LeastFreeFirst) {
            for (auto it = begin; it != end; ++it) {
                if (!visitSize(it->first, it->second, demand, order, maxPerSize, visit))
                    return;
            }
        } else {
            for (auto it = end; it != begin && std::prev(it)->first.cores >= demand.cores;) {
                --it;
                if (!visitSize(it->first, it->second, demand, order, maxPerSize, visit))
                    return;
            }
        }
        begin = end;
    }
}

} // namespace savorywick
