#include "routes.h"

#include <algorithm>
#include <map>

namespace savorywick::standin {

namespace {

struct StoredRow
{
    std::string value;
    std::uint64_t version = 0;
};

Json::Value rowJson(const std::string &key, const StoredRow &row)
{
    return jsonObject({{"key", key}, {"value", row.value}, {"version", row.version}});
}

// A transactional table in memory. One mutex serializes all operations.
class TableStore
{
public:
    Response commit(const Json::Value &body)
    {
        const std::lock_guard lock{m_mutex};
        const auto &conditions = body["conditions"];
        const bool conditionsHold =
            std::all_of(conditions.begin(), conditions.end(), [this](auto &it) {
                return find(it["key"].asString()).version == it["version"].asUInt64();
            });
        ++(conditionsHold ? m_commits : m_conflicts);
        if (!conditionsHold)
            return jsonResponse(jsonObject({{"committed", false}}), 409);
        ++m_version;
        for (const auto &it : body["writes"]) {
            if (it["value"].isNull())
                m_rows.erase(it["key"].asString());
            else
                m_rows[it["key"].asString()] = {it["value"].asString(), m_version};
        }
        Response response = jsonResponse(jsonObject({{"committed", true}, {"version", m_version}}));
        response.tookEffect = true;
        return response;
    }

    Response read(const Json::Value &body)
    {
        const std::lock_guard lock{m_mutex};
        ++m_reads;
        Json::Value rows{Json::arrayValue};
        for (const auto &it : body["keys"])
            rows.append(rowJson(it.asString(), find(it.asString())));
        return jsonResponse(jsonObject({{"rows", rows}}));
    }

    Response scan(const Json::Value &body)
    {
        const std::string prefix = body["prefix"].asString();
        const std::string after = body["after"].asString();
        const std::lock_guard lock{m_mutex};
        ++m_reads;
        Json::Value rows{Json::arrayValue};
        auto it = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
        for (; it != m_rows.end() && it->first.starts_with(prefix); ++it) {
            if (rows.size() == body["limit"].asUInt())
                break;
            rows.append(rowJson(it->first, it->second));
        }
        return jsonResponse(jsonObject({{"rows", rows}}));
    }

    Json::Value stats()
    {
        const std::lock_guard lock{m_mutex};
        return jsonObject({{"commits", m_commits},
                           {"conflicts", m_conflicts},
                           {"reads", m_reads},
                           {"rows", Json::UInt64{m_rows.size()}}});
    }

private:
    StoredRow find(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? StoredRow{} : it->second;
    }

    std::mutex m_mutex;
    std::map<std::string, StoredRow> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_commits = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_reads = 0;
};

} // namespace

void addTable(Server &server)
{
    const auto table = std::make_shared<TableStore>();
    const auto addRoute = [&](const std::string &name,
                              Response (TableStore::*handler)(const Json::Value &)) {
        server.route("POST", "/table/" + name, [table, handler](const Request &it) {
            return (*table.*handler)(parseObject(it.body));
        });
    };
    addRoute("commit", &TableStore::commit);
    addRoute("read", &TableStore::read);
    addRoute("scan", &TableStore::scan);
    server.routeWithoutFaults("GET", "/stats",
                              [table](const Request &) { return jsonResponse(table->stats()); });
}

} // namespace savorywick::standin
