#include "savorywick/allocationtable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace savorywick;

namespace {

HostInfo worker(const std::string &id, const Resources &size, HostState state = HostState::Live)
{
    HostInfo info;
    info.id = id;
    info.role = HostRole::Worker;
    info.state = state;
    info.rack = "rack-1";
    info.cores = size.cores;
    info.memoryMb = size.memoryMb;
    info.accelerators = size.accelerators;
    return info;
}

Resources anySize()
{
    return {*rc::gen::inRange(-1, 12), *rc::gen::inRange(0, 40), *rc::gen::inRange(0, 4)};
}

std::string anyOf(const char *prefix, int n)
{
    return prefix + std::to_string(*rc::gen::inRange(0, n));
}

using Allocations = std::map<std::string, std::map<std::string, Resources>>;

Resources sum(const std::map<std::string, Resources> &allocations)
{
    Resources total;
    for (const auto &[task, size] : allocations)
        total = total + size;
    return total;
}

// Applies one random operation to the table and the model, and checks its result.
void step(AllocationTable &table, Allocations &model)
{
    const std::string host = anyOf("w", 4);
    const std::string task = anyOf("t", 8);
    const Resources size = anySize();
    const Resources before = table.allocated(host);
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        table.setHost(worker(host, {size.cores + 4, size.memoryMb, size.accelerators}));
        break;
    case 1:
        table.removeHost(host);
        break;
    case 2:
        table.setHost(
            worker(host, {size.cores + 4, size.memoryMb, size.accelerators}, HostState::Leaving));
        RC_ASSERT(!table.allocate(host, "new", {0, 0, 0}));
        break;
    case 3:
        table.setCoreLimit(host, size.cores);
        break;
    case 4:
        table.release(host, task);
        model[host].erase(task);
        break;
    case 5:
        if (table.resize(host, task, size)) {
            const bool shrinks = size.fitsIn(model[host].at(task));
            model[host][task] = size;
            RC_ASSERT(shrinks || table.allocated(host).fitsIn(table.capacity(host)));
        } else {
            RC_ASSERT(table.allocated(host) == before);
        }
        break;
    default:
        if (table.allocate(host, task, size)) {
            model[host][task] = size;
            RC_ASSERT(table.allocated(host) == before
                      || table.allocated(host).fitsIn(table.capacity(host)));
        } else {
            RC_ASSERT(table.allocated(host) == before);
        }
    }
}

void checkAgainst(const AllocationTable &table, const Allocations &model)
{
    for (const auto &[host, allocations] : model) {
        RC_ASSERT(table.allocated(host) == sum(allocations));
        const Resources free = table.free(host);
        RC_ASSERT(free.isValid());
        if (!(free == Resources{}))
            RC_ASSERT((table.allocated(host) + free).fitsIn(table.capacity(host)));
    }
}

} // namespace

TEST_CASE("no sequence of operations allocates more than a host has")
{
    CHECK(rc::check("allocations match the model and fit in the host", [] {
        AllocationTable table;
        Allocations model;
        const int steps = *rc::gen::inRange(0, 80);
        for (int i = 0; i < steps; ++i) {
            step(table, model);
            checkAgainst(table, model);
        }
    }));
}

TEST_CASE("exactly the hosts on which a demand fits are visited")
{
    CHECK(rc::check("visited hosts equal those found by checking each host", [] {
        AllocationTable table;
        Allocations model;
        const int steps = *rc::gen::inRange(0, 80);
        for (int i = 0; i < steps; ++i)
            step(table, model);
        const Resources need{*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 30),
                             *rc::gen::inRange(0, 3)};
        const auto order = *rc::gen::element(AllocationTable::Order::LeastFreeFirst,
                                             AllocationTable::Order::MostFreeFirst);
        std::set<std::string> visited;
        table.visitFitting(need, order, 100, [&](const HostView &host) {
            RC_ASSERT(visited.insert(host.id).second);
            return true;
        });
        for (const std::string &host : table.hosts()) {
            const bool overcommitted = !table.allocated(host).fitsIn(table.capacity(host));
            const bool fits =
                table.isSchedulable(host) && !overcommitted && need.fitsIn(table.free(host));
            RC_ASSERT(visited.contains(host) == fits);
        }
    }));
}

