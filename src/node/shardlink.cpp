#include "node/shardlink.h"

#include "core/log.h"
#include "savorywick/errors.h"
#include "savorywick/steps/record.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <sstream>
#include <variant>

namespace savorywick {

namespace {

// The protocol between entries:
//   POST   /shards/N/jobs            SubmitJob; the body is a JobAccepted record
//   POST   /shards/N/delegated-jobs  SubmitJob that its home shard has left to this one; likewise
//   POST   /shards/N/taken-jobs      TakeJob; the body is a JobArrived record and the job's state,
//   a
//                                    record a line
//   GET    /shards/N/jobs/ID         GetJobState
//   DELETE /shards/N/jobs/ID         CancelJob; the queue is in the body, if it is set
//   GET    /shards/N/pending/QUEUE   CountPendingJobs
//   POST   /freed                    notification that shards have become free
// A request that may change state has the header `Answer-Within-Ms`: how many milliseconds its
// caller still waits. A version that does not know it ignores it; without it, the time is unknown.
// The reply to a shard request is three words: the outcome, the job's state and the pending count.
// If the outcome is Delegated, the shard that the job was left to follows; if it is NoCapacity, the
// time after which to retry, in milliseconds. An outcome that the
// requester's version does not know counts as undecided, which is safe for all.
constexpr std::string_view shardsPath = "/shards/";
constexpr std::string_view shardsFreedPath = "/freed";
constexpr const char *answerWithinHeader = "Answer-Within-Ms";
constexpr Millis notificationTimeout{500};

constexpr ShardOutcome allOutcomes[] = {ShardOutcome::Ok,         ShardOutcome::UnknownJob,
                                        ShardOutcome::NotOwner,   ShardOutcome::StoreDown,
                                        ShardOutcome::Overloaded, ShardOutcome::NoCapacity,
                                        ShardOutcome::Delegated,  ShardOutcome::Undecided};
constexpr steps::JobState allStates[] = {steps::JobState::Queued, steps::JobState::Running,
                                         steps::JobState::Completed, steps::JobState::Failed,
                                         steps::JobState::Cancelled};

struct HttpCallBuilder
{
    int shard = 0;

    HttpCall call(std::string method, const std::string &rest, std::string body = {}) const
    {
        HttpCall c;
        c.method = std::move(method);
        c.path = std::string(shardsPath) + std::to_string(shard) + "/" + rest;
        c.body = std::move(body);
        c.contentType = "text/plain";
        return c;
    }
    HttpCall operator()(const SubmitJob &it) const
    {
        const char *path = it.delegated ? "delegated-jobs" : "jobs";
        return call("POST", path, steps::encodeRecord(steps::JobAccepted{it.spec, 0}));
    }
    HttpCall operator()(const GetJobState &it) const { return call("GET", "jobs/" + it.jobId); }
    HttpCall operator()(const CancelJob &it) const
    {
        return call("DELETE", "jobs/" + it.jobId, it.queue);
    }
    HttpCall operator()(const CountPendingJobs &it) const
    {
        return call("GET", "pending/" + it.queue);
    }
    HttpCall operator()(const TakeJob &it) const
    {
        const steps::JobTransfer &transfer = it.transfer;
        std::string body = steps::encodeRecord(steps::JobArrived{transfer.job, transfer.handovers});
        for (const steps::Record &record : transfer.state)
            body += '\n' + steps::encodeRecord(record);
        return call("POST", "taken-jobs", std::move(body));
    }
};

std::string encodeReply(const ShardReply &reply)
{
    std::string text(toString(reply.outcome));
    text += ' ';
    text += steps::toString(reply.state);
    text += ' ' + std::to_string(reply.pendingCount);
    if (reply.outcome == ShardOutcome::Delegated)
        text += ' ' + std::to_string(reply.shard);
    if (reply.outcome == ShardOutcome::NoCapacity)
        text += ' ' + std::to_string(reply.retryAfter.count());
    return text;
}

std::optional<ShardReply> parseReply(const std::string &text)
{
    std::istringstream in(text);
    std::string outcome;
    std::string state;
    ShardReply reply;
    if (!(in >> outcome >> state >> reply.pendingCount))
        return {};
    bool known = false;
    for (const ShardOutcome it : allOutcomes) {
        if (toString(it) != outcome)
            continue;
        reply.outcome = it;
        known = true;
    }
    for (const steps::JobState it : allStates) {
        if (steps::toString(it) == state)
            reply.state = it;
    }
    if (reply.outcome == ShardOutcome::Delegated && !(in >> reply.shard))
        return {};
    std::int64_t retryAfterMs = 0;
    if (reply.outcome == ShardOutcome::NoCapacity && !(in >> retryAfterMs))
        return {};
    reply.retryAfter = Millis{retryAfterMs};
    return known ? std::optional(reply) : std::nullopt;
}

ShardReply toShardReply(const HttpResult &http)
{
    if (http.outcome == HttpOutcome::NotSent)
        return {ShardOutcome::NotOwner, {}, 0};
    if (http.outcome != HttpOutcome::ResponseReceived || http.status != 200)
        return {ShardOutcome::Undecided, {}, 0};
    return parseReply(http.body).value_or(ShardReply{});
}

struct PeerRequest
{
    int shard = 0;
    ShardRequest request;
};

// Throws Error(InvalidInput) if a line is not a record.
std::optional<ShardRequest> parseTakeJob(const std::string &body)
{
    std::istringstream lines(body);
    std::string line;
    std::getline(lines, line);
    const steps::Record first = steps::decodeRecord(line);
    const auto *arrived = std::get_if<steps::JobArrived>(&first);
    if (!arrived)
        return {};
    TakeJob request{{arrived->job, arrived->handovers, {}}};
    while (std::getline(lines, line))
        request.transfer.state.push_back(steps::decodeRecord(line));
    if (const std::string fault = faultOf(request.transfer); !fault.empty()) {
        logWarning("job-transfer-unreadable", {{"requestId", arrived->job}, {"why", fault}});
        return {};
    }
    return request;
}

std::optional<ShardRequest> parseRequest(const HttpRequest &http, std::string_view rest)
{
    constexpr std::string_view jobs = "jobs/";
    constexpr std::string_view pending = "pending/";
    const bool delegated = rest == "delegated-jobs";
    if (http.method == "POST" && (rest == "jobs" || delegated)) {
        const steps::Record record = steps::decodeRecord(http.body);
        if (const auto *accepted = std::get_if<steps::JobAccepted>(&record))
            return SubmitJob{accepted->spec, delegated};
        return {};
    }
    if (http.method == "POST" && rest == "taken-jobs")
        return parseTakeJob(http.body);
    if (http.method == "GET" && rest.starts_with(jobs))
        return GetJobState{std::string(rest.substr(jobs.size()))};
    if (http.method == "DELETE" && rest.starts_with(jobs))
        return CancelJob{std::string(rest.substr(jobs.size())), http.body};
    if (http.method == "GET" && rest.starts_with(pending))
        return CountPendingJobs{std::string(rest.substr(pending.size()))};
    return {};
}

std::optional<PeerRequest> parsePeerRequest(const HttpRequest &http)
{
    std::string_view path = http.path;
    if (!path.starts_with(shardsPath))
        return {};
    path.remove_prefix(shardsPath.size());
    int shard = 0;
    const auto parsed = std::from_chars(path.data(), path.data() + path.size(), shard);
    path.remove_prefix(static_cast<std::size_t>(parsed.ptr - path.data()));
    if (parsed.ec != std::errc() || !path.starts_with('/'))
        return {};
    path.remove_prefix(1);
    auto request = parseRequest(http, path);
    if (!request)
        return {};
    return PeerRequest{shard, std::move(*request)};
}

// Returns how long the caller still waits, or std::nullopt if the request does not say.
std::optional<Millis> parseAnswerWithin(const HttpRequest &http)
{
    const std::string_view text = headerValue(http.headers, answerWithinHeader);
    std::int64_t n = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), n);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isNumber && n >= 0 ? std::optional(Millis{n}) : std::nullopt;
}

} // namespace

