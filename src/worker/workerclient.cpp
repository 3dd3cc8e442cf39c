#include "worker/workerclient.h"

#include "store/json.h"

namespace savorywick {

using store::parseJsonText;
using store::toJsonText;

namespace {

Json::Value contextJson(const WorkerCallContext &context)
{
    Json::Value body;
    body["shard"] = context.shard;
    body["epoch"] = Json::UInt64(context.epoch);
    return body;
}

Json::Value taskJson(const WorkerCallContext &context, const std::string &taskId, int attempt)
{
    Json::Value body = contextJson(context);
    body["task"] = taskId;
    body["attempt"] = attempt;
    return body;
}

HttpResult post(HttpClient &client, const WorkerCallContext &context, const std::string &path,
                const Json::Value &body, Millis timeout)
{
    return client.exchange({.address = context.address,
                            .method = "POST",
                            .path = path,
                            .body = toJsonText(body),
                            .timeout = timeout});
}

WorkerCallOutcome toOutcome(const HttpResult &response)
{
    if (response.outcome == HttpOutcome::NotSent)
        return WorkerCallOutcome::NotSent;
    if (response.outcome != HttpOutcome::ResponseReceived)
        return WorkerCallOutcome::Unknown;
    if (response.status == 200)
        return WorkerCallOutcome::Done;
    return response.status == 409 ? WorkerCallOutcome::Refused : WorkerCallOutcome::Unknown;
}

WorkerReply parseReply(const HttpResult &response)
{
    const Json::Value body = parseJsonText(response.body);
    const WorkerCallOutcome outcome = toOutcome(response);
    if (!body.isObject())
        return {outcome, {}, {}};
    return {outcome, body["reason"].asString(), body["checkpoint"].asString()};
}

WorkerTaskStatus parseTask(const Json::Value &value)
{
    WorkerTaskStatus task;
    task.taskId = value["task"].asString();
    task.attempt = value["attempt"].asInt();
    task.state = value["state"].asString();
    task.result = value["result"].asString();
    task.progress = Millis{value["progressMs"].asInt64()};
    task.cores = value["cores"].asInt();
    task.memoryMb = value["memoryMb"].asInt();
    return task;
}

} // namespace

WorkerLeaseReply HttpWorkerClient::renewLease(const WorkerCallContext &context,
                                              const std::string &incarnation, Millis term)
{
    Json::Value body = contextJson(context);
    body["incarnation"] = incarnation;
    body["termMs"] = Json::Int64(term.count());
    const HttpResult response = post(m_client, context, "/lease", body, m_timeout);
    WorkerLeaseReply result;
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

WorkerReply HttpWorkerClient::start(const WorkerCallContext &context,
                                    const StartTaskRequest &request)
{
    Json::Value body = taskJson(context, request.taskId, request.attempt);
    body["incarnation"] = request.incarnation;
    body["cores"] = request.cores;
    body["memoryMb"] = request.memoryMb;
    body["accelerators"] = request.accelerators;
    body["durationMs"] = Json::Int64(request.expectedDuration.count());
    body["checkpoint"] = request.checkpoint;
    body["payload"] = request.payload;
    return parseReply(post(m_client, context, "/start", body, m_timeout));
}

WorkerReply HttpWorkerClient::stop(const WorkerCallContext &context, const std::string &taskId,
                                   int attempt)
{
    return parseReply(
        post(m_client, context, "/stop", taskJson(context, taskId, attempt), m_timeout));
}

WorkerReply HttpWorkerClient::checkpoint(const WorkerCallContext &context,
                                         const std::string &taskId, int attempt)
{
    const Json::Value body = taskJson(context, taskId, attempt);
    return parseReply(post(m_client, context, "/checkpoint", body, m_timeout));
}

WorkerReply HttpWorkerClient::throttle(const WorkerCallContext &context, const std::string &taskId,
                                       int attempt, int percent)
{
    Json::Value body = taskJson(context, taskId, attempt);
    body["percent"] = percent;
    return parseReply(post(m_client, context, "/throttle", body, m_timeout));
}

} // namespace savorywick
