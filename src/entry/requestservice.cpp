#include "entry/requestservice.h"

#include "core/hash.h"
#include "core/log.h"

#include <algorithm>
#include <charconv>

namespace savorywick {

namespace {

constexpr std::size_t longestKey = 200;
constexpr Millis storeRetryAfter{2'000};
constexpr Millis ownerRetryAfter{1'000};
constexpr Millis inFlightRetryAfter{250};

std::optional<std::int64_t> wholeNumber(std::string_view text)
{
    std::int64_t n = 0;
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, n);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return n;
}

Problem deadlineProblem(std::string_view given, Millis limit)
{
    const std::string range =
        "a whole number of milliseconds from 1 to " + std::to_string(limit.count());
    if (given.empty())
        return {400, "deadline-missing", "the header X-Deadline-Ms is missing",
                "send X-Deadline-Ms with " + range};
    return {400, "deadline-invalid", "X-Deadline-Ms is '" + std::string(given.substr(0, 40)) + "'",
            "send " + range};
}

Problem refusalProblem(const UrgentReply &reply)
{
    return {503,
            std::string(toString(reply.reason)),
            "the request was refused before it was run",
            "come back after the time in Retry-After",
            RunStatus::NotRun,
            reply.retryAfter};
}

Problem failureProblem(const UrgentReply &reply)
{
    if (reply.run == RunStatus::Run)
        return {502, "upstream-failed", "the upstream ran the request and failed",
                "look at the service's own logs before asking again", RunStatus::Run};
    const bool late = reply.lastOutcome == UpstreamOutcome::TimedOut;
    return {late ? 504 : 502,
            late ? "upstream-timed-out" : "upstream-broken",
            "no whole answer came from the upstream; the request may have run",
            "ask again only with the same Idempotency-Key, or if it may run twice",
            RunStatus::Unknown,
            reply.retryAfter};
}

HttpResponse toResponse(const UrgentReply &reply)
{
    if (reply.verdict == UrgentVerdict::Refused)
        return toResponse(refusalProblem(reply));
    if (reply.verdict != UrgentVerdict::Answered)
        return toResponse(failureProblem(reply));
    return {reply.status, {{"X-Run-Status", "run"}}, reply.body};
}

Problem shardProblem(ShardRefusal refusal)
{
    if (refusal == ShardRefusal::StoreDown)
        return {503,
                "store-unavailable",
                "the request needs a durable claim and the store is down",
                "come back after the time in Retry-After",
                RunStatus::NotRun,
                storeRetryAfter};
    return {503,
            "shard-moving",
            "the shard that keeps this key has no owner at the moment",
            "come back after the time in Retry-After",
            RunStatus::NotRun,
            ownerRetryAfter};
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
        return toResponse(Problem{409, "in-flight", "a request with this key is being run",
                                  "ask again with the same key for its answer", RunStatus::Unknown,
                                  inFlightRetryAfter});
    case IdempotencyOutcome::Unknown:
        return toResponse(Problem{
            409, "outcome-unknown", "a request with this key may have run; it is never sent again",
            "find out from the service whether it took effect", RunStatus::Unknown});
    case IdempotencyOutcome::KeyReused:
        return toResponse(Problem{422, "key-reused", "this key came with another body before",
                                  "use a new key for a new request"});
    case IdempotencyOutcome::Full:
    case IdempotencyOutcome::Granted:
        break;
    }
    return toResponse(Problem{503, "claims-full", "the shard keeps as many claims as it may",
                              "come back after the time in Retry-After", RunStatus::NotRun,
                              storeRetryAfter});
}

} // namespace

struct RequestService::Checked
{
    RequestClass requestClass;
    std::string key;
    UrgentRequest urgent;
};

RequestService::RequestService(RequestServiceSettings settings, const Clock &clock,
                               DocumentService &documents, ShardHost &shards,
                               const Topology &topology, UpstreamClient &upstreams,
                               Forwarder &forwarder, Metrics &metrics)
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
    Checked checked;
    if (auto refusal = check(request, checked))
        return *refusal;
    if (checked.requestClass.repeatable)
        return serveRepeatable(request, checked);
    return serveOnce(request, checked);
}

std::optional<HttpResponse> RequestService::check(const CallerRequest &request,
                                                  Checked &checked) const
{
    const auto document = m_documents.find(request.service);
    const auto &classes = document->document.requests;
    const auto found = classes.find(request.name);
    if (found == classes.end())
        return toResponse(Problem{404, "unknown-class",
                                  "the service has no request class '" + request.name + "'",
                                  "use a class that the service's document declares"});
    checked.requestClass = found->second;
    const Millis limit = std::min(found->second.deadlineLimit, m_settings.longestDeadline);
    const std::string_view given = headerValue(request.http.headers, "X-Deadline-Ms");
    const auto deadline = wholeNumber(given);
    if (!deadline || *deadline < 1 || *deadline > limit.count())
        return toResponse(deadlineProblem(given, limit));
    checked.key = headerValue(request.http.headers, "Idempotency-Key");
    if (checked.key.empty() && !checked.requestClass.repeatable)
        return toResponse(Problem{400, "key-missing",
                                  "this class may not be repeated and has no Idempotency-Key",
                                  "send a key that is unique to this request"});
    if (checked.key.size() > longestKey)
        return toResponse(Problem{400, "key-too-long", "the Idempotency-Key is too long",
                                  "send at most 200 characters"});
    checked.urgent.requestId = request.requestId;
    checked.urgent.team = headerValue(request.http.headers, "X-Team");
    checked.urgent.body = request.http.body;
    checked.urgent.repeatable = checked.requestClass.repeatable;
    checked.urgent.deadline = request.receivedAt + Millis{*deadline};
    return std::nullopt;
}