void ShardClient::send(const std::string &peer, int shard, const ShardRequest &request,
                       Millis timeout, ShardReplyCallback onReply)
{
    if (!mayContact(peer))
        return onReply({ShardOutcome::NotOwner, {}, 0});
    HttpCall call = std::visit(HttpCallBuilder{shard}, request);
    call.address = peer;
    call.timeout = timeout;
    if (const auto dueAt = answerDueAt(request)) {
        const Millis remaining = std::max(*dueAt - m_clock.now(), Millis{0});
        call.headers.push_back({answerWithinHeader, std::to_string(remaining.count())});
    }
    m_http.exchange(std::move(call),
                    [this, peer, onReply = std::move(onReply)](const HttpResult &response) {
                        recordOutcome(peer, response.outcome);
                        onReply(toShardReply(response));
                    });
}

bool ShardClient::mayContact(const std::string &peer)
{
    const auto it = m_nextAttemptAt.find(peer);
    if (it == m_nextAttemptAt.end())
        return true;
    const Instant now = m_clock.now();
    if (now < it->second)
        return false;
    it->second = now + reconnectInterval;
    return true;
}

void ShardClient::recordOutcome(const std::string &peer, HttpOutcome outcome)
{
    const bool wasUnreachable = m_nextAttemptAt.contains(peer);
    if (outcome == HttpOutcome::ResponseReceived && wasUnreachable) {
        m_nextAttemptAt.erase(peer);
        logInfo("peer-reached", {{"peer", peer}});
    }
    if (outcome != HttpOutcome::NotSent)
        return;
    m_nextAttemptAt[peer] = m_clock.now() + reconnectInterval;
    if (!wasUnreachable)
        logInfo("peer-unreachable", {{"peer", peer}});
}

void ShardClient::notifyShardsFreed(const std::string &peer)
{
    HttpCall call;
    call.address = peer;
    call.method = "POST";
    call.path = shardsFreedPath;
    call.timeout = notificationTimeout;
    m_http.exchange(std::move(call), [](const HttpResult &) {});
}

void ShardServer::handle(const HttpRequest &request,
                         const AsyncHttpServer::Responder &respond) const
{
    if (request.path == shardsFreedPath) {
        m_listeners.shardsFreed();
        return respond({.status = 200, .headers = {}, .body = {}});
    }
    std::optional<PeerRequest> peerRequest;
    try {
        peerRequest = parsePeerRequest(request);
    } catch (const Error &e) {
        logWarning("peer-request-unreadable", {{"why", e.what()}});
    }
    if (!peerRequest)
        return respond({.status = 400, .headers = {}, .body = {}});
    if (const auto within = parseAnswerWithin(request); within && m_listeners.now)
        setAnswerDueAt(peerRequest->request, m_listeners.now() + *within);
    m_listeners.shardRequested(peerRequest->shard, peerRequest->request,
                               [respond](const ShardReply &reply) {
                                   respond({.status = 200,
                                            .headers = {},
                                            .body = encodeReply(reply),
                                            .contentType = "text/plain"});
                               });
}

} // namespace savorywick
