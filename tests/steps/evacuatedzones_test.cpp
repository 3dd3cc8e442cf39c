#include "savorywick/steps/evacuatedzones.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr Instant readAt{100'000};
constexpr Instant oldestAt = readAt + Millis{4'000};
const ZoneEvacuationSettings withBound{.bound = Millis{5'000}};

EvacuatedZones zonesAtRead(const ZoneNames &zones)
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
    CHECK(EvacuatedZones().mayStartIn("a", oldestAt + Millis{1}));
    CHECK_FALSE(EvacuatedZones(withBound).mayStartIn("a", readAt));
    CHECK_FALSE(zonesAtRead({"a"}).mayStartIn("a", readAt));
    CHECK(zonesAtRead({"a"}).mayStartIn("b", oldestAt));
    CHECK_FALSE(zonesAtRead({"a"}).mayStartIn("b", oldestAt + Millis{1}));
}

// Guards against a copy that counts as new because of a response that may lack the request.
TEST_CASE("A response that may lack changes adds zones and does not make the copy newer")
{
    EvacuatedZones zones = zonesAtRead({});
    CHECK(zones.update({{"a"}, {}}, oldestAt));
    CHECK(zones.isEvacuated("a"));
    CHECK_FALSE(zones.isCurrent(oldestAt + Millis{1}));
}

// Guards against cold workers that get all waiting work in the moment in which their zone returns.
TEST_CASE("A zone that returns offers more and more of its capacity")
{
    EvacuatedZones zones = zonesAtRead({"a"});
    zones.update({{}, readAt}, readAt);
    CHECK(zones.offeredPercent("a", readAt) == withBound.rampFromPercent);
    CHECK(zones.offeredPercent("a", readAt + withBound.rampTime / 2) == 60);
    CHECK(zones.update({{}, readAt}, readAt + withBound.rampTime)); // All is offered from now on.
    CHECK(zones.offeredPercent("a", readAt + withBound.rampTime) == 100);
    CHECK_FALSE(zones.update({{}, readAt}, readAt + withBound.rampTime));
}
