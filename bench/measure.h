#pragma once

#include <algorithm>
#include <chrono>
#include <functional>

#include <malloc.h>
#include <sys/resource.h>

// Measurements of this process that the benchmarks share.
namespace savorywick::bench {

// Returns a time in microseconds; only the difference of two results has a meaning.
using MicrosClock = double (*)();

// Returns the time that passes.
inline double steadyMicros()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::micro>(now).count();
}

// Returns the processor time that this process has used.
inline double processorMicros()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval &t) {
        return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_usec);
    };
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

// Returns the microseconds by `clock` per call of `work`, as the minimum of three rounds of `calls`
// calls.
inline double bestMicrosPerCall(MicrosClock clock, int calls, const std::function<void()> &work)
{
    constexpr int rounds = 3;
    double best = 0;
    for (int round = 0; round < rounds; ++round) {
        const double start = clock();
        for (int i = 0; i < calls; ++i)
            work();
        const double perCall = (clock() - start) / calls;
        best = round == 0 ? perCall : std::min(best, perCall);
    }
    return best;
}

// Returns the bytes that this process has allocated on the heap.
inline double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

} // namespace savorywick::bench
