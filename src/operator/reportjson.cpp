#include "operator/report.h"

#include "lib/jsontext.h"
#include "savorywick/errors.h"

#include <json/json.h>

#include <type_traits>

namespace savorywick {

namespace {

// Archive that writes the fields of a struct to a JSON object.
class JsonWriter
{
public:
    explicit JsonWriter(Json::Value &json)
        : m_json(json)
    { }

    void field(const char *key, const std::string &value) { m_json[key] = value; }
    void field(const char *key, bool value) { m_json[key] = value; }
    void field(const char *key, int value) { m_json[key] = value; }
    void field(const char *key, double value) { m_json[key] = value; }
    void field(const char *key, std::int64_t value) { m_json[key] = Json::Int64(value); }
    void field(const char *key, std::uint64_t value) { m_json[key] = Json::UInt64(value); }

    void field(const char *key, const ReportCounts &counts)
    {
        for (const auto &[name, count] : counts)
            m_json[key][name] = Json::UInt64(count);
    }

    template<typename Item>
    requires std::is_class_v<Item>
    void field(const char *key, const Item &item)
    {
        JsonWriter writer(m_json[key] = Json::objectValue);
        visitFields(writer, item);
    }

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
            JsonWriter writer(m_json[key].append(Json::objectValue));
            visitFields(writer, it);
        }
    }

private:
    Json::Value &m_json;
};

// Archive that reads the fields of a struct from a JSON object. Absent members keep their value.
class JsonReader
{
public:
    explicit JsonReader(const Json::Value &json)
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

    void field(const char *key, ReportCounts &counts)
    {
        const Json::Value &json = m_json[key];
        for (const std::string &it : json.getMemberNames())
            counts[it] = json[it].asUInt64();
    }

    template<typename Item>
    requires std::is_class_v<Item>
    void field(const char *key, Item &item)
    {
        if (!m_json.isMember(key))
            return;
        JsonReader reader(m_json[key]);
        visitFields(reader, item);
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
            JsonReader reader(it);
            visitFields(reader, items.emplace_back());
        }
    }

private:
    const Json::Value &m_json;
};

// One list of fields per struct serves both directions: `Archive` is a JsonWriter with a const
// struct or a JsonReader with a mutable one.

// Satisfied if Type is Struct, const or not.
template<typename Type, typename Struct>
concept MaybeConst = std::is_same_v<std::remove_const_t<Type>, Struct>;

template<typename Archive, MaybeConst<ReportCounter> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("group", it.group);
    archive.field("name", it.name);
    archive.field("count", it.count);
}

template<typename Archive, MaybeConst<ReportLatency> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("name", it.name);
    archive.field("count", it.count);
    archive.field("p50Ms", it.p50Ms);
    archive.field("p99Ms", it.p99Ms);
    archive.field("p999Ms", it.p999Ms);
    archive.field("maxMs", it.maxMs);
}

template<typename Archive, MaybeConst<ReportDocument> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("service", it.service);
    archive.field("revision", it.revision);
    archive.field("latencyTargetMs", it.latencyTargetMs);
}

template<typename Archive, MaybeConst<ReportOldestJob> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("id", it.id);
    archive.field("waitedMs", it.waitedMs);
    archive.field("why", it.why);
}

template<typename Archive, MaybeConst<ReportClaims> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("open", it.open);
    archive.field("finished", it.finished);
    archive.field("unknown", it.unknown);
}

template<typename Archive, MaybeConst<ReportShard> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("shard", it.shard);
    archive.field("jobs", it.jobs);
    archive.field("counters", it.counters);
    archive.field("claims", it.claims);
    archive.field("oldest", it.oldest);
    archive.field("storeDown", it.storeDown);
}

template<typename Archive, MaybeConst<ReportEviction> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("id", it.id);
    archive.field("service", it.service);
    archive.field("worker", it.worker);
    archive.field("reason", it.reason);
    archive.field("state", it.state);
    archive.field("agoMs", it.agoMs);
}

template<typename Archive, MaybeConst<ReportSuspectHost> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("id", it.id);
    archive.field("role", it.role);
    archive.field("reason", it.reason);
    archive.field("sinceMs", it.sinceMs);
}

template<typename Archive, MaybeConst<ReportEntry> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("entry", it.entry);
    archive.field("availabilityZone", it.availabilityZone);
    archive.field("region", it.region);
    archive.field("unreachable", it.unreachable);
    archive.field("ready", it.ready);
    archive.field("storeUp", it.storeUp);
    archive.field("uptimeMs", it.uptimeMs);
    archive.field("documentsSeen", it.documentsSeen);
    archive.field("counters", it.counters);
    archive.field("latencies", it.latencies);
    archive.field("documents", it.documents);
    archive.field("invalidDocuments", it.invalidDocuments);
    archive.field("shards", it.shards);
    archive.field("evictions", it.evictions);
    archive.field("suspects", it.suspects);
}

template<typename Archive, MaybeConst<Report> Item>
void visitFields(Archive &archive, Item &it)
{
    archive.field("entries", it.entries);
}

[[noreturn]] void throwInvalidReport()
{
    throw Error(ErrorKind::InvalidInput, "the response is not a report",
                "check that the address is the callers address of an entry");
}

} // namespace

std::string toJson(const Report &report)
{
    Json::Value json(Json::objectValue);
    JsonWriter writer(json);
    visitFields(writer, report);
    return internal::toJsonText(json);
}

Report parseReport(std::string_view json)
{
    const Json::Value root = internal::parseJsonText(json);
    if (!root.isObject() || !root["entries"].isArray())
        throwInvalidReport();
    try {
        Report report;
        JsonReader reader(root);
        visitFields(reader, report);
        return report;
    } catch (const Json::Exception &) {
        throwInvalidReport();
    }
}

} // namespace savorywick
