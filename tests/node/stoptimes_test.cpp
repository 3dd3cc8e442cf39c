#include "node/stoptimes.h"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace savorywick;

// Guards against an entry that is killed because its event loop is late, and against one with a
// prompt loop that cuts connections off before it has to.
TEST_CASE("A stopping entry with a late event loop goes on to the next phase earlier")
{
    struct Case
    {
        int lagAtSignalMs;
        int laterLagMs;
        int answersDueMs; // These three since the signal's handling.
        int endSessionMs;
        int leaveMs;
    };
    for (const Case &it : {Case{0, 0, 3'900, 5'100, 5'700}, Case{300, 0, 3'600, 4'200, 4'800},
                           Case{0, 300, 3'900, 4'500, 5'100}, Case{300, 100, 3'600, 4'200, 4'800},
                           Case{0, 3'000, 3'900, 4'200, 4'800}}) {
        CAPTURE(it.lagAtSignalMs);
        CAPTURE(it.laterLagMs);
        const Instant handledAt{100'000};
        StopTimes times(Millis{6'000}, handledAt, Millis{it.lagAtSignalMs});
        times.observeLag(Millis{it.laterLagMs});
        CHECK((times.answersDueAt() - handledAt).count() == it.answersDueMs);
        CHECK_FALSE(times.mustEndSession(handledAt + Millis{it.endSessionMs - 1}));
        CHECK(times.mustEndSession(handledAt + Millis{it.endSessionMs}));
        CHECK_FALSE(times.mustLeave(handledAt + Millis{it.leaveMs - 1}));
        CHECK(times.mustLeave(handledAt + Millis{it.leaveMs}));
    }
}
