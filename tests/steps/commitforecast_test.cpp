#include "savorywick/steps/commitforecast.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

// Guards against an owner that refuses each new job because one commit takes long, against one that
// accepts jobs whose callers will have given up or that waits for a store out of reach, and against
// a shard that refuses everything for ever since it commits nothing and so measures nothing.
TEST_CASE("A store that is 80 times slower serves the callers that wait long enough")
{
    struct Case
    {
        const char *what;
        std::vector<int> latenciesMs; // Of commits, one after the other.
        bool inFlight; // Whether another one was sent after them.
        int elapsedMs; // Since the last of them ended.
        std::optional<int> remainingMs; // The caller's time, if it is known.
        bool accepted;
        bool unanswered = false; // Whether an attempt at the one in flight had no answer.
        bool useCallerTime = true;
    };
    for (const Case &it :
         {Case{"nothing measured", {}, false, 0, 100, true},
          Case{"fast", {9, 9, 9}, true, 3, 100, true},
          Case{"slow commit and a long wait", {9, 9, 9}, true, 720, 2'850, true},
          Case{"slow commit and a short wait", {9, 9, 9}, true, 720, 700, false},
          Case{"slow lately and no time for two", {720, 720, 720}, true, 0, 1'400, false},
          Case{"slow lately and time for two", {720, 720, 720}, true, 0, 1'500, true},
          Case{"slow lately and nothing in flight", {720, 720, 720}, false, 0, 800, true},
          Case{"fast again", {720, 720, 9, 9, 9, 9, 9, 9}, false, 0, 500, true},
          Case{"measured lately", {5'000}, false, 2'000, 1'000, false},
          Case{"measured long ago", {5'000}, false, 2'001, 1'000, true},
          Case{"no answer", {9, 9}, true, 1'000, 2'850, false, true},
          Case{"caller's time unknown", {9, 9}, true, 700, {}, true},
          Case{"caller's time unknown and slow", {9, 9}, true, 701, {}, false},
          Case{"caller's time not used", {9, 9}, true, 701, 2'850, false, false, false}}) {
        CAPTURE(it.what);
        CommitForecast forecast({.useCallerTime = it.useCallerTime});
        Instant now{10'000};
        for (const int latency : it.latenciesMs) {
            forecast.commitSent(now);
            now = now + Millis{latency};
            forecast.commitSucceeded(now);
        }
        if (it.inFlight)
            forecast.commitSent(now);
        if (it.unanswered)
            forecast.attemptUnanswered();
        now = now + Millis{it.elapsedMs};
        std::optional<Instant> dueAt;
        if (it.remainingMs)
            dueAt = now + Millis{*it.remainingMs};
        CHECK(forecast.mayAccept(dueAt, now, Millis{0}) == it.accepted);
    }
}
