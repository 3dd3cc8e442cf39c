#include "net/eventloopmonitor.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

// A monitor on an event loop whose lateness is simulated: the clock advances only by the probe
// interval and the lags that the test states.
class MonitorFixture
{
public:
    MonitorFixture()
        : monitor(m_loop, clock)
    {
        monitor.start();
    }

    // Lets one probe run late by `lag`.
    void probe(Millis lag)
    {
        clock.advance(EventLoopMonitor::probeInterval + lag);
        const std::uint64_t probes = monitor.lags().count();
        while (monitor.lags().count() == probes) {
            m_loop.runAfter(EventLoopMonitor::probeInterval, [this] { m_loop.stop(); });
            m_loop.run();
        }
    }

private:
    EventLoop m_loop;

public:
    ManualClock clock;
    EventLoopMonitor monitor;
};

} // namespace

TEST_CASE("The lag of an event loop is how late its last probe ran")
{
    MonitorFixture fixture;
    CHECK(fixture.monitor.lag() == Millis{0});
    fixture.probe(Millis{700});
    CHECK(fixture.monitor.lag() == Millis{700});
    fixture.probe(Millis{0});
    CHECK(fixture.monitor.lag() == Millis{0});
    CHECK(fixture.monitor.lags().count() == 2);
    CHECK(fixture.monitor.lags().sum() == Millis{700});
}

// A loop that is stuck in one long callback must not look prompt until its next probe has run.
TEST_CASE("A probe that is overdue counts before it has run")
{
    MonitorFixture fixture;
    fixture.clock.advance(EventLoopMonitor::probeInterval + Millis{450});
    CHECK(fixture.monitor.lag() == Millis{450});
}

TEST_CASE("The highest lag is that since it was last taken")
{
    MonitorFixture fixture;
    fixture.probe(Millis{300});
    fixture.probe(Millis{20});
    CHECK(fixture.monitor.takeMaxLag() == Millis{300});
    CHECK(fixture.monitor.takeMaxLag() == Millis{20});
}
