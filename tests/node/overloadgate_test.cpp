#include "node/overloadgate.h"

#include <doctest/doctest.h>

#include <vector>

using namespace savorywick;

namespace {

constexpr Millis step{100}; // The time between two measurements.

} // namespace

TEST_CASE("A gate closes on a lag that lasts and opens again once the loop has caught up")
{
    struct Case
    {
        const char *what;
        std::vector<int> lagsMs;
        bool closed;
    };
    for (const Case &it :
         {Case{"prompt", {0, 5, 0, 20, 0, 0, 0, 0}, false},
          Case{"below the limit for long", {349, 349, 349, 349, 349, 349, 349, 349}, false},
          // A process that was frozen for 3 s serves what has arrived meanwhile and goes on.
          Case{"one stall", {3'000, 3'000, 10, 0, 0, 0, 0, 0}, false},
          Case{"stalls apart", {900, 900, 900, 900, 0, 900, 900, 900}, false},
          Case{"too short", {900, 900, 900, 900, 900}, false},
          Case{"long enough", {900, 900, 900, 900, 900, 900}, true},
          Case{"between the limits", {900, 900, 900, 900, 900, 900, 150, 150, 150, 150}, true},
          Case{"prompt for a moment", {900, 900, 900, 900, 900, 900, 0, 0, 300, 0, 0}, true},
          Case{"caught up", {900, 900, 900, 900, 900, 900, 0, 0, 0, 0}, false}}) {
        CAPTURE(it.what);
        OverloadGate gate({});
        Instant now{1'000};
        int changes = 0;
        for (const int lag : it.lagsMs) {
            changes += gate.observe(Millis{lag}, now) ? 1 : 0;
            now = now + step;
        }
        CHECK(gate.isClosed() == it.closed);
        CHECK(changes % 2 == (it.closed ? 1 : 0));
    }
}
