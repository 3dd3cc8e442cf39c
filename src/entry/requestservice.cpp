#include "entry/requestservice.h"

#include "core/hash.h"
#include "core/log.h"

#include <algorithm>
#include <charconv>

namespace savorywick {

namespace {

constexpr std::size_t maxKeyLength = 200;
constexpr Millis storeRetryDelay{2'000};
constexpr Millis ownerRetryDelay{1'000};
constexpr Millis inFlightRetryDelay{250};

// Returns the number that `text` consists of, or nothing if it is not a whole number.
std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t n = 0;
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, n);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return n;
}

Problem deadlineProblem(std::string_view header, Millis limit)
{
    const std::string range =
        "a whole number of milliseconds from 1 to " + std::to_string(limit.count());
    if (header.empty())
        return {400, "deadline-missing", "the header X-Deadline-Ms is missing",
                "send X-Deadline-Ms with " + range};
    return {400, "deadline-invalid", "X-Deadline-Ms is '" + std::string(header.substr(0, 40)) + "'",
            "send " + range};
}

Problem rejectionProblem(const DispatchResult &reply)
{
    return {503,
            std::string(toString(reply.refusalReason)),
            "the request was rejected before it was run",
            "retry after the delay in Retry-After",
            RunStatus::NotRun,
            reply.retryAfter};
}

Problem failureProblem(const DispatchResult &reply)
{
    if (reply.runStatus == RunStatus::Run)
        return {502, "upstream-failed", "the upstream ran the request and failed",
                "check the logs of the service before a retry", RunStatus::Run};
    const bool late = reply.lastOutcome == UpstreamOutcome::TimedOut;
    return {late ? 504 : 502,
            late ? "upstream-timed-out" : "upstream-broken",
            "the upstream sent no complete response; the request may have run",
            "retry only with the same Idempotency-Key, or if the request may run twice",
            RunStatus::Unknown,
            reply.retryAfter};
}

HttpResponse toResponse(const DispatchResult &reply)
{
    if (reply.verdict == DispatchVerdict::Refused)
        return toResponse(rejectionProblem(reply));
    if (reply.verdict != DispatchVerdict::Answered)
        return toResponse(failureProblem(reply));
    return {reply.status, {{"X-Run-Status", "run"}}, reply.body};
}

Problem shardProblem(ShardRefusal refusal)
{
    if (refusal == ShardRefusal::StoreUnavailable)
        return {503,
                "store-unavailable",
                "the request needs a durable claim and the store does not answer",
                "retry after the delay in Retry-After",
                RunStatus::NotRun,
                storeRetryDelay};
    return {503,
            "shard-moving",
            "the shard that stores this key has no owner at the moment",
            "retry after the delay in Retry-After",
            RunStatus::NotRun,
            ownerRetryDelay};
}

// Returns the answer to a claim that was not granted.
HttpResponse claimResponse(const IdempotencyResult &decision)
{
    switch (decision.outcome) {
    case IdempotencyOutcome::Finished:
        return {decision.response.status,
                {{"X-Run-Status", "run"}, {"X-Repeated-Answer", "true"}},
                decision.response.body};
    case IdempotencyOutcome::InFlight:
        return toResponse(Problem{409, "in-flight", "a request with this key is still running",
                                  "retry with the same key to get its answer", RunStatus::Unknown,
                                  inFlightRetryDelay});
    case IdempotencyOutcome::Unknown:
        return toResponse(Problem{
            409, "outcome-unknown", "a request with this key may have run; it is not sent again",
            "check with the service whether the request took effect", RunStatus::Unknown});
    case IdempotencyOutcome::KeyReused:
        return toResponse(Problem{422, "key-reused",
                                  "this key was used before with a different body",
                                  "use a new key for a new request"});
    case IdempotencyOutcome::Full:
    case IdempotencyOutcome::Granted:
        break;
    }
    return toResponse(Problem{503, "claims-full", "the shard has reached its limit of claims",
                              "retry after the delay in Retry-After", RunStatus::NotRun,
                              storeRetryDelay});
}

} // namespace

// A request that conforms to its service's document, with its class, key and deadline.
struct RequestService::ValidatedRequest
{
    RequestClass requestClass;
    std::string key;
    DispatchRequest dispatch;
};

RequestService::RequestService(RequestServiceSettings settings, const Clock &clock,
                               DocumentService &documents, ShardSupervisor &shards,
                               const Topology &topology, UpstreamClient &upstreams,
                               Forwarder &forwarder, MetricsRegistry &metrics)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_documents(documents)
    , m_shards(shards)
    , m_topology(topology)
    , m_upstreams(upstreams)
    , m_forwarder(forwarder)
    , m_metrics(metrics)
{ }

HttpResponse RequestService::serve(const CallerRequest &request)
{
    ValidatedRequest validated;
    if (auto refusal = validate(request, validated))
        return *refusal;
    if (validated.requestClass.repeatable)
        return serveRepeatable(request, validated);
    return serveAtMostOnce(request, validated);
}

std::optional<HttpResponse> RequestService::validate(const CallerRequest &request,
                                                     ValidatedRequest &validated) const
{
    const auto document = m_documents.find(request.service);
    const auto &classes = document->document.requests;
    const auto found = classes.find(request.classOrId);
    if (found == classes.end())
        return toResponse(Problem{404, "unknown-class",
                                  "the service has no request class '" + request.classOrId + "'",
                                  "use a class that the service's document declares"});
    validated.requestClass = found->second;
    const Millis limit = std::min(found->second.deadlineLimit, m_settings.maxDeadline);
    const std::string_view header = headerValue(request.http.headers, "X-Deadline-Ms");
    const auto deadline = parseInteger(header);
    if (!deadline || *deadline < 1 || *deadline > limit.count())
        return toResponse(deadlineProblem(header, limit));
    validated.key = headerValue(request.http.headers, "Idempotency-Key");
    if (validated.key.empty() && !validated.requestClass.repeatable)
        return toResponse(Problem{400, "key-missing",
                                  "this class may not be repeated and has no Idempotency-Key",
                                  "send a key that is unique to this request"});
    if (validated.key.size() > maxKeyLength)
        return toResponse(Problem{400, "key-too-long", "the Idempotency-Key is too long",
                                  "send at most 200 characters"});
    validated.dispatch.requestId = request.requestId;
    validated.dispatch.team = headerValue(request.http.headers, "X-Team");
    validated.dispatch.body = request.http.body;
    validated.dispatch.repeatable = validated.requestClass.repeatable;
    validated.dispatch.deadline = request.receivedAt + Millis{*deadline};
    return std::nullopt;
}

HttpResponse RequestService::serveRepeatable(const CallerRequest &request,
                                             const ValidatedRequest &validated)
{
    const auto dispatcher = dispatcherFor(request.service);
    DispatchResult reply = dispatcher->serve(validated.dispatch, !request.forwarded);
    if (reply.verdict != DispatchVerdict::Forward)
        return toResponse(reply);
    const Topology::Entries entriesNow = m_topology.entries();
    for (const PeerEntry &it : *entriesNow) {
        if (it.session != reply.peerSession)
            continue;
        const Millis remaining = validated.dispatch.deadline - m_clock.now();
        const Forwarder::Result result = m_forwarder.send(it.peerAddress, request, remaining);
        dispatcher->setPeerFreeSlots(it.session, result.freeSlots);
        m_metrics.counter("forwarded", "urgent").fetch_add(1);
        if (result.outcome == PeerOutcome::Answered)
            return result.response;
    }
    return toResponse(dispatcher->serve(validated.dispatch, false));
}

HttpResponse RequestService::serveAtMostOnce(const CallerRequest &request,
                                             const ValidatedRequest &validated)
{
    const int shard = shardOfKey(request.service, validated.key, m_settings.shardCount);
    auto channel = std::make_shared<ReplyChannel<ClaimReply>>();
    const KeyedRequest claim{request.service, validated.key, hexDigest(request.http.body),
                             request.requestId};
    if (!m_shards.send(shard, OpenClaim{claim, channel}))
        return forwardToOwner(request, validated, shard);
    const auto reply = channel->receive(validated.dispatch.deadline - m_clock.now());
    if (!reply)
        return toResponse(shardProblem(ShardRefusal::StoreUnavailable));
    if (reply->refusal != ShardRefusal::None)
        return toResponse(shardProblem(reply->refusal));
    if (reply->decision.outcome != IdempotencyOutcome::Granted)
        return claimResponse(reply->decision);
    return serveClaimed(request, validated, shard);
}

HttpResponse RequestService::forwardToOwner(const CallerRequest &request,
                                            const ValidatedRequest &validated, int shard)
{
    const auto owner = m_topology.owner(shard);
    if (request.forwarded || !owner)
        return toResponse(shardProblem(ShardRefusal::NotOwner));
    const Millis remaining = validated.dispatch.deadline - m_clock.now();
    const Forwarder::Result result = m_forwarder.send(owner->peerAddress, request, remaining);
    m_metrics.counter("forwarded", "to-owner").fetch_add(1);
    if (result.outcome == PeerOutcome::Answered)
        return result.response;
    if (result.outcome == PeerOutcome::NotSent)
        return toResponse(shardProblem(ShardRefusal::NotOwner));
    return toResponse(
        Problem{504, "owner-silent",
                "the entry that owns this key did not answer; the request may have run",
                "retry with the same Idempotency-Key", RunStatus::Unknown, ownerRetryDelay});
}

HttpResponse RequestService::serveClaimed(const CallerRequest &request,
                                          const ValidatedRequest &validated, int shard)
{
    const IdempotencyKey key{request.service, validated.key};
    // After this entry's lease is over, a new owner of the shard may already have answered that the
    // outcome is unknown, so the request must not be sent.
    if (!m_shards.hasValidLease()) {
        m_shards.send(shard, CloseClaim{key, ClaimOutcome::Released, {}});
        return toResponse(shardProblem(ShardRefusal::NotOwner));
    }
    const DispatchResult reply = dispatcherFor(request.service)->serve(validated.dispatch, false);
    HttpResponse response = toResponse(reply);
    CloseClaim close{key, ClaimOutcome::Unknown, {}};
    if (reply.runStatus == RunStatus::NotRun)
        close.outcome = ClaimOutcome::Released;
    if (reply.runStatus == RunStatus::Run) {
        close.outcome = ClaimOutcome::Finished;
        close.answer = {response.status, response.body};
    }
    m_shards.send(shard, std::move(close));
    return response;
}

void RequestService::refresh(Instant takenAt)
{
    for (const std::string &it : m_documents.services())
        dispatcherFor(it)->refresh(takenAt);
}

void RequestService::tick()
{
    std::vector<std::shared_ptr<RequestDispatcher>> all;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &it : m_dispatchers)
            all.push_back(it.second);
    }
    for (const auto &it : all)
        it->tick();
}

void RequestService::setSession(const std::string &session)
{
    const std::lock_guard lock(m_mutex);
    m_session = session;
    for (const auto &it : m_dispatchers)
        it.second->setSession(session);
}

int RequestService::freeSlots()
{
    const std::lock_guard lock(m_mutex);
    int n = 0;
    for (const auto &it : m_dispatchers)
        n += it.second->freeSlots();
    return n;
}

bool RequestService::slotsReady()
{
    const std::lock_guard lock(m_mutex);
    return std::all_of(m_dispatchers.begin(), m_dispatchers.end(),
                       [](const auto &it) { return it.second->slotsReady(); });
}

std::shared_ptr<RequestDispatcher> RequestService::dispatcherFor(const std::string &service)
{
    const auto document = m_documents.find(service);
    const std::lock_guard lock(m_mutex);
    auto &found = m_dispatchers[service];
    if (!found) {
        RequestDispatcherSettings settings = m_settings.dispatcher;
        settings.upstreamService = document ? document->document.upstreamService : service;
        settings.session = m_session;
        settings.shares.entryId = m_session;
        found = std::make_shared<RequestDispatcher>(settings, m_clock, m_upstreams, m_topology,
                                                    m_metrics);
    }
    return found;
}

} // namespace savorywick
