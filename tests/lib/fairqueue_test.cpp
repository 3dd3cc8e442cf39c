#include "savorywick/errors.h"
#include "savorywick/fairqueue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace savorywick;

namespace {

constexpr Resources oneCore{1, 100, 0};

// Checks items against the free resources of one host. Nothing starts beside a reserved item.
class SingleHost final : public FitChecker
{
public:
    explicit SingleHost(const Resources &size)
        : m_size(size)
        , m_free(size)
    { }

    FitResult test(const WaitingItem &item) override
    {
        if (!item.demand.fitsIn(m_size))
            return FitResult::NotOnAnyHost;
        return item.demand.fitsIn(m_free) ? FitResult::Fits : FitResult::NotNow;
    }
    void allocate(const Resources &demand) { m_free = m_free - demand; }
    void release(const Resources &demand) { m_free = m_free + demand; }
    const Resources &free() const { return m_free; }

private:
    Resources m_size;
    Resources m_free;
};

WaitingItem item(const std::string &id, const std::string &team, int priority,
                 const Resources &demand, Instant waitingSince)
{
    return {id, team, priority, demand, waitingSince};
}

std::string oldestReason(const FairQueue &queue, FitChecker &fit)
{
    return std::string(toString(queue.oldest(fit).reason));
}

std::string teamName(int n)
{
    return "team" + std::to_string(n);
}

} // namespace

