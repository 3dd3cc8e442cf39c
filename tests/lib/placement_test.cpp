#include "savorywick/placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>

using namespace savorywick;

namespace {

HostInfo worker(const std::string &id, const std::string &rack, const Resources &size)
{
    HostInfo info;
    info.id = id;
    info.role = HostRole::Worker;
    info.rack = rack;
    info.cores = size.cores;
    info.memoryMb = size.memoryMb;
    info.accelerators = size.accelerators;
    return info;
}

class CostOf final : public HostCost
{
public:
    explicit CostOf(std::map<std::string, double> costs)
        : m_costs(std::move(costs))
    { }
    double cost(const HostView &host, const PlacementRequest &) const override
    {
        const auto it = m_costs.find(host.id);
        return it == m_costs.end() ? 0 : it->second;
    }

private:
    std::map<std::string, double> m_costs;
};

} // namespace

TEST_CASE("only hosts that hold the task and are not avoided are chosen")
{
    CHECK(rc::check("the choice can be booked; without one no host could be", [] {
        HostLedger ledger;
        const int hosts = *rc::gen::inRange(0, 12);
        for (int i = 0; i < hosts; ++i) {
            const std::string id = "w" + std::to_string(i);
            ledger.setHost(worker(
                id, "r" + std::to_string(i % 3),
                {*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 50), *rc::gen::inRange(0, 3)}));
            ledger.book(id, "old", {*rc::gen::inRange(0, 5), *rc::gen::inRange(0, 30), 0});
        }
        std::vector<std::string> avoid;
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
            avoid.push_back("w" + std::to_string(*rc::gen::inRange(0, 12)));
        const Resources need{*rc::gen::inRange(0, 6), *rc::gen::inRange(0, 30),
                             *rc::gen::inRange(0, 2)};
        const PlacementRequest request{"s", "c", need, avoid};
        const RackSpread spread(0.1);
        const BestFitPlacement bestFit;
        const SpreadPlacement spreading;
        const Placement &placement = **rc::gen::element<const Placement *>(&bestFit, &spreading);
        const auto chosen = placement.choose(request, ledger,
                                             *rc::gen::element<const HostCost *>(nullptr, &spread));
        const auto avoided = [&](const std::string &id) {
            return std::find(avoid.begin(), avoid.end(), id) != avoid.end();
        };
        if (chosen) {
            RC_ASSERT(!avoided(*chosen));
            RC_ASSERT(ledger.book(*chosen, "new", need));
            return;
        }
        for (const std::string &id : ledger.hosts())
            RC_ASSERT(avoided(id) || !ledger.book(id, "new", need));
    }));
}

TEST_CASE("best fit leaves the large gaps and spreading uses them")
{
    HostLedger ledger;
    ledger.setHost(worker("a", "r1", {8, 100, 0}));
    ledger.setHost(worker("b", "r1", {8, 100, 0}));
    ledger.setHost(worker("c", "r2", {8, 100, 1}));
    REQUIRE(ledger.book("a", "old", {5, 10, 0}));
    const PlacementRequest request{"s", "c", {2, 10, 0}, {}};
    CHECK(BestFitPlacement().choose(request, ledger, nullptr) == "a");
    CHECK(SpreadPlacement().choose(request, ledger, nullptr) == "b");
}

TEST_CASE("the cheapest host is chosen and a forbidden one never")
{
    HostLedger ledger;
    for (const char *id : {"a", "b", "c"})
        ledger.setHost(worker(id, "r1", {8, 100, 0}));
    const PlacementRequest request{"s", "c", {2, 10, 0}, {}};
    const double never = std::numeric_limits<double>::infinity();
    const CostOf cost({{"a", 0.3}, {"b", 0.1}, {"c", never}});
    const CostOf forbidden({{"a", never}, {"b", never}, {"c", never}});
    const BestFitPlacement bestFit;
    const SpreadPlacement spreading;
    for (const Placement *it :
         {static_cast<const Placement *>(&bestFit), static_cast<const Placement *>(&spreading)}) {
        CHECK(it->choose(request, ledger, &cost) == "b");
        CHECK(it->choose(request, ledger, &forbidden) == std::nullopt);
    }
}

TEST_CASE("several costs add up")
{
    const CostOf first({{"a", 0.3}, {"b", 0.1}});
    const CostOf second({{"a", 0.1}, {"b", 0.4}});
    const std::vector<const HostCost *> parts{&first, &second};
    HostLedger ledger;
    for (const char *id : {"a", "b"})
        ledger.setHost(worker(id, "r1", {8, 100, 0}));
    const SummedCost sum(parts);
    CHECK(BestFitPlacement().choose({"s", "c", {2, 10, 0}, {}}, ledger, &second) == "a");
    CHECK(BestFitPlacement().choose({"s", "c", {2, 10, 0}, {}}, ledger, &first) == "b");
    CHECK(BestFitPlacement().choose({"s", "c", {2, 10, 0}, {}}, ledger, &sum) == "a");
}

TEST_CASE("tasks of one kind spread over the racks")
{
    HostLedger ledger;
    for (int i = 0; i < 8; ++i)
        ledger.setHost(worker("w" + std::to_string(i), i < 4 ? "r1" : "r2", {64, 1'000, 0}));
    RackSpread spread(0.1);
    std::map<std::string, int> perRack;
    for (int i = 0; i < 10; ++i) {
        const PlacementRequest request{"s", "c", {2, 10, 0}, {}};
        const auto chosen = SpreadPlacement().choose(request, ledger, &spread);
        REQUIRE(chosen);
        const std::string rack = chosen->back() < '4' ? "r1" : "r2";
        ledger.book(*chosen, "t" + std::to_string(i), request.need);
        spread.started(rack, "s", "c");
        ++perRack[rack];
    }
    CHECK(perRack["r1"] == 5);
    CHECK(perRack["r2"] == 5);
    spread.ended("r3", "s", "c");
}
