#include "savorywick/hostledger.h"

#include <algorithm>
#include <limits>

namespace savorywick {

struct HostLedger::Host
{
    std::string id;
    std::string rack;
    std::size_t serial = 0;
    bool listed = true;
    bool leaving = false;
    bool open = true;
    bool indexed = false;
    Resources capacity;
    Resources booked;
    Resources indexedFree;
    int allowance = std::numeric_limits<int>::max();
    std::map<std::string, Resources, std::less<>> bookings;

    // Whether it counts for what could ever run, however full or closed it is at present.
    bool isLive() const { return listed && !leaving; }
    bool acceptsWork() const { return isLive() && open; }

    Resources free() const
    {
        if (!acceptsWork())
            return {};
        const Resources rest = capacity - booked;
        const int cores = std::min(rest.cores, allowance - booked.cores);
        return {std::max(cores, 0), std::max(rest.memoryMb, 0), std::max(rest.accelerators, 0)};
    }

    // An overcommitted dimension closes the host to work of every kind.
    bool overcommitted() const { return !booked.fitsIn(capacity); }
};

namespace {

std::string describeShortage(const Resources &need, const Resources &largest)
{
    std::string text;
    const auto add = [&text](std::string_view what, int wanted, int most) {
        if (wanted <= most)
            return;
        text += text.empty() ? "" : ", ";
        text += std::to_string(wanted) + " " + std::string(what)
            + " wanted but no host has more than " + std::to_string(most);
    };
    add("cores", need.cores, largest.cores);
    add("MiB of memory", need.memoryMb, largest.memoryMb);
    add("accelerators", need.accelerators, largest.accelerators);
    if (text.empty())
        text = "each part fits some host, but no single host has them all";
    return text;
}

} // namespace

bool HostLedger::FreeEntry::operator<(const FreeEntry &other) const
{
    return memoryMb != other.memoryMb ? memoryMb < other.memoryMb : serial < other.serial;
}

HostLedger::HostLedger() = default;
HostLedger::~HostLedger() = default;
HostLedger::HostLedger(HostLedger &&) noexcept = default;
HostLedger &HostLedger::operator=(HostLedger &&) noexcept = default;

HostLedger::Host *HostLedger::find(std::string_view host) const
{
    const auto it = m_hosts.find(host);
    return it == m_hosts.end() ? nullptr : it->second.get();
}

void HostLedger::unindex(const Host &host)
{
    if (!host.indexed)
        return;
    const auto it = m_free.find({host.indexedFree.accelerators, host.indexedFree.cores});
    it->second.erase({host.indexedFree.memoryMb, host.serial, &host});
    if (it->second.empty())
        m_free.erase(it);
}

void HostLedger::index(Host &host)
{
    unindex(host);
    host.indexed = host.acceptsWork() && !host.overcommitted();
    if (!host.indexed)
        return;
    host.indexedFree = host.free();
    m_free[{host.indexedFree.accelerators, host.indexedFree.cores}].insert(
        {host.indexedFree.memoryMb, host.serial, &host});
}

void HostLedger::countShape(const Host &host, int delta)
{
    if (!host.isLive())
        return;
    const auto it = m_shapes.try_emplace(host.capacity, 0).first;
    it->second += delta;
    if (it->second == 0)
        m_shapes.erase(it);
}

void HostLedger::setHost(const HostInfo &info)
{
    auto &slot = m_hosts[info.id];
    if (!slot) {
        slot = std::make_unique<Host>();
        slot->id = info.id;
        slot->serial = m_nextSerial++;
        slot->listed = false;
    }
    Host &host = *slot;
    countShape(host, -1);
    host.rack = info.rack;
    host.listed = true;
    host.leaving = info.state == HostState::Leaving;
    host.capacity = {std::max(info.cores, 0), std::max(info.memoryMb, 0),
                     std::max(info.accelerators, 0)};
    countShape(host, 1);
    index(host);
}

void HostLedger::removeHost(std::string_view host)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    countShape(*it->second, -1);
    it->second->listed = false;
    index(*it->second);
    forgetIfDone(it);
}

void HostLedger::forgetIfDone(Hosts::iterator it)
{
    if (!it->second->listed && it->second->bookings.empty())
        m_hosts.erase(it);
}

void HostLedger::setAllowance(std::string_view host, int cores)
{
    if (Host *h = find(host)) {
        h->allowance = std::max(cores, 0);
        index(*h);
    }
}

void HostLedger::setOpen(std::string_view host, bool open)
{
    if (Host *h = find(host)) {
        h->open = open;
        index(*h);
    }
}

bool HostLedger::book(std::string_view host, std::string_view task, const Resources &need)
{
    Host *h = find(host);
    if (!h || !need.isValid())
        return false;
    if (const auto it = h->bookings.find(task); it != h->bookings.end())
        return it->second == need;
    if (!h->acceptsWork() || h->overcommitted() || !need.fitsIn(h->free()))
        return false;
    h->bookings.emplace(task, need);
    h->booked = h->booked + need;
    index(*h);
    return true;
}

