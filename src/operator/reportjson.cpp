#include "operator/report.h"

#include "savorywick/errors.h"

#include <json/json.h>

#include <memory>

namespace savorywick {

namespace {

// Writes members into a JSON object, with the same field lists that Reader reads by.
class Writer
{
public:
    explicit Writer(Json::Value &json)
        : m_json(json)
    { }

    void field(const char *key, const std::string &value) { m_json[key] = value; }
    void field(const char *key, bool value) { m_json[key] = value; }
    void field(const char *key, int value) { m_json[key] = value; }
    void field(const char *key, double value) { m_json[key] = value; }
    void field(const char *key, std::int64_t value) { m_json[key] = Json::Int64(value); }
    void field(const char *key, std::uint64_t value) { m_json[key] = Json::UInt64(value); }

    void field(const char *key, const std::vector<std::string> &values)
    {
        m_json[key] = Json::arrayValue;
        for (const std::string &it : values)
            m_json[key].append(it);
    }

    template<typename Item>
    void field(const char *key, const std::vector<Item> &items)
    {
        m_json[key] = Json::arrayValue;
        for (const Item &it : items) {
            Writer writer(m_json[key].append(Json::objectValue));
            fields(writer, it);
        }
    }

private:
    Json::Value &m_json;
};

// Reads members of a JSON object; absent ones keep their value.
class Reader
{
public:
    explicit Reader(const Json::Value &json)
        : m_json(json)
    { }

    void field(const char *key, std::string &value) { value = m_json.get(key, value).asString(); }
    void field(const char *key, bool &value) { value = m_json.get(key, value).asBool(); }
    void field(const char *key, int &value) { value = m_json.get(key, value).asInt(); }
    void field(const char *key, double &value) { value = m_json.get(key, value).asDouble(); }
    void field(const char *key, std::int64_t &value)
    {
        value = m_json.get(key, Json::Int64(value)).asInt64();
    }
    void field(const char *key, std::uint64_t &value)
    {
        value = m_json.get(key, Json::UInt64(value)).asUInt64();
    }

    void field(const char *key, std::vector<std::string> &values)
    {
        for (const Json::Value &it : m_json[key])
            values.push_back(it.asString());
    }

    template<typename Item>
    void field(const char *key, std::vector<Item> &items)
    {
        for (const Json::Value &it : m_json[key]) {
            Reader reader(it);
            fields(reader, items.emplace_back());
        }
    }

private:
    const Json::Value &m_json;
};

// One list of fields a struct serves both directions. `Archive` is a Writer with a const struct or
// a Reader with a mutable one.

template<typename Archive, typename Struct>
concept Of = std::is_same_v<std::remove_const_t<Archive>, Struct>;

template<typename Archive, Of<ReportCounter> Item>
void fields(Archive &archive, Item &it)
{
    archive.field("group", it.group);
    archive.field("name", it.name);
    archive.field("count", it.count);
}

template<typename Archive, Of<ReportLatency> Item>
void fields(Archive &archive, Item &it)
{
    archive.field("service", it.service);
    archive.field("answered", it.answered);
    archive.field("late", it.late);
    archive.field("targetMs", it.targetMs);
    archive.field("p50Ms", it.p50Ms);
    archive.field("p99Ms", it.p99Ms);
    archive.field("p999Ms", it.p999Ms);
}

template<typename Archive, Of<ReportWaiting> Item>
void fields(Archive &archive, Item &it)
{
    archive.field("kind", it.kind);
    archive.field("service", it.service);
    archive.field("class", it.className);
    archive.field("reason", it.reason);
    archive.field("count", it.count);
    archive.field("oldestMs", it.oldestMs);
    archive.field("oldestId", it.oldestId);
}

template<typename Archive, Of<ReportEviction> Item>
void fields(Archive &archive, Item &it)
{
    archive.field("id", it.id);
    archive.field("service", it.service);
    archive.field("worker", it.worker);
    archive.field("reason", it.reason);
    archive.field("state", it.state);
    archive.field("agoMs", it.agoMs);
}

template<typename Archive, Of<ReportHost> Item>
void fields(Archive &archive, Item &it)
{
    archive.field("id", it.id);
    archive.field("role", it.role);
    archive.field("reason", it.reason);
    archive.field("sinceMs", it.sinceMs);
}

template<typename Archive, Of<ReportEdit> Item>
void fields(Archive &archive, Item &it)
{
    archive.field("service", it.service);
    archive.field("revision", it.revision);
    archive.field("ageMs", it.ageMs);
    archive.field("pendingOn", it.pendingOn);
}

template<typename Archive, Of<Report> Item>
void fields(Archive &archive, Item &it)
{
    archive.field("entry", it.entry);
    archive.field("madeAtMs", it.madeAtMs);
    archive.field("uptimeMs", it.uptimeMs);
    archive.field("storeUp", it.storeUp);
    archive.field("membershipUp", it.membershipUp);
    archive.field("mustReread", it.mustReread);
    archive.field("shardsHeld", it.shardsHeld);
    archive.field("counters", it.counters);
    archive.field("latencies", it.latencies);
    archive.field("waiting", it.waiting);
    archive.field("evictions", it.evictions);
    archive.field("hosts", it.hosts);
    archive.field("edits", it.edits);
    archive.field("invalidDocuments", it.invalidDocuments);
}

[[noreturn]] void throwNoReport()
{
    throw Error(ErrorKind::InvalidInput, "the answer is no report",
                "check that the address is an entry's callers address");
}

} // namespace

std::string toJson(const Report &report)
{
    Json::Value json(Json::objectValue);
    Writer writer(json);
    fields(writer, report);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

Report parseReport(std::string_view json)
{
    Json::Value root;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> parser(builder.newCharReader());
    if (!parser->parse(json.data(), json.data() + json.size(), &root, nullptr) || !root.isObject()
        || !root.isMember("entry"))
        throwNoReport();
    try {
        Report report;
        Reader reader(root);
        fields(reader, report);
        return report;
    } catch (const Json::Exception &) {
        throwNoReport();
    }
}

} // namespace savorywick
