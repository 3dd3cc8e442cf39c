#include "jobjson.h"
#include "savorywick/errors.h"
#include "savorywick/internal/jobtable.h"

#include <array>
#include <utility>

namespace savorywick::internal {

namespace {

struct KindName
{
    RecordKind kind;
    std::string_view name;
};

constexpr std::array kindNames{
    KindName{RecordKind::Submit, "submit"},  KindName{RecordKind::Watch, "watch"},
    KindName{RecordKind::Place, "place"},    KindName{RecordKind::End, "end"},
    KindName{RecordKind::Fail, "fail"},      KindName{RecordKind::Evict, "evict"},
    KindName{RecordKind::Free, "free"},      KindName{RecordKind::Cancel, "cancel"},
    KindName{RecordKind::GiveUp, "give-up"}, KindName{RecordKind::Fire, "fire"},
    KindName{RecordKind::Forget, "forget"},  KindName{RecordKind::Mark, "mark"},
};

std::string_view nameOf(RecordKind kind)
{
    for (const KindName &it : kindNames) {
        if (it.kind == kind)
            return it.name;
    }
    return {};
}

RecordKind kindFromName(const std::string &name)
{
    for (const KindName &it : kindNames) {
        if (it.name == name)
            return it.kind;
    }
    throw Error(ErrorKind::InvalidInput,
                "the journal holds a record of unknown kind '" + name + "'",
                "run the version that wrote the journal, or a later one");
}

} // namespace

std::string encode(const JobRecord &record)
{
    Json::Value json;
    json["k"] = std::string(nameOf(record.kind));
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
    return toLine(json);
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
