#include "savorywick/router.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace savorywick;

namespace {

const RouterSettings settings{.availabilityZone = "west-a", .region = "west"};

InstanceInfo instanceOf(int n, int slots, bool leaving = false)
{
    const std::string region = n % 3 == 0 ? "east" : "west";
    const std::string zone = region + (n % 2 == 0 ? "-a" : "-b");
    return {"i" + std::to_string(n), zone, region, "r" + std::to_string(n / 4), slots, leaving};
}

std::vector<InstanceInfo> plainInstances(int count, int slots)
{
    std::vector<InstanceInfo> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
        result.push_back({"i" + std::to_string(n), "west-a", "west", "r", slots});
    return result;
}

AttemptOutcome anyOutcome()
{
    return *rc::gen::element(AttemptOutcome::Answered, AttemptOutcome::Answered,
                             AttemptOutcome::Failed, AttemptOutcome::TimedOut,
                             AttemptOutcome::RefusedNotRun, AttemptOutcome::ConnectFailed);
}

// Follows a router through random events and keeps its own account of the slots.
class Model
{
public:
    void list()
    {
        m_listed.clear();
        std::vector<InstanceInfo> infos;
        const int count = *rc::gen::inRange(0, 8);
        for (int n = 0; n < count; ++n) {
            infos.push_back(instanceOf(n, *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 5) == 0));
            m_listed[infos.back().id] = infos.back();
        }
        m_router.setInstances(infos, m_now);
    }

    void pick()
    {
        const auto excluded = *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("i0", "i1", "i2"));
        const auto id = m_router.pick(excluded, m_now);
        if (!id)
            return;
        RC_ASSERT(std::find(excluded.begin(), excluded.end(), *id) == excluded.end());
        RC_ASSERT(m_listed.count(*id) == 1U);
        RC_ASSERT(!m_listed[*id].leaving);
        RC_ASSERT(used(*id) < m_listed[*id].slots);
        ++m_inFlight[*id];
    }

    void finish()
    {
        const auto n = *rc::gen::inRange(0, 8);
        const std::string id = "i" + std::to_string(n);
        const AttemptOutcome outcome = anyOutcome();
        m_router.finished(id, outcome, Millis{*rc::gen::inRange(0, 100)}, m_now);
        if (m_inFlight[id] == 0)
            return;
        --m_inFlight[id];
        if (outcome == AttemptOutcome::TimedOut)
            m_heldUntil[id].push_back(m_now + settings.slotHoldAfterTimeout);
    }

    void pass() { m_now = m_now + Millis{*rc::gen::inRange(0, 900)}; }

    void checkAccount()
    {
        int free = m_router.freeSlots(m_now);
        for (int n = 0; n < 8; ++n) {
            const std::string id = "i" + std::to_string(n);
            RC_ASSERT(m_router.inFlight(id) == used(id));
        }
        // Taking every free slot and giving it back as answered tells that the count was right.
        std::vector<std::string> taken;
        while (const auto id = m_router.pick({}, m_now))
            taken.push_back(*id);
        RC_ASSERT(static_cast<int>(taken.size()) == free);
        for (const std::string &id : taken)
            m_router.finished(id, AttemptOutcome::Answered, Millis{5}, m_now);
    }

private:
    int used(const std::string &id)
    {
        auto &held = m_heldUntil[id];
        std::erase_if(held, [&](Instant until) { return until <= m_now; });
        return m_inFlight[id] + static_cast<int>(held.size());
    }

    Router m_router{settings, 1};
    Instant m_now{0};
    std::map<std::string, InstanceInfo> m_listed;
    std::map<std::string, int> m_inFlight;
    std::map<std::string, std::vector<Instant>> m_heldUntil;
};

// Runs `count` requests one after the other and returns how many each instance got.
std::map<std::string, int> spread(Router &router, int count, Instant &now,
                                  AttemptOutcome outcomeOfFirst, Millis latencyOfFirst)
{
    std::map<std::string, int> picked;
    for (int n = 0; n < count; ++n) {
        const auto id = router.pick({}, now);
        REQUIRE(id.has_value());
        ++picked[*id];
        now = now + Millis{1};
        const bool first = *id == "i0";
        router.finished(*id, first ? outcomeOfFirst : AttemptOutcome::Answered,
                        first ? latencyOfFirst : Millis{20}, now);
    }
    return picked;
}

} // namespace

TEST_CASE("A pick takes a free slot of a listed instance that is neither excluded nor leaving")
{
    CHECK(rc::check("and the account of slots holds through lists, outcomes and time", [] {
        Model model;
        const int events = *rc::gen::inRange(0, 150);
        for (int n = 0; n < events; ++n) {
            switch (*rc::gen::inRange(0, 12)) {
            case 0:
                model.list();
                break;
            case 1:
                model.pass();
                break;
            case 2:
                model.checkAccount();
                break;
            case 3:
            case 4:
            case 5:
                model.finish();
                break;
            default:
                model.pick();
            }
        }
        model.checkAccount();
    }));
}

TEST_CASE("The zone comes first and then the region and then the others")
{
    Router router(settings, 1);
    const std::vector<InstanceInfo> instances{{"far", "east-a", "east", "r", 1},
                                              {"near", "west-b", "west", "r", 1},
                                              {"here", "west-a", "west", "r", 1}};
    router.setInstances(instances, Instant{0});
    for (const std::string expected : {"here", "near", "far"})
        CHECK(router.pick({}, Instant{0}) == expected);
    CHECK(router.pick({}, Instant{0}) == std::nullopt);
}

