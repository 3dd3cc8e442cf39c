#include "savorywick/router.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>

using namespace savorywick;

namespace {

const RouterSettings settings{.availabilityZone = "west-a", .region = "west"};

InstanceInfo instanceOf(int n, int slots, bool draining = false)
{
    const std::string region = n % 3 == 0 ? "east" : "west";
    const std::string zone = region + (n % 2 == 0 ? "-a" : "-b");
    return {"i" + std::to_string(n), zone, region, "r" + std::to_string(n / 4), slots, draining};
}

std::vector<InstanceInfo> identicalInstances(int count, int slots)
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

// Drives a router through random events and keeps its own count of the slots in use.
class RouterModel
{
public:
    void replaceInstances()
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
        RC_ASSERT(!m_listed[*id].draining);
        RC_ASSERT(slotsInUse(*id) < m_listed[*id].slots);
        ++m_inFlight[*id];
    }

    void finish()
    {
        const auto n = *rc::gen::inRange(0, 8);
        const std::string id = "i" + std::to_string(n);
        const AttemptOutcome outcome = anyOutcome();
        m_router.recordCompletion(id, outcome, Millis{*rc::gen::inRange(0, 100)}, m_now);
        if (m_inFlight[id] == 0)
            return;
        --m_inFlight[id];
        if (outcome == AttemptOutcome::TimedOut)
            m_slotsHeldUntil[id].push_back(m_now + settings.slotHoldAfterTimeout);
    }

    void advanceTime() { m_now = m_now + Millis{*rc::gen::inRange(0, 900)}; }

    void checkSlotCounts()
    {
        int free = m_router.freeSlots(m_now);
        for (int n = 0; n < 8; ++n) {
            const std::string id = "i" + std::to_string(n);
            RC_ASSERT(m_router.slotsInUse(id) == slotsInUse(id));
        }
        // The count is right if exactly that many slots can be taken.
        std::vector<std::string> taken;
        while (const auto id = m_router.pick({}, m_now))
            taken.push_back(*id);
        RC_ASSERT(static_cast<int>(taken.size()) == free);
        for (const std::string &id : taken)
            m_router.recordCompletion(id, AttemptOutcome::Answered, Millis{5}, m_now);
    }

private:
    int slotsInUse(const std::string &id)
    {
        auto &held = m_slotsHeldUntil[id];
        std::erase_if(held, [&](Instant until) { return until <= m_now; });
        return m_inFlight[id] + static_cast<int>(held.size());
    }

    Router m_router{settings, 1};
    Instant m_now{0};
    std::map<std::string, InstanceInfo> m_listed;
    std::map<std::string, int> m_inFlight;
    std::map<std::string, std::vector<Instant>> m_slotsHeldUntil;
};

// Runs `count` requests one after the other and returns how many each instance got. Instance "i0"
// ends its attempts with the given outcome and latency; the others answer after 20 ms.
std::map<std::string, int> runSequentially(Router &router, int count, Instant &now,
                                           AttemptOutcome firstOutcome, Millis firstLatency)
{
    std::map<std::string, int> picked;
    for (int n = 0; n < count; ++n) {
        const auto id = router.pick({}, now);
        REQUIRE(id.has_value());
        ++picked[*id];
        now = now + Millis{1};
        const bool first = *id == "i0";
        router.recordCompletion(*id, first ? firstOutcome : AttemptOutcome::Answered,
                                first ? firstLatency : Millis{20}, now);
    }
    return picked;
}

struct Completion
{
    AttemptOutcome outcome = AttemptOutcome::Answered;
    Millis latency{0};
};

// Runs 20,000 requests on 50 instances that all behave alike and returns the largest number of
// instances that were ejected at once. `complete` maps a random number to the end of an attempt;
// the time advances by `step` once every four requests.
int maxEjectedInstances(Millis step, const std::function<Completion(std::uint64_t)> &complete)
{
    Router router(settings, 1);
    std::mt19937_64 random(1);
    Instant now{0};
    router.setInstances(identicalInstances(50, 8), now);
    int maxEjected = 0;
    for (int n = 0; n < 20'000; ++n) {
        const auto id = router.pick({}, now);
        REQUIRE(id.has_value());
        if (n % 4 == 0)
            now = now + step;
        const Completion completion = complete(random());
        router.recordCompletion(*id, completion.outcome, completion.latency, now);
        maxEjected = std::max(maxEjected, router.ejectedInstances(now));
    }
    return maxEjected;
}

} // namespace

