#include "routes.h"

#include "json.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace savorywick::standin {

namespace {

struct StoredRow
{
    std::string value;
    std::uint64_t version = 0;
};

Json::Value rowJson(const std::string &key, const StoredRow &row)
{
    Json::Value value;
    value["key"] = key;
    value["value"] = row.value;
    value["version"] = Json::UInt64{row.version};
    return value;
}

Reply rowsReply(Json::Value rows)
{
    Json::Value value;
    value["rows"] = std::move(rows);
    return jsonReply(value);
}

class TableStore
{
public:
    Reply commit(const Call &call);
    Reply read(const Call &call);
    Reply scan(const Call &call);
    Json::Value stats();

private:
    bool holds(const Json::Value &condition) const;
    void write(const Json::Value &write);

    std::mutex m_mutex;
    std::map<std::string, StoredRow> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_commits = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_reads = 0;
};

bool TableStore::holds(const Json::Value &condition) const
{
    const auto it = m_rows.find(condition["key"].asString());
    const std::uint64_t version = it == m_rows.end() ? 0 : it->second.version;
    return version == condition["version"].asUInt64();
}

void TableStore::write(const Json::Value &write)
{
    const std::string key = write["key"].asString();
    if (write["value"].isNull()) {
        m_rows.erase(key);
    } else {
        m_rows[key] = StoredRow{write["value"].asString(), m_version};
    }
}

Reply TableStore::commit(const Call &call)
{
    const auto transaction = parseObject(call.body);
    const auto &conditions = transaction["conditions"];
    const std::lock_guard lock{m_mutex};
    Json::Value value;
    value["committed"] = std::all_of(conditions.begin(), conditions.end(),
                                     [this](const auto &it) { return holds(it); });
    if (!value["committed"].asBool()) {
        ++m_conflicts;
        return jsonReply(value, 409);
    }
    ++m_commits;
    ++m_version;
    for (const auto &it : transaction["writes"]) {
        write(it);
    }
    value["version"] = Json::UInt64{m_version};
    return jsonReply(value);
}

Reply TableStore::read(const Call &call)
{
    const auto body = parseObject(call.body);
    const std::lock_guard lock{m_mutex};
    ++m_reads;
    Json::Value rows{Json::arrayValue};
    for (const auto &it : body["keys"]) {
        const auto found = m_rows.find(it.asString());
        rows.append(rowJson(it.asString(), found == m_rows.end() ? StoredRow{} : found->second));
    }
    return rowsReply(std::move(rows));
}

Reply TableStore::scan(const Call &call)
{
    const auto body = parseObject(call.body);
    const std::string prefix = body["prefix"].asString();
    const std::string after = body["after"].asString();
    const std::lock_guard lock{m_mutex};
    ++m_reads;
    Json::Value rows{Json::arrayValue};
    auto it = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    while (it != m_rows.end() && it->first.starts_with(prefix)
           && rows.size() < body["limit"].asUInt()) {
        rows.append(rowJson(it->first, it->second));
        ++it;
    }
    return rowsReply(std::move(rows));
}

Json::Value TableStore::stats()
{
    const std::lock_guard lock{m_mutex};
    Json::Value value;
    value["commits"] = Json::UInt64{m_commits};
    value["conflicts"] = Json::UInt64{m_conflicts};
    value["reads"] = Json::UInt64{m_reads};
    value["rows"] = Json::UInt64{m_rows.size()};
    return value;
}

} // namespace

void addTable(Server &server)
{
    const auto table = std::make_shared<TableStore>();
    server.route(
        "POST", "/table/commit", [table](const Call &it) { return table->commit(it); },
        Effect::Takes);
    server.route("POST", "/table/read", [table](const Call &it) { return table->read(it); });
    server.route("POST", "/table/scan", [table](const Call &it) { return table->scan(it); });
    server.stats([table] { return table->stats(); });
}

} // namespace savorywick::standin
