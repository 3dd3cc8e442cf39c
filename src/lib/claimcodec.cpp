#include "claimcodec.h"

#include "jsontext.h"
#include "savorywick/errors.h"

#include <json/json.h>

#include <array>

namespace savorywick {

namespace {

struct KindName
{
    ClaimRecordKind kind;
    const char *name;
};

constexpr std::array kindNames{
    KindName{ClaimRecordKind::Open, "open"},       KindName{ClaimRecordKind::Finish, "finish"},
    KindName{ClaimRecordKind::Release, "release"}, KindName{ClaimRecordKind::Unknown, "unknown"},
    KindName{ClaimRecordKind::Expire, "expire"},   KindName{ClaimRecordKind::Time, "time"},
};

struct StateName
{
    ClaimState state;
    const char *name;
};

constexpr std::array stateNames{
    StateName{ClaimState::Open, "open"},
    StateName{ClaimState::Finished, "finished"},
    StateName{ClaimState::Unknown, "unknown"},
};

constexpr unsigned char firstNonAscii = 0x80;
constexpr unsigned lowSixBits = 0x3f;

[[noreturn]] void fail(std::string_view fault)
{
    throw Error(ErrorKind::InvalidInput, fault,
                "restore the shard from its snapshot and journal as this version wrote them");
}

// JSON texts hold characters, not bytes: every byte travels as the character of its number.
Json::Value fromBytes(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < firstNonAscii) {
            text += c;
            continue;
        }
        text += static_cast<char>(0xc0U | (byte >> 6U));
        text += static_cast<char>(firstNonAscii | (byte & lowSixBits));
    }
    return text;
}

std::string toBytes(const Json::Value &value)
{
    if (!value.isString())
        fail("a claim's text is missing");
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
            fail("a claim's text is cut short");
        const auto trail = static_cast<unsigned char>(text[n]);
        bytes += static_cast<char>(((lead & 0x03U) << 6U) | (trail & lowSixBits));
    }
    return bytes;
}

std::string write(const Json::Value &value)
{
    return internal::toText(value);
}

Json::Value parse(std::string_view text)
{
    Json::Value value = internal::fromText(text);
    if (!value.isObject())
        fail("a claim record is no JSON object");
    return value;
}

Millis timeIn(const Json::Value &value, const char *name)
{
    if (!value[name].isInt64())
        fail("a claim's time is missing");
    return Millis{value[name].asInt64()};
}

ClaimAnswer answerIn(const Json::Value &value)
{
    if (!value["status"].isInt())
        fail("a claim's status is missing");
    return {value["status"].asInt(), toBytes(value["body"])};
}

ClaimRecordKind kindNamed(const std::string &name)
{
    for (const KindName &it : kindNames) {
        if (name == it.name)
            return it.kind;
    }
    fail("the claim record's kind '" + name + "' is unknown");
}

ClaimState stateNamed(const std::string &name)
{
    for (const StateName &it : stateNames) {
        if (name == it.name)
            return it.state;
    }
    fail("the claim's state '" + name + "' is unknown");
}

const char *nameOf(ClaimRecordKind kind)
{
    return kindNames[static_cast<std::size_t>(kind)].name;
}

const char *nameOf(ClaimState state)
{
    return stateNames[static_cast<std::size_t>(state)].name;
}

Json::Value claimValue(const ClaimKey &key, const Claim &claim)
{
    Json::Value value;
    value["service"] = fromBytes(key.service);
    value["key"] = fromBytes(key.key);
    value["state"] = nameOf(claim.state);
    value["hash"] = fromBytes(claim.bodyHash);
    value["request"] = fromBytes(claim.requestId);
    if (claim.state == ClaimState::Open)
        return value;
    value["at"] = Json::Int64{claim.resolvedAt.count()};
    if (claim.state == ClaimState::Finished) {
        value["status"] = claim.answer.status;
        value["body"] = fromBytes(claim.answer.body);
    }
    return value;
}

Claim claimIn(const Json::Value &value)
{
    Claim claim;
    claim.state = stateNamed(value["state"].asString());
    claim.bodyHash = toBytes(value["hash"]);
    claim.requestId = toBytes(value["request"]);
    if (claim.state != ClaimState::Open)
        claim.resolvedAt = timeIn(value, "at");
    if (claim.state == ClaimState::Finished)
        claim.answer = answerIn(value);
    return claim;
}

ClaimRecord recordIn(const Json::Value &value)
{
    ClaimRecord record;
    record.kind = kindNamed(value["claim"].asString());
    record.time = timeIn(value, "at");
    if (record.kind == ClaimRecordKind::Time)
        return record;
    record.request.service = toBytes(value["service"]);
    record.request.key = toBytes(value["key"]);
    if (record.kind == ClaimRecordKind::Open) {
        record.request.bodyHash = toBytes(value["hash"]);
        record.request.requestId = toBytes(value["request"]);
    }
    if (record.kind == ClaimRecordKind::Finish)
        record.answer = answerIn(value);
    return record;
}

ClaimSnapshot snapshotIn(const Json::Value &value)
{
    ClaimSnapshot snapshot;
    snapshot.time = timeIn(value, "at");
    for (const Json::Value &it : value["claims"])
        snapshot.claims[{toBytes(it["service"]), toBytes(it["key"])}] = claimIn(it);
    return snapshot;
}

} // namespace

std::string writeClaimRecord(const ClaimRecord &record)
{
    Json::Value value;
    value["claim"] = nameOf(record.kind);
    value["at"] = Json::Int64{record.time.count()};
    if (record.kind == ClaimRecordKind::Time)
        return write(value);
    value["service"] = fromBytes(record.request.service);
    value["key"] = fromBytes(record.request.key);
    if (record.kind == ClaimRecordKind::Open) {
        value["hash"] = fromBytes(record.request.bodyHash);
        value["request"] = fromBytes(record.request.requestId);
    }
    if (record.kind == ClaimRecordKind::Finish) {
        value["status"] = record.answer.status;
        value["body"] = fromBytes(record.answer.body);
    }
    return write(value);
}

std::string writeClaimSnapshot(const ClaimSnapshot &snapshot)
{
    Json::Value value;
    value["at"] = Json::Int64{snapshot.time.count()};
    value["claims"] = Json::Value(Json::arrayValue);
    for (const auto &[key, claim] : snapshot.claims)
        value["claims"].append(claimValue(key, claim));
    return write(value);
}

ClaimRecord parseClaimRecord(std::string_view text)
{
    try {
        return recordIn(parse(text));
    } catch (const Json::Exception &e) { // A member of another type than it should have.
        fail(e.what());
    }
}

ClaimSnapshot parseClaimSnapshot(std::string_view text)
{
    try {
        return snapshotIn(parse(text));
    } catch (const Json::Exception &e) {
        fail(e.what());
    }
}

} // namespace savorywick
