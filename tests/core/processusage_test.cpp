#include "core/processusage.h"

#include <doctest/doctest.h>

#include <vector>

using namespace savorywick;

TEST_CASE("The usage of the process covers its work and its memory")
{
    const ProcessUsage before = processUsage();
    constexpr std::size_t memoryBytes = 64U << 20U;
    const std::vector<char> memory(memoryBytes, 'x');
    CHECK(memory.back() == 'x');
    CHECK(processUsage().peakMemoryBytes >= memoryBytes);
    while (processUsage().processorTime == before.processorTime) { }
    CHECK(processUsage().processorTime > before.processorTime);
}
