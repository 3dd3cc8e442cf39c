#include "savorywick/interference.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <random>

using namespace savorywick;

namespace {

constexpr int cores = 64;
constexpr double noisySlowdown = 0.8; // Growth of the urgent p99 by noisy tasks at full speed.

// Returns an arbitrary measurement, which may be out of range.
WorkerSample anySample(Instant takenAt)
{
    WorkerSample sample;
    sample.measuredAt = takenAt;
    sample.service = *rc::gen::element<std::string>("quotes", "checks");
    sample.urgentCores = *rc::gen::inRange(-5, 80);
    sample.urgentP99Ms = *rc::gen::inRange(-1, 200);
    sample.targetP99Ms = *rc::gen::inRange(0, 100);
    const int tasks = *rc::gen::inRange(0, 6);
    for (int i = 0; i < tasks; ++i) {
        sample.tasks.push_back(
            {"t" + std::to_string(i), *rc::gen::element<std::string>("quiet", "noisy"),
             static_cast<double>(*rc::gen::inRange(0, 40)), *rc::gen::inRange(0, 40),
             *rc::gen::element(25, 50, 75, 100), static_cast<double>(*rc::gen::inRange(0, 1'000))});
    }
    return sample;
}

WorkerSample quietSample(Instant takenAt)
{
    return {.measuredAt = takenAt,
            .service = "quotes",
            .urgentCores = 20,
            .urgentP99Ms = 10,
            .targetP99Ms = 20,
            // Columns: id, run class, cores, allocated cores, speed in percent, eviction cost.
            .tasks = {{"other", "quiet", 16, 16, 100, 0}}};
}

WorkerSample noisySample(Instant takenAt, int percent)
{
    const double p99Ms = 10 * (1 + noisySlowdown * percent / 100);
    return {.measuredAt = takenAt,
            .service = "quotes",
            .urgentCores = 20,
            .urgentP99Ms = p99Ms,
            .targetP99Ms = 20,
            // Columns: id, run class, cores, allocated cores, speed in percent, eviction cost.
            .tasks = {{"cheap", "noisy", 16, 16, percent, 5},
                      {"costly", "noisy", 16, 16, percent, 900},
                      {"idle", "quiet", 16, 16, 100, 0}}};
}

} // namespace

TEST_CASE("the core limit stays within the capacity and changes once per delay at most")
{
    CHECK(rc::check("for arbitrary measurements", [] {
        const InterferenceOptions options;
        InterferenceController controller(options);
        controller.setWorker("w", cores);
        Instant changedAt = Instant{} - options.measurementDelay;
        int coreLimit = controller.batchCoreLimit("w");
        Instant now;
        const int steps = *rc::gen::inRange(0, 100);
        for (int i = 0; i < steps; ++i) {
            now = now + Millis{*rc::gen::inRange(0, 10'000)};
            const auto decision =
                controller.observe("w", anySample(now - Millis{*rc::gen::inRange(0, 9'000)}), now);
            RC_ASSERT(decision.batchCoreLimit >= 0);
            RC_ASSERT(decision.batchCoreLimit <= cores);
            RC_ASSERT(decision.batchCoreLimit == controller.batchCoreLimit("w"));
            const bool changed = decision.batchCoreLimit != coreLimit || !decision.throttles.empty()
                || !decision.evictions.empty();
            if (!changed)
                continue;
            RC_ASSERT(now - changedAt >= options.measurementDelay);
            changedAt = now;
            coreLimit = decision.batchCoreLimit;
        }
    }));
}

TEST_CASE("evictions are limited by the number of starts")
{
    CHECK(rc::check("no more than the burst and the budget earned by starts", [] {
        const InterferenceOptions options;
        InterferenceController controller(options);
        for (const char *it : {"w1", "w2"})
            controller.setWorker(it, cores);
        const int startsPerStep = *rc::gen::inRange(0, 30);
        int starts = 0;
        int evictions = 0;
        for (int i = 0; i < 200; ++i) {
            const Instant now = Instant{} + options.measurementDelay * i;
            const std::string worker = *rc::gen::element<std::string>("w1", "w2");
            for (int n = 0; n < startsPerStep; ++n, ++starts)
                controller.recordStart(worker, "noisy", 1, now);
            const auto decision = controller.observe(worker, anySample(now), now);
            RC_ASSERT(decision.evictions.size() <= 1);
            evictions += static_cast<int>(decision.evictions.size());
            RC_ASSERT(evictions <= options.evictionBurst + options.evictionsPerStart * starts);
        }
    }));
}

TEST_CASE("the slowdown by each class is learned from hosts that run several")
{
    CHECK(rc::check("within 0.05 for any random mix", [] {
        SlowdownModel model;
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        std::uniform_real_distribution<double> anyLoad(0.2, 0.6);
        std::uniform_real_distribution<double> anyShare(0, 0.5);
        const double trueCoefficient = *rc::gen::inRange(20, 80) / 100.0;
        for (int i = 0; i < 3'000; ++i) {
            const double load = anyLoad(random);
            const std::vector<ClassShare> shares{{"noisy", anyShare(random)},
                                                 {"quiet", anyShare(random)}};
            const double baselineMs = 10 + 10 * load;
            model.learn("quotes", load, baselineMs * (1 + trueCoefficient * shares[0].share),
                        shares);
        }
        RC_ASSERT(std::abs(model.coefficient("quotes", "noisy") - trueCoefficient) < 0.05);
        RC_ASSERT(model.coefficient("quotes", "quiet") < 0.05);
        RC_ASSERT(std::abs(model.baselineP99Ms("quotes", 0.4) - 14) < 0.4);
        RC_ASSERT(model.coefficient("checks", "noisy") == 0);
    }));
}

TEST_CASE("a latency that is not positive and finite is ignored")
{
    SlowdownModel model;
    for (const double p99Ms : {0.0, -1.0, std::nan(""), HUGE_VAL})
        CHECK(model.learn("quotes", 0.5, p99Ms, {}) == 0);
    CHECK(model.baselineP99Ms("quotes", 0.5) == 0);
}

TEST_CASE("harmful tasks are throttled and the cheapest is evicted if that does not help")
{
    InterferenceController controller({});
    for (const char *it : {"w", "training"})
        controller.setWorker(it, cores);
    Instant now;
    // Alternating samples teach the model that only the noisy class is harmful. The starts earn
    // eviction budget.
    for (int i = 0; i < 200; ++i) {
        now = now + Millis{20'000};
        controller.observe("training", i % 2 == 0 ? quietSample(now) : noisySample(now, 100), now);
        controller.recordStart("training", "quiet", 0, now);
    }
    bool throttled = false;
    std::vector<std::string> evicted;
    for (int i = 0; i < 40 && evicted.empty(); ++i) {
        now = now + Millis{20'000};
        const auto decision = controller.observe("w", noisySample(now, throttled ? 25 : 100), now);
        for (const TaskThrottle &it : decision.throttles) {
            throttled = true;
            CHECK(it.task != "idle");
        }
        evicted = decision.evictions;
        CHECK((evicted.empty() || throttled));
    }
    CHECK(throttled);
    REQUIRE(evicted.size() == 1);
    CHECK(evicted.front() == "cheap");
}

TEST_CASE("a harmful placement is forbidden and a harmless one has no cost")
{
    InterferenceController controller({});
    controller.setWorker("w", cores);
    Instant now;
    for (int i = 0; i < 200; ++i) {
        now = now + Millis{20'000};
        controller.observe("w", i % 2 == 0 ? quietSample(now) : noisySample(now, 100), now);
    }
    const std::string id = "w";
    const std::string rack = "r";
    const HostView host{id, rack, {cores, 1, 0}, {cores, 1, 0}};
    const PlacementRequest harmful{"matching", "noisy", {32, 1, 0}, {}};
    const PlacementRequest harmless{"matching", "unseen", {32, 1, 0}, {}};
    CHECK(std::isinf(controller.cost(host, harmful)));
    CHECK(controller.cost(host, harmless) == 0);
    CHECK(controller.predictedSlowdown("w", "noisy", 32) > 0.1);
    controller.removeWorker("w");
    CHECK(controller.cost(host, harmful) == 0);
    CHECK(controller.observe("w", quietSample(now), now).batchCoreLimit == 0);
}
