#include "entry/runservice.h"

#include "caller/problem.h"
#include "core/hash.h"
#include "store/json.h"

#include <cstdio>

namespace savorywick {

namespace {

constexpr std::size_t maxKeyBytes = 200;
constexpr std::size_t shardIdDigits = 4;
constexpr Millis storeRetryAfter{2'000};
constexpr Millis ownerRetryAfter{1'000};
constexpr int acceptedStatus = 202;
// Sent from entry to entry: the id that the run's idempotency key is bound to.
constexpr std::string_view boundIdHeader = "X-Bound-Run-Id";
// Keeps the idempotency keys of runs apart from those of urgent requests.
const std::string runClaimPrefix = "run:";

// The id starts with the shard number, so that every entry can find the owner from the id alone.
std::string makeJobId(int shard, std::string_view kind, std::string_view service,
                      std::string_view key)
{
    std::string digits = std::to_string(shard);
    digits.insert(0, shardIdDigits - std::min(shardIdDigits, digits.size()), '0');
    const std::string text =
        std::string(kind) + "\n" + std::string(service) + "\n" + std::string(key);
    return digits + "-" + hexDigest(text);
}

std::optional<int> shardOfJobId(std::string_view id, int shards)
{
    if (id.size() <= shardIdDigits || id[shardIdDigits] != '-')
        return std::nullopt;
    int shard = 0;
    for (const char it : id.substr(0, shardIdDigits)) {
        if (it < '0' || it > '9')
            return std::nullopt;
        shard = shard * 10 + (it - '0');
    }
    if (shard >= shards)
        return std::nullopt;
    return shard;
}

HttpResponse unknownIdResponse()
{
    return toResponse(Problem{404, "unknown-id", "there is no run or watcher with this id",
                              "use the id that the submission returned"});
}

HttpResponse shardMovingResponse()
{
    return toResponse(
        Problem{503, "shard-moving", "the shard of this id has no reachable owner at the moment",
                "retry after the time in Retry-After", RunStatus::NotRun, ownerRetryAfter});
}

HttpResponse refusalResponse(ShardRefusal refusal)
{
    if (refusal == ShardRefusal::NotOwner)
        return shardMovingResponse();
    if (refusal == ShardRefusal::StoreUnavailable)
        return toResponse(Problem{
            503, "store-unavailable", "the request cannot be stored while the store is unavailable",
            "retry after the time in Retry-After", RunStatus::NotRun, storeRetryAfter});
    return toResponse(Problem{503, "not-durable-yet",
                              "it is not known yet whether the request was stored",
                              "retry with the same Idempotency-Key; it takes effect only once",
                              RunStatus::Unknown, storeRetryAfter});
}

std::optional<HttpResponse> validateKey(const std::string &key)
{
    if (key.empty())
        return toResponse(Problem{400, "key-missing", "the header Idempotency-Key is missing",
                                  "send a key that is unique to this submission"});
    if (key.size() > maxKeyBytes)
        return toResponse(Problem{400, "key-too-long", "the Idempotency-Key is too long",
                                  "send at most 200 characters"});
    return std::nullopt;
}

HttpResponse unknownClassResponse(const std::string &kind, const std::string &name)
{
    return toResponse(Problem{404, "unknown-class",
                              "the service has no " + kind + " class '" + name + "'",
                              "use a class that the service document declares"});
}

HttpResponse keyReusedResponse()
{
    return toResponse(Problem{422, "key-reused",
                              "this Idempotency-Key was used with another body before",
                              "use a new key for a new submission"});
}

HttpResponse fitsNoWorkerResponse(const std::string &why)
{
    return toResponse(
        Problem{422, "fits-no-worker", why, "declare a smaller demand in the service document"});
}

HttpResponse malformedJsonResponse()
{
    return toResponse(Problem{400, "malformed-json", "the body is not a JSON object",
                              "send one JSON object in UTF-8"});
}

HttpResponse malformedUntilResponse()
{
    return toResponse(Problem{400, "malformed-until", "the body has no valid 'until'",
                              R"(send {"until":{"run":ID}} or {"until":{"afterMs":N}})"});
}

std::string idempotencyKeyOf(const CallerRequest &request)
{
    return std::string(headerValue(request.http.headers, "Idempotency-Key"));
}

// Returns the specification of a run without its id. The run belongs to `documentTeam` unless the
// request names a team.
JobSpec makeRunSpec(const CallerRequest &request, const BatchClass &runClass,
                    const std::string &documentTeam)
{
    JobSpec spec;
    spec.service = request.service;
    spec.runClass = request.classOrId;
    spec.team = headerValue(request.http.headers, "X-Team");
    if (spec.team.empty())
        spec.team = documentTeam;
    spec.idempotencyKey = idempotencyKeyOf(request);
    spec.bodyHash = hexDigest(request.http.body);
    spec.demand = runClass.demand;
    spec.expectedDuration = runClass.expectedDuration;
    spec.priority = runClass.priority;
    spec.checkpointable = runClass.checkpointable;
    spec.payload = request.http.body;
    return spec;
}

// What a watcher waits for: the end of a run or a delay.
struct WatcherCondition
{
    std::string run; // Empty if the watcher waits for a delay.
    Millis delay{0};
    // The run's shard, which stores the watcher too, so that the same owner sees both.
    std::optional<int> shard;
};

// Returns the condition in the member 'until', or nothing if it does not name exactly one of a
// valid run id and a delay of at least 0.
std::optional<WatcherCondition> parseCondition(const Json::Value &until, int shardCount)
{
    const bool byRun = until.isObject() && until["run"].isString();
    const bool byDelay = until.isObject() && until["afterMs"].isInt64();
    if (byRun == byDelay)
        return std::nullopt;
    WatcherCondition condition;
    if (byDelay) {
        condition.delay = Millis{until["afterMs"].asInt64()};
        return condition.delay >= Millis{0} ? std::optional(condition) : std::nullopt;
    }
    condition.run = until["run"].asString();
    condition.shard = shardOfJobId(condition.run, shardCount);
    return condition.shard ? std::optional(condition) : std::nullopt;
}

// Returns the specification of a watcher without its id.
WatcherSpec makeWatcherSpec(const CallerRequest &request, const WatcherCondition &condition)
{
    WatcherSpec spec;
    spec.service = request.service;
    spec.runClass = request.classOrId;
    spec.team = headerValue(request.http.headers, "X-Team");
    spec.idempotencyKey = idempotencyKeyOf(request);
    spec.bodyHash = hexDigest(request.http.body);
    spec.untilRun = condition.run;
    spec.delay = condition.delay;
    spec.payload = request.http.body;
    return spec;
}

Json::Value toJson(const JobView &job)
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

RunService::RunService(RunServiceSettings settings, DocumentService &documents,
                       ShardSupervisor &supervisor, const Topology &topology, Forwarder &forwarder,
                       const WorkerPoller &workers)
    : m_settings(settings)
    , m_documents(documents)
    , m_shardSupervisor(supervisor)
    , m_topology(topology)
    , m_forwarder(forwarder)
    , m_workerPoller(workers)
{ }

HttpResponse RunService::submitRun(const CallerRequest &request)
{
    const auto document = m_documents.find(request.service);
    const auto &classes = document->document.runs;
    const auto found = classes.find(request.classOrId);
    if (found == classes.end())
        return unknownClassResponse("run", request.classOrId);
    if (auto refusal = validateKey(idempotencyKeyOf(request)))
        return *refusal;
    if (!store::parseJsonText(request.http.body).isObject())
        return malformedJsonResponse();
    JobSpec spec = makeRunSpec(request, found->second, document->document.team);
    const std::string_view bound = headerValue(request.http.headers, boundIdHeader);
    if (request.forwarded && !bound.empty()) {
        spec.id = bound;
        return submitToShard<SubmitRun>(request, spec,
                                        shardOfJobId(bound, m_settings.shardCount).value_or(0));
    }
    const int keyShard = shardOfKey(request.service, spec.idempotencyKey, m_settings.shardCount);
    if (auto response = bindKey(request, spec, keyShard))
        return *response;
    CallerRequest runRequest = request;
    // The shard that executes the run may be owned by a third entry, so allow another forward.
    runRequest.forwarded = false;
    runRequest.http.headers.push_back({std::string(boundIdHeader), spec.id});
    const int shard = shardOfJobId(spec.id, m_settings.shardCount).value_or(0);
    HttpResponse response = submitToShard<SubmitRun>(runRequest, spec, shard);
    if (response.status == acceptedStatus) {
        const IdempotencyKey key{runClaimPrefix + spec.service, spec.idempotencyKey};
        m_shardSupervisor.send(keyShard,
                               CloseClaim{key, ClaimOutcome::Finished, {acceptedStatus, spec.id}});
    }
    return response;
}

// Makes the binding of the key to an id durable and sets spec.id, or returns the final response.
std::optional<HttpResponse> RunService::bindKey(const CallerRequest &request, JobSpec &spec,
                                                int keyShard)
{
    const auto summary = m_workerPoller.summary();
    const auto chosen = summary->chooseShard(spec.demand, stableHash(request.requestId));
    if (!chosen && !summary->isEmpty())
        return fitsNoWorkerResponse("no live worker is large enough, even when idle");
    spec.id = makeJobId(chosen.value_or(keyShard), "run", spec.service, spec.idempotencyKey);
    auto channel = std::make_shared<ReplyChannel<ClaimReply>>();
    const KeyedRequest claim{runClaimPrefix + spec.service, spec.idempotencyKey, spec.bodyHash,
                             spec.id};
    if (!m_shardSupervisor.send(keyShard, OpenClaim{claim, channel}))
        return forwardToOwner(request, keyShard);
    const auto reply = channel->receive(m_settings.replyTimeout);
    if (!reply)
        return refusalResponse(ShardRefusal::OwnershipLost);
    if (reply->refusal != ShardRefusal::None)
        return refusalResponse(reply->refusal);
    if (reply->decision.outcome == IdempotencyOutcome::KeyReused)
        return keyReusedResponse();
    if (reply->decision.outcome == IdempotencyOutcome::Full)
        return refusalResponse(ShardRefusal::StoreUnavailable);
    spec.id = reply->decision.holderRequestId;
    return std::nullopt;
}

template<typename Message, typename Spec>
HttpResponse RunService::submitToShard(const CallerRequest &request, Spec spec, int shard)
{
    auto channel = std::make_shared<ReplyChannel<SubmitReply>>();
    if (!m_shardSupervisor.send(shard, Message{std::move(spec), channel}))
        return forwardToOwner(request, shard);
    return awaitResponse(channel);
}

HttpResponse RunService::submitWatcher(const CallerRequest &request)
{
    const auto document = m_documents.find(request.service);
    if (!document->document.watchers.contains(request.classOrId))
        return unknownClassResponse("watcher", request.classOrId);
    const std::string key = idempotencyKeyOf(request);
    if (auto refusal = validateKey(key))
        return *refusal;
    const Json::Value body = store::parseJsonText(request.http.body);
    if (!body.isObject())
        return malformedJsonResponse();
    const auto condition = parseCondition(body["until"], m_settings.shardCount);
    if (!condition)
        return malformedUntilResponse();
    const int shard =
        condition->shard.value_or(shardOfKey(request.service, key, m_settings.shardCount));
    WatcherSpec spec = makeWatcherSpec(request, *condition);
    spec.id = makeJobId(shard, "watcher", request.service, key);
    return submitToShard<SubmitWatcher>(request, std::move(spec), shard);
}

HttpResponse RunService::show(const CallerRequest &request, bool watcher)
{
    return sendToJob<QueryJob>(request, watcher);
}

HttpResponse RunService::cancel(const CallerRequest &request, bool watcher)
{
    return sendToJob<CancelJob>(request, watcher);
}

template<typename Message>
HttpResponse RunService::sendToJob(const CallerRequest &request, bool watcher)
{
    const auto shard = shardOfJobId(request.classOrId, m_settings.shardCount);
    if (!shard)
        return unknownIdResponse();
    auto channel = std::make_shared<ReplyChannel<JobReply>>();
    if (!m_shardSupervisor.send(*shard, Message{request.classOrId, channel}))
        return forwardToOwner(request, *shard);
    return awaitResponse(channel, watcher);
}

HttpResponse RunService::forwardToOwner(const CallerRequest &request, int shard)
{
    const auto owner = m_topology.owner(shard);
    if (request.forwarded || !owner)
        return shardMovingResponse();
    const Forwarder::Result result =
        m_forwarder.send(owner->peerAddress, request, m_settings.replyTimeout + ownerRetryAfter);
    if (result.outcome == PeerOutcome::Answered)
        return result.response;
    return result.outcome == PeerOutcome::NotSent ? shardMovingResponse()
                                                  : refusalResponse(ShardRefusal::OwnershipLost);
}

HttpResponse RunService::awaitResponse(const ReplyChannelPtr<SubmitReply> &channel) const
{
    const auto reply = channel->receive(m_settings.replyTimeout);
    if (!reply)
        return refusalResponse(ShardRefusal::OwnershipLost);
    if (reply->refusal != ShardRefusal::None)
        return refusalResponse(reply->refusal);
    const SubmitResult &result = reply->result;
    if (result.outcome == SubmitOutcome::KeyReused || result.outcome == SubmitOutcome::IdReused)
        return keyReusedResponse();
    if (result.outcome == SubmitOutcome::FitsNoWorker)
        return fitsNoWorkerResponse(result.reason);
    Json::Value body;
    body["id"] = result.id;
    body["state"] = std::string(toString(result.state));
    return {acceptedStatus, {{"X-Run-Status", "run"}}, store::toJsonText(body)};
}

HttpResponse RunService::awaitResponse(const ReplyChannelPtr<JobReply> &channel, bool watcher) const
{
    const auto reply = channel->receive(m_settings.replyTimeout);
    if (!reply)
        return refusalResponse(ShardRefusal::OwnershipLost);
    if (reply->refusal != ShardRefusal::None)
        return refusalResponse(reply->refusal);
    if (!reply->job || reply->job->watcher != watcher)
        return unknownIdResponse();
    return {200, {}, store::toJsonText(toJson(*reply->job))};
}

} // namespace savorywick
