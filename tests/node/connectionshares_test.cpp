#include "node/connectionshares.h"

#include <doctest/doctest.h>

using namespace savorywick;

// Guards against a process that can't accept connections since it has opened too many itself.
TEST_CASE("All shares together leave a reserve of descriptors")
{
    constexpr std::size_t filesAndListeners = 220; // The platform keeps 200 for files.
    for (const std::size_t descriptors : {4'100U, 8'192U, 16'384U}) {
        CAPTURE(descriptors);
        const ConnectionShares it = shareConnections(descriptors);
        const std::size_t all = it.callers + it.entries + 2 * it.rejections + it.toEntries.maxOpen
            + it.toWorkers.maxOpen + it.toStore.maxOpen;
        CHECK(all + filesAndListeners <= descriptors);
    }
}

// Guards against a weak host that can't keep the leases of a shard's workers: each needs one
// connection for its renewal, which the worker holds open.
TEST_CASE("A host with few descriptors can call each worker of a shard at once")
{
    constexpr std::size_t workersOfShard = 600;
    const ConnectionShares shares = shareConnections(4'100);
    CHECK(shares.toWorkers.maxOpen >= 2 * workersOfShard);
    CHECK(shares.toWorkers.maxPerPeer > 1);
}

TEST_CASE("A process with very few descriptors has a share for each use")
{
    const ConnectionShares it = shareConnections(256);
    CHECK(it.callers > 0);
    CHECK(it.entries > 0);
    CHECK(it.toEntries.maxOpen > 0);
    CHECK(it.toWorkers.maxOpen > 0);
    CHECK(it.toStore.maxOpen > 0);
}

TEST_CASE("The limit of this process is known")
{
    CHECK(descriptorLimit() > 0);
}
