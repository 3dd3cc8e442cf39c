#include "entry/entrysettings.h"

#include <doctest/doctest.h>

using namespace savorywick;

TEST_CASE("The journal's pace and its snapshots follow the settings")
{
    Settings settings;
    settings.limits.commitEvery = Millis{70};
    settings.limits.snapshotSegments = 300;
    const JournalSettings journal = hostSettings(settings).engine.journal;
    CHECK(journal.commitInterval == Millis{70});
    CHECK(journal.snapshotMinSegments == 300);
}

TEST_CASE("The defaults of the settings leave the journal as its own defaults do")
{
    const JournalSettings journal = hostSettings(Settings{}).engine.journal;
    CHECK(journal.commitInterval == JournalSettings{}.commitInterval);
    CHECK(journal.snapshotMinSegments == JournalSettings{}.snapshotMinSegments);
}

TEST_CASE("The servers and the requests follow the settings")
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
    CHECK(callerLimits(settings).connections == 11);
    CHECK(peerLimits(settings).connections == 12);
    CHECK(callerLimits(settings).bodyBytes == 2'000);
    CHECK(callerLimits(settings).readTimeout == Millis{131});
    CHECK(callerLimits(settings).idleTimeout == Millis{1'400});
    const RequestServiceSettings requests = requestSettings(settings);
    CHECK(requests.urgent.admission.maxQueuedRequests == 15);
    CHECK(requests.urgent.admission.maxQueuedBytes == 16'000);
    CHECK(requests.urgent.longestAttempt == Millis{170});
    CHECK(requests.urgent.router.slotHoldAfterTimeout == Millis{180});
    CHECK(requests.longestDeadline == Millis{190});
}
