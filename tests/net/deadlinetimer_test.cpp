#include "net/deadlinetimer.h"

#include <doctest/doctest.h>

#include <string>

using namespace savorywick;

TEST_CASE("Callbacks run in the order of their deadlines and not after their removal")
{
    EventLoop loop;
    DeadlineTimer deadlines(loop);
    std::string order;
    deadlines.add(Millis{20}, [&] {
        order += "c";
        loop.stop();
    });
    const auto removed = deadlines.add(Millis{1}, [&] { order += "x"; });
    deadlines.add(Millis{10}, [&] { order += "b"; });
    deadlines.add(Millis{2}, [&] {
        order += "a";
        deadlines.add(Millis{0}, [&] { order += "+"; });
    });
    deadlines.remove(removed);
    loop.run();
    CHECK(order == "a+bc");
}

TEST_CASE("A callback may remove a deadline that has passed too")
{
    EventLoop loop;
    DeadlineTimer deadlines(loop);
    bool removedRan = false;
    DeadlineTimer::Handle other;
    deadlines.add(Millis{1}, [&] { deadlines.remove(other); });
    other = deadlines.add(Millis{1}, [&] { removedRan = true; });
    loop.runAfter(Millis{10}, [&] { loop.stop(); });
    loop.run();
    CHECK_FALSE(removedRan);
}

// Guards against a system call for each request: requests end before their deadlines, which must
// not set the loop's timer.
TEST_CASE("Deadlines that are removed in time set the timer of the loop just once")
{
    EventLoop loop;
    DeadlineTimer deadlines(loop);
    const EventLoop::TimerId before = loop.runAfter(Millis{60'000}, [] {});
    for (int i = 0; i < 1'000; ++i)
        deadlines.remove(deadlines.add(Millis{60'000}, [] {}));
    const EventLoop::TimerId after = loop.runAfter(Millis{60'000}, [] {});
    CHECK(after - before == 2);
}
