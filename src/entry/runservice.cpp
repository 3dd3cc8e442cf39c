#include "entry/runservice.h"

#include "caller/problem.h"
#include "core/hash.h"
#include "store/json.h"

#include <cstdio>

namespace savorywick {

namespace {

constexpr std::size_t longestKey = 200;
constexpr std::size_t shardDigits = 4;
constexpr Millis storeRetryAfter{2'000};
constexpr Millis ownerRetryAfter{1'000};
constexpr int acceptedStatus = 202;
// Set between entries: the id that a run's key stands for.
constexpr std::string_view boundIdHeader = "X-Bound-Run-Id";
// Sets the keys of runs apart from those of urgent requests.
const std::string runScope = "run:";

// An id names its shard, so that every entry knows whom to ask.
std::string idFor(int shard, std::string_view kind, std::string_view service, std::string_view key)
{
    std::string digits = std::to_string(shard);
    digits.insert(0, shardDigits - std::min(shardDigits, digits.size()), '0');
    const std::string text =
        std::string(kind) + "\n" + std::string(service) + "\n" + std::string(key);
    return digits + "-" + digest(text);
}

std::optional<int> shardOfId(std::string_view id, int shards)
{
    if (id.size() <= shardDigits || id[shardDigits] != '-')
        return std::nullopt;
    int shard = 0;
    for (const char it : id.substr(0, shardDigits)) {
        if (it < '0' || it > '9')
            return std::nullopt;
        shard = shard * 10 + (it - '0');
    }
    if (shard >= shards)
        return std::nullopt;
    return shard;
}

HttpResponse unknownId()
{
    return toResponse(Problem{404, "unknown-id", "there is no run or watcher with this id",
                              "use the id that the submission answered"});
}

HttpResponse shardMoving()
{
    return toResponse(
        Problem{503, "shard-moving", "the shard that keeps this id has no owner at the moment",
                "come back after the time in Retry-After", RunStatus::NotRun, ownerRetryAfter});
}

HttpResponse notDurable(ShardRefusal refusal)
{
    if (refusal == ShardRefusal::NotOwner)
        return shardMoving();
    if (refusal == ShardRefusal::StoreDown)
        return toResponse(
            Problem{503, "store-unavailable", "nothing can be kept while the store is down",
                    "come back after the time in Retry-After", RunStatus::NotRun, storeRetryAfter});
    return toResponse(Problem{503, "not-durable-yet",
                              "it is not known yet whether the store has kept this",
                              "ask again with the same Idempotency-Key; it takes effect once",
                              RunStatus::Unknown, storeRetryAfter});
}

std::optional<HttpResponse> checkKey(const std::string &key)
{
    if (key.empty())
        return toResponse(Problem{400, "key-missing", "the header Idempotency-Key is missing",
                                  "send a key that is unique to this submission"});
    if (key.size() > longestKey)
        return toResponse(Problem{400, "key-too-long", "the Idempotency-Key is too long",
                                  "send at most 200 characters"});
    return std::nullopt;
}

HttpResponse unknownClass(const std::string &kind, const std::string &name)
{
    return toResponse(Problem{404, "unknown-class",
                              "the service has no " + kind + " class '" + name + "'",
                              "use a class that the service's document declares"});
}

HttpResponse keyReused()
{
    return toResponse(Problem{422, "key-reused", "this key came with another body before",
                              "use a new key for a new submission"});
}

HttpResponse fitsNoWorker(const std::string &why)
{
    return toResponse(
        Problem{422, "fits-no-worker", why, "declare a smaller demand in the service's document"});
}

HttpResponse badJson()
{
    return toResponse(Problem{400, "malformed-json", "the body is no JSON object",
                              "send one JSON object in UTF-8"});
}

Json::Value viewJson(const JobView &job)
{
    Json::Value value;
    value["id"] = job.id;
    value["service"] = job.service;
    value["state"] = std::string(toString(job.state));
    value["attempts"] = job.attempts;
    value["result"] = job.result;
    std::string why;
    for (const AttemptFailure &it : job.failures)
        why += (why.empty() ? "" : "; ") + it.worker + ": " + it.cause;
    value["why"] = why;
    return value;
}

} // namespace

RunService::RunService(RunServiceSettings settings, DocumentService &documents, ShardHost &shards,
                       const Topology &topology, Forwarder &forwarder, const WorkerPoll &workers)
    : m_settings(settings)
    , m_documents(documents)
    , m_shards(shards)
    , m_topology(topology)
    , m_forwarder(forwarder)
    , m_workers(workers)
{ }

HttpResponse RunService::submitRun(const CallerRequest &request)
{
    const auto document = m_documents.find(request.service);
    const auto &classes = document->document.runs;
    const auto found = classes.find(request.name);
    if (found == classes.end())
        return unknownClass("run", request.name);
    JobSpec spec;
    spec.idempotencyKey = headerValue(request.http.headers, "Idempotency-Key");
    if (auto refusal = checkKey(spec.idempotencyKey))
        return *refusal;
    if (!store::parseJsonText(request.http.body).isObject())
        return badJson();
    spec.service = request.service;
    spec.runClass = request.name;
    spec.team = headerValue(request.http.headers, "X-Team");
    if (spec.team.empty())
        spec.team = document->document.team;
    spec.bodyHash = digest(request.http.body);
    spec.demand = found->second.demand;
    spec.expectedDuration = found->second.expectedDuration;
    spec.priority = found->second.priority;
    spec.checkpointable = found->second.checkpointable;
    spec.payload = request.http.body;

    const std::string_view bound = headerValue(request.http.headers, boundIdHeader);
    if (request.forwarded && !bound.empty()) {
        spec.id = bound;
        return submitTo(request, spec, shardOfId(bound, m_settings.shards).value_or(0));
    }
    const int home = shardOfKey(request.service, spec.idempotencyKey, m_settings.shards);
    if (auto response = bindKey(request, spec, home))
        return *response;
    CallerRequest onward = request;
    onward.forwarded = false; // The shard that runs it may be another entry's again.
    onward.http.headers.push_back({std::string(boundIdHeader), spec.id});
    const int shard = shardOfId(spec.id, m_settings.shards).value_or(0);
    HttpResponse response = submitTo(onward, spec, shard);
    if (response.status == acceptedStatus) {
        const IdempotencyKey key{runScope + spec.service, spec.idempotencyKey};
        m_shards.send(home, CloseClaim{key, ClaimEnd::Finished, {acceptedStatus, spec.id}});
    }
    return response;
}

// Makes durable which id the key stands for, or returns the answer that ends the submission.
std::optional<HttpResponse> RunService::bindKey(const CallerRequest &request, JobSpec &spec,
                                                int home)
{
    const auto summary = m_workers.summary();
    const auto chosen = summary->chooseShard(spec.demand, stableHash(request.requestId));
    if (!chosen && !summary->isEmpty())
        return fitsNoWorker("no live worker is large enough, even when empty");
    spec.id = idFor(chosen.value_or(home), "run", spec.service, spec.idempotencyKey);
    auto slot = std::make_shared<ReplySlot<ClaimReply>>();
    const KeyedRequest claim{runScope + spec.service, spec.idempotencyKey, spec.bodyHash, spec.id};
    if (!m_shards.send(home, OpenClaim{claim, slot}))
        return forward(request, home);
    const auto reply = slot->await(m_settings.replyLimit);
    if (!reply)
        return notDurable(ShardRefusal::Lost);
    if (reply->refusal != ShardRefusal::None)
        return notDurable(reply->refusal);
    if (reply->decision.outcome == IdempotencyOutcome::KeyReused)
        return keyReused();
    if (reply->decision.outcome == IdempotencyOutcome::Full)
        return notDurable(ShardRefusal::StoreDown);
    spec.id = reply->decision.holderRequestId;
    return std::nullopt;
}

HttpResponse RunService::submitTo(const CallerRequest &request, JobSpec spec, int shard)
{
    auto slot = std::make_shared<ReplySlot<SubmitReply>>();
    if (!m_shards.send(shard, SubmitRun{std::move(spec), slot}))
        return forward(request, shard);
    return await(slot);
}

HttpResponse RunService::submitWatcher(const CallerRequest &request)
{
    const auto document = m_documents.find(request.service);
    if (!document->document.watchers.contains(request.name))
        return unknownClass("watcher", request.name);
    WatcherSpec spec;
    spec.idempotencyKey = headerValue(request.http.headers, "Idempotency-Key");
    if (auto refusal = checkKey(spec.idempotencyKey))
        return *refusal;
    const Json::Value body = store::parseJsonText(request.http.body);
    if (!body.isObject())
        return badJson();
    const Json::Value &until = body["until"];
    const bool byRun = until.isObject() && until["run"].isString();
    const bool byTime = until.isObject() && until["afterMs"].isInt64();
    const auto runShard =
        byRun ? shardOfId(until["run"].asString(), m_settings.shards) : std::optional<int>();
    if (byRun == byTime || (byRun && !runShard) || (byTime && until["afterMs"].asInt64() < 0))
        return toResponse(Problem{400, "malformed-until", "the body has no valid 'until'",
                                  R"(send {"until":{"run":ID}} or {"until":{"afterMs":N}})"});
    // A watcher of a run lives in the run's shard, so that one owner sees both.
    const int shard =
        byRun ? *runShard : shardOfKey(request.service, spec.idempotencyKey, m_settings.shards);
    spec.id = idFor(shard, "watcher", request.service, spec.idempotencyKey);
    spec.service = request.service;
    spec.runClass = request.name;
    spec.team = headerValue(request.http.headers, "X-Team");
    spec.bodyHash = digest(request.http.body);
    spec.untilRun = byRun ? until["run"].asString() : std::string();
    spec.delay = byTime ? Millis{until["afterMs"].asInt64()} : Millis{0};
    spec.payload = request.http.body;
    auto slot = std::make_shared<ReplySlot<SubmitReply>>();
    if (!m_shards.send(shard, SubmitWatcher{spec, slot}))
        return forward(request, shard);
    return await(slot);
}

HttpResponse RunService::show(const CallerRequest &request, bool watcher)
{
    const auto shard = shardOfId(request.name, m_settings.shards);
    if (!shard)
        return unknownId();
    auto slot = std::make_shared<ReplySlot<JobReply>>();
    if (!m_shards.send(*shard, QueryJob{request.name, slot}))
        return forward(request, *shard);
    return await(slot, watcher);
}

HttpResponse RunService::cancel(const CallerRequest &request, bool watcher)
{
    const auto shard = shardOfId(request.name, m_settings.shards);
    if (!shard)
        return unknownId();
    auto slot = std::make_shared<ReplySlot<JobReply>>();
    if (!m_shards.send(*shard, CancelJob{request.name, slot}))
        return forward(request, *shard);
    return await(slot, watcher);
}

HttpResponse RunService::forward(const CallerRequest &request, int shard)
{
    const auto owner = m_topology.owner(shard);
    if (request.forwarded || !owner)
        return shardMoving();
    const Forwarder::Result result =
        m_forwarder.send(owner->peer, request, m_settings.replyLimit + ownerRetryAfter);
    if (result.outcome == PeerOutcome::Answered)
        return result.response;
    return result.outcome == PeerOutcome::NotSent ? shardMoving() : notDurable(ShardRefusal::Lost);
}

HttpResponse RunService::await(const ReplySlotPtr<SubmitReply> &slot) const
{
    const auto reply = slot->await(m_settings.replyLimit);
    if (!reply)
        return notDurable(ShardRefusal::Lost);
    if (reply->refusal != ShardRefusal::None)
        return notDurable(reply->refusal);
    const SubmitResult &result = reply->result;
    if (result.outcome == SubmitOutcome::KeyReused || result.outcome == SubmitOutcome::IdReused)
        return keyReused();
    if (result.outcome == SubmitOutcome::FitsNoWorker)
        return fitsNoWorker(result.reason);
    Json::Value body;
    body["id"] = result.id;
    body["state"] = std::string(toString(result.state));
    return {acceptedStatus, {{"X-Run-Status", "run"}}, store::toJsonText(body)};
}

HttpResponse RunService::await(const ReplySlotPtr<JobReply> &slot, bool watcher) const
{
    const auto reply = slot->await(m_settings.replyLimit);
    if (!reply)
        return notDurable(ShardRefusal::Lost);
    if (reply->refusal != ShardRefusal::None)
        return notDurable(reply->refusal);
    if (!reply->job || reply->job->watcher != watcher)
        return unknownId();
    return {200, {}, store::toJsonText(viewJson(*reply->job))};
}

} // namespace savorywick
