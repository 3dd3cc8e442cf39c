#include "platformstandin.h"

#include "platform/base64.h"
#include "platform/json.h"

#include <algorithm>
#include <cstdlib>
#include <span>
#include <utility>

namespace savorywick::testing {

namespace {

using platform::parseJson;
using platform::serializeJson;
using Responder = AsyncHttpServer::Responder;

constexpr Millis transactionTime{5};
constexpr Millis slowCallTime{300};
constexpr Millis feedTick{50};
constexpr int lostAnswersPercent = 30;
constexpr std::size_t maxRowsPerPage = 500;

std::string parameter(const HttpRequest &request, const char *name)
{
    return std::string(headerValue(request.queryParameters, name));
}

std::uint64_t numberParameter(const HttpRequest &request, const char *name, std::uint64_t fallback)
{
    const std::string text = parameter(request, name);
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

void respondJson(const Responder &respond, int status, const Json::Value &json)
{
    respond({.status = status, .headers = {}, .body = serializeJson(json)});
}

void respondEmpty(const Responder &respond, int status)
{
    respond({.status = status, .headers = {}, .body = "{}"});
}

} // namespace

PlatformStandIn::PlatformStandIn(EventLoop &loop, const BootClock &clock,
                                 const std::string &address, unsigned seed)
    : m_loop(loop)
    , m_clock(clock)
    , m_random(seed)
    , m_server(std::make_unique<AsyncHttpServer>(
          loop, AsyncHttpServerLimits{}, [this](const HttpRequest &request, Responder respond) {
              handle(request, std::move(respond));
          }))
{
    m_server->listen(address);
    answerFeedsInTime();
}

void PlatformStandIn::put(const std::string &table, const std::string &key,
                          const std::string &value)
{
    ++m_version;
    set({table, "", key}, platform::encodeBase64(value));
    answerFeeds();
}

void PlatformStandIn::remove(const std::string &table, const std::string &key)
{
    ++m_version;
    erase({table, "", key});
    answerFeeds();
}

void PlatformStandIn::setFault(StoreFault fault)
{
    m_fault = fault;
    if (fault == StoreFault::None)
        m_unanswered.clear();
}

void PlatformStandIn::forgetHistory()
{
    m_changes.clear();
    m_forgottenVersion = m_version;
}

void PlatformStandIn::handle(const HttpRequest &request, Responder respond)
{
    switch (m_fault) {
    case StoreFault::None:
        break;
    case StoreFault::Refuses:
        return respondEmpty(respond, 503);
    case StoreFault::Silent:
        return m_unanswered.push_back(std::move(respond));
    case StoreFault::LosesAnswers:
        if (static_cast<int>(m_random() % 100) >= lostAnswersPercent)
            break;
        m_unanswered.push_back(respond);
        return execute(request, [](const HttpResponse &) {});
    case StoreFault::Slow:
        m_loop.runAfter(slowCallTime, [this, request, respond] { execute(request, respond); });
        return;
    }
    execute(request, respond);
}

void PlatformStandIn::execute(const HttpRequest &request, const Responder &respond)
{
    if (request.path == "/api/rows-tx")
        return transact(request, respond);
    if (request.path == "/api/rows-get")
        return readRows(request, respond);
    if (request.path == "/api/rows-feed")
        return readFeed(request, respond);
    if (request.path.starts_with("/api/blob-"))
        return useObject(request, respond);
    respondEmpty(respond, 404);
}

void PlatformStandIn::transact(const HttpRequest &request, const Responder &respond)
{
    const auto json = parseJson(request.body);
    if (!json)
        return respondEmpty(respond, 400);
    const auto keyOf = [](const Json::Value &row) {
        return RowKey{row["table"].asString(), row["part"].asString(), row["key"].asString()};
    };
    for (const Json::Value &it : (*json)["expectedRevision"]) {
        if (versionOf(keyOf(it)) != it["ver"].asUInt64())
            return respondEmpty(respond, 412);
    }
    ++m_version;
    for (const Json::Value &it : (*json)["puts"])
        set(keyOf(it), it["value"].asString());
    for (const Json::Value &it : (*json)["remove"])
        erase(keyOf(it));
    const Json::Value answer = envelope();
    m_loop.runAfter(transactionTime, [respond, answer] { respondJson(respond, 200, answer); });
    answerFeeds();
}

void PlatformStandIn::readRows(const HttpRequest &request, const Responder &respond) const
{
    const std::string table = parameter(request, "table");
    const std::string part = parameter(request, "part");
    const std::size_t limit =
        std::min<std::size_t>(maxRowsPerPage, numberParameter(request, "limit", maxRowsPerPage));
    Json::Value page = envelope();
    page["rows"] = Json::arrayValue;
    page["hasMore"] = false;
    for (auto it = m_rows.lower_bound({table, part, parameter(request, "from")});
         it != m_rows.end() && it->first.table == table && it->first.part == part; ++it) {
        if (page["rows"].size() == limit) {
            page["hasMore"] = true;
            break;
        }
        Json::Value row;
        row["table"] = table;
        row["part"] = part;
        row["key"] = it->first.key;
        row["value"] = it->second.encoded;
        row["ver"] = Json::UInt64(it->second.version);
        page["rows"].append(std::move(row));
    }
    respondJson(respond, 200, page);
}

void PlatformStandIn::readFeed(const HttpRequest &request, const Responder &respond)
{
    const std::string table = parameter(request, "table");
    const std::uint64_t after = numberParameter(request, "after", 0);
    if (after < m_forgottenVersion)
        return respondEmpty(respond, 410);
    const Json::Value changes = changesAfter(table, after);
    if (!changes.isNull())
        return respondJson(respond, 200, changes);
    const auto waitMs = static_cast<std::int64_t>(numberParameter(request, "waitMs", 0));
    m_waitingFeeds.push_back({table, after, m_clock.now() + Millis{waitMs}, respond});
}

void PlatformStandIn::useObject(const HttpRequest &request, const Responder &respond)
{
    const std::string name = request.path.substr(request.path.find('/', 5) + 1);
    const auto it = m_objects.find(name);
    if (request.method == "PUT") {
        m_objects[name] = request.body;
        return respondEmpty(respond, 200);
    }
    if (request.method == "DELETE") {
        m_objects.erase(name);
        return respondEmpty(respond, 200);
    }
    if (it == m_objects.end())
        return respondEmpty(respond, 404);
    respond({.status = 200, .headers = {}, .body = it->second});
}

void PlatformStandIn::set(const RowKey &row, const std::string &encoded)
{
    m_rows[row] = {encoded, m_version};
    m_changes.push_back({row, encoded, m_version, false});
}

void PlatformStandIn::erase(const RowKey &row)
{
    if (m_rows.erase(row) > 0)
        m_changes.push_back({row, "", m_version, true});
}

std::uint64_t PlatformStandIn::versionOf(const RowKey &row) const
{
    const auto it = m_rows.find(row);
    return it == m_rows.end() ? 0 : it->second.version;
}

Json::Value PlatformStandIn::changesAfter(const std::string &table, std::uint64_t after) const
{
    Json::Value rows = Json::arrayValue;
    const auto first = std::partition_point(m_changes.begin(), m_changes.end(),
                                            [&](const Change &it) { return it.version <= after; });
    for (const Change &it : std::span(first, m_changes.end())) {
        if (it.row.table != table)
            continue;
        Json::Value row;
        row["table"] = table;
        row["part"] = it.row.part;
        row["key"] = it.row.key;
        row["ver"] = Json::UInt64(it.version);
        if (it.deleted)
            row["deleted"] = true;
        else
            row["value"] = it.encoded;
        rows.append(std::move(row));
    }
    if (rows.empty())
        return {};
    Json::Value page = envelope();
    page["rows"] = std::move(rows);
    return page;
}

// Answers the readings of changes that have some, or whose time is over.
void PlatformStandIn::answerFeeds()
{
    std::vector<WaitingFeed> waiting = std::exchange(m_waitingFeeds, {});
    for (WaitingFeed &it : waiting) {
        Json::Value changes = changesAfter(it.table, it.after);
        if (changes.isNull() && m_clock.now() < it.until) {
            m_waitingFeeds.push_back(std::move(it));
            continue;
        }
        if (changes.isNull()) {
            changes = envelope();
            changes["rows"] = Json::arrayValue;
        }
        respondJson(it.respond, 200, changes);
    }
}

void PlatformStandIn::answerFeedsInTime()
{
    answerFeeds();
    m_loop.runAfter(feedTick, [this] { answerFeedsInTime(); });
}

// Returns what every answer about rows holds.
Json::Value PlatformStandIn::envelope() const
{
    Json::Value json;
    json["ver"] = Json::UInt64(m_version);
    json["nowMs"] = Json::Int64(m_clock.now().count());
    return json;
}

} // namespace savorywick::testing
