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

// Whether any listed host could satisfy a demand if it were empty.
enum class HostFitStatus {
    Fits, // At least one listed host is large enough.
    TooLarge, // No listed host is large enough.
    NoHosts, // No host is listed that could ever run work, so the question is open.
};

// Whether a demand could be satisfied, and why not.
struct HostFit
{
    HostFitStatus status = HostFitStatus::NoHosts;
    std::string reason; // A sentence for people; empty if and only if the demand fits.
};

// A read-only view of a host, for placement decisions. The references stay valid until the table
// changes.
struct HostView
{
    const std::string &id;
    const std::string &rack;
    Resources capacity;
    Resources free; // What can still be allocated, within the host's core limit.
};

// Tracks the resources that are allocated to tasks on each worker, so that no host is
// overcommitted.
//
// Use one table for the workers of one shard. The shard's owner allocates before it starts a task
// and releases once the task is confirmed to have ended. An allocation succeeds only if the host's
// total stays within its capacity in every dimension. A host that shrinks, drains or vanishes keeps
// its allocations until they are released, and gets no new ones that would not fit.
// Not thread-safe.
//
// Example:
//   AllocationTable allocations;
//   allocations.setHost(info);
//   if (allocations.allocate(info.id, "run-12", {.cores = 4, .memoryMb = 8'192}))
//       start(info.id, "run-12");
class AllocationTable
{
public:
    AllocationTable();
    ~AllocationTable();
    AllocationTable(AllocationTable &&) noexcept;
    AllocationTable &operator=(AllocationTable &&) noexcept;

    // Adds or updates a worker. A worker that is leaving gets no further allocations.
    void setHost(const HostInfo &host);
    // Marks a worker as no longer listed. It is erased once its last allocation is released.
    void removeHost(std::string_view host);
    // Limits the total cores that new allocations on `host` may reach; existing ones stay. The
    // limit holds until it is set again; a negative one counts as 0. Unknown hosts are ignored.
    void setCoreLimit(std::string_view host, int cores);

    // Permits or forbids new allocations on a worker, such as during a quarantine. Workers are
    // schedulable at first. Unknown hosts are ignored.
    void setSchedulable(std::string_view host, bool schedulable);

    // Allocates `demand` to `task` and returns true. Also returns true if the task holds the same
    // allocation there already. Returns false and changes nothing if the demand is invalid or does
    // not fit, the host is unknown or takes no new work, or the task holds another size there.
    bool allocate(std::string_view host, std::string_view task, const Resources &demand);
    // Records an allocation that a running task is known to hold, even if it does not fit. Use it
    // when a new owner of the shard learns what runs already. An overcommitted host gets no new
    // allocations until enough is released.
    void restore(std::string_view host, std::string_view task, const Resources &held);
    // Changes the size of the task's allocation and returns true, or returns false and keeps the
    // old size. Shrinking succeeds in every case; growth must fit in the capacity of a live host
    // but may exceed its core limit. Returns false if the task has no allocation there.
    bool resize(std::string_view host, std::string_view task, const Resources &demand);
    // Releases the task's allocation. Does nothing if there is none.
    void release(std::string_view host, std::string_view task);

    // Returns what can still be allocated, never negative; nothing if the host is unknown,
    // overcommitted or takes no new work.
    Resources free(std::string_view host) const;
    // Returns the sum of the host's allocations; nothing if it is unknown.
    Resources allocated(std::string_view host) const;
    // Returns the allocation of `task` on `host`; nothing if there is none.
    Resources allocatedTo(std::string_view host, std::string_view task) const;
    // Returns the capacity last listed for the host; nothing if it is unknown.
    Resources capacity(std::string_view host) const;
    // Returns what could be allocated if the host were empty: its capacity within the core limit;
    // nothing if it is unknown or takes no new work.
    Resources allocatable(std::string_view host) const;
    // Returns true if and only if the host is listed, not leaving and schedulable.
    bool isSchedulable(std::string_view host) const;
    // Returns the ids of the tasks with an allocation on `host`, sorted.
    std::vector<std::string> tasks(std::string_view host) const;
    // Returns the ids of all hosts, sorted, including unlisted ones that still hold allocations.
    std::vector<std::string> hosts() const;
    // Returns the number of all hosts, including unlisted ones that still hold allocations.
    std::size_t hostCount() const;

    // Returns whether any live host could hold `demand` if it were empty, and why not. Hosts that
    // are full or not schedulable at present count too.
    HostFit fitsAnyHost(const Resources &demand) const;

    enum class Order { LeastFreeFirst, MostFreeFirst };
    // Calls `visit` for hosts on which `demand` fits now, until it returns false. Of the hosts with
    // equal free cores and accelerators, it visits at most `maxPerSize`; each such group with a
    // fitting host is visited. Both orders start with the hosts that have the fewest free
    // accelerators, so that work without accelerators leaves the others free. The cost grows with
    // the number of groups visited and the logarithm of the number of hosts.
    void visitFitting(const Resources &demand, Order order, std::size_t maxPerSize,
                      const std::function<bool(const HostView &)> &visit) const;

private:
    struct Host;
    // The key of a group of hosts with equal free accelerators and cores.
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
    // A host in its group, ordered by free memory.
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
    bool visitSize(const FreeSize &size, const std::set<FreeEntry> &entries,
                   const Resources &demand, Order order, std::size_t maxPerSize,
                   const std::function<bool(const HostView &)> &visit) const;
    void countCapacity(const Host &host, int delta);
    void eraseIfUnused(Hosts::iterator it);

    Hosts m_hosts;
    std::map<FreeSize, std::set<FreeEntry>> m_hostsByFree; // Hosts that take new work.
    std::map<Resources, int> m_capacityCounts; // Number of live hosts of each capacity.
    std::size_t m_nextSerial = 0;
};

} // namespace savorywick
