#include "store/httptable.h"

#include "savorywick/errors.h"
#include "store/json.h"

namespace savorywick {

using store::parseJsonText;
using store::toJsonText;

namespace {

Json::Value toJson(const Transaction &transaction)
{
    Json::Value body;
    body["conditions"] = Json::arrayValue;
    body["writes"] = Json::arrayValue;
    for (const Condition &it : transaction.conditions) {
        Json::Value condition;
        condition["key"] = it.key;
        condition["version"] = Json::UInt64(it.version);
        body["conditions"].append(std::move(condition));
    }
    for (const Write &it : transaction.writes) {
        Json::Value write;
        write["key"] = it.key;
        write["value"] = it.value ? Json::Value(*it.value) : Json::Value();
        body["writes"].append(std::move(write));
    }
    return body;
}

std::vector<Row> rowsFromJson(const Json::Value &rows)
{
    std::vector<Row> result;
    result.reserve(rows.size());
    for (const Json::Value &it : rows)
        result.push_back({it["key"].asString(), it["value"].asString(), it["version"].asUInt64()});
    return result;
}

} // namespace

HttpTable::HttpTable(HttpClient &client, std::string address, Millis timeout)
    : m_client(client)
    , m_address(std::move(address))
    , m_timeout(timeout)
{ }

CommitResult HttpTable::commit(const Transaction &transaction)
{
    const HttpResult response = m_client.exchange({.address = m_address,
                                                   .method = "POST",
                                                   .path = "/table/commit",
                                                   .body = toJsonText(toJson(transaction)),
                                                   .timeout = m_timeout});
    m_available = response.outcome == HttpOutcome::ResponseReceived && response.status < 500;
    if (response.outcome == HttpOutcome::NotSent)
        return {CommitOutcome::Unavailable, 0};
    if (response.outcome != HttpOutcome::ResponseReceived)
        return {CommitOutcome::Unknown, 0};
    if (response.status == 503)
        return {CommitOutcome::Unavailable, 0};
    if (response.status == 409)
        return {CommitOutcome::Conflict, 0};
    if (response.status != 200)
        return {CommitOutcome::Unknown, 0};
    return {CommitOutcome::Committed, parseJsonText(response.body)["version"].asUInt64()};
}

std::vector<Row> HttpTable::read(std::span<const std::string> keys)
{
    if (keys.empty())
        return {};
    Json::Value body;
    for (const std::string &it : keys)
        body["keys"].append(it);
    return queryRows("/table/read", toJsonText(body));
}

std::vector<Row> HttpTable::scan(std::string_view prefix, std::string_view after, std::size_t limit)
{
    Json::Value body;
    body["prefix"] = std::string(prefix);
    body["after"] = std::string(after);
    body["limit"] = Json::UInt64(limit);
    return queryRows("/table/scan", toJsonText(body));
}

std::vector<Row> HttpTable::queryRows(std::string_view path, const std::string &body)
{
    const HttpResult response = m_client.exchange({.address = m_address,
                                                   .method = "POST",
                                                   .path = std::string(path),
                                                   .body = body,
                                                   .timeout = m_timeout});
    m_available = response.outcome == HttpOutcome::ResponseReceived && response.status == 200;
    if (!m_available)
        throw Error(ErrorKind::Unavailable, "the table service is unavailable",
                    "retry when the platform reports it available");
    return rowsFromJson(parseJsonText(response.body)["rows"]);
}

} // namespace savorywick
