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
    return object({{"key", key}, {"value", row.value}, {"version", row.version}});
}

// Rows in memory, one transaction at a time.
class TableStore
{
public:
    Reply commit(const Json::Value &body)
    {
        const std::lock_guard lock{m_mutex};
        const auto &conditions = body["conditions"];
        const bool holds = std::all_of(conditions.begin(), conditions.end(), [this](auto &it) {
            return find(it["key"].asString()).version == it["version"].asUInt64();
        });
        ++(holds ? m_commits : m_conflicts);
        if (!holds)
            return jsonReply(object({{"committed", false}}), 409);
        ++m_version;
        for (const auto &it : body["writes"]) {
            if (it["value"].isNull())
                m_rows.erase(it["key"].asString());
            else
                m_rows[it["key"].asString()] = {it["value"].asString(), m_version};
        }
        Reply reply = jsonReply(object({{"committed", true}, {"version", m_version}}));
        reply.tookEffect = true;
        return reply;
    }

    Reply read(const Json::Value &body)
    {
        const std::lock_guard lock{m_mutex};
        ++m_reads;
        Json::Value rows{Json::arrayValue};
        for (const auto &it : body["keys"])
            rows.append(rowJson(it.asString(), find(it.asString())));
        return jsonReply(object({{"rows", rows}}));
    }

    Reply scan(const Json::Value &body)
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
        return jsonReply(object({{"rows", rows}}));
    }

    Json::Value stats()
    {
        const std::lock_guard lock{m_mutex};
        return object({{"commits", m_commits},
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
    const auto add = [&](const std::string &name, Reply (TableStore::*act)(const Json::Value &)) {
        server.route("POST", "/table/" + name,
                     [table, act](const Call &it) { return (*table.*act)(parseObject(it.body)); });
    };
    add("commit", &TableStore::commit);
    add("read", &TableStore::read);
    add("scan", &TableStore::scan);
    server.plainRoute("GET", "/stats", [table](const Call &) { return jsonReply(table->stats()); });
}

} // namespace savorywick::standin
