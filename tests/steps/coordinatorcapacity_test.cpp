#include "coordinatorharness.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

constexpr ResourceVector full{16'000, 32'000, 0};
constexpr ResourceVector half{8'000, 16'000, 0};

} // namespace

// Guards against starts that count on room that a worker has lost, and on room that it never gets
// back.
TEST_CASE("A worker is filled up to its present capacity while it shrinks and grows")
{
    CoordinatorHarness shard(1);
    shard.submit("a", tasks(10, 2'000));
    CHECK(shard.starts.size() == 8);
    shard.setCapacity(0, half);
    shard.reportEnd("w0", {shard.starts[0].task, 1}, RunOutcome::Done);
    shard.advance(Millis{3'000});
    CHECK(shard.starts.size() == 8); // Seven runs remain where there is room for four.
    for (int i = 1; i < 4; ++i)
        shard.reportEnd("w0", {shard.starts[i].task, 1}, RunOutcome::Done);
    shard.advance(Millis{3'000});
    CHECK(shard.starts.size() == 8);
    shard.reportEnd("w0", {shard.starts[4].task, 1}, RunOutcome::Done);
    shard.advance(Millis{3'000});
    CHECK(shard.starts.size() == 9);
    shard.setCapacity(0, full);
    shard.advance(Millis{300});
    CHECK(shard.starts.size() == 10);
}

// Guards against start orders that are sent although the room has gone since they were placed.
TEST_CASE("A start is not sent if the capacity has shrunk since it was placed")
{
    CoordinatorHarness shard(1);
    shard.commits = false;
    shard.submit("a", tasks(8, 2'000));
    CHECK(shard.coordinator().runs().all().size() == 8);
    shard.setCapacity(0, half);
    shard.commits = true;
    shard.advance(Millis{2'000});
    CHECK(shard.starts.size() == 4);
    shard.setCapacity(0, full);
    shard.advance(Millis{2'000});
    CHECK(shard.starts.size() == 8);
}

// Guards against starts in the room of runs that are ordered to stop and have not ended.
TEST_CASE("What is being stopped still counts")
{
    CoordinatorHarness shard(1);
    shard.submit("stopped", tasks(8, 2'000));
    shard.coordinator().cancel("stopped", shard.now());
    shard.submit("next", tasks(1, 2'000));
    shard.advance(Millis{4'000});
    CHECK(shard.workersStartedOn("next").empty());
    for (const StartRunCommand &it : std::vector<StartRunCommand>(shard.starts))
        shard.reportEnd("w0", {it.task, it.run}, RunOutcome::Stopped);
    shard.advance(Millis{2'000});
    CHECK(shard.workersStartedOn("next").size() == 1);
}

// Guards against starts in the room of runs that a worker started late, which no owner expects.
TEST_CASE("Unknown runs count until the worker no longer has them")
{
    CoordinatorHarness shard(1);
    shard.submit("a", tasks(2, 6'000));
    shard.strays["w0"] = {{{"a", 0, 0, 0}, 7, "", 0, {}}};
    shard.advance(Millis{500});
    shard.submit("b", tasks(1, 4'000));
    shard.advance(Millis{1'000});
    CHECK(shard.workersStartedOn("b").empty());
    shard.strays.clear();
    shard.advance(Millis{2'000});
    CHECK(shard.workersStartedOn("b").size() == 1);
}

// Guards against a next owner that fills the room which runs of the owner before take up.
TEST_CASE("After a takeover runs count on the capacity that the list shows then")
{
    CoordinatorHarness shard(1);
    shard.submit("a", tasks(4, 2'000));
    shard.setCapacity(0, half);
    shard.replaceOwner();
    shard.submit("b", tasks(1, 2'000));
    shard.advance(Millis{3'000});
    CHECK(shard.workersStartedOn("b").empty());
    shard.setCapacity(0, full);
    shard.advance(Millis{1'000});
    CHECK(shard.workersStartedOn("b").size() == 1);
}
