#include "idempotencycodec.h"

#include "enumnames.h"
#include "jsontext.h"
#include "savorywick/errors.h"

#include <json/json.h>

#include <array>

namespace savorywick {

namespace {

using internal::EnumName;

constexpr auto kindNames = std::to_array<EnumName<IdempotencyRecordKind>>({
    {IdempotencyRecordKind::Open, "open"},
    {IdempotencyRecordKind::Finish, "finish"},
    {IdempotencyRecordKind::Release, "release"},
    {IdempotencyRecordKind::Unknown, "unknown"},
    {IdempotencyRecordKind::Expire, "expire"},
    {IdempotencyRecordKind::Time, "time"},
});

constexpr auto stateNames = std::to_array<EnumName<IdempotencyState>>({
    {IdempotencyState::Open, "open"},
    {IdempotencyState::Finished, "finished"},
    {IdempotencyState::Unknown, "unknown"},
});

// The parts of a UTF-8 sequence of two bytes, which holds the characters 0x80 to 0xff.
constexpr unsigned char firstNonAscii = 0x80; // Also the marker of a continuation byte.
constexpr unsigned leadMarker = 0xc0;
constexpr unsigned leadBits = 0x03;
constexpr unsigned continuationBits = 0x3f;
constexpr unsigned continuationWidth = 6;

[[noreturn]] void fail(std::string_view fault)
{
    throw Error(ErrorKind::InvalidInput, fault,
                "restore the shard's snapshot and journal from a backup written by this version");
}

// Returns a JSON string for arbitrary bytes. JSON strings hold characters, so each byte becomes the
// Unicode character of the same number (as in Latin-1), in UTF-8.
Json::Value bytesToJson(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < firstNonAscii) {
            text += c;
            continue;
        }
        text += static_cast<char>(leadMarker | (byte >> continuationWidth));
        text += static_cast<char>(firstNonAscii | (byte & continuationBits));
    }
    return text;
}

// Undoes bytesToJson().
std::string bytesFromJson(const Json::Value &value)
{
    if (!value.isString())
        fail("a string of a claim is missing");
    const std::string text = value.asString();
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n) {
        const auto lead = static_cast<unsigned char>(text[n]);
        if (lead < firstNonAscii) {
            bytes += text[n];
            continue;
        }
        if (++n == text.size())
            fail("a string of a claim is cut short");
        const auto trail = static_cast<unsigned char>(text[n]);
        bytes += static_cast<char>(((lead & leadBits) << continuationWidth)
                                   | (trail & continuationBits));
    }
    return bytes;
}

Json::Value parseObject(std::string_view text)
{
    Json::Value value = internal::parseJsonText(text);
    if (!value.isObject())
        fail("a claim record is no JSON object");
    return value;
}

Millis timeFromJson(const Json::Value &value, const char *name)
{
    if (!value[name].isInt64())
        fail("the time of a claim is missing");
    return Millis{value[name].asInt64()};
}

StoredResponse responseFromJson(const Json::Value &value)
{
    if (!value["status"].isInt())
        fail("the status of a claim's response is missing");
    return {value["status"].asInt(), bytesFromJson(value["body"])};
}

IdempotencyRecordKind kindFromName(const std::string &name)
{
    if (const auto kind = internal::fromName(kindNames, name))
        return *kind;
    fail("claim record kind '" + name + "' is unknown");
}

IdempotencyState stateFromName(const std::string &name)
{
    if (const auto state = internal::fromName(stateNames, name))
        return *state;
    fail("claim state '" + name + "' is unknown");
}

Json::Value claimToJson(const IdempotencyKey &key, const IdempotencyClaim &claim)
{
    Json::Value value;
    value["service"] = bytesToJson(key.service);
    value["key"] = bytesToJson(key.key);
    value["state"] = std::string(internal::nameOf(stateNames, claim.state));
    value["hash"] = bytesToJson(claim.bodyHash);
    value["request"] = bytesToJson(claim.requestId);
    if (claim.state == IdempotencyState::Open)
        return value;
    value["at"] = Json::Int64{claim.resolvedAt.count()};
    if (claim.state == IdempotencyState::Finished) {
        value["status"] = claim.response.status;
        value["body"] = bytesToJson(claim.response.body);
    }
    return value;
}

IdempotencyClaim claimFromJson(const Json::Value &value)
{
    IdempotencyClaim claim;
    claim.state = stateFromName(value["state"].asString());
    claim.bodyHash = bytesFromJson(value["hash"]);
    claim.requestId = bytesFromJson(value["request"]);
    if (claim.state != IdempotencyState::Open)
        claim.resolvedAt = timeFromJson(value, "at");
    if (claim.state == IdempotencyState::Finished)
        claim.response = responseFromJson(value);
    return claim;
}

IdempotencyRecord recordFromJson(const Json::Value &value)
{
    IdempotencyRecord record;
    record.kind = kindFromName(value["claim"].asString());
    record.time = timeFromJson(value, "at");
    if (record.kind == IdempotencyRecordKind::Time)
        return record;
    record.request.service = bytesFromJson(value["service"]);
    record.request.key = bytesFromJson(value["key"]);
    if (record.kind == IdempotencyRecordKind::Open) {
        record.request.bodyHash = bytesFromJson(value["hash"]);
        record.request.requestId = bytesFromJson(value["request"]);
    }
    if (record.kind == IdempotencyRecordKind::Finish)
        record.response = responseFromJson(value);
    return record;
}

IdempotencySnapshot snapshotFromJson(const Json::Value &value)
{
    IdempotencySnapshot snapshot;
    snapshot.time = timeFromJson(value, "at");
    for (const Json::Value &it : value["claims"])
        snapshot.claims[{bytesFromJson(it["service"]), bytesFromJson(it["key"])}] =
            claimFromJson(it);
    return snapshot;
}

} // namespace

std::string serializeIdempotencyRecord(const IdempotencyRecord &record)
{
    Json::Value value;
    value["claim"] = std::string(internal::nameOf(kindNames, record.kind));
    value["at"] = Json::Int64{record.time.count()};
    if (record.kind == IdempotencyRecordKind::Time)
        return internal::toJsonText(value);
    value["service"] = bytesToJson(record.request.service);
    value["key"] = bytesToJson(record.request.key);
    if (record.kind == IdempotencyRecordKind::Open) {
        value["hash"] = bytesToJson(record.request.bodyHash);
        value["request"] = bytesToJson(record.request.requestId);
    }
    if (record.kind == IdempotencyRecordKind::Finish) {
        value["status"] = record.response.status;
        value["body"] = bytesToJson(record.response.body);
    }
    return internal::toJsonText(value);
}

std::string serializeIdempotencySnapshot(const IdempotencySnapshot &snapshot)
{
    Json::Value value;
    value["at"] = Json::Int64{snapshot.time.count()};
    value["claims"] = Json::Value(Json::arrayValue);
    for (const auto &[key, claim] : snapshot.claims)
        value["claims"].append(claimToJson(key, claim));
    return internal::toJsonText(value);
}

IdempotencyRecord parseIdempotencyRecord(std::string_view text)
{
    try {
        return recordFromJson(parseObject(text));
    } catch (const Json::Exception &e) { // A member has the wrong type.
        fail(e.what());
    }
}

IdempotencySnapshot parseIdempotencySnapshot(std::string_view text)
{
    try {
        return snapshotFromJson(parseObject(text));
    } catch (const Json::Exception &e) {
        fail(e.what());
    }
}

} // namespace savorywick
