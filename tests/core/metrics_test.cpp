#include "core/metrics.h"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <thread>

using namespace savorywick;

namespace {

enum class Colour { Red, Green };

std::string_view toString(Colour colour)
{
    return colour == Colour::Red ? "red" : "green";
}

} // namespace

TEST_CASE("ReasonCounters shows every reason and counts from many threads")
{
    Metrics metrics;
    constexpr std::array all{Colour::Red, Colour::Green};
    ReasonCounters<Colour> counters(metrics, "refused", all);
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&counters] {
            for (int n = 0; n < 1'000; ++n)
                counters.add(Colour::Red);
        });
    }
    threads.clear();
    const MetricsSnapshot snapshot = metrics.snapshot();
    REQUIRE(snapshot.counters.size() == 2);
    CHECK(snapshot.counters[0].name == "green");
    CHECK(snapshot.counters[0].count == 0);
    CHECK(snapshot.counters[1].name == "red");
    CHECK(snapshot.counters[1].count == 4'000);
}

TEST_CASE("LatencyRecorder is exact for few samples")
{
    LatencyRecorder recorder;
    CHECK(recorder.value("empty").p99Ms == 0);
    for (const int ms : {5, 1, 9})
        recorder.record(Millis{ms});
    const LatencyValue value = recorder.value("few");
    CHECK(value.count == 3);
    CHECK(value.p50Ms == 5);
    CHECK(value.p99Ms == 9);
    CHECK(value.maxMs == 9);
}

TEST_CASE("LatencyRecorder estimates the tail of a long stream")
{
    LatencyRecorder recorder;
    std::mt19937 random(20261203);
    std::uniform_int_distribution<int> uniform(0, 10'000);
    for (int i = 0; i < 100'000; ++i)
        recorder.record(Millis{uniform(random)});
    const LatencyValue value = recorder.value("many");
    CHECK(value.p50Ms == doctest::Approx(5'000).epsilon(0.03));
    CHECK(value.p99Ms == doctest::Approx(9'900).epsilon(0.01));
    CHECK(value.p999Ms == doctest::Approx(9'990).epsilon(0.005));
}
