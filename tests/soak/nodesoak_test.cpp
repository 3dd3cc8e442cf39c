#include "soak.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include <unistd.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

// Seeds that have failed, each with its cause.
constexpr unsigned regressionSeeds[] = {
    1,
    9012, // A successor started a run again that had the lease of its worker's former life.
};

int numberFromEnvironment(const char *name, int fallback)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): No other thread runs.
    return text ? std::atoi(text) : fallback;
}

// Runs a soak, prints a line of JSON, and keeps the logs if a promise was broken.
void runSeed(unsigned seed)
{
    SoakSettings settings;
    settings.seed = seed;
    // Every other seed has leases that outlast what the shards' rows promise.
    constexpr Millis longLease{12'000};
    if (seed % 2 == 0)
        settings.maxLeaseTerm = longLease;
    settings.program = ENTRY_PROGRAM;
    settings.directory = std::filesystem::temp_directory_path().string() + "/nodesoak-"
        + std::to_string(::getpid()) + "-" + std::to_string(seed);
    settings.entries = numberFromEnvironment("NODESOAK_ENTRIES", settings.entries);
    settings.workers = numberFromEnvironment("NODESOAK_WORKERS", settings.workers);
    settings.faultTime = Millis{1'000LL * numberFromEnvironment("NODESOAK_SECONDS", 12)};
    std::filesystem::create_directories(settings.directory);
    const SoakResult result = Soak(settings).run();
    std::printf("{\"seed\":%u,\"jobs\":%d,\"accepted\":%d,\"starts\":%d,\"lostRuns\":%d,"
                "\"faults\":%d,\"violations\":%zu}\n",
                seed, result.jobs, result.accepted, result.starts, result.lostRuns, result.faults,
                result.violations.size());
    std::fflush(stdout);
    for (const std::string &it : result.violations)
        FAIL_CHECK("seed " << seed << ": " << it << "; logs in " << settings.directory
                           << "; again: NODESOAK_SEEDS=" << seed << ":1 nodesoak_test");
    CHECK(result.accepted > result.jobs / 4);
    std::cout.flush(); // What was found so far stays if a later seed ends the program.
    if (result.violations.empty())
        std::filesystem::remove_all(settings.directory);
}

} // namespace

TEST_CASE("Real processes keep their promises to callers and workers while faults overlap")
{
    const char *range = std::getenv("NODESOAK_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    if (!range) {
        for (const unsigned seed : regressionSeeds)
            runSeed(seed);
        return;
    }
    const std::string text = range; // "FIRST:COUNT"
    const std::size_t colon = text.find(':');
    const auto first = static_cast<unsigned>(std::stoul(text));
    const int count = colon == std::string::npos ? 1 : std::stoi(text.substr(colon + 1));
    for (int i = 0; i < count; ++i)
        runSeed(first + i);
}
