#include "jobschedulerfixture.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

WatcherSpec makeWatcherSpec(const std::string &id)
{
    WatcherSpec spec;
    spec.id = id;
    spec.service = "matching";
    spec.idempotencyKey = "key-" + id;
    return spec;
}

WatcherSpec makeRunWatcherSpec(const std::string &id, const std::string &run)
{
    WatcherSpec spec = makeWatcherSpec(id);
    spec.untilRun = run;
    return spec;
}

} // namespace

TEST_CASE("A watcher that waits for a delay survives takeovers and never fires early")
{
    SchedulerFixture fixture(1);
    WatcherSpec spec = makeWatcherSpec("w");
    spec.delay = Millis{100'000};
    CHECK(toString(fixture.watch(spec).state) == std::string_view("watching"));
    for (int n = 0; n < 3; ++n) {
        fixture.runFor(Millis{20'000});
        fixture.replaceOwner();
    }
    fixture.runFor(Millis{38'000});
    CHECK(fixture.state("w") == "watching");
    fixture.runFor(Millis{100'000});
    CHECK(fixture.state("w") == "finished");
}

TEST_CASE("A watcher that awaits a run fires when the run ends in this or another shard")
{
    SchedulerFixture fixture(1);
    fixture.submit(makeJobSpec("a"));
    fixture.watch(makeRunWatcherSpec("w1", "a"));
    fixture.watch(makeRunWatcherSpec("w2", "elsewhere"));
    CHECK(fixture.scheduler().awaitedRemoteRuns() == std::vector<std::string>{"elsewhere"});
    fixture.runFor(Millis{70'000});
    CHECK(fixture.state("w1") == "finished");
    CHECK(fixture.job("w1").result == "finished");
    CHECK(fixture.state("w2") == "watching");
    JobScheduler::Records records;
    fixture.scheduler().handleRunEnd("elsewhere", JobState::Failed, fixture.now(), records);
    CHECK(fixture.job("w2").result == "failed");
    const SubmitResult late = fixture.watch(makeRunWatcherSpec("w3", "a"));
    CHECK(toString(late.state) == std::string_view("finished"));
}

// Guards against a watcher that never fires: the end of a run and the firing of its watchers are
// separate records, and a crash may keep only the first.
TEST_CASE("A watcher fires after a takeover if a crash kept only the end of its run")
{
    SchedulerFixture fixture(1);
    fixture.submit(makeJobSpec("a"));
    fixture.watch(makeRunWatcherSpec("w", "a"));
    while (fixture.state("w") == "watching")
        fixture.runFor(Millis{0});
    // The watcher's record is the last one. Drop it, as a crash between two commits does.
    fixture.dropLatestRecords(1);
    fixture.replaceOwner(false);
    CHECK(fixture.state("a") == "finished");
    CHECK(fixture.state("w") == "watching");
    fixture.runFor(Millis{0});
    CHECK(fixture.state("w") == "finished");
}
