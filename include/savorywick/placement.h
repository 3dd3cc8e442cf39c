#pragma once

#include "savorywick/hostledger.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace savorywick {

// A task that looks for a host.
struct PlacementRequest
{
    std::string_view service;
    std::string_view runClass;
    Resources need;
    std::span<const std::string>
        avoid; // Hosts that must not be chosen, such as those it failed on.
};

// What it costs to put a task on a host beyond the room that it takes. 0 is free; larger is
// worse; an infinite cost forbids the host.
class HostCost
{
public:
    virtual ~HostCost() = default;
    virtual double cost(const HostView &host, const PlacementRequest &request) const = 0;
};

// Chooses the host for a task.
//
// Use `BestFitPlacement` where large tasks must find room among small ones, and `SpreadPlacement`
// where a lost rack or interference matters more. Implement it for other rules.
//
// Example:
//   if (const auto host = placement.choose(request, ledger, &cost))
//       ledger.book(*host, task, request.need);
class Placement
{
public:
    virtual ~Placement() = default;

    // Returns a host on which `need` can be booked now, or nothing. `cost` may be null.
    virtual std::optional<std::string> choose(const PlacementRequest &request,
                                              const HostLedger &ledger,
                                              const HostCost *cost) const = 0;
};

// Chooses the host that the task leaves least room on; of nearly equal ones, the cheapest.
class BestFitPlacement final : public Placement
{
public:
    std::optional<std::string> choose(const PlacementRequest &request, const HostLedger &ledger,
                                      const HostCost *cost) const override;
};

// Chooses the cheapest among the hosts with most room.
class SpreadPlacement final : public Placement
{
public:
    // Considers at most `candidates` hosts, at least 1.
    explicit SpreadPlacement(std::size_t candidates = 32);

    std::optional<std::string> choose(const PlacementRequest &request, const HostLedger &ledger,
                                      const HostCost *cost) const override;

private:
    std::size_t m_candidates;
};

// Costs a host by the tasks of the same service and class that its rack holds, so that a lost rack
// takes few of them.
//
// Example:
//   RackSpread spread(0.05);
//   spread.started("rack-3", "matching", "allocation");
class RackSpread final : public HostCost
{
public:
    // Each task of the same kind on the rack adds `costPerTask`.
    explicit RackSpread(double costPerTask);

    void started(std::string_view rack, std::string_view service, std::string_view runClass);
    // Takes back one `started`. Ending what was not started is no error.
    void ended(std::string_view rack, std::string_view service, std::string_view runClass);
    double cost(const HostView &host, const PlacementRequest &request) const override;

private:
    static std::string keyOf(std::string_view rack, std::string_view service,
                             std::string_view runClass);

    double m_costPerTask;
    std::map<std::string, int, std::less<>> m_counts;
};

// Adds up several costs. Does not own them; they must outlive it.
class SummedCost final : public HostCost
{
public:
    explicit SummedCost(std::span<const HostCost *const> parts);
    double cost(const HostView &host, const PlacementRequest &request) const override;

private:
    std::vector<const HostCost *> m_parts;
};

} // namespace savorywick
