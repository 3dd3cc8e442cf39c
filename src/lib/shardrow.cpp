#include "savorywick/shardrow.h"

#include "jsontext.h"
#include "savorywick/errors.h"

#include <charconv>
#include <cstdio>

namespace savorywick {

namespace {

constexpr std::string_view shardPrefix = "shard/";

} // namespace

std::string shardKey(int shard)
{
    char buf[24];
    std::snprintf(buf, sizeof buf, "shard/%04d", shard);
    return buf;
}

int parseShardKey(const std::string &key)
{
    if (!key.starts_with(shardPrefix))
        return -1;
    int shard = -1;
    const char *end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + shardPrefix.size(), end, shard);
    return parsed.ec == std::errc() && parsed.ptr == end ? shard : -1;
}

std::string entryKey(const std::string &session)
{
    return "entry/" + session;
}

ShardRow parseShardRow(const Row &row)
{
    if (row.version == 0)
        return {};
    const Json::Value json = internal::parseJsonText(row.value);
    if (!json.isObject())
        throw Error(ErrorKind::InvalidInput, "row '" + row.key + "' holds no JSON object",
                    "restore the row from a backup, or delete it if the shard was never used");
    ShardRow parsed;
    parsed.owner = json["owner"].asString();
    parsed.peer = json["peer"].asString();
    parsed.epoch = json["epoch"].asUInt64();
    parsed.head = json["head"].asUInt64();
    parsed.snapshot = json["snapshot"].asUInt64();
    parsed.first = json.get("first", 1).asUInt64();
    parsed.object = json["object"].asString();
    parsed.leasesEndMs = json["leasesEndMs"].asInt64();
    parsed.commit = json["commit"].asString();
    return parsed;
}

std::string serializeShardRow(const ShardRow &row)
{
    Json::Value json;
    json["owner"] = row.owner;
    json["peer"] = row.peer;
    json["epoch"] = Json::UInt64(row.epoch);
    json["head"] = Json::UInt64(row.head);
    json["snapshot"] = Json::UInt64(row.snapshot);
    json["first"] = Json::UInt64(row.first);
    json["object"] = row.object;
    if (row.leasesEndMs != 0)
        json["leasesEndMs"] = Json::Int64(row.leasesEndMs);
    json["commit"] = row.commit;
    return internal::toJsonText(json);
}

} // namespace savorywick
