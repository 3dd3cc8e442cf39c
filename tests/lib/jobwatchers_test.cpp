#include "jobbench.h"

#include <doctest/doctest.h>

using namespace savorywick;

TEST_CASE("A watcher for time outlives its owners and never fires early")
{
    Bench bench(1);
    WatcherSpec w;
    w.id = "w";
    w.service = "matching";
    w.key = "k";
    w.after = Millis{100'000};
    CHECK(toString(bench.watch(w).state) == std::string_view("watching"));
    for (int n = 0; n < 3; ++n) {
        bench.run(Millis{20'000});
        bench.replaceOwner();
    }
    bench.run(Millis{38'000});
    CHECK(bench.state("w") == "watching");
    bench.run(Millis{100'000});
    CHECK(bench.state("w") == "finished");
}

TEST_CASE("A watcher for a run fires when that ends here or in another shard")
{
    Bench bench(1);
    bench.submit(spec("a"));
    WatcherSpec w;
    w.id = "w1";
    w.service = "matching";
    w.key = "k1";
    w.untilRun = "a";
    bench.watch(w);
    w.id = "w2";
    w.key = "k2";
    w.untilRun = "elsewhere";
    bench.watch(w);
    CHECK(bench.book().awaitedRuns() == std::vector<std::string>{"elsewhere"});
    bench.run(Millis{70'000});
    CHECK(bench.state("w1") == "finished");
    CHECK(bench.job("w1").result == "finished");
    CHECK(bench.state("w2") == "watching");
    JobBook::Records records;
    bench.book().runEnded("elsewhere", JobState::Failed, bench.now(), records);
    CHECK(bench.job("w2").result == "failed");
    w.id = "w3";
    w.key = "k3";
    w.untilRun = "a";
    CHECK(toString(bench.watch(w).state) == std::string_view("finished"));
}

TEST_CASE("A watcher fires although a crash kept only the end of its run")
{
    Bench bench(1);
    bench.submit(spec("a"));
    WatcherSpec w;
    w.id = "w";
    w.service = "matching";
    w.key = "k";
    w.untilRun = "a";
    bench.watch(w);
    while (bench.state("w") == "watching")
        bench.run(Millis{0});
    // The record of the watcher is the last one, and is lost with the crash.
    bench.dropRecords(1);
    bench.replaceOwner(false);
    CHECK(bench.state("a") == "finished");
    CHECK(bench.state("w") == "watching");
    bench.run(Millis{0});
    CHECK(bench.state("w") == "finished");
}
