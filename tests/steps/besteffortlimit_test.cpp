#include "savorywick/steps/besteffortlimit.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr int room = 20'000;

// A limit with one worker that reports every 0.5 s.
struct LimitedWorker
{
    BestEffortLimit limit{{.enabled = true}};
    Instant now{1'000'000};
    std::string images = "quotes";

    void report(int used, double headroom) { report(used, used, headroom); }
    void report(int used, int steady, double headroom)
    {
        now = now + Millis{500};
        limit.observe({"w", images, used, steady, room, headroom}, now);
    }
    int current() const { return limit.limitFor({"w", images, room, 2}, now); }
};

} // namespace

// Guards against a load that is given back to a worker right after it caused a miss, and against a
// limit that falls to nothing since the same load is reported twice.
TEST_CASE("The limit falls below the load that caused a miss and once for each load")
{
    LimitedWorker worker;
    worker.report(12'000, 2.5);
    CHECK(worker.current() == room);
    worker.report(12'000, 0.9);
    const int limit = worker.current();
    CHECK(limit < 12'000 * 0.9);
    worker.report(6'000, 0.9); // The headroom was measured beside some of the former load.
    CHECK(worker.current() == limit);
    worker.report(6'000, 0.9);
    CHECK(worker.current() < 6'000);
    for (int i = 0; i < 50; ++i)
        worker.report(1'000, 0.5);
    CHECK(worker.current() >= 1'000); // It can recover.
}

// Guards against a limit that follows each short rise of the headroom, so that misses repeat, and
// against one that never rises again.
TEST_CASE("The limit rises in small steps only while it is used and the load is steady")
{
    LimitedWorker worker;
    worker.report(12'000, 2.5);
    worker.report(12'000, 0.9);
    const int limit = worker.current();
    worker.report(limit, 1.25);
    CHECK(worker.current() == limit); // The headroom is not short, but not sufficient.
    worker.report(limit / 2, 3);
    CHECK(worker.current() == limit); // It is not used.
    worker.report(limit, limit / 4, 3);
    CHECK(worker.current() == limit); // Most of the load is new.
    worker.report(limit, 3);
    CHECK(worker.current() > limit);
    CHECK(worker.current() < limit * 3 / 2);
    for (int i = 0; i < 200; ++i)
        worker.report(worker.current(), 3);
    CHECK(worker.current() == room);
    CHECK(worker.limit.limitedWorkerCount() == 0);
}

// Guards against a worker that is left idle for good: no task is as small as what its limit leaves.
TEST_CASE("The limit rises while it keeps runs from starting")
{
    LimitedWorker worker;
    worker.report(8'000, 0.3);
    const int limit = worker.current();
    worker.report(0, 2);
    CHECK(worker.current() == limit);
    CHECK(worker.limit.notePrevented("w"));
    CHECK_FALSE(worker.limit.notePrevented("w")); // Counted once between two measurements.
    worker.report(0, 2);
    CHECK(worker.current() > limit);
}

TEST_CASE("A limit belongs to a set of images and fades without measurements")
{
    LimitedWorker worker;
    worker.report(12'000, 0.5);
    const int limit = worker.current();
    REQUIRE(limit < room / 2);
    worker.now = worker.now + Millis{4'000};
    CHECK(worker.current() == limit); // It outlasts the runs that it was learned from.
    worker.now = worker.now + Millis{12'000};
    CHECK(worker.current() > limit);
    CHECK(worker.current() < room);
    worker.now = worker.now + Millis{40'000};
    CHECK(worker.current() == room);
    worker.report(12'000, 0.5);
    worker.images = "ledger";
    CHECK(worker.current() == room);
    worker.images = "quotes";
    worker.limit.removeWorker("w");
    CHECK(worker.current() == room);
}

// Guards against full load on a worker of which nothing is known but that little headroom is left.
TEST_CASE("A worker that was not measured gets a moderate load where headroom is short")
{
    const BestEffortLimit limit{{.enabled = true}};
    const Instant now{1'000};
    CHECK(limit.limitFor({"w", "quotes", room, 2.5}, now) == room);
    CHECK(limit.limitFor({"w", "quotes", room, 1.5}, now) == room / 2);
    CHECK(limit.limitFor({"w", "quotes", room, 0.9}, now) > 0);
    CHECK(limit.limitFor({"w", "quotes", room, 0.9}, now) < room / 2);
}

TEST_CASE("A step avoids the images that its tasks interfered with for some seconds")
{
    BestEffortLimit limit{{.enabled = true}};
    const Instant now{1'000};
    limit.noteStop({"a", 0, 1, 7}, "quotes", now);
    limit.noteStop({"b", 0, 1, 0}, "ledger", now);
    CHECK(limit.avoidedImages({"a", 0, 1}, now) == std::vector<std::string>{"quotes"});
    CHECK(limit.avoidedImages({"a", 0, 2}, now).empty());
    CHECK(limit.avoidedImages({"a", 0, 1}, now + Millis{20'000}).empty());
}
