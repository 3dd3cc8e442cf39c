#include "node/connectionshares.h"

#include <algorithm>
#include <sys/resource.h>

namespace savorywick {

namespace {

constexpr std::size_t wholePercent = 100;

// The parts of the descriptors, in percent. What is left is the reserve.
constexpr std::size_t callersPercent = 16;
constexpr std::size_t entriesPercent = 16;
constexpr std::size_t rejectionsPercent = 4; // Of each of the two servers.
constexpr std::size_t toEntriesPercent = 8;
constexpr std::size_t toWorkersPercent = 40;
constexpr std::size_t toStorePercent = 2;

// The store serves few connections at once, and a feed holds one for as long as nothing changes.
constexpr std::size_t minToStore = 16;
// A renewal is held open until a run ends, and starts must not wait for it.
constexpr std::size_t maxPerWorker = 4;
constexpr std::size_t maxIdlePerWorker = 2;
constexpr std::size_t maxPerEntry = 16;
// All entries call the owner of a shard, which pays for each idle connection as well.
constexpr std::size_t maxIdlePerEntry = 2;

// More descriptors than that are not used.
constexpr std::size_t usefulDescriptors = 16'384;
constexpr std::size_t fallbackDescriptors = 1'024;

std::size_t percentOf(std::size_t whole, std::size_t percent)
{
    return whole * percent / wholePercent;
}

} // namespace

ConnectionShares shareConnections(std::size_t descriptors)
{
    const std::size_t all = std::min(descriptors, usefulDescriptors);
    const std::size_t toStore = std::max(percentOf(all, toStorePercent), minToStore);
    ConnectionShares shares;
    shares.callers = percentOf(all, callersPercent);
    shares.entries = percentOf(all, entriesPercent);
    shares.rejections = percentOf(all, rejectionsPercent);
    shares.toEntries = {percentOf(all, toEntriesPercent), maxPerEntry, maxIdlePerEntry};
    shares.toWorkers = {percentOf(all, toWorkersPercent), maxPerWorker, maxIdlePerWorker};
    shares.toStore = {toStore, toStore, toStore};
    return shares;
}

std::size_t descriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return fallbackDescriptors;
    return limit.rlim_cur;
}

} // namespace savorywick
