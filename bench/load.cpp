#include "load.h"

#include "core/httpclient.h"

#include <chrono>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace savorywick::bench {

namespace {

using SteadyTime = std::chrono::steady_clock;

constexpr Millis callTimeout{10'000};

// Sends calls on one connection until `end`: one per `interval`, or back to back if it is zero.
void runConnection(const LoadPlan &plan, SteadyTime::time_point start, SteadyTime::time_point end,
                   std::chrono::nanoseconds interval, LoadResult &result)
{
    HttpClient client;
    const HttpCall call{.address = plan.address,
                        .method = "POST",
                        .path = plan.path,
                        .headers = plan.headers,
                        .body = plan.body,
                        .timeout = callTimeout};
    for (auto due = start; due < end; due += interval) {
        if (interval.count() > 0)
            std::this_thread::sleep_until(due);
        else
            due = SteadyTime::now();
        const HttpResult answer = client.exchange(call);
        const std::chrono::duration<double, std::micro> latency = SteadyTime::now() - due;
        if (answer.outcome != HttpOutcome::ResponseReceived)
            ++result.failed;
        else if (answer.status != 200)
            ++result.refused;
        else
            result.latenciesUs.push_back(latency.count());
    }
}

} // namespace

LoadResult runLoad(const LoadPlan &plan)
{
    if (!plan.address.starts_with("127."))
        throw std::runtime_error("load generator accepts loopback addresses only; use 127.0.0.1");
    std::chrono::nanoseconds interval{0};
    if (plan.callsPerSecond > 0)
        interval = std::chrono::nanoseconds(
            static_cast<std::int64_t>(1e9 * plan.connections / plan.callsPerSecond));
    std::vector<LoadResult> results(static_cast<std::size_t>(plan.connections));
    std::vector<std::thread> threads;
    const auto start = SteadyTime::now();
    const auto end = start + std::chrono::milliseconds(plan.duration.count());
    for (int i = 0; i < plan.connections; ++i) {
        const auto firstDue = start + interval * i / plan.connections;
        threads.emplace_back([&plan, &results, i, firstDue, end, interval] {
            runConnection(plan, firstDue, end, interval, results[static_cast<std::size_t>(i)]);
        });
    }
    for (std::thread &it : threads)
        it.join();
    LoadResult total;
    total.seconds = std::chrono::duration<double>(SteadyTime::now() - start).count();
    for (const LoadResult &it : results) {
        total.latenciesUs.insert(total.latenciesUs.end(), it.latenciesUs.begin(),
                                 it.latenciesUs.end());
        total.refused += it.refused;
        total.failed += it.failed;
    }
    return total;
}

} // namespace savorywick::bench
