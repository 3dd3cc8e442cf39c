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
