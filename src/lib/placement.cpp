#include "savorywick/placement.h"

#include <algorithm>
#include <cmath>

namespace savorywick {

namespace {

constexpr std::size_t bestFitCandidates = 8;

// Keeps the cheapest of the hosts offered that are not to be avoided.
class Selection
{
public:
    Selection(const PlacementRequest &request, const HostCost *cost, std::size_t limit)
        : m_request(request)
        , m_cost(cost)
        , m_left(limit)
    { }

    // Returns true if and only if further offers are welcome.
    bool offer(const HostView &host)
    {
        if (std::find(m_request.avoid.begin(), m_request.avoid.end(), host.id)
            != m_request.avoid.end())
            return true;
        const double cost = m_cost ? m_cost->cost(host, m_request) : 0;
        if (std::isinf(cost))
            return --m_left > 0;
        if (!m_best || cost < m_bestCost) {
            m_best = host.id;
            m_bestCost = cost;
        }
        return --m_left > 0;
    }

    const std::optional<std::string> &best() const { return m_best; }

private:
    const PlacementRequest &m_request;
    const HostCost *m_cost;
    std::size_t m_left;
    std::optional<std::string> m_best;
    double m_bestCost = 0;
};

std::optional<std::string> chooseAmong(const PlacementRequest &request, const HostLedger &ledger,
                                       const HostCost *cost, HostLedger::Order order,
                                       std::size_t limit)
{
    Selection selection(request, cost, limit);
    const std::size_t perSize = limit + request.avoid.size();
    ledger.visitFitting(request.need, order, perSize,
                        [&selection](const HostView &host) { return selection.offer(host); });
    return selection.best();
}

} // namespace

std::optional<std::string> BestFitPlacement::choose(const PlacementRequest &request,
                                                    const HostLedger &ledger,
                                                    const HostCost *cost) const
{
    const std::size_t limit = cost ? bestFitCandidates : 1;
    return chooseAmong(request, ledger, cost, HostLedger::Order::TightestFirst, limit);
}

SpreadPlacement::SpreadPlacement(std::size_t candidates)
    : m_candidates(std::max<std::size_t>(candidates, 1))
{ }

std::optional<std::string> SpreadPlacement::choose(const PlacementRequest &request,
                                                   const HostLedger &ledger,
                                                   const HostCost *cost) const
{
    const std::size_t limit = cost ? m_candidates : 1;
    return chooseAmong(request, ledger, cost, HostLedger::Order::RoomiestFirst, limit);
}

RackSpread::RackSpread(double costPerTask)
    : m_costPerTask(costPerTask)
{ }

std::string RackSpread::keyOf(std::string_view rack, std::string_view service,
                              std::string_view runClass)
{
    std::string key;
    key.reserve(rack.size() + service.size() + runClass.size() + 2);
    key.append(rack).append(1, '\n').append(service).append(1, '\n').append(runClass);
    return key;
}

void RackSpread::started(std::string_view rack, std::string_view service, std::string_view runClass)
{
    ++m_counts[keyOf(rack, service, runClass)];
}

void RackSpread::ended(std::string_view rack, std::string_view service, std::string_view runClass)
{
    const auto it = m_counts.find(keyOf(rack, service, runClass));
    if (it != m_counts.end() && --it->second == 0)
        m_counts.erase(it);
}

double RackSpread::cost(const HostView &host, const PlacementRequest &request) const
{
    const auto it = m_counts.find(keyOf(host.rack, request.service, request.runClass));
    return it == m_counts.end() ? 0 : m_costPerTask * it->second;
}

SummedCost::SummedCost(std::span<const HostCost *const> parts)
    : m_parts(parts.begin(), parts.end())
{ }

double SummedCost::cost(const HostView &host, const PlacementRequest &request) const
{
    double sum = 0;
    for (const HostCost *part : m_parts)
        sum += part->cost(host, request);
    return sum;
}

} // namespace savorywick