void HostLedger::restore(std::string_view host, std::string_view task, const Resources &held)
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
    Resources &booking = slot->bookings[std::string(task)];
    slot->booked = slot->booked - booking + size;
    booking = size;
    index(*slot);
}

bool HostLedger::rebook(std::string_view host, std::string_view task, const Resources &need)
{
    Host *h = find(host);
    if (!h || !need.isValid())
        return false;
    const auto it = h->bookings.find(task);
    if (it == h->bookings.end())
        return false;
    const Resources after = h->booked - it->second + need;
    const bool shrinks = need.fitsIn(it->second);
    if (!shrinks && !(h->isLive() && after.fitsIn(h->capacity)))
        return false;
    it->second = need;
    h->booked = after;
    index(*h);
    return true;
}

void HostLedger::release(std::string_view host, std::string_view task)
{
    const auto hostIt = m_hosts.find(host);
    if (hostIt == m_hosts.end())
        return;
    Host &h = *hostIt->second;
    const auto it = h.bookings.find(task);
    if (it == h.bookings.end())
        return;
    h.booked = h.booked - it->second;
    h.bookings.erase(it);
    index(h);
    forgetIfDone(hostIt);
}

Resources HostLedger::free(std::string_view host) const
{
    const Host *h = find(host);
    return h && !h->overcommitted() ? h->free() : Resources{};
}

Resources HostLedger::booked(std::string_view host) const
{
    const Host *h = find(host);
    return h ? h->booked : Resources{};
}

Resources HostLedger::bookedFor(std::string_view host, std::string_view task) const
{
    const Host *h = find(host);
    if (!h)
        return {};
    const auto it = h->bookings.find(task);
    return it == h->bookings.end() ? Resources{} : it->second;
}

Resources HostLedger::capacity(std::string_view host) const
{
    const Host *h = find(host);
    return h ? h->capacity : Resources{};
}

Resources HostLedger::sizeWhenEmpty(std::string_view host) const
{
    const Host *h = find(host);
    if (!h || !h->acceptsWork())
        return {};
    Resources size = h->capacity;
    size.cores = std::min(size.cores, h->allowance);
    return size;
}

bool HostLedger::accepts(std::string_view host) const
{
    const Host *h = find(host);
    return h && h->acceptsWork();
}

std::vector<std::string> HostLedger::tasks(std::string_view host) const
{
    std::vector<std::string> ids;
    if (const Host *h = find(host)) {
        for (const auto &[id, size] : h->bookings)
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> HostLedger::hosts() const
{
    std::vector<std::string> ids;
    ids.reserve(m_hosts.size());
    for (const auto &[id, host] : m_hosts)
        ids.push_back(id);
    return ids;
}

std::size_t HostLedger::hostCount() const
{
    return m_hosts.size();
}

HostFit HostLedger::fitsAnyHost(const Resources &need) const
{
    if (m_shapes.empty())
        return {FitVerdict::NoHosts, "no worker that accepts work is listed"};
    Resources largest;
    for (const auto &[shape, count] : m_shapes) {
        if (need.isValid() && need.fitsIn(shape))
            return {FitVerdict::Fits, ""};
        largest.cores = std::max(largest.cores, shape.cores);
        largest.memoryMb = std::max(largest.memoryMb, shape.memoryMb);
        largest.accelerators = std::max(largest.accelerators, shape.accelerators);
    }
    if (!need.isValid())
        return {FitVerdict::TooLarge, "the size has a negative part"};
    return {FitVerdict::TooLarge, describeShortage(need, largest)};
}

// Offers the hosts of one size; returns false if the visitor has had enough.
bool HostLedger::visitSize(const FreeSize &size, const std::set<FreeEntry> &entries,
                           const Resources &need, Order order, std::size_t perSize,
                           const std::function<bool(const HostView &)> &visit) const
{
    if (size.cores < need.cores)
        return true;
    const auto offer = [&visit](const FreeEntry &entry) {
        const Host &h = *entry.host;
        return visit({h.id, h.rack, h.capacity, h.indexedFree});
    };
    const auto first = entries.lower_bound({need.memoryMb, 0, nullptr});
    std::size_t n = 0;
    if (order == Order::TightestFirst) {
        for (auto it = first; it != entries.end() && n < perSize; ++it, ++n) {
            if (!offer(*it))
                return false;
        }
        return true;
    }
    for (auto it = entries.end(); it != first && n < perSize; ++n) {
        if (!offer(*--it))
            return false;
    }
    return true;
}

void HostLedger::visitFitting(const Resources &need, Order order, std::size_t perSize,
                              const std::function<bool(const HostView &)> &visit) const
{
    auto begin = m_free.lower_bound({need.accelerators, 0});
    while (begin != m_free.end()) {
        const auto end = m_free.lower_bound({begin->first.accelerators + 1, 0});
        if (order == Order::TightestFirst) {
            for (auto it = begin; it != end; ++it) {
                if (!visitSize(it->first, it->second, need, order, perSize, visit))
                    return;
            }
        } else {
            for (auto it = end; it != begin && std::prev(it)->first.cores >= need.cores;) {
                --it;
                if (!visitSize(it->first, it->second, need, order, perSize, visit))
                    return;
            }
        }
        begin = end;
    }
}

} // namespace savorywick
