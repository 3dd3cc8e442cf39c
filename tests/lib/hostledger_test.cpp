#include "savorywick/hostledger.h"

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

using Bookings = std::map<std::string, std::map<std::string, Resources>>;

Resources sum(const std::map<std::string, Resources> &bookings)
{
    Resources total;
    for (const auto &[task, size] : bookings)
        total = total + size;
    return total;
}

// Does one random step on both, and checks what the ledger says against the model.
void step(HostLedger &ledger, Bookings &model)
{
    const std::string host = anyOf("w", 4);
    const std::string task = anyOf("t", 8);
    const Resources size = anySize();
    const Resources before = ledger.booked(host);
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        ledger.setHost(worker(host, {size.cores + 4, size.memoryMb, size.accelerators}));
        break;
    case 1:
        ledger.removeHost(host);
        break;
    case 2:
        ledger.setHost(
            worker(host, {size.cores + 4, size.memoryMb, size.accelerators}, HostState::Leaving));
        RC_ASSERT(!ledger.book(host, "new", {0, 0, 0}));
        break;
    case 3:
        ledger.setAllowance(host, size.cores);
        break;
    case 4:
        ledger.release(host, task);
        model[host].erase(task);
        break;
    case 5:
        if (ledger.rebook(host, task, size)) {
            const bool shrinks = size.fitsIn(model[host].at(task));
            model[host][task] = size;
            RC_ASSERT(shrinks || ledger.booked(host).fitsIn(ledger.capacity(host)));
        } else {
            RC_ASSERT(ledger.booked(host) == before);
        }
        break;
    default:
        if (ledger.book(host, task, size)) {
            model[host][task] = size;
            RC_ASSERT(ledger.booked(host) == before
                      || ledger.booked(host).fitsIn(ledger.capacity(host)));
        } else {
            RC_ASSERT(ledger.booked(host) == before);
        }
    }
}

void checkAgainst(const HostLedger &ledger, const Bookings &model)
{
    for (const auto &[host, bookings] : model) {
        RC_ASSERT(ledger.booked(host) == sum(bookings));
        const Resources free = ledger.free(host);
        RC_ASSERT(free.isValid());
        if (!(free == Resources{}))
            RC_ASSERT((ledger.booked(host) + free).fitsIn(ledger.capacity(host)));
    }
}

} // namespace

TEST_CASE("no interleaving books a host over its capacity")
{
    CHECK(rc::check("bookings match the model and never exceed the host", [] {
        HostLedger ledger;
        Bookings model;
        const int steps = *rc::gen::inRange(0, 80);
        for (int i = 0; i < steps; ++i) {
            step(ledger, model);
            checkAgainst(ledger, model);
        }
    }));
}

TEST_CASE("the index offers exactly the hosts that hold the size")
{
    CHECK(rc::check("visited hosts equal those found by looking at each", [] {
        HostLedger ledger;
        Bookings model;
        const int steps = *rc::gen::inRange(0, 80);
        for (int i = 0; i < steps; ++i)
            step(ledger, model);
        const Resources need{*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 30),
                             *rc::gen::inRange(0, 3)};
        const auto order =
            *rc::gen::element(HostLedger::Order::TightestFirst, HostLedger::Order::RoomiestFirst);
        std::set<std::string> visited;
        ledger.visitFitting(need, order, 100, [&](const HostView &host) {
            RC_ASSERT(visited.insert(host.id).second);
            return true;
        });
        for (const std::string &host : ledger.hosts()) {
            const bool overcommitted = !ledger.booked(host).fitsIn(ledger.capacity(host));
            const bool holds =
                ledger.accepts(host) && !overcommitted && need.fitsIn(ledger.free(host));
            RC_ASSERT(visited.contains(host) == holds);
        }
    }));
}

