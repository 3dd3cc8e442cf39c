#include "enumnames.h"
#include "jobjson.h"
#include "jsontext.h"
#include "savorywick/errors.h"
#include "savorywick/internal/jobtable.h"

#include <array>
#include <utility>

namespace savorywick::internal {

namespace {

constexpr auto kindNames = std::to_array<EnumName<RecordKind>>({
    {RecordKind::Submit, "submit"},
    {RecordKind::Watch, "watch"},
    {RecordKind::Place, "place"},
    {RecordKind::End, "end"},
    {RecordKind::Fail, "fail"},
    {RecordKind::Evict, "evict"},
    {RecordKind::Free, "free"},
    {RecordKind::Cancel, "cancel"},
    {RecordKind::GiveUp, "give-up"},
    {RecordKind::Fire, "fire"},
    {RecordKind::Forget, "forget"},
    {RecordKind::Mark, "mark"},
});

RecordKind kindFromName(const std::string &name)
{
    if (const auto kind = fromName(kindNames, name))
        return *kind;
    throw Error(ErrorKind::InvalidInput,
                "the journal holds a record of unknown kind '" + name + "'",
                "run the version that wrote the journal, or a later one");
}

} // namespace

std::string encode(const JobRecord &record)
{
    Json::Value json;
    json["k"] = std::string(nameOf(kindNames, record.kind));
    json["at"] = Json::Int64(record.at.count());
    setTextUnlessEmpty(json, "id", record.id);
    if (record.kind == RecordKind::Submit || record.kind == RecordKind::Watch)
        json["spec"] = toJson(record.spec);
    setTextUnlessEmpty(json, "until", record.untilRun);
    setNumberUnlessZero(json, "after", record.delay.count());
    setNumberUnlessZero(json, "n", record.attempt);
    setTextUnlessEmpty(json, "worker", record.worker);
    setTextUnlessEmpty(json, "inc", record.incarnation);
    setTextUnlessEmpty(json, "ckpt", record.checkpoint);
    setTextUnlessEmpty(json, "text", record.text);
    return toJsonText(json);
}

JobRecord decodeRecord(const std::string &line)
{
    const Json::Value json = parseObject(line);
    JobRecord r;
    r.kind = kindFromName(json["k"].asString());
    r.at = Millis{json["at"].asInt64()};
    r.id = json["id"].asString();
    if (json.isMember("spec"))
        r.spec = jobSpecFromJson(json["spec"]);
    r.untilRun = json["until"].asString();
    r.delay = Millis{json["after"].asInt64()};
    r.attempt = json["n"].asInt();
    r.worker = json["worker"].asString();
    r.incarnation = json["inc"].asString();
    r.checkpoint = json["ckpt"].asString();
    r.text = json["text"].asString();
    return r;
}

} // namespace savorywick::internal
