#include "node/workpacer.h"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace savorywick;

TEST_CASE("The pause after a piece of work grows with the time that it took up to a limit")
{
    struct Case
    {
        int workMs;
        int pauseMs;
    };
    for (const Case &it :
         {Case{0, 0}, Case{1, 3}, Case{20, 60}, Case{200, 500}, Case{3'000, 500}}) {
        CAPTURE(it.workMs);
        WorkPacer pacer({});
        const Instant beganAt{1'000};
        CHECK(pacer.mayBegin(beganAt));
        const Instant endedAt = beganAt + Millis{it.workMs};
        pacer.recordWork(beganAt, endedAt);
        CHECK(pacer.nextBeginAt() == endedAt + Millis{it.pauseMs});
        CHECK(pacer.mayBegin(endedAt) == (it.pauseMs == 0));
        CHECK(pacer.mayBegin(pacer.nextBeginAt()));
    }
}
