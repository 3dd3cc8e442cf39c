#include "worker/workerclient.h"

#include "store/json.h"

namespace savorywick {

using store::parseJsonText;
using store::toJsonText;

namespace {

Json::Value contextJson(const WorkerCaller &context)
{
    Json::Value body;
    body["shard"] = context.shard;
    body["epoch"] = Json::UInt64(context.epoch);
    return body;
}

Json::Value taskJson(const WorkerCaller &context, const std::string &taskId, int attempt)
{
    Json::Value body = contextJson(context);
    body["task"] = taskId;
    body["attempt"] = attempt;
    return body;
}

HttpAnswer post(HttpClient &client, const WorkerCaller &context, const std::string &path,
                const Json::Value &body, Millis timeout)
{
    return client.exchange({.address = context.address,
                            .method = "POST",
                            .path = path,
                            .body = toJsonText(body),
                            .timeout = timeout});
}

WorkerOutcome toOutcome(const HttpAnswer &response)
{
    if (response.outcome == HttpOutcome::NotSent)
        return WorkerOutcome::NotSent;
    if (response.outcome != HttpOutcome::Answered)
        return WorkerOutcome::Unknown;
    if (response.status == 200)
        return WorkerOutcome::Done;
    return response.status == 409 ? WorkerOutcome::Refused : WorkerOutcome::Unknown;
}

WorkerReply parseReply(const HttpAnswer &response)
{
    const Json::Value body = parseJsonText(response.body);
    const WorkerOutcome outcome = toOutcome(response);
    if (!body.isObject())
        return {outcome, {}, {}};
    return {outcome, body["reason"].asString(), body["checkpoint"].asString()};
}

WorkerTask parseTask(const Json::Value &value)
{
    WorkerTask task;
    task.task = value["task"].asString();
    task.attempt = value["attempt"].asInt();
    task.state = value["state"].asString();
    task.result = value["result"].asString();
    task.progress = Millis{value["progressMs"].asInt64()};
    task.cores = value["cores"].asInt();
    task.memoryMb = value["memoryMb"].asInt();
    return task;
}

} // namespace

LeaseGrant HttpWorkerClient::lease(const WorkerCaller &context, const std::string &incarnation,
                                   Millis term)
{
    Json::Value body = contextJson(context);
    body["incarnation"] = incarnation;
    body["termMs"] = Json::Int64(term.count());
    const HttpAnswer response = post(m_client, context, "/lease", body, m_timeout);
    LeaseGrant result;
    result.outcome = toOutcome(response);
    const Json::Value reply = parseJsonText(response.body);
    if (!reply.isObject())
        return result;
    result.reason = reply["reason"].asString();
    result.incarnation = reply["incarnation"].asString();
    for (const Json::Value &it : reply["tasks"])
        result.tasks.push_back(parseTask(it));
    const Json::Value &usage = reply["usage"];
    result.usage = {usage["cores"].asInt(), usage["memoryMb"].asInt(),
                    usage["accelerators"].asInt(), Millis{usage["urgentP99Ms"].asInt64()}};
    return result;
}

WorkerReply HttpWorkerClient::start(const WorkerCaller &context, const StartOrder &request)
{
    Json::Value body = taskJson(context, request.task, request.attempt);
    body["incarnation"] = request.incarnation;
    body["cores"] = request.cores;
    body["memoryMb"] = request.memoryMb;
    body["accelerators"] = request.accelerators;
    body["durationMs"] = Json::Int64(request.duration.count());
    body["checkpoint"] = request.checkpoint;
    body["payload"] = request.payload;
    return parseReply(post(m_client, context, "/start", body, m_timeout));
}

WorkerReply HttpWorkerClient::stop(const WorkerCaller &context, const std::string &taskId,
                                   int attempt)
{
    return parseReply(
        post(m_client, context, "/stop", taskJson(context, taskId, attempt), m_timeout));
}

WorkerReply HttpWorkerClient::checkpoint(const WorkerCaller &context, const std::string &taskId,
                                         int attempt)
{
    const Json::Value body = taskJson(context, taskId, attempt);
    return parseReply(post(m_client, context, "/checkpoint", body, m_timeout));
}

WorkerReply HttpWorkerClient::throttle(const WorkerCaller &context, const std::string &taskId,
                                       int attempt, int percent)
{
    Json::Value body = taskJson(context, taskId, attempt);
    body["percent"] = percent;
    return parseReply(post(m_client, context, "/throttle", body, m_timeout));
}

} // namespace savorywick
