#include "shardfixture.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

const steps::WorkerIncarnation lostLife{"w1", 1'700'000'000'000};
const std::string address = "10.0.0.1:1";

// Returns a shard with a job that has a run on a worker that may have crashed.
StoredShard shardWithLostLife()
{
    StoredShard shard;
    shard.row.object = "snapshot/0/1.0";
    shard.row.snapshot = 1;
    shard.row.head = 1;
    steps::JobSpec spec;
    spec.id = "j";
    spec.steps.resize(1);
    const steps::SuspectedRun run{1, lostLife, address, true, wallClockMs()};
    for (const steps::Record &it : {steps::Record(steps::JobAccepted{spec, 0}),
                                    steps::Record(steps::RunSuspected{{"j", 0, 0, 0}, run})})
        shard.snapshot += steps::encodeRecord(it) + "\n";
    return shard;
}

} // namespace

// Guards against a crash that stays unproved since the next worker at the address is of another
// shard, which the runner gets no orders for.
TEST_CASE("A lost worker has crashed if a later one of any shard has its address")
{
    for (const bool replaced : {false, true}) {
        CAPTURE(replaced);
        ShardFixture shard({}, shardWithLostLife());
        if (replaced) {
            steps::WorkerInfo next;
            next.incarnation = {"of-another-shard", lostLife.startedWallMs + 1};
            next.address = address;
            shard.allWorkers = {next};
        }
        shard.runLoop();
        const steps::JobTable &table = shard.runner->coordinator().jobTable();
        CHECK(table.lostLives().empty() == replaced);
        CHECK(table.find("j")->findTask({"j", 0, 0, 0})->crashes == (replaced ? 1 : 0));
    }
}
