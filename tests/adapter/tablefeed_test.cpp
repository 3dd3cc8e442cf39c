#include "platform/tablefeed.h"

#include "net/asynchttpserver.h"
#include "platform/base64.h"

#include <doctest/doctest.h>

#include <string>

using namespace savorywick;
using namespace savorywick::platform;

namespace {

constexpr int maxPolls = 1'000; // Generous: only a hang reaches this limit.
constexpr Millis pollInterval{5};

std::string pageOf(const std::string &key, const std::string &value, int version)
{
    return R"({"rows":[{"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","ver":)"
        + std::to_string(version) + R"(}],"ver":)" + std::to_string(version) + "}";
}

// A store with one table, followed by a feed. The first call for changes gets `status`; the second
// one tells of a row "b" if it names the version of the first read.
class FeedFixture
{
public:
    explicit FeedFixture(int status)
        : m_server(m_loop, {},
                   [this, status](const HttpRequest &request, const auto &respond) {
                       respond(answer(request, status));
                   })
        , m_http(m_loop)
        , m_feed(
              m_loop, m_http, m_server.listen("127.0.0.1:0"), "t",
              {.longPollWait = Millis{100}, .responseMargin = Millis{200}, .retryDelay = Millis{5}},
              [this](const TableFeed::Rows &rows) { m_rows = rows; })
    {
        m_feed.start();
    }

    // Returns true if and only if the feed has told of the row.
    bool learnsOf(const std::string &key)
    {
        for (int i = 0; i < maxPolls && !m_rows.contains(key); ++i) {
            m_loop.runAfter(pollInterval, [this] { m_loop.stop(); });
            m_loop.run();
        }
        return m_rows.contains(key);
    }

    int fullReads = 0;

private:
    HttpResponse answer(const HttpRequest &request, int status)
    {
        HttpResponse response{.status = 200, .headers = {}, .body = R"({"rows":[],"ver":7})"};
        if (request.path == "/api/rows-get") {
            ++fullReads;
            response.body = pageOf(fullReads == 1 ? "a" : "b", "x", 7);
        } else if (++m_changeCalls == 1) {
            response.status = status;
            response.body.clear();
        } else if (fullReads == 1) {
            response.body = pageOf("b", "y", 8);
        }
        return response;
    }

    EventLoop m_loop;
    AsyncHttpServer m_server;
    AsyncHttpClient m_http;
    TableFeed::Rows m_rows;
    int m_changeCalls = 0;
    TableFeed m_feed;
};

} // namespace

// Guards against a store that recovers from an outage and is then asked for whole tables by every
// entry at once, which fills the link between two regions.
TEST_CASE("A feed reads the whole table again only if the store has no history of the changes")
{
    struct Case
    {
        int status;
        int fullReads;
    };
    for (const Case &it : {Case{503, 1}, Case{429, 1}, Case{410, 2}, Case{400, 2}}) {
        CAPTURE(it.status);
        FeedFixture feed(it.status);
        CHECK(feed.learnsOf("b"));
        CHECK(feed.fullReads == it.fullReads);
    }
}

namespace {

// Returns a page of changes whose rows are numbered from `first` on. Its version is the last one.
std::string pageOfChanges(int first, int count)
{
    std::string text = R"({"rows":[)";
    for (int i = first; i < first + count; ++i) {
        text += i > first ? "," : "";
        text += R"({"key":"w)" + std::to_string(i) + R"(","value":"eA==","ver":)"
            + std::to_string(i) + "}";
    }
    return text + R"(],"ver":)" + std::to_string(first + count - 1) + "}";
}

} // namespace

// Guards against a feed that falls behind for good: thousands of workers write their rows every
// second, a response holds some hundred, and a pause after each bounds how many come in a second.
TEST_CASE("A feed that is behind reads on without a pause")
{
    constexpr int rowsPerPage = 500;
    constexpr int allRows = 20 * rowsPerPage;
    EventLoop loop;
    AsyncHttpServer server(loop, {}, [&](const HttpRequest &request, const auto &respond) {
        HttpResponse response{.status = 200, .headers = {}, .body = R"({"rows":[],"ver":0})"};
        if (request.path != "/api/rows-get") {
            const int after = std::stoi(std::string(headerValue(request.queryParameters, "after")));
            if (after < allRows)
                response.body = pageOfChanges(after + 1, rowsPerPage);
        }
        respond(response);
    });
    AsyncHttpClient http(loop);
    int rowCount = 0;
    TableFeedSettings settings;
    settings.pollDelay = Millis{2'000};
    TableFeed feed(loop, http, server.listen("127.0.0.1:0"), "t", settings,
                   [&](const TableFeed::Rows &rows) { rowCount = static_cast<int>(rows.size()); });
    feed.start();
    // Generous, but too short for a pause after each page.
    for (int i = 0; i < maxPolls && rowCount < allRows; ++i) {
        loop.runAfter(pollInterval, [&loop] { loop.stop(); });
        loop.run();
    }
    CHECK(rowCount == allRows);
}
