#include "savorywick/placement.h"

#include <algorithm>
#include <cmath>

namespace savorywick {

namespace {

constexpr std::size_t bestFitCandidates = 8; // Hosts whose costs a best fit compares.

// Keeps the cheapest of the offered hosts that are neither excluded nor forbidden.
class CheapestHost
{
public:
    CheapestHost(const PlacementRequest &request, const HostCost *cost, std::size_t limit)
        : m_request(request)
        , m_cost(cost)
        , m_candidatesLeft(limit)
    { }

    // Considers a host. Returns false once the limit of candidates is reached.
    bool offer(const HostView &host)
    {
        if (std::find(m_request.excludedHosts.begin(), m_request.excludedHosts.end(), host.id)
            != m_request.excludedHosts.end())
            return true;
        const double cost = m_cost ? m_cost->cost(host, m_request) : 0;
        if (std::isinf(cost))
            return --m_candidatesLeft > 0;
        if (!m_best || cost < m_bestCost) {
            m_best = host.id;
            m_bestCost = cost;
        }
        return --m_candidatesLeft > 0;
    }

    const std::optional<std::string> &best() const { return m_best; }

private:
    const PlacementRequest &m_request;
    const HostCost *m_cost;
    std::size_t m_candidatesLeft;
    std::optional<std::string> m_best;
    double m_bestCost = 0;
};

std::optional<std::string> chooseAmong(const PlacementRequest &request,
                                       const AllocationTable &allocations, const HostCost *cost,
                                       AllocationTable::Order order, std::size_t limit)
{
    CheapestHost cheapest(request, cost, limit);
    // Excluded hosts are offered too and do not count as candidates.
    const std::size_t maxPerSize = limit + request.excludedHosts.size();
    allocations.visitFitting(request.demand, order, maxPerSize,
                             [&cheapest](const HostView &host) { return cheapest.offer(host); });
    return cheapest.best();
}

} // namespace

std::optional<std::string> BestFitPlacement::choose(const PlacementRequest &request,
                                                    const AllocationTable &allocations,
                                                    const HostCost *cost) const
{
    const std::size_t limit = cost ? bestFitCandidates : 1;
    return chooseAmong(request, allocations, cost, AllocationTable::Order::LeastFreeFirst, limit);
}

SpreadPlacement::SpreadPlacement(std::size_t candidates)
    : m_candidates(std::max<std::size_t>(candidates, 1))
{ }

std::optional<std::string> SpreadPlacement::choose(const PlacementRequest &request,
                                                   const AllocationTable &allocations,
                                                   const HostCost *cost) const
{
    const std::size_t limit = cost ? m_candidates : 1;
    return chooseAmong(request, allocations, cost, AllocationTable::Order::MostFreeFirst, limit);
}

RackSpreadCost::RackSpreadCost(double costPerTask)
    : m_costPerTask(costPerTask)
{ }

std::string RackSpreadCost::keyOf(std::string_view rack, std::string_view service,
                                  std::string_view runClass)
{
    std::string key;
    key.reserve(rack.size() + service.size() + runClass.size() + 2);
    key.append(rack).append(1, '\n').append(service).append(1, '\n').append(runClass);
    return key;
}

void RackSpreadCost::taskStarted(std::string_view rack, std::string_view service,
                                 std::string_view runClass)
{
    ++m_counts[keyOf(rack, service, runClass)];
}

void RackSpreadCost::taskEnded(std::string_view rack, std::string_view service,
                               std::string_view runClass)
{
    const auto it = m_counts.find(keyOf(rack, service, runClass));
    if (it != m_counts.end() && --it->second == 0)
        m_counts.erase(it);
}

double RackSpreadCost::cost(const HostView &host, const PlacementRequest &request) const
{
    const auto it = m_counts.find(keyOf(host.rack, request.service, request.runClass));
    return it == m_counts.end() ? 0 : m_costPerTask * it->second;
}

SummedCost::SummedCost(std::span<const HostCost *const> costs)
    : m_costs(costs.begin(), costs.end())
{ }

double SummedCost::cost(const HostView &host, const PlacementRequest &request) const
{
    double sum = 0;
    for (const HostCost *it : m_costs)
        sum += it->cost(host, request);
    return sum;
}

} // namespace savorywick
