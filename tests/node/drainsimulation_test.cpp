#include "drainsimulation.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <list>
#include <string>
#include <thread>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr std::uint32_t defaultSeed = 20'261'204;
constexpr std::uint32_t simulationCount = 16; // All at the same time.

// Returns the first seed: that of the environment variable DRAIN_SEED, if it is set.
std::uint32_t firstSeed()
{
    const char *text = std::getenv("DRAIN_SEED"); // NOLINT(concurrency-mt-unsafe)
    return text ? static_cast<std::uint32_t>(std::stoul(text)) : defaultSeed;
}

// Runs all simulations until their entries are gone.
void run(std::list<DrainSimulation> &simulations)
{
    constexpr std::chrono::milliseconds stepInterval{1};
    for (bool anyRuns = true; anyRuns;) {
        for (DrainSimulation &it : simulations)
            it.sendRequests();
        std::this_thread::sleep_for(stepInterval); // The kernel delivers what was sent.
        anyRuns = false;
        for (DrainSimulation &it : simulations)
            anyRuns |= it.runEntries();
    }
}

} // namespace

// Guards against requests that get neither an answer nor a refusal: two entries stop at about the
// same time, and callers send before, during and after it, on old and new connections.
TEST_CASE("Stopping entries answer every request that comes on an open connection")
{
    std::list<DrainSimulation> simulations;
    for (std::uint32_t i = 0; i < simulationCount; ++i)
        simulations.emplace_back(firstSeed() + i);
    run(simulations);
    for (const DrainSimulation &simulation : simulations) {
        CHECK(simulation.requestCount() > 0);
        for (const std::string &it : simulation.violations())
            FAIL_CHECK(it);
    }
}