TEST_CASE("a host that is no longer listed keeps its allocations until they are released")
{
    AllocationTable table;
    table.setHost(worker("w", {8, 100, 0}));
    REQUIRE(table.allocate("w", "a", {4, 50, 0}));
    table.removeHost("w");
    CHECK(table.allocated("w") == Resources{4, 50, 0});
    CHECK_FALSE(table.allocate("w", "b", {1, 1, 0}));
    table.setHost(worker("w", {8, 100, 0}));
    CHECK_FALSE(table.allocate("w", "b", {5, 1, 0}));
    table.removeHost("w");
    table.release("w", "a");
    CHECK(table.hostCount() == 0);
}

TEST_CASE("a host that shrinks below its allocations gets no new ones until enough is released")
{
    AllocationTable table;
    table.setHost(worker("w", {8, 100, 0}));
    REQUIRE(table.allocate("w", "a", {6, 10, 0}));
    table.setHost(worker("w", {4, 100, 0}));
    CHECK_FALSE(table.allocate("w", "b", {0, 10, 0}));
    table.release("w", "a");
    CHECK(table.allocate("w", "b", {4, 10, 0}));
}

TEST_CASE("restored allocations count even if they do not fit")
{
    AllocationTable table;
    table.restore("w", "a", {6, 10, 0});
    table.setHost(worker("w", {4, 100, 0}));
    CHECK(table.allocated("w") == Resources{6, 10, 0});
    CHECK(table.free("w") == Resources{});
    CHECK(table.allocatedTo("w", "a") == Resources{6, 10, 0});
    CHECK(table.tasks("w") == std::vector<std::string>{"a"});
}

TEST_CASE("a core limit applies to new allocations but not to resized ones")
{
    AllocationTable table;
    table.setHost(worker("w", {8, 100, 0}));
    REQUIRE(table.allocate("w", "a", {4, 10, 0}));
    table.setCoreLimit("w", 5);
    CHECK_FALSE(table.allocate("w", "b", {2, 10, 0}));
    CHECK(table.free("w") == Resources{1, 90, 0});
    CHECK(table.resize("w", "a", {6, 10, 0}));
    CHECK_FALSE(table.resize("w", "a", {6, 101, 0}));
}

TEST_CASE("a host that is not schedulable gets no allocations but counts for what could ever run")
{
    AllocationTable table;
    table.setHost(worker("w", {8, 100, 0}));
    table.setSchedulable("w", false);
    CHECK_FALSE(table.allocate("w", "a", {1, 1, 0}));
    CHECK(table.fitsAnyHost({8, 100, 0}).status == HostFitStatus::Fits);
    table.setSchedulable("w", true);
    CHECK(table.allocate("w", "a", {1, 1, 0}));
}

TEST_CASE("a demand that no host could hold is reported with its reason")
{
    AllocationTable table;
    CHECK(table.fitsAnyHost({1, 1, 0}).status == HostFitStatus::NoHosts);
    table.setHost(worker("big", {64, 100, 0}));
    table.setHost(worker("fast", {8, 50, 2}));
    struct Case
    {
        Resources need;
        HostFitStatus verdict;
        std::string reason;
    };
    const std::vector<Case> cases{
        {{64, 100, 0}, HostFitStatus::Fits, ""},
        {{8, 50, 2}, HostFitStatus::Fits, ""},
        {{65, 1, 0}, HostFitStatus::TooLarge, "65 cores requested, but no host has more than 64"},
        {{1, 1, 3},
         HostFitStatus::TooLarge,
         "3 accelerators requested, but no host has more than 2"},
        {{9, 1, 1},
         HostFitStatus::TooLarge,
         "some host has enough of each resource, but no host has enough of all of them"},
        {{-1, 1, 1}, HostFitStatus::TooLarge, "a requested amount is negative"},
    };
    for (const Case &it : cases) {
        const HostFit fit = table.fitsAnyHost(it.need);
        CHECK(fit.status == it.verdict);
        CHECK(fit.reason == it.reason);
    }
}
