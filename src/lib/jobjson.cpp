#include "jobjson.h"

#include "jsontext.h"
#include "savorywick/errors.h"

namespace savorywick::internal {

namespace {

Json::Value toJson(const AttemptFailure &failure)
{
    Json::Value json;
    json["worker"] = failure.worker;
    json["cause"] = failure.cause;
    return json;
}

} // namespace

void setTextUnlessEmpty(Json::Value &json, const char *name, const std::string &text)
{
    if (!text.empty())
        json[name] = text;
}

void setNumberUnlessZero(Json::Value &json, const char *name, std::int64_t n)
{
    if (n != 0)
        json[name] = Json::Int64(n);
}

Json::Value parseObject(const std::string &text)
{
    Json::Value json = parseJsonText(text);
    if (!json.isObject())
        throw Error(ErrorKind::InvalidInput,
                    "a journal record or a line of a snapshot is not a JSON object",
                    "restore the shard's rows and objects from a backup");
    return json;
}

Json::Value toJson(const JobSpec &spec)
{
    Json::Value json;
    setTextUnlessEmpty(json, "id", spec.id);
    setTextUnlessEmpty(json, "service", spec.service);
    setTextUnlessEmpty(json, "class", spec.runClass);
    setTextUnlessEmpty(json, "team", spec.team);
    setTextUnlessEmpty(json, "key", spec.idempotencyKey);
    setTextUnlessEmpty(json, "hash", spec.bodyHash);
    setNumberUnlessZero(json, "cores", spec.demand.cores);
    setNumberUnlessZero(json, "memory", spec.demand.memoryMb);
    setNumberUnlessZero(json, "accelerators", spec.demand.accelerators);
    setNumberUnlessZero(json, "expected", spec.expectedDuration.count());
    setNumberUnlessZero(json, "priority", spec.priority);
    setNumberUnlessZero(json, "ckpt", spec.checkpointable ? 1 : 0);
    setTextUnlessEmpty(json, "payload", spec.payload);
    return json;
}

JobSpec jobSpecFromJson(const Json::Value &json)
{
    JobSpec spec;
    spec.id = json["id"].asString();
    spec.service = json["service"].asString();
    spec.runClass = json["class"].asString();
    spec.team = json["team"].asString();
    spec.idempotencyKey = json["key"].asString();
    spec.bodyHash = json["hash"].asString();
    spec.demand.cores = json["cores"].asInt();
    spec.demand.memoryMb = json["memory"].asInt();
    spec.demand.accelerators = json["accelerators"].asInt();
    spec.expectedDuration = Millis{json["expected"].asInt64()};
    spec.priority = json["priority"].asInt();
    spec.checkpointable = json["ckpt"].asInt() != 0;
    spec.payload = json["payload"].asString();
    return spec;
}

Json::Value toJson(const Job &job)
{
    Json::Value json;
    json["spec"] = toJson(job.spec);
    setNumberUnlessZero(json, "watcher", job.isWatcher ? 1 : 0);
    setTextUnlessEmpty(json, "until", job.untilRun);
    setNumberUnlessZero(json, "after", job.delay.count());
    json["state"] = static_cast<int>(job.state);
    setNumberUnlessZero(json, "n", job.attempt);
    setTextUnlessEmpty(json, "worker", job.worker);
    setTextUnlessEmpty(json, "inc", job.incarnation);
    setTextUnlessEmpty(json, "ckpt", job.checkpoint);
    setTextUnlessEmpty(json, "result", job.result);
    for (const AttemptFailure &failure : job.failures)
        json["failures"].append(toJson(failure));
    setNumberUnlessZero(json, "submitted", job.submittedAt.count());
    setNumberUnlessZero(json, "changed", job.stateChangedAt.count());
    return json;
}

Job jobFromJson(const Json::Value &json)
{
    Job job;
    job.spec = jobSpecFromJson(json["spec"]);
    job.isWatcher = json["watcher"].asInt() != 0;
    job.untilRun = json["until"].asString();
    job.delay = Millis{json["after"].asInt64()};
    job.state = static_cast<JobState>(json["state"].asInt());
    job.attempt = json["n"].asInt();
    job.worker = json["worker"].asString();
    job.incarnation = json["inc"].asString();
    job.checkpoint = json["ckpt"].asString();
    job.result = json["result"].asString();
    for (const Json::Value &it : json["failures"])
        job.failures.push_back({it["worker"].asString(), it["cause"].asString()});
    job.submittedAt = Millis{json["submitted"].asInt64()};
    job.stateChangedAt = Millis{json["changed"].asInt64()};
    return job;
}

} // namespace savorywick::internal
