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

RecordKind kindOf(const std::string &name)
{
    for (const KindName &it : kindNames) {
        if (it.name == name)
            return it.kind;
    }
    throw Error(ErrorKind::InvalidInput, "journal record of unknown kind '" + name + "'",
                "run the version that wrote it, or a later one");
}

} // namespace

std::string encode(const JobRecord &record)
{
    Json::Value json;
    json["k"] = std::string(nameOf(record.kind));
    json["at"] = Json::Int64(record.at.count());
    setText(json, "id", record.id);
    if (record.kind == RecordKind::Submit || record.kind == RecordKind::Watch)
        json["spec"] = toJson(record.spec);
    setText(json, "until", record.untilRun);
    setNumber(json, "after", record.after.count());
    setNumber(json, "n", record.attempt);
    setText(json, "worker", record.worker);
    setText(json, "inc", record.incarnation);
    setText(json, "ckpt", record.checkpoint);
    setText(json, "text", record.text);
    return toLine(json);
}

JobRecord decodeRecord(const std::string &line)
{
    const Json::Value json = objectFrom(line);
    JobRecord r;
    r.kind = kindOf(json["k"].asString());
    r.at = Millis{json["at"].asInt64()};
    r.id = json["id"].asString();
    if (json.isMember("spec"))
        r.spec = specOf(json["spec"]);
    r.untilRun = json["until"].asString();
    r.after = Millis{json["after"].asInt64()};
    r.attempt = json["n"].asInt();
    r.worker = json["worker"].asString();
    r.incarnation = json["inc"].asString();
    r.checkpoint = json["ckpt"].asString();
    r.text = json["text"].asString();
    return r;
}

} // namespace savorywick::internal
