#include "savorywick/entryrow.h"

#include "jsontext.h"
#include "savorywick/errors.h"

#include <json/json.h>

namespace savorywick {

namespace {

// A capacity is clearly larger if it is at least 3/2 of the other.
constexpr std::int64_t clearlyLargerNumerator = 3;
constexpr std::int64_t clearlyLargerDenominator = 2;

bool isKnown(const EntryCapacity &it)
{
    return it.milliCores > 0 || it.linkKbps > 0;
}

bool isClearlyLarger(std::int64_t a, std::int64_t b)
{
    return a > b && a * clearlyLargerDenominator >= b * clearlyLargerNumerator;
}

std::int64_t integerOrZero(const Json::Value &json)
{
    return json.isInt64() ? json.asInt64() : 0;
}

EntryCapacity parseCapacity(const Json::Value &json)
{
    if (!json.isObject())
        return {};
    return {integerOrZero(json["milliCores"]), integerOrZero(json["linkKbps"])};
}

} // namespace

bool clearlyExceeds(const EntryCapacity &a, const EntryCapacity &b)
{
    if (!isKnown(a) || !isKnown(b) || a.milliCores < b.milliCores || a.linkKbps < b.linkKbps)
        return false;
    return isClearlyLarger(a.milliCores, b.milliCores) || isClearlyLarger(a.linkKbps, b.linkKbps);
}

EntryRow parseEntryRow(std::string_view text)
{
    EntryRow row;
    Json::Value json;
    try {
        json = internal::parseJsonText(text);
    } catch (const Error &e) {
        row.error = e.what();
        return row;
    }
    if (!json.isObject()) {
        row.error = "the text is no JSON object";
        return row;
    }
    if (json["peer"].isString())
        row.peer = json["peer"].asString();
    row.capacity = parseCapacity(json["capacity"]);
    row.draining = json["draining"].isBool() && json["draining"].asBool();
    return row;
}

std::string serializeEntryFields(const std::string &peer, const EntryCapacity &capacity)
{
    Json::Value json;
    json["peer"] = peer;
    if (isKnown(capacity)) {
        json["capacity"]["milliCores"] = Json::Int64(capacity.milliCores);
        json["capacity"]["linkKbps"] = Json::Int64(capacity.linkKbps);
    }
    return internal::toJsonText(json);
}

} // namespace savorywick