TEST_CASE("every waiting item starts within the bound on starts")
{
    CHECK(rc::check("the r-th oldest starts within r * oldestFirstPeriod starts", [] {
        FairQueueOptions options;
        options.oldestFirstPeriod = *rc::gen::inRange(1, 6);
        FairQueue queue(options);
        SingleHost host({1'000'000, 1'000'000'000, 0});
        const int before = *rc::gen::inRange(0, 20);
        Instant now{0};
        for (int i = 0; i < before; ++i) {
            queue.push(item("old" + std::to_string(i), teamName(*rc::gen::inRange(0, 4)),
                            *rc::gen::inRange(0, 3), oneCore, now),
                       now);
        }
        queue.push(item("victim", "poor", 0, {50, 100, 0}, now), now);
        const int bound = (before + 1) * options.oldestFirstPeriod;
        for (int i = 0; i < bound; ++i) {
            now = now + Millis{*rc::gen::inRange(0, 1'000)};
            queue.push(
                item("new" + std::to_string(i), teamName(*rc::gen::inRange(0, 4)), 9, oneCore, now),
                now);
            const auto next = queue.pop(now, host);
            RC_ASSERT(next);
            if (next->id == "victim")
                return;
            queue.markFinished(next->id, now);
        }
        RC_FAIL("the victim did not start within the bound");
    }));
}

TEST_CASE("no sequence of operations exceeds a quota or miscounts what teams hold")
{
    CHECK(rc::check("no team holds more than its quota after any operation", [] {
        FairQueue queue({});
        SingleHost host({20, 10'000, 2});
        std::map<std::string, TeamShare> shares;
        std::map<std::string, WaitingItem> waiting;
        std::map<std::string, WaitingItem> running;
        for (int i = 0; i < 3; ++i) {
            shares[teamName(i)] = {1.0 + i, {*rc::gen::inRange(0, 12), 4'000, 1}};
            queue.setTeam(teamName(i), shares[teamName(i)]);
        }
        const int steps = *rc::gen::inRange(0, 150);
        for (int i = 0; i < steps; ++i) {
            const Instant now = Instant{} + Millis{1'000} * i;
            const std::string id = "i" + std::to_string(*rc::gen::inRange(0, 30));
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
            case 1: {
                const auto it = item(
                    id, teamName(*rc::gen::inRange(0, 3)), *rc::gen::inRange(0, 10),
                    {*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 2'000), *rc::gen::inRange(0, 2)},
                    now);
                RC_ASSERT(queue.push(it, now) == (!waiting.contains(id) && !running.contains(id)));
                if (!running.contains(id))
                    waiting.emplace(id, it);
                break;
            }
            case 2:
                RC_ASSERT(queue.remove(id) == (waiting.erase(id) > 0));
                break;
            case 3:
                queue.markFinished(id, now);
                if (running.contains(id))
                    host.release(running.at(id).demand);
                running.erase(id);
                break;
            default:
                if (const auto next = queue.pop(now, host)) {
                    RC_ASSERT(waiting.erase(next->id) == 1);
                    running.emplace(next->id, *next);
                    RC_ASSERT(next->demand.fitsIn(host.free()));
                    host.allocate(next->demand);
                }
            }
            std::map<std::string, Resources> held;
            for (const auto &[key, it] : running)
                held[it.team] = held[it.team] + it.demand;
            for (const auto &[team, share] : shares) {
                RC_ASSERT(queue.heldBy(team) == held[team]);
                RC_ASSERT(held[team].fitsIn(share.quota));
            }
            RC_ASSERT(queue.waitingCount() == waiting.size());
        }
    }));
}

TEST_CASE("busy teams get core time in proportion to their weights")
{
    CHECK(rc::check("each is within a tenth of its share", [] {
        FairQueueOptions options;
        options.oldestFirstPeriod = 1'000'000;
        options.prepaidRunTime = Millis{*rc::gen::inRange(1, 100'000)};
        FairQueue queue(options);
        SingleHost host({16, 1'000'000, 0});
        const std::vector<double> weights{1, 2, 4};
        std::vector<int> cores;
        for (int i = 0; i < 3; ++i) {
            queue.setTeam(teamName(i), {weights[i], {100, 1'000'000, 0}});
            cores.push_back(*rc::gen::inRange(1, 4));
        }
        std::map<int, std::vector<WaitingItem>> ends;
        std::vector<double> used(3, 0);
        double total = 0;
        int n = 0;
        for (int t = 0; t < 4'000; ++t) {
            const Instant now = Instant{} + Millis{1'000} * t;
            for (const WaitingItem &it : ends[t]) {
                queue.markFinished(it.id, now);
                host.release(it.demand);
            }
            for (int i = 0; i < 3; ++i) {
                while (queue.waitingCount(teamName(i)) < 20) {
                    queue.push(item(std::to_string(n++), teamName(i), 0, {cores[i], 100, 0}, now),
                               now);
                }
            }
            while (const auto next = queue.pop(now, host)) {
                host.allocate(next->demand);
                const int run = *rc::gen::inRange(1, 20);
                ends[t + run].push_back(*next);
                used[next->team.back() - '0'] += run * next->demand.cores;
                total += run * next->demand.cores;
            }
        }
        for (int i = 0; i < 3; ++i) {
            const double fairShare = weights[i] / 7 * total;
            RC_ASSERT(used[i] > 0.9 * fairShare);
            RC_ASSERT(used[i] < 1.1 * fairShare);
        }
    }));
}

TEST_CASE("items of a team start by priority and age")
{
    FairQueueOptions options;
    options.oldestFirstPeriod = 1'000'000;
    options.ageingPerPriorityLevel = Millis{1'000};
    FairQueue queue(options);
    SingleHost host({100, 100'000, 0});
    queue.push(item("low", "a", 0, oneCore, Instant{0}), Instant{0});
    queue.push(item("high", "a", 3, oneCore, Instant{100}), Instant{100});
    queue.push(item("late", "a", 3, oneCore, Instant{3'100}), Instant{3'100});
    CHECK(queue.pop(Instant{3'200}, host)->id == "high");
    CHECK(queue.pop(Instant{3'200}, host)->id == "low");
    CHECK(queue.pop(Instant{3'200}, host)->id == "late");
}

TEST_CASE("resources are reserved for the oldest item once it has waited too long")
{
    FairQueueOptions options;
    options.oldestFirstPeriod = 2;
    options.reservationDelay = Millis{10'000};
    FairQueue queue(options);
    SingleHost host({8, 100'000, 0});
    host.allocate({4, 0, 0});
    queue.push(item("big", "a", 0, {8, 100, 0}, Instant{0}), Instant{0});
    for (const char *id : {"b1", "b2", "b3"})
        queue.push(item(id, "b", 0, oneCore, Instant{1}), Instant{1});
    CHECK(queue.pop(Instant{2}, host)->id == "b1");
    CHECK(queue.pop(Instant{2}, host)->id == "b2");
    CHECK_FALSE(queue.pop(Instant{10'000}, host));
    host.release({4, 0, 0});
    CHECK(queue.pop(Instant{10'000}, host)->id == "big");
    CHECK(queue.pop(Instant{10'000}, host)->id == "b3");
}

TEST_CASE("an item that no host could hold does not block others")
{
    FairQueueOptions options;
    options.reservationDelay = Millis{10'000};
    FairQueue queue(options);
    SingleHost host({8, 100'000, 0});
    queue.push(item("huge", "a", 9, {9, 100, 0}, Instant{0}), Instant{0});
    queue.push(item("small", "a", 0, oneCore, Instant{1}), Instant{1});
    CHECK(queue.pop(Instant{20'000}, host)->id == "small");
    const OldestWaiting oldest = queue.oldest(host);
    REQUIRE(oldest.item);
    CHECK(oldest.item->id == "huge");
    CHECK(oldestReason(queue, host) == "not-on-any-host");
}

TEST_CASE("the oldest waiting item is reported with the reason why it waits")
{
    FairQueue queue({});
    SingleHost host({8, 100'000, 0});
    CHECK(oldestReason(queue, host) == "none");
    queue.setTeam("a", {1, {1, 1'000, 0}});
    queue.push(item("first", "a", 0, oneCore, Instant{0}), Instant{0});
    CHECK(oldestReason(queue, host) == "next-in-turn");
    CHECK(queue.markStarted("first", Instant{1}));
    queue.push(item("second", "a", 0, oneCore, Instant{2}), Instant{2});
    CHECK(oldestReason(queue, host) == "team-quota");
    queue.markFinished("first", Instant{3});
    host.allocate({8, 0, 0});
    CHECK(oldestReason(queue, host) == "no-room");
}

TEST_CASE("restored items count against the quota")
{
    FairQueue queue({});
    SingleHost host({8, 100'000, 0});
    queue.setTeam("a", {1, {2, 1'000, 0}});
    CHECK(queue.restoreStarted(item("r", "a", 0, oneCore, Instant{0}), Instant{0}));
    CHECK_FALSE(queue.push(item("r", "a", 0, oneCore, Instant{0}), Instant{0}));
    queue.push(item("next", "a", 0, oneCore, Instant{0}), Instant{0});
    queue.resizeStarted("r", {2, 100, 0}, Instant{1});
    CHECK_FALSE(queue.peek(Instant{2}, host));
    queue.resizeStarted("r", oneCore, Instant{3});
    CHECK(queue.peek(Instant{4}, host)->id == "next");
}

TEST_CASE("a share without a positive weight or with a negative quota is rejected")
{
    FairQueue queue({});
    CHECK_THROWS_AS(queue.setTeam("a", {0, oneCore}), Error);
    CHECK_THROWS_AS(queue.setTeam("a", {1, {-1, 0, 0}}), Error);
}
