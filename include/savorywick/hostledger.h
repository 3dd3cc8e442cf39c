#pragma once

#include "savorywick/platform.h"
#include "savorywick/resources.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// Whether a size could be held by a host at all, were it empty.
enum class FitVerdict {
    Fits, // At least one listed host is large enough.
    TooLarge, // No listed host is large enough.
    NoHosts, // No host is listed, so nothing can be said yet.
};

struct HostFit
{
    FitVerdict verdict = FitVerdict::NoHosts;
    std::string reason; // Empty if and only if the size fits.
};

// A host as placement sees it. The references hold until the ledger changes.
struct HostView
{
    const std::string &id;
    const std::string &rack;
    Resources capacity;
    Resources free;
};

// Keeps what each worker has promised to tasks, so that no host is given more than it holds.
//
// Use one ledger for the workers of one shard; its owner books before it starts a task and releases
// once the task is confirmed gone. A booking is made only if the sum stays within the host's
// capacity in every dimension. A host that shrinks, leaves or vanishes keeps its bookings until
// they are released and accepts none that would not fit. Not thread-safe.
//
// Example:
//   HostLedger ledger;
//   ledger.setHost(info);
//   if (ledger.book(info.id, "run-12", {.cores = 4, .memoryMb = 8'192}))
//       start(info.id, "run-12");
class HostLedger
{
public:
    HostLedger();
    ~HostLedger();
    HostLedger(HostLedger &&) noexcept;
    HostLedger &operator=(HostLedger &&) noexcept;

    // Adds or updates a worker. A leaving worker accepts no further bookings.
    void setHost(const HostInfo &host);
    // Marks a worker as gone from the list. It is forgotten once its last booking is released.
    void removeHost(std::string_view host);
    // Limits the cores that further bookings may bring `host` to; what is booked stays booked. The
    // limit holds until it is set again; a negative one counts as 0. Unknown hosts are ignored.
    void setAllowance(std::string_view host, int cores);

    // Opens or closes a worker for further bookings, such as for a quarantine. Workers are open at
    // first. Unknown hosts are ignored.
    void setOpen(std::string_view host, bool open);

    // Books `need` for `task` and returns true, or returns false and changes nothing if it does not
    // fit, the host accepts no work, or `task` is booked there already with another size.
    bool book(std::string_view host, std::string_view task, const Resources &need);
    // Books what a task surely holds already, as a new owner learns it, whether or not it fits.
    // The host then accepts nothing until enough has been released.
    void restore(std::string_view host, std::string_view task, const Resources &held);
    // Changes the size of a booking and returns true, or returns false and keeps the old size.
    // A smaller size always succeeds; a larger one may use what the allowance holds back.
    bool rebook(std::string_view host, std::string_view task, const Resources &need);
    // Gives back a booking. Releasing what is not booked is no error.
    void release(std::string_view host, std::string_view task);

    // Returns what can still be booked, never negative; nothing for hosts that accept no work.
    Resources free(std::string_view host) const;
    // Returns the sum of the host's bookings.
    Resources booked(std::string_view host) const;
    // Returns what `task` has booked on `host`, or nothing.
    Resources bookedFor(std::string_view host, std::string_view task) const;
    // Returns what the list last said that the host has; nothing for unknown hosts.
    Resources capacity(std::string_view host) const;
    // Returns what could be booked if nothing were: the capacity within the allowance; nothing for
    // hosts that accept no work.
    Resources sizeWhenEmpty(std::string_view host) const;
    // Returns true if and only if the host is listed, live and open.
    bool accepts(std::string_view host) const;
    // Returns the tasks booked on `host`, sorted.
    std::vector<std::string> tasks(std::string_view host) const;
    // Returns the ids of all hosts, sorted, including those that only wait for releases.
    std::vector<std::string> hosts() const;
    std::size_t hostCount() const;

    // Tells whether any live host could hold `need` if it were empty, and why not.
    HostFit fitsAnyHost(const Resources &need) const;

    enum class Order { TightestFirst, RoomiestFirst };
    // Calls `visit` for hosts that can hold `need` now, at most `perSize` of those with equal free
    // cores and accelerators, until it returns false. Every size with a fitting host is visited.
    // Hosts with fewer accelerators come first in both orders, so that work without need of them
    // leaves them free. The cost grows with the number of sizes visited and the logarithm of the
    // number of hosts.
    void visitFitting(const Resources &need, Order order, std::size_t perSize,
                      const std::function<bool(const HostView &)> &visit) const;

private:
    struct Host;
    struct FreeSize
    {
        int accelerators = 0;
        int cores = 0;
        bool operator<(const FreeSize &other) const
        {
            return accelerators != other.accelerators ? accelerators < other.accelerators
                                                      : cores < other.cores;
        }
    };
    struct FreeEntry
    {
        int memoryMb = 0;
        std::size_t serial = 0;
        const Host *host = nullptr;
        bool operator<(const FreeEntry &other) const;
    };
    using Hosts = std::map<std::string, std::unique_ptr<Host>, std::less<>>;

    Host *find(std::string_view host) const;
    void index(Host &host);
    void unindex(const Host &host);
    bool visitSize(const FreeSize &size, const std::set<FreeEntry> &entries, const Resources &need,
                   Order order, std::size_t perSize,
                   const std::function<bool(const HostView &)> &visit) const;
    void countShape(const Host &host, int delta);
    void forgetIfDone(Hosts::iterator it);

    Hosts m_hosts;
    std::map<FreeSize, std::set<FreeEntry>> m_free; // Hosts that accept work, by what is free.
    std::map<Resources, int> m_shapes; // Capacities of the hosts that accept work.
    std::size_t m_nextSerial = 0;
};

} // namespace savorywick
