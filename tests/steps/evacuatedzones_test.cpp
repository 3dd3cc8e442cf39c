#include "savorywick/steps/evacuatedzones.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr Instant readAt{100'000};
constexpr Millis maxAge{4'000};
const ZoneEvacuationSettings withBound{.bound = Millis{5'000}};

EvacuatedZones zonesReadAt(const ZoneNames &zones)
{
    EvacuatedZones evacuated(withBound);
    evacuated.update({zones, readAt}, readAt);
    return evacuated;
}

} // namespace

// Guards against starts that rest on a copy from before the operator's request, and against zones
// that stay closed in a deployment without evacuations.
TEST_CASE("Tasks start only in zones that a new copy of the requests shows not to be evacuated")
{
    struct Case
    {
        EvacuatedZones zones;
        Millis age;
        bool inEvacuatedZone;
        bool elsewhere;
    };
    for (const Case &it : {
             Case{EvacuatedZones(), maxAge * 9, true, true}, // No bound.
             Case{EvacuatedZones(withBound), Millis{0}, false, false}, // Never read.
             Case{zonesReadAt({"a"}), maxAge, false, true},
             Case{zonesReadAt({"a"}), maxAge + Millis{1}, false, false},
         }) {
        CHECK(it.zones.mayStartIn("a", readAt + it.age) == it.inEvacuatedZone);
        CHECK(it.zones.mayStartIn("b", readAt + it.age) == it.elsewhere);
    }
}

// Guards against a copy that counts as new because of a response that may lack the request.
TEST_CASE("A response that may lack changes adds zones and does not make the copy newer")
{
    EvacuatedZones zones = zonesReadAt({});
    CHECK(zones.update({{"a"}, {}}, readAt + maxAge));
    CHECK(zones.isEvacuated("a"));
    CHECK_FALSE(zones.isCurrent(readAt + maxAge + Millis{1}));
}

// Guards against cold workers that get all waiting work in the moment in which their zone returns.
TEST_CASE("A zone that returns offers more and more of its capacity")
{
    EvacuatedZones zones = zonesReadAt({"a"});
    CHECK(zones.offeredPercent("b", readAt) == 100);
    zones.update({{}, readAt}, readAt);
    int last = 0;
    for (Millis t{0}; t < withBound.rampTime; t = t + Millis{1'000}) {
        CHECK(zones.offeredPercent("a", readAt + t) > last);
        last = zones.offeredPercent("a", readAt + t);
    }
    CHECK(last < 100);
    CHECK(zones.update({{}, readAt}, readAt + withBound.rampTime)); // All is offered from now on.
    CHECK(zones.offeredPercent("a", readAt + withBound.rampTime) == 100);
    CHECK_FALSE(zones.update({{}, readAt}, readAt + withBound.rampTime));
}
