#pragma once

#include "savorywick/allocationtable.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace savorywick {

// A task that needs a host. The views must stay valid while a placement chooses.
struct PlacementRequest
{
    std::string_view service;
    std::string_view runClass;
    Resources demand;
    // Hosts that must not be chosen, such as those on which the task has failed.
    std::span<const std::string> excludedHosts;
};

// Scores a host for a task, apart from whether the task fits there.
//
// Implement it to make a `Placement` prefer some of the hosts that fit.
class HostCost
{
public:
    virtual ~HostCost() = default;
    // Returns the cost of placing the task on `host`. Lower costs are preferred; 0 means no
    // objection, and infinity forbids the host.
    virtual double cost(const HostView &host, const PlacementRequest &request) const = 0;
};

// Chooses the host for a task.
//
// Use `BestFitPlacement` to pack tasks densely and keep large gaps free for large tasks. Use
// `SpreadPlacement` to limit interference between tasks and the loss when a host or rack fails.
// Implement the interface for other policies.
//
// Example:
//   if (const auto host = placement.choose(request, allocations, &cost))
//       allocations.allocate(*host, task, request.demand);
class Placement
{
public:
    virtual ~Placement() = default;

    // Returns the id of a host on which the request can be allocated now, or nothing if none is
    // found. `cost` may be null, in which case all hosts cost the same.
    virtual std::optional<std::string> choose(const PlacementRequest &request,
                                              const AllocationTable &allocations,
                                              const HostCost *cost) const = 0;
};

// Chooses the host with the least free resources that fits (best fit). With a cost, chooses the
// cheapest of the few tightest hosts.
class BestFitPlacement final : public Placement
{
public:
    std::optional<std::string> choose(const PlacementRequest &request,
                                      const AllocationTable &allocations,
                                      const HostCost *cost) const override;
};

// Chooses the host with the most free resources (worst fit). With a cost, chooses the cheapest of
// the hosts with the most free resources.
class SpreadPlacement final : public Placement
{
public:
    // Compares the cost of at most `candidates` hosts for each choice; 0 counts as 1.
    explicit SpreadPlacement(std::size_t candidates = 32);

    std::optional<std::string> choose(const PlacementRequest &request,
                                      const AllocationTable &allocations,
                                      const HostCost *cost) const override;

private:
    std::size_t m_candidates;
};

// Raises the cost of a host with every task of the same service and class on its rack.
//
// Use it to spread like tasks over racks, so that the failure of one rack stops few of them.
// Report the start and end of each task to it.
//
// Example:
//   RackSpreadCost spread(0.05);
//   spread.taskStarted("rack-3", "matching", "allocation");
class RackSpreadCost final : public HostCost
{
public:
    // Each task of the same service and class on the rack adds `costPerTask` to the cost.
    explicit RackSpreadCost(double costPerTask);

    // Counts a task on the rack.
    void taskStarted(std::string_view rack, std::string_view service, std::string_view runClass);
    // Removes a task from the rack's count. Does nothing if none is counted.
    void taskEnded(std::string_view rack, std::string_view service, std::string_view runClass);
    // Returns `costPerTask` times the number of like tasks on the host's rack.
    double cost(const HostView &host, const PlacementRequest &request) const override;

private:
    static std::string keyOf(std::string_view rack, std::string_view service,
                             std::string_view runClass);

    double m_costPerTask;
    std::map<std::string, int, std::less<>> m_counts;
};

// Combines several costs into their sum.
//
// Use it to place by several criteria at once. It does not own the costs; they must outlive it.
class SummedCost final : public HostCost
{
public:
    explicit SummedCost(std::span<const HostCost *const> costs);
    // Returns the sum of all costs; infinity if any of them forbids the host.
    double cost(const HostView &host, const PlacementRequest &request) const override;

private:
    std::vector<const HostCost *> m_costs;
};

} // namespace savorywick
