#include "worker/workerclient.h"

#include "store/json.h"

namespace savorywick {

using store::parseJsonText;
using store::toJsonText;

namespace {

Json::Value callerJson(const WorkerCaller &caller)
{
    Json::Value body;
    body["shard"] = caller.shard;
    body["epoch"] = Json::UInt64(caller.epoch);
    return body;
}

Json::Value taskJson(const WorkerCaller &caller, const std::string &task, int attempt)
{
    Json::Value body = callerJson(caller);
    body["task"] = task;
    body["attempt"] = attempt;
    return body;
}

HttpAnswer post(HttpClient &client, const WorkerCaller &caller, const std::string &path,
                const Json::Value &body, Millis timeout)
{
    return client.exchange({.address = caller.address,
                            .method = "POST",
                            .path = path,
                            .body = toJsonText(body),
                            .timeout = timeout});
}

WorkerOutcome outcomeOf(const HttpAnswer &answer)
{
    if (answer.outcome == HttpOutcome::NotSent)
        return WorkerOutcome::NotSent;
    if (answer.outcome != HttpOutcome::Answered)
        return WorkerOutcome::Unknown;
    if (answer.status == 200)
        return WorkerOutcome::Done;
    return answer.status == 409 ? WorkerOutcome::Refused : WorkerOutcome::Unknown;
}

WorkerReply replyOf(const HttpAnswer &answer)
{
    const Json::Value body = parseJsonText(answer.body);
    const WorkerOutcome outcome = outcomeOf(answer);
    if (!body.isObject())
        return {outcome, {}, {}};
    return {outcome, body["reason"].asString(), body["checkpoint"].asString()};
}

WorkerTask taskOf(const Json::Value &value)
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

LeaseGrant HttpWorkerClient::lease(const WorkerCaller &caller, const std::string &incarnation,
                                   Millis term)
{
    Json::Value body = callerJson(caller);
    body["incarnation"] = incarnation;
    body["termMs"] = Json::Int64(term.count());
    const HttpAnswer answer = post(m_client, caller, "/lease", body, m_timeout);
    LeaseGrant grant;
    grant.outcome = outcomeOf(answer);
    const Json::Value reply = parseJsonText(answer.body);
    if (!reply.isObject())
        return grant;
    grant.reason = reply["reason"].asString();
    grant.incarnation = reply["incarnation"].asString();
    for (const Json::Value &it : reply["tasks"])
        grant.tasks.push_back(taskOf(it));
    const Json::Value &usage = reply["usage"];
    grant.usage = {usage["cores"].asInt(), usage["memoryMb"].asInt(), usage["accelerators"].asInt(),
                   Millis{usage["urgentP99Ms"].asInt64()}};
    return grant;
}

WorkerReply HttpWorkerClient::start(const WorkerCaller &caller, const StartOrder &order)
{
    Json::Value body = taskJson(caller, order.task, order.attempt);
    body["incarnation"] = order.incarnation;
    body["cores"] = order.cores;
    body["memoryMb"] = order.memoryMb;
    body["accelerators"] = order.accelerators;
    body["durationMs"] = Json::Int64(order.duration.count());
    body["checkpoint"] = order.checkpoint;
    body["payload"] = order.payload;
    return replyOf(post(m_client, caller, "/start", body, m_timeout));
}

WorkerReply HttpWorkerClient::stop(const WorkerCaller &caller, const std::string &task, int attempt)
{
    return replyOf(post(m_client, caller, "/stop", taskJson(caller, task, attempt), m_timeout));
}

WorkerReply HttpWorkerClient::checkpoint(const WorkerCaller &caller, const std::string &task,
                                         int attempt)
{
    const Json::Value body = taskJson(caller, task, attempt);
    return replyOf(post(m_client, caller, "/checkpoint", body, m_timeout));
}

WorkerReply HttpWorkerClient::throttle(const WorkerCaller &caller, const std::string &task,
                                       int attempt, int percent)
{
    Json::Value body = taskJson(caller, task, attempt);
    body["percent"] = percent;
    return replyOf(post(m_client, caller, "/throttle", body, m_timeout));
}

} // namespace savorywick
