#include "platform/evacuationrows.h"

#include "core/bootclock.h"
#include "net/asynchttpserver.h"
#include "platform/clusterfeed.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace savorywick;
using namespace savorywick::platform;

namespace {

constexpr int maxPolls = 1'000; // Generous: only a hang reaches this limit.
constexpr Millis pollInterval{5};

// A store with the operators' table, and an entry that follows it.
class OperatorTable
{
public:
    OperatorTable()
        : m_server(m_loop, {},
                   [this](const HttpRequest &request, const auto &respond) {
                       const bool isChanges = request.path != "/api/rows-get";
                       m_loop.runAfter(pollInterval, [this, respond, isChanges] {
                           const int status =
                               isReadable ? (isChanges ? statusOfChanges : 200) : 503;
                           respond({.status = status, .headers = {}, .body = page});
                       });
                   })
        , m_http(m_loop)
        , m_feed(m_loop, m_http, m_clock, m_server.listen("127.0.0.1:0"))
    {
        m_feed.watchEvacuations(Millis{4'000},
                                [this](const steps::EvacuationReport &it) { report = it; });
        m_feed.watchQueues([](const steps::QueueConfiguration &) {});
    }

    // Returns true if and only if the entry learns from a call that is sent from now on that these
    // zones are evacuated.
    bool learns(const steps::ZoneNames &zones)
    {
        const Instant askedAt = m_clock.now();
        for (int i = 0; i < maxPolls; ++i) {
            if (report.zones == zones && report.currentAt && *report.currentAt >= askedAt)
                return true;
            runFor(pollInterval);
        }
        return false;
    }
    void runFor(Millis span)
    {
        m_loop.runAfter(span, [this] { m_loop.stop(); });
        m_loop.run();
    }

    bool isReadable = true;
    int statusOfChanges = 200;
    std::string page = noRows;
    steps::EvacuationReport report;

    static constexpr const char *noRows = R"({"rows":[],"ver":7})";
    static constexpr const char *zoneA =
        R"({"rows":[{"key":"evacuate/a","value":"e30=","ver":8}],"ver":8})"; // "{}"

private:
    EventLoop m_loop;
    BootClock m_clock;
    AsyncHttpServer m_server;
    AsyncHttpClient m_http;
    StoreClusterFeed m_feed;
};

} // namespace

// Guards against rows that are taken for another zone's, and against one that hides the others.
TEST_CASE("Rows with a zone and a JSON object name the evacuated zones")
{
    TableFeed::Rows rows;
    const auto add = [&](const char *key, const char *value) {
        rows[key] = {key, value, 1, false};
    };
    for (const char *key : {"config", "evacuate", "evacuate/", "evacuate/a", "evacuated"})
        add(key, "{}");
    add("evacuate/b", "[]");
    add("evacuate/c", "");
    add("evacuate/d", R"({"x":1})");
    EvacuationRows evacuations;
    evacuations.update(rows);
    CHECK(evacuations.zones() == steps::ZoneNames{"a", "d"});
    rows.erase("evacuate/a");
    evacuations.update(rows);
    CHECK(evacuations.zones() == steps::ZoneNames{"d"});
}

// Guards against an entry that never learns of an evacuation or of its end, and against one that
// takes a failed call for news, when the store fails or loses its history at that moment.
TEST_CASE("Evacuations and their ends are learned of when the store can be read")
{
    constexpr int statusHistoryLost = 410;
    for (const int status : {200, statusHistoryLost}) {
        CAPTURE(status);
        OperatorTable table;
        REQUIRE(table.learns({}));
        table.isReadable = false;
        table.statusOfChanges = status;
        table.page = OperatorTable::zoneA;
        table.runFor(Millis{50});
        CHECK(table.report.zones.empty());
        table.isReadable = true;
        REQUIRE(table.learns({"a"}));
        table.isReadable = false;
        table.page = OperatorTable::noRows;
        table.runFor(Millis{50});
        const auto lastRead = table.report.currentAt;
        table.runFor(Millis{300}); // One more call fails.
        CHECK(table.report.zones == steps::ZoneNames{"a"});
        CHECK(table.report.currentAt == lastRead);
        table.isReadable = true;
        table.statusOfChanges = statusHistoryLost; // The row's removal shows in a full read only.
        CHECK(table.learns({}));
    }
}
