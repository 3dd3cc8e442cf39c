#include "entry/entrysettings.h"

#include <doctest/doctest.h>

using namespace savorywick;

TEST_CASE("The journal takes its commit interval and snapshot threshold from the settings")
{
    Settings settings;
    settings.limits.commitEvery = Millis{70};
    settings.limits.snapshotSegments = 300;
    const JournalSettings journal = shardHostSettings(settings).engine.journal;
    CHECK(journal.commitInterval == Millis{70});
    CHECK(journal.snapshotMinSegments == 300);
}

TEST_CASE("The default settings match the defaults of the journal")
{
    const JournalSettings journal = shardHostSettings(Settings{}).engine.journal;
    CHECK(journal.commitInterval == JournalSettings{}.commitInterval);
    CHECK(journal.snapshotMinSegments == JournalSettings{}.snapshotMinSegments);
}

TEST_CASE("The HTTP servers and the request service take their limits from the settings")
{
    Settings settings;
    settings.limits.callerConnections = 11;
    settings.limits.peerConnections = 12;
    settings.limits.bodyBytes = 2'000;
    settings.limits.headerRead = Millis{131};
    settings.limits.idleConnection = Millis{1'400};
    settings.limits.queueRequests = 15;
    settings.limits.queueBytes = 16'000;
    settings.limits.attempt = Millis{170};
    settings.limits.slotHold = Millis{180};
    settings.limits.requestDeadline = Millis{190};
    CHECK(callerServerLimits(settings).maxConnections == 11);
    CHECK(peerServerLimits(settings).maxConnections == 12);
    CHECK(callerServerLimits(settings).maxBodyBytes == 2'000);
    CHECK(callerServerLimits(settings).readTimeout == Millis{131});
    CHECK(callerServerLimits(settings).idleTimeout == Millis{1'400});
    const RequestServiceSettings requests = requestServiceSettings(settings);
    CHECK(requests.dispatcher.admission.maxQueuedRequests == 15);
    CHECK(requests.dispatcher.admission.maxQueuedBytes == 16'000);
    CHECK(requests.dispatcher.attemptTimeout == Millis{170});
    CHECK(requests.dispatcher.router.slotHoldAfterTimeout == Millis{180});
    CHECK(requests.maxDeadline == Millis{190});
}