TEST_CASE("An instance that fails at once gets little load")
{
    for (const auto outcome :
         {AttemptOutcome::Failed, AttemptOutcome::RefusedNotRun, AttemptOutcome::ConnectFailed}) {
        CAPTURE(toString(outcome));
        Router router(settings, 1);
        Instant now{0};
        router.setInstances(plainInstances(10, 8), now);
        const auto picked = spread(router, 10'000, now, outcome, Millis{0});
        CHECK(picked.at("i0") < 30); // An even spread would be 1,000.
    }
}

TEST_CASE("A slow instance is avoided and used again when it has recovered")
{
    Router router(settings, 1);
    Instant now{0};
    router.setInstances(plainInstances(10, 8), now);
    const auto slow = spread(router, 10'000, now, AttemptOutcome::Answered, Millis{400});
    CHECK(slow.at("i0") < 100);
    now = now + Millis{60'000};
    const auto recovered = spread(router, 10'000, now, AttemptOutcome::Answered, Millis{20});
    CHECK(recovered.at("i0") > 500);
}

TEST_CASE("After a suspension one probe goes out before the load comes back")
{
    Router router(settings, 1);
    Instant now{0};
    router.setInstances(plainInstances(2, 4), now);
    const std::vector<std::string> other{"i1"};
    while (router.suspendedInstances(now) == 0) {
        REQUIRE(router.pick(other, now) == "i0");
        router.finished("i0", AttemptOutcome::ConnectFailed, Millis{0}, now);
    }
    CHECK(router.pick(other, now) == std::nullopt);
    now = now + settings.firstSuspension;
    CHECK(router.pick(other, now) == "i0");
    CHECK(router.pick(other, now) == std::nullopt);
    router.finished("i0", AttemptOutcome::Answered, Millis{5}, now);
    for (int n = 0; n < 4; ++n)
        CHECK(router.pick(other, now) == "i0");
}

TEST_CASE("Instances are not suspended when all fail alike")
{
    for (const int failuresOfTen : {2, 3, 5, 10}) {
        CAPTURE(failuresOfTen);
        Router router(settings, 1);
        std::mt19937_64 random(1);
        Instant now{0};
        router.setInstances(plainInstances(50, 8), now);
        int mostSuspended = 0;
        for (int n = 0; n < 20'000; ++n) {
            const auto id = router.pick({}, now);
            REQUIRE(id.has_value());
            const bool fails = static_cast<int>(random() % 10) < failuresOfTen;
            router.finished(*id, fails ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                            Millis{20}, now);
            mostSuspended = std::max(mostSuspended, router.suspendedInstances(now));
        }
        CHECK(mostSuspended <= 5);
    }
}

TEST_CASE("A much slower instance gets only probes until it has recovered")
{
    Router router(settings, 1);
    Instant now{0};
    router.setInstances(plainInstances(10, 8), now);
    spread(router, 1'000, now, AttemptOutcome::Answered, Millis{20});
    // All others are busy: the slow one would have eight free slots.
    std::vector<std::string> others;
    for (int n = 1; n < 10; ++n)
        others.push_back("i" + std::to_string(n));
    int slowAnswers = 0;
    while (router.pick(others, now)) {
        router.finished("i0", AttemptOutcome::Answered, Millis{400}, now);
        ++slowAnswers;
    }
    CHECK(slowAnswers < 10);
    CHECK(router.suspendedInstances(now) == 1);
    now = now + settings.longestSuspension;
    CHECK(router.pick(others, now) == "i0");
    CHECK(router.pick(others, now) == std::nullopt);
    router.finished("i0", AttemptOutcome::Answered, Millis{20}, now);
    CHECK(router.pick(others, now) == "i0");
    CHECK(router.pick(others, now) == "i0");
}

TEST_CASE("Requests that take long on every instance suspend none")
{
    for (const int longOfHundred : {2, 5, 20, 50}) {
        CAPTURE(longOfHundred);
        Router router(settings, 1);
        std::mt19937_64 random(1);
        Instant now{0};
        router.setInstances(plainInstances(50, 8), now);
        int mostSuspended = 0;
        for (int n = 0; n < 20'000; ++n) {
            const auto id = router.pick({}, now);
            REQUIRE(id.has_value());
            now = now + Millis{n % 4 == 0 ? 1 : 0};
            const bool isLong = static_cast<int>(random() % 100) < longOfHundred;
            router.finished(*id, AttemptOutcome::Answered, Millis{isLong ? 500 : 5}, now);
            mostSuspended = std::max(mostSuspended, router.suspendedInstances(now));
        }
        CHECK(mostSuspended <= 5);
    }
}

TEST_CASE("No more than half of the instances are suspended")
{
    Router router(settings, 1);
    Instant now{0};
    router.setInstances(plainInstances(10, 8), now);
    int failed = 0;
    for (int n = 0; n < 3'000; ++n) {
        const auto id = router.pick({}, now);
        REQUIRE(id.has_value());
        const bool fails = *id < "i6"; // Six of ten.
        failed += fails ? 1 : 0;
        router.finished(*id, fails ? AttemptOutcome::ConnectFailed : AttemptOutcome::Answered,
                        Millis{20}, now);
        REQUIRE(router.suspendedInstances(now) <= 5);
    }
    CHECK(router.suspendedInstances(now) == 5);
    CHECK(failed < 300);
}
