#include "core/metrics.h"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <thread>

using namespace savorywick;

namespace {

enum class Reason { QueueFull, TooLate };

std::string_view toString(Reason reason)
{
    return reason == Reason::QueueFull ? "queue-full" : "too-late";
}

} // namespace

TEST_CASE("ReasonCounters shows every reason and counts without loss from many threads")
{
    MetricsRegistry metrics;
    constexpr std::array all{Reason::QueueFull, Reason::TooLate};
    ReasonCounters<Reason> counters(metrics, "refused", all);
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&counters] {
            for (int n = 0; n < 1'000; ++n)
                counters.add(Reason::TooLate);
        });
    }
    threads.clear();
    const MetricsSnapshot snapshot = metrics.snapshot();
    REQUIRE(snapshot.counters.size() == 2);
    CHECK(snapshot.counters[0].name == "queue-full");
    CHECK(snapshot.counters[0].count == 0);
    CHECK(snapshot.counters[1].name == "too-late");
    CHECK(snapshot.counters[1].count == 4'000);
}

TEST_CASE("LatencyRecorder computes exact quantiles from few samples")
{
    LatencyRecorder recorder;
    CHECK(recorder.summary("empty").p99Ms == 0);
    for (const int ms : {5, 1, 9})
        recorder.record(Millis{ms});
    const LatencySummary summary = recorder.summary("few");
    CHECK(summary.count == 3);
    CHECK(summary.p50Ms == 5);
    CHECK(summary.p99Ms == 9);
    CHECK(summary.maxMs == 9);
}

TEST_CASE("LatencyRecorder estimates the median and the tail quantiles of a long stream")
{
    LatencyRecorder recorder;
    std::mt19937 random(20261203);
    std::uniform_int_distribution<int> uniform(0, 10'000);
    for (int i = 0; i < 100'000; ++i)
        recorder.record(Millis{uniform(random)});
    const LatencySummary summary = recorder.summary("many");
    CHECK(summary.p50Ms == doctest::Approx(5'000).epsilon(0.03));
    CHECK(summary.p99Ms == doctest::Approx(9'900).epsilon(0.01));
    CHECK(summary.p999Ms == doctest::Approx(9'990).epsilon(0.005));
}
