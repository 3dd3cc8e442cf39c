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

class FixedCosts final : public HostCost
{
public:
    explicit FixedCosts(std::map<std::string, double> costs)
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

TEST_CASE("only hosts on which the task fits and that are not excluded are chosen")
{
    CHECK(rc::check("the task fits on the chosen host; without a choice it fits on none", [] {
        AllocationTable allocations;
        const int hosts = *rc::gen::inRange(0, 12);
        for (int i = 0; i < hosts; ++i) {
            const std::string id = "w" + std::to_string(i);
            allocations.setHost(worker(
                id, "r" + std::to_string(i % 3),
                {*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 50), *rc::gen::inRange(0, 3)}));
            allocations.allocate(id, "old", {*rc::gen::inRange(0, 5), *rc::gen::inRange(0, 30), 0});
        }
        std::vector<std::string> excluded;
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
            excluded.push_back("w" + std::to_string(*rc::gen::inRange(0, 12)));
        const Resources demand{*rc::gen::inRange(0, 6), *rc::gen::inRange(0, 30),
                               *rc::gen::inRange(0, 2)};
        const PlacementRequest request{"s", "c", demand, excluded};
        const RackSpreadCost spread(0.1);
        const BestFitPlacement bestFit;
        const SpreadPlacement spreading;
        const Placement &placement = **rc::gen::element<const Placement *>(&bestFit, &spreading);
        const auto chosen = placement.choose(request, allocations,
                                             *rc::gen::element<const HostCost *>(nullptr, &spread));
        const auto isExcluded = [&](const std::string &id) {
            return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        };
        if (chosen) {
            RC_ASSERT(!isExcluded(*chosen));
            RC_ASSERT(allocations.allocate(*chosen, "new", demand));
            return;
        }
        for (const std::string &id : allocations.hosts())
            RC_ASSERT(isExcluded(id) || !allocations.allocate(id, "new", demand));
    }));
}

TEST_CASE("best fit chooses the fullest host and spreading the emptiest")
{
    AllocationTable allocations;
    allocations.setHost(worker("a", "r1", {8, 100, 0}));
    allocations.setHost(worker("b", "r1", {8, 100, 0}));
    allocations.setHost(worker("c", "r2", {8, 100, 1}));
    REQUIRE(allocations.allocate("a", "old", {5, 10, 0}));
    const PlacementRequest request{"s", "c", {2, 10, 0}, {}};
    CHECK(BestFitPlacement().choose(request, allocations, nullptr) == "a");
    CHECK(SpreadPlacement().choose(request, allocations, nullptr) == "b");
}

TEST_CASE("the cheapest host is chosen and a forbidden one never is")
{
    AllocationTable allocations;
    for (const char *id : {"a", "b", "c"})
        allocations.setHost(worker(id, "r1", {8, 100, 0}));
    const PlacementRequest request{"s", "c", {2, 10, 0}, {}};
    const double forbidden = std::numeric_limits<double>::infinity();
    const FixedCosts costs({{"a", 0.3}, {"b", 0.1}, {"c", forbidden}});
    const FixedCosts allForbidden({{"a", forbidden}, {"b", forbidden}, {"c", forbidden}});
    const BestFitPlacement bestFit;
    const SpreadPlacement spreading;
    for (const Placement *it :
         {static_cast<const Placement *>(&bestFit), static_cast<const Placement *>(&spreading)}) {
        CHECK(it->choose(request, allocations, &costs) == "b");
        CHECK(it->choose(request, allocations, &allForbidden) == std::nullopt);
    }
}

TEST_CASE("a summed cost adds up its costs")
{
    const FixedCosts first({{"a", 0.3}, {"b", 0.1}});
    const FixedCosts second({{"a", 0.1}, {"b", 0.4}});
    const std::vector<const HostCost *> costs{&first, &second};
    AllocationTable allocations;
    for (const char *id : {"a", "b"})
        allocations.setHost(worker(id, "r1", {8, 100, 0}));
    const SummedCost sum(costs);
    CHECK(BestFitPlacement().choose({"s", "c", {2, 10, 0}, {}}, allocations, &second) == "a");
    CHECK(BestFitPlacement().choose({"s", "c", {2, 10, 0}, {}}, allocations, &first) == "b");
    CHECK(BestFitPlacement().choose({"s", "c", {2, 10, 0}, {}}, allocations, &sum) == "a");
}

TEST_CASE("tasks of one service and class spread over the racks")
{
    AllocationTable allocations;
    for (int i = 0; i < 8; ++i)
        allocations.setHost(worker("w" + std::to_string(i), i < 4 ? "r1" : "r2", {64, 1'000, 0}));
    RackSpreadCost spread(0.1);
    std::map<std::string, int> perRack;
    for (int i = 0; i < 10; ++i) {
        const PlacementRequest request{"s", "c", {2, 10, 0}, {}};
        const auto chosen = SpreadPlacement().choose(request, allocations, &spread);
        REQUIRE(chosen);
        const std::string rack = chosen->back() < '4' ? "r1" : "r2";
        allocations.allocate(*chosen, "t" + std::to_string(i), request.demand);
        spread.taskStarted(rack, "s", "c");
        ++perRack[rack];
    }
    CHECK(perRack["r1"] == 5);
    CHECK(perRack["r2"] == 5);
    spread.taskEnded("r3", "s", "c");
}
