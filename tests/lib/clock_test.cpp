#include "savorywick/clock.h"

#include <doctest/doctest.h>

using namespace savorywick;

TEST_CASE("ManualClock moves only when advanced")
{
    ManualClock clock;
    const Instant before = clock.now();
    CHECK(clock.now() == before);
    clock.advance(Millis{250});
    CHECK((clock.now() - before).count() == 250);
}