HttpResponse RequestService::serveRepeatable(const CallerRequest &request, const Checked &checked)
{
    const auto urgent = dispatcher(request.service);
    UrgentReply reply = urgent->serve(checked.urgent, !request.forwarded);
    if (reply.verdict != UrgentVerdict::Forward)
        return toResponse(reply);
    const Topology::Entries entriesNow = m_topology.entries();
    for (const PeerEntry &it : *entriesNow) {
        if (it.session != reply.peer)
            continue;
        const Millis remaining = checked.urgent.deadline - m_clock.now();
        const Forwarder::Result result = m_forwarder.send(it.peers, request, remaining);
        urgent->notePeer(it.session, result.freeSlots);
        m_metrics.counter("forwarded", "urgent").fetch_add(1);
        if (result.outcome == PeerOutcome::Answered)
            return result.response;
    }
    return toResponse(urgent->serve(checked.urgent, false));
}

HttpResponse RequestService::serveOnce(const CallerRequest &request, const Checked &checked)
{
    const int shard = shardOfKey(request.service, checked.key, m_settings.shards);
    auto slot = std::make_shared<ReplySlot<ClaimReply>>();
    const KeyedRequest claim{request.service, checked.key, digest(request.http.body),
                             request.requestId};
    if (!m_shards.send(shard, OpenClaim{claim, slot}))
        return forwardToOwner(request, checked, shard);
    const auto reply = slot->await(checked.urgent.deadline - m_clock.now());
    if (!reply)
        return toResponse(shardProblem(ShardRefusal::StoreDown));
    if (reply->refusal != ShardRefusal::None)
        return toResponse(shardProblem(reply->refusal));
    if (reply->decision.outcome != IdempotencyOutcome::Granted)
        return claimResponse(reply->decision);
    return serveClaimed(request, checked, shard);
}

HttpResponse RequestService::forwardToOwner(const CallerRequest &request, const Checked &checked,
                                            int shard)
{
    const auto owner = m_topology.owner(shard);
    if (request.forwarded || !owner)
        return toResponse(shardProblem(ShardRefusal::NotOwner));
    const Millis remaining = checked.urgent.deadline - m_clock.now();
    const Forwarder::Result result = m_forwarder.send(owner->peer, request, remaining);
    m_metrics.counter("forwarded", "to-owner").fetch_add(1);
    if (result.outcome == PeerOutcome::Answered)
        return result.response;
    if (result.outcome == PeerOutcome::NotSent)
        return toResponse(shardProblem(ShardRefusal::NotOwner));
    return toResponse(Problem{
        504, "owner-silent", "the entry that keeps this key did not answer; it may have run",
        "ask again with the same Idempotency-Key", RunStatus::Unknown, ownerRetryAfter});
}

HttpResponse RequestService::serveClaimed(const CallerRequest &request, const Checked &checked,
                                          int shard)
{
    const IdempotencyKey key{request.service, checked.key};
    // Another owner may have called the claim unknown by now; it is then never sent.
    if (!m_shards.mayAct()) {
        m_shards.send(shard, CloseClaim{key, ClaimEnd::Released, {}});
        return toResponse(shardProblem(ShardRefusal::NotOwner));
    }
    const UrgentReply reply = dispatcher(request.service)->serve(checked.urgent, false);
    HttpResponse response = toResponse(reply);
    CloseClaim close{key, ClaimEnd::Unknown, {}};
    if (reply.run == RunStatus::NotRun)
        close.end = ClaimEnd::Released;
    if (reply.run == RunStatus::Run) {
        close.end = ClaimEnd::Finished;
        close.answer = {response.status, response.body};
    }
    m_shards.send(shard, std::move(close));
    return response;
}

void RequestService::refresh(Instant takenAt)
{
    for (const std::string &it : m_documents.services())
        dispatcher(it)->refresh(takenAt);
}

void RequestService::tick()
{
    std::vector<std::shared_ptr<UrgentDispatcher>> all;
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

bool RequestService::settled()
{
    const std::lock_guard lock(m_mutex);
    return std::all_of(m_dispatchers.begin(), m_dispatchers.end(),
                       [](const auto &it) { return it.second->settled(); });
}

std::shared_ptr<UrgentDispatcher> RequestService::dispatcher(const std::string &service)
{
    const auto document = m_documents.find(service);
    const std::lock_guard lock(m_mutex);
    auto &found = m_dispatchers[service];
    if (!found) {
        UrgentSettings settings = m_settings.urgent;
        settings.service = document ? document->document.upstreamService : service;
        settings.session = m_session;
        settings.shares.entryId = m_session;
        found = std::make_shared<UrgentDispatcher>(settings, m_clock, m_upstreams, m_topology,
                                                   m_metrics);
    }
    return found;
}

} // namespace savorywick