TEST_CASE("A pick takes a free slot of a listed instance that is neither excluded nor draining")
{
    CHECK(rc::check("and the slot counts are right after any sequence of lists and outcomes", [] {
        RouterModel model;
        const int events = *rc::gen::inRange(0, 150);
        for (int n = 0; n < events; ++n) {
            switch (*rc::gen::inRange(0, 12)) {
            case 0:
                model.replaceInstances();
                break;
            case 1:
                model.advanceTime();
                break;
            case 2:
                model.checkSlotCounts();
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
        model.checkSlotCounts();
    }));
}

TEST_CASE("Instances of the own zone are picked before the region and the others")
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

// Guards against a black hole: an instance that fails at once always has free slots and would
// attract most of the requests.
TEST_CASE("An instance that fails at once gets little load")
{
    for (const auto outcome :
         {AttemptOutcome::Failed, AttemptOutcome::RefusedNotRun, AttemptOutcome::ConnectFailed}) {
        CAPTURE(toString(outcome));
        Router router(settings, 1);
        Instant now{0};
        router.setInstances(identicalInstances(10, 8), now);
        const auto picked = runSequentially(router, 10'000, now, outcome, Millis{0});
        CHECK(picked.at("i0") < 30); // An even spread would be 1,000.
    }
}

TEST_CASE("A slow instance is avoided and used again when it has recovered")
{
    Router router(settings, 1);
    Instant now{0};
    router.setInstances(identicalInstances(10, 8), now);
    const auto slow = runSequentially(router, 10'000, now, AttemptOutcome::Answered, Millis{400});
    CHECK(slow.at("i0") < 100);
    now = now + Millis{60'000};
    const auto recovered =
        runSequentially(router, 10'000, now, AttemptOutcome::Answered, Millis{20});
    CHECK(recovered.at("i0") > 500);
}

// Guards against a burst of attempts at an instance that may still be failing.
TEST_CASE("An instance gets one probe after an ejection before its full load")
{
    Router router(settings, 1);
    Instant now{0};
    router.setInstances(identicalInstances(2, 4), now);
    const std::vector<std::string> other{"i1"};
    while (router.ejectedInstances(now) == 0) {
        REQUIRE(router.pick(other, now) == "i0");
        router.recordCompletion("i0", AttemptOutcome::ConnectFailed, Millis{0}, now);
    }
    CHECK(router.pick(other, now) == std::nullopt);
    now = now + settings.baseEjectionTime;
    CHECK(router.pick(other, now) == "i0");
    CHECK(router.pick(other, now) == std::nullopt);
    router.recordCompletion("i0", AttemptOutcome::Answered, Millis{5}, now);
    for (int n = 0; n < 4; ++n)
        CHECK(router.pick(other, now) == "i0");
}

// Guards against ejections that take away half of the capacity when a shared cause makes all
// instances fail.
TEST_CASE("Instances are not ejected when all fail alike")
{
    for (const int failuresOfTen : {2, 3, 5, 10}) {
        CAPTURE(failuresOfTen);
        const int maxEjected = maxEjectedInstances(Millis{0}, [&](std::uint64_t random) {
            const bool fails = static_cast<int>(random % 10) < failuresOfTen;
            return Completion{fails ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                              Millis{20}};
        });
        CHECK(maxEjected <= 5);
    }
}

TEST_CASE("A much slower instance gets only probes until it has recovered")
{
    Router router(settings, 1);
    Instant now{0};
    router.setInstances(identicalInstances(10, 8), now);
    runSequentially(router, 1'000, now, AttemptOutcome::Answered, Millis{20});
    // Excludes the other instances, as if they had no free slots; the slow one has eight.
    std::vector<std::string> others;
    for (int n = 1; n < 10; ++n)
        others.push_back("i" + std::to_string(n));
    int slowAnswers = 0;
    while (router.pick(others, now)) {
        router.recordCompletion("i0", AttemptOutcome::Answered, Millis{400}, now);
        ++slowAnswers;
    }
    CHECK(slowAnswers < 10);
    CHECK(router.ejectedInstances(now) == 1);
    now = now + settings.maxEjectionTime;
    CHECK(router.pick(others, now) == "i0");
    CHECK(router.pick(others, now) == std::nullopt);
    router.recordCompletion("i0", AttemptOutcome::Answered, Millis{20}, now);
    CHECK(router.pick(others, now) == "i0");
    CHECK(router.pick(others, now) == "i0");
}

TEST_CASE("Requests that take long on every instance cause no ejections")
{
    for (const int longOfHundred : {2, 5, 20, 50}) {
        CAPTURE(longOfHundred);
        const int maxEjected = maxEjectedInstances(Millis{1}, [&](std::uint64_t random) {
            const bool isLong = static_cast<int>(random % 100) < longOfHundred;
            return Completion{AttemptOutcome::Answered, Millis{isLong ? 500 : 5}};
        });
        CHECK(maxEjected <= 5);
    }
}

TEST_CASE("No more than half of the instances are ejected")
{
    Router router(settings, 1);
    Instant now{0};
    router.setInstances(identicalInstances(10, 8), now);
    int failed = 0;
    for (int n = 0; n < 3'000; ++n) {
        const auto id = router.pick({}, now);
        REQUIRE(id.has_value());
        const bool fails = *id < "i6"; // Six of ten.
        failed += fails ? 1 : 0;
        router.recordCompletion(
            *id, fails ? AttemptOutcome::ConnectFailed : AttemptOutcome::Answered, Millis{20}, now);
        REQUIRE(router.ejectedInstances(now) <= 5);
    }
    CHECK(router.ejectedInstances(now) == 5);
    CHECK(failed < 300);
}
