#include "platform/evacuationrows.h"

#include "core/bootclock.h"
#include "net/asynchttpserver.h"
#include "platform/clusterfeed.h"

#include <doctest/doctest.h>

#include <string>

using namespace savorywick;
using namespace savorywick::platform;

// Guards against rows that are taken for another zone's, and against one that hides the others.
TEST_CASE("Rows with a zone and a JSON object name the evacuated zones")
{
    TableFeed::Rows rows;
    for (const char *key : {"config", "evacuate", "evacuate/", "evacuate/a", "evacuated"})
        rows[key] = {key, "{}", 1, false};
    rows["evacuate/b"] = {"evacuate/b", "[]", 1, false};
    rows["evacuate/c"] = {"evacuate/c", "", 1, false};
    rows["evacuate/d"] = {"evacuate/d", R"({"x":1})", 1, false};
    EvacuationRows evacuations;
    evacuations.update(rows);
    CHECK(evacuations.zones() == steps::ZoneNames{"a", "d"});
}

// Guards against an entry that never learns of an evacuation or of its end, and against one that
// takes a failed call for news, when the store fails or loses its history at that moment.
TEST_CASE("Evacuations and their ends are learned of when the store can be read")
{
    const HttpResponse unavailable{.status = 503, .headers = {}, .body = {}};
    const HttpResponse historyLost{.status = 410, .headers = {}, .body = {}};
    const HttpResponse noRows{.status = 200, .headers = {}, .body = R"({"rows":[],"ver":7})"};
    HttpResponse zoneA = noRows; // The value is "{}".
    zoneA.body = R"({"rows":[{"key":"evacuate/a","value":"e30=","ver":8}],"ver":8})";
    HttpResponse table = noRows;
    HttpResponse changes = noRows;
    EventLoop loop;
    AsyncHttpServer server(loop, {}, [&](const HttpRequest &request, const auto &respond) {
        const bool readsTable = request.path == "/api/rows-get";
        loop.runAfter(Millis{5},
                      [&, respond, readsTable] { respond(readsTable ? table : changes); });
    });
    AsyncHttpClient http(loop);
    const BootClock clock;
    StoreClusterFeed feed(loop, http, clock, server.listen("127.0.0.1:0"));
    steps::EvacuationReport report;
    feed.watchEvacuations(Millis{4'000}, [&](const steps::EvacuationReport &it) { report = it; });
    feed.watchQueues([](const steps::QueueConfiguration &) {});
    // Tells whether the entry learns of these zones from a call that it sends from now on.
    const auto learns = [&](const steps::ZoneNames &zones) {
        constexpr int maxPolls = 1'000; // Generous: only a hang reaches this limit.
        const Instant askedAt = clock.now();
        for (int i = 0; i < maxPolls; ++i) {
            if (report.zones == zones && report.currentAt.value_or(Instant{}) >= askedAt)
                return true;
            loop.runAfter(Millis{5}, [&] { loop.stop(); });
            loop.run();
        }
        return false;
    };
    CHECK(learns({}));
    for (const HttpResponse &outage : {unavailable, historyLost}) {
        CAPTURE(outage.status);
        table = outage.status == unavailable.status ? unavailable : zoneA;
        changes = outage;
        loop.runAfter(Millis{300}, [&] { changes = zoneA; }); // One call at least has failed.
        CHECK(learns({"a"}));
        changes = outage;
        table = unavailable;
        loop.runAfter(Millis{300}, [&] {
            CHECK(report.zones == steps::ZoneNames{"a"});
            changes = historyLost; // The row's removal shows when the table is read.
            table = noRows;
        });
        CHECK(learns({}));
    }
}
