#include "savorywick/steps/storerejection.h"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace savorywick;
using namespace savorywick::steps;

// Guards against an owner that keeps a shard which it can't serve, and against shards that move
// because of an outage that all entries share.
TEST_CASE("An owner hands over only what the store rejects lastingly while it serves others")
{
    struct Case
    {
        const char *what;
        int rejections;
        int lastedMs;
        int renewalSeenMs; // When another entry's renewal was seen, since the first rejection.
        bool thenAnswered;
        bool handsOver;
    };
    const Instant start{50'000};
    for (const Case &it : {Case{"rejected for long", 4, 1'500, 900, false, true},
                           Case{"rejected for a moment", 9, 1'499, 900, false, false},
                           Case{"few attempts", 3, 9'000, 900, false, false},
                           Case{"outage for all", 9, 9'000, -100, false, false},
                           Case{"answered since", 9, 9'000, 900, true, false}}) {
        CAPTURE(it.what);
        StoreRejection rejection({});
        for (int i = 0; i < it.rejections; ++i)
            rejection.commitEnded(7, true, start + Millis{i});
        rejection.commitEnded(8, false, start); // Other shards make no difference.
        rejection.renewalSeen(start + Millis{it.renewalSeenMs});
        if (it.thenAnswered)
            rejection.commitEnded(7, false, start + Millis{it.lastedMs});
        const Instant now = start + Millis{it.lastedMs};
        CHECK(rejection.shardToHandOver(now).value_or(-1) == (it.handsOver ? 7 : -1));
        CHECK(rejection.mayClaim(now));
        rejection.handedOver(now);
        CHECK_FALSE(rejection.shardToHandOver(now));
        CHECK_FALSE(rejection.mayClaim(now + Millis{9'999}));
        CHECK(rejection.mayClaim(now + Millis{10'000}));
    }
}
