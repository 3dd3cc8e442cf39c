#include "savorywick/fairqueue.h"
#include "savorywick/hostreservation.h"
#include "savorywick/placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace savorywick;

namespace {

HostInfo worker(const std::string &id, int cores)
{
    HostInfo info;
    info.id = id;
    info.role = HostRole::Worker;
    info.cores = cores;
    info.memoryMb = 1'000;
    return info;
}

class TableFitChecker final : public FitChecker
{
public:
    explicit TableFitChecker(AllocationTable &allocations)
        : m_allocations(allocations)
    { }

    FitResult test(const WaitingItem &item) override
    {
        return choose(item, {}) ? FitResult::Fits : FitResult::NotNow;
    }
    bool fitsBeside(const WaitingItem &item, const WaitingItem &reserved) override
    {
        m_reservation.reserveFor(reserved.id, reserved.demand, m_allocations);
        return placeFor(item).has_value();
    }
    std::optional<std::string> placeFor(const WaitingItem &item)
    {
        std::vector<std::string> avoid;
        if (m_reservation.reservedHost() && item.id != "big")
            avoid.push_back(*m_reservation.reservedHost());
        return choose(item, avoid);
    }

private:
    std::optional<std::string> choose(const WaitingItem &item,
                                      const std::vector<std::string> &avoid) const
    {
        return m_placement.choose({"s", "c", item.demand, avoid}, m_allocations, nullptr);
    }

    AllocationTable &m_allocations;
    SpreadPlacement m_placement;
    HostReservation m_reservation;
};

} // namespace

TEST_CASE("a large task starts on its reserved host while small tasks run on the other hosts")
{
    CHECK(rc::check("within the longest task duration after it is overdue and next in turn", [] {
        AllocationTable allocations;
        for (const char *it : {"w1", "w2", "w3"})
            allocations.setHost(worker(it, 8));
        FairQueueOptions options;
        options.oldestFirstPeriod = 2;
        options.reservationDelay = Millis{10};
        FairQueue queue(options);
        TableFitChecker fit(allocations);
        std::map<std::string, std::pair<std::string, int>> running;
        const int longestTask = *rc::gen::inRange(2, 12);
        int n = 0;
        for (int t = 0; t < 18 + longestTask; ++t) {
            const Instant now{t};
            for (auto it = running.begin(); it != running.end();) {
                if (it->second.second > t) {
                    ++it;
                    continue;
                }
                allocations.release(it->second.first, it->first);
                queue.markFinished(it->first, now);
                it = running.erase(it);
            }
            while (queue.waitingCount() < 20)
                queue.push({"small" + std::to_string(n++), "a", 0, {2, 10, 0}, now}, now);
            if (t == 5)
                queue.push({"big", "b", 0, {8, 10, 0}, now}, now);
            while (const auto item = queue.pop(now, fit)) {
                const auto host = fit.placeFor(*item);
                RC_ASSERT(host);
                RC_ASSERT(allocations.allocate(*host, item->id, item->demand));
                if (item->id == "big")
                    return;
                running[item->id] = {*host, t + *rc::gen::inRange(1, longestTask + 1)};
            }
        }
        RC_FAIL("the large task did not start in time");
    }));
}

TEST_CASE("small tasks start only on the other hosts while a host is reserved")
{
    AllocationTable allocations;
    for (const char *it : {"w1", "w2"})
        allocations.setHost(worker(it, 8));
    REQUIRE(allocations.allocate("w1", "old", {2, 10, 0}));
    REQUIRE(allocations.allocate("w2", "old", {4, 10, 0}));
    FairQueueOptions options;
    options.oldestFirstPeriod = 1;
    options.reservationDelay = Millis{10};
    FairQueue queue(options);
    TableFitChecker fit(allocations);
    queue.push({"big", "b", 0, {8, 10, 0}, Instant{0}}, Instant{0});
    for (const char *it : {"s1", "s2", "s3"})
        queue.push({it, "a", 0, {2, 10, 0}, Instant{1}}, Instant{1});
    for (const char *it : {"s1", "s2"}) {
        const auto item = queue.pop(Instant{20}, fit);
        REQUIRE(item);
        CHECK(item->id == it);
        CHECK(fit.placeFor(*item) == "w2");
        REQUIRE(allocations.allocate("w2", item->id, item->demand));
    }
    CHECK_FALSE(queue.pop(Instant{20}, fit));
    allocations.release("w1", "old");
    CHECK(queue.pop(Instant{21}, fit)->id == "big");
}

TEST_CASE("the host with the smallest shortfall stays reserved while the task could fit on it")
{
    AllocationTable allocations;
    for (const char *it : {"w1", "w2", "w3"})
        allocations.setHost(worker(it, 8));
    allocations.setHost(worker("small", 4));
    for (const char *it : {"w1", "w3"})
        REQUIRE(allocations.allocate(it, "t", {6, 10, 0}));
    REQUIRE(allocations.allocate("w2", "t", {3, 10, 0}));
    HostReservation reservation;
    CHECK(reservation.reserveFor("big", {8, 10, 0}, allocations) == "w2");
    REQUIRE(allocations.allocate("w2", "more", {5, 10, 0}));
    CHECK(reservation.reserveFor("big", {8, 10, 0}, allocations) == "w2");
    allocations.setCoreLimit("w2", 7);
    CHECK(reservation.reserveFor("big", {8, 10, 0}, allocations) == "w1");
    allocations.removeHost("w1");
    CHECK(reservation.reserveFor("big", {8, 10, 0}, allocations) == "w3");
    CHECK(reservation.reserveFor("huge", {9, 10, 0}, allocations) == std::nullopt);
    reservation.release();
    CHECK_FALSE(reservation.reservedHost());
}
