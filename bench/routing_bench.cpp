// Compares strategies of sharing instances among entries in virtual time, under skewed load and
// faults.

#include "report.h"
#include "routingsimulation.h"

#include <string>
#include <utility>

using namespace savorywick::bench;

namespace {

void measure(const std::string &name, RoutingStrategy strategy, RoutingFault fault)
{
    RoutingTotals totals = simulateRouting(strategy, fault);
    const double percent = 100.0 / static_cast<double>(totals.arrived);
    report("routing", name,
           {{"p50 ms", quantile(totals.latenciesMs, 0.5)},
            {"p99 ms", quantile(totals.latenciesMs, 0.99)},
            {"p99.9 ms", quantile(totals.latenciesMs, 0.999)},
            {"refused %", static_cast<double>(totals.refused) * percent},
            {"failed %", static_cast<double>(totals.failed) * percent},
            {"slot overruns", static_cast<double>(totals.overruns)},
            {"peer messages per request",
             static_cast<double>(totals.peerMessages) / static_cast<double>(totals.arrived)}});
}

} // namespace

int main()
{
    const std::pair<const char *, RoutingStrategy> strategies[]{
        {"random", RoutingStrategy::Random},
        {"least of two on the local view", RoutingStrategy::LeastOfTwo},
        {"owned instances", RoutingStrategy::OwnedInstances},
        {"owned slots", RoutingStrategy::OwnedSlots},
        {"owned slots and forwarding", RoutingStrategy::OwnedSlotsForwarding}};
    const std::pair<const char *, RoutingFault> faults[]{
        {"even", RoutingFault::None},
        {"skew", RoutingFault::Skew},
        {"skew and a slow instance", RoutingFault::SlowInstance},
        {"skew and a failing instance", RoutingFault::FailingInstance},
        {"skew and a lost rack", RoutingFault::LostRack},
        {"skew and a lost entry", RoutingFault::LostEntry},
    };
    for (const auto &[faultName, fault] : faults) {
        reportTableHeader(faultName,
                          {"p50 ms", "p99 ms", "p99.9 ms", "refused %", "failed %", "slot overruns",
                           "peer messages per request"});
        for (const auto &[strategyName, strategy] : strategies)
            measure(std::string(faultName) + ": " + strategyName, strategy, fault);
    }
    return 0;
}
