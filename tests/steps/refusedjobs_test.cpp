#include "savorywick/steps/refusedjobs.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

// Guards against capacity that is kept for callers that have given up, and against memory that
// grows with the number of refusals.
TEST_CASE("Refused jobs are bounded and count until they return or are overdue")
{
    RefusedJobs refused(2, Millis{1'000});
    const ProcessorPool pool{"s", ProcessorClass::Booked};
    for (std::int64_t i = 1; i <= 3; ++i)
        refused.add("j" + std::to_string(i),
                    {"s", static_cast<int>(i), {100, 0}, Instant{i * 1'000}});
    CHECK(refused.count() == 2);
    CHECK(refused.expectedWork(pool, 3) == 200);
    CHECK(refused.expectedWork(pool, 2) == 100);
    CHECK(refused.dueWork(pool, 3) == 0);
    refused.advance(Instant{2'500});
    CHECK(refused.dueWork(pool, 3) == 100);
    CHECK_FALSE(refused.remove("j1"));
    CHECK(refused.remove("j3"));
    refused.advance(Instant{3'001});
    CHECK(refused.count() == 0);
    CHECK(refused.expectedWork(pool, 9) == 0);
    CHECK(refused.dueWork(pool, 9) == 0);
}