TEST_CASE("a host that is gone keeps its bookings until they are released")
{
    HostLedger ledger;
    ledger.setHost(worker("w", {8, 100, 0}));
    REQUIRE(ledger.book("w", "a", {4, 50, 0}));
    ledger.removeHost("w");
    CHECK(ledger.booked("w") == Resources{4, 50, 0});
    CHECK_FALSE(ledger.book("w", "b", {1, 1, 0}));
    ledger.setHost(worker("w", {8, 100, 0}));
    CHECK_FALSE(ledger.book("w", "b", {5, 1, 0}));
    ledger.removeHost("w");
    ledger.release("w", "a");
    CHECK(ledger.hostCount() == 0);
}

TEST_CASE("a host that shrinks below its bookings takes nothing until enough is released")
{
    HostLedger ledger;
    ledger.setHost(worker("w", {8, 100, 0}));
    REQUIRE(ledger.book("w", "a", {6, 10, 0}));
    ledger.setHost(worker("w", {4, 100, 0}));
    CHECK_FALSE(ledger.book("w", "b", {0, 10, 0}));
    ledger.release("w", "a");
    CHECK(ledger.book("w", "b", {4, 10, 0}));
}

TEST_CASE("restored bookings count even where they do not fit")
{
    HostLedger ledger;
    ledger.restore("w", "a", {6, 10, 0});
    ledger.setHost(worker("w", {4, 100, 0}));
    CHECK(ledger.booked("w") == Resources{6, 10, 0});
    CHECK(ledger.free("w") == Resources{});
    CHECK(ledger.bookedFor("w", "a") == Resources{6, 10, 0});
    CHECK(ledger.tasks("w") == std::vector<std::string>{"a"});
}

TEST_CASE("an allowance limits new bookings but not a learned size")
{
    HostLedger ledger;
    ledger.setHost(worker("w", {8, 100, 0}));
    REQUIRE(ledger.book("w", "a", {4, 10, 0}));
    ledger.setAllowance("w", 5);
    CHECK_FALSE(ledger.book("w", "b", {2, 10, 0}));
    CHECK(ledger.free("w") == Resources{1, 90, 0});
    CHECK(ledger.rebook("w", "a", {6, 10, 0}));
    CHECK_FALSE(ledger.rebook("w", "a", {6, 101, 0}));
}

TEST_CASE("a closed host takes nothing but still counts for what could ever run")
{
    HostLedger ledger;
    ledger.setHost(worker("w", {8, 100, 0}));
    ledger.setOpen("w", false);
    CHECK_FALSE(ledger.book("w", "a", {1, 1, 0}));
    CHECK(ledger.fitsAnyHost({8, 100, 0}).verdict == FitVerdict::Fits);
    ledger.setOpen("w", true);
    CHECK(ledger.book("w", "a", {1, 1, 0}));
}

TEST_CASE("what no host could hold is told with its reason")
{
    HostLedger ledger;
    CHECK(ledger.fitsAnyHost({1, 1, 0}).verdict == FitVerdict::NoHosts);
    ledger.setHost(worker("big", {64, 100, 0}));
    ledger.setHost(worker("fast", {8, 50, 2}));
    struct Case
    {
        Resources need;
        FitVerdict verdict;
        std::string reason;
    };
    const std::vector<Case> cases{
        {{64, 100, 0}, FitVerdict::Fits, ""},
        {{8, 50, 2}, FitVerdict::Fits, ""},
        {{65, 1, 0}, FitVerdict::TooLarge, "65 cores wanted but no host has more than 64"},
        {{1, 1, 3}, FitVerdict::TooLarge, "3 accelerators wanted but no host has more than 2"},
        {{9, 1, 1},
         FitVerdict::TooLarge,
         "each part fits some host, but no single host has them all"},
        {{-1, 1, 1}, FitVerdict::TooLarge, "the size has a negative part"},
    };
    for (const Case &it : cases) {
        const HostFit fit = ledger.fitsAnyHost(it.need);
        CHECK(fit.verdict == it.verdict);
        CHECK(fit.reason == it.reason);
    }
}
