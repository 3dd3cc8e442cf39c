#include "node/callerapi.h"

#include "core/log.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace savorywick {

// A caller's request that has no response yet.
struct CallerApi::PendingRequest
{
    std::string key;
    ShardRequest request;
    AsyncHttpServer::Responder respond;
    Instant receivedAt;
    Instant deadline; // The response must be sent by then, even if the outcome is unknown.
    bool maybeApplied = false; // The outcome of an attempt will never be known.
    int attempt = 0; // The number of the last attempt.
    std::set<int> openAttempts; // Those without a reply, which may still take effect.
    ShardOutcome lastOutcome = ShardOutcome::NotOwner; // Of the last attempt with a reply.
    EventLoop::TimerId deadlineTimer = 0;
    EventLoop::TimerId silenceTimer = 0; // Ends the wait before another attempt.

    bool mayTakeEffect() const { return maybeApplied || !openAttempts.empty(); }
};

CallerApi::CallerApi(const CallerApiSettings &settings, Dependencies dependencies)
    : m_settings(settings)
    , m_dependencies(std::move(dependencies))
{ }

// Without a time of the owner's, the one of the settings applies.
HttpResponse CallerApi::serviceUnavailable(Millis retryAfter) const
{
    constexpr std::int64_t msPerSecond = 1'000;
    const std::int64_t seconds =
        std::max<std::int64_t>(retryAfter.count() / msPerSecond, m_settings.retryAfterSeconds);
    return {.status = 503, .headers = {{"Retry-After", std::to_string(seconds)}}, .body = {}};
}

void CallerApi::countAnswer(int status)
{
    if (status == 503)
        ++m_answerCounts.refused;
    else if (status == 504)
        ++m_answerCounts.undecided;
    else
        ++m_answerCounts.conclusive;
}

void CallerApi::handle(const HttpRequest &request, const AsyncHttpServer::Responder &sendResponse)
{
    const auto respond = [this, sendResponse](HttpResponse response) {
        countAnswer(response.status);
        sendResponse(std::move(response));
    };
    if (!m_dependencies.queues.hasConfiguration())
        return respond(serviceUnavailable());
    const steps::QueueMatch match =
        m_dependencies.queues.find(headerValue(request.headers, "Host"), request.path);
    if (!match.queue)
        return respond({.status = 404, .headers = {}, .body = {}});
    HttpResponse errorResponse{.status = 404, .headers = {}, .body = {}};
    std::string key;
    auto shardRequest = parseRequest(request, match, errorResponse, key);
    if (!shardRequest)
        return respond(errorResponse);
    const Instant now = m_dependencies.clock.now();
    const Millis callerTimeout = m_dependencies.codec.callerTimeout(request.headers)
                                     .value_or(m_settings.defaultCallerTimeout);
    Instant deadline = now + std::max(callerTimeout - m_settings.responseMargin, callerTimeout / 2);
    if (m_latestDeadline && *m_latestDeadline < deadline) {
        deadline = *m_latestDeadline;
        if (deadline - now < m_settings.minTimeToServe)
            return respond(serviceUnavailable());
    }
    const auto pending = std::make_shared<PendingRequest>(
        PendingRequest{std::move(key), std::move(*shardRequest), respond, now, deadline});
    m_pending.insert(pending);
    armDeadline(pending);
    sendToOwner(pending);
}

void CallerApi::limitDeadlines(Instant latest)
{
    m_latestDeadline = latest;
    for (const auto &it : m_pending) {
        if (it->deadline <= latest)
            continue;
        it->deadline = latest;
        armDeadline(it);
    }
}

std::optional<ShardRequest> CallerApi::parseRequest(const HttpRequest &request,
                                                    const steps::QueueMatch &match,
                                                    HttpResponse &errorResponse,
                                                    std::string &key) const
{
    const steps::QueuePolicy &policy = match.queue->policy;
    if (match.pathSuffix.empty() && request.method == "GET") {
        key = policy.queue;
        return CountPendingJobs{policy.queue};
    }
    if (!m_dependencies.codec.isJobId(match.pathSuffix))
        return {};
    key = std::string(match.pathSuffix);
    if (request.method == "GET")
        return GetJobState{key};
    if (request.method == "DELETE")
        return CancelJob{key, policy.queue};
    if (request.method != "POST") {
        errorResponse.status = 405;
        return {};
    }
    std::string error;
    auto spec = m_dependencies.codec.decodeJob(request.body, key, policy, error);
    if (spec)
        return SubmitJob{std::move(*spec)};
    logInfo("job-unreadable", {{"requestId", key}, {"why", error}});
    errorResponse.status = 400;
    errorResponse.body = error + "\n";
    errorResponse.contentType = "text/plain";
    return {};
}

void CallerApi::sendToOwner(const std::shared_ptr<PendingRequest> &pending)
{
    if (!m_pending.contains(pending))
        return;
    const Millis remaining = pending->deadline - m_dependencies.clock.now();
    const int attempt = ++pending->attempt;
    pending->openAttempts.insert(attempt);
    setAnswerDueAt(pending->request, pending->deadline);
    pending->silenceTimer = m_dependencies.loop.runAfter(
        m_settings.ownerTimeout, [this, pending] { handleSilence(pending); });
    m_dependencies.sendToOwner(pending->key, pending->request,
                               std::min(remaining, m_settings.attemptTimeout),
                               [this, pending, attempt](const ShardReply &reply) {
                                   handleReply(pending, attempt, reply);
                               });
}

// Makes another attempt, for the owner may have gone. A reply to the last one still counts: it may
// tell that the attempt was never sent, as when it found no connection for this long.
void CallerApi::handleSilence(const std::shared_ptr<PendingRequest> &pending)
{
    ++pending->attempt;
    if (m_dependencies.clock.now() + m_settings.retryInterval < pending->deadline)
        retryLater(pending);
}

void CallerApi::retryLater(const std::shared_ptr<PendingRequest> &pending)
{
    m_dependencies.loop.runAfter(m_settings.retryInterval,
                                 [this, pending] { sendToOwner(pending); });
}

void CallerApi::handleReply(const std::shared_ptr<PendingRequest> &pending, int attempt,
                            const ShardReply &reply)
{
    if (!m_pending.contains(pending))
        return; // The reply came after the deadline.
    const bool settled =
        reply.outcome == ShardOutcome::Ok || reply.outcome == ShardOutcome::UnknownJob;
    const Instant now = m_dependencies.clock.now();
    if (settled) {
        m_responseTimes.record(now - pending->receivedAt);
        return settle(pending, reply);
    }
    pending->openAttempts.erase(attempt);
    if (reply.outcome == ShardOutcome::Undecided)
        pending->maybeApplied = true;
    if (attempt != pending->attempt)
        return; // A later attempt decides.
    m_dependencies.loop.cancel(pending->silenceTimer);
    pending->lastOutcome = reply.outcome;
    const Instant retryAt = now + m_settings.retryInterval;
    // A retry is safe: a job id is accepted only once, and the other requests are idempotent.
    const bool refused = reply.outcome == ShardOutcome::StoreDown
        || reply.outcome == ShardOutcome::Overloaded || reply.outcome == ShardOutcome::NoCapacity;
    const bool mayRetry = !refused && retryAt < pending->receivedAt + m_settings.maxRetryTime;
    // A request that may have taken effect is retried until its outcome is known, because the
    // caller has no way to find out.
    if ((mayRetry || pending->mayTakeEffect()) && retryAt < pending->deadline)
        return retryLater(pending);
    giveUp(pending, reply.outcome, reply.retryAfter);
}

void CallerApi::armDeadline(const std::shared_ptr<PendingRequest> &pending)
{
    m_dependencies.loop.cancel(pending->deadlineTimer);
    const Millis remaining = pending->deadline - m_dependencies.clock.now();
    pending->deadlineTimer =
        m_dependencies.loop.runAfter(std::max(remaining, Millis{0}) + m_settings.ownerTimeoutSlack,
                                     [this, pending] { handleDeadline(pending); });
}

void CallerApi::handleDeadline(const std::shared_ptr<PendingRequest> &pending)
{
    const bool isOpen = !pending->openAttempts.empty();
    giveUp(pending, isOpen ? ShardOutcome::Undecided : pending->lastOutcome);
}

void CallerApi::giveUp(const std::shared_ptr<PendingRequest> &pending, ShardOutcome outcome,
                       Millis retryAfter)
{
    ++m_refusals[outcome];
    logInfo("request-refused",
            {{"requestId", pending->key},
             {"why", toString(outcome)},
             {"undecided", pending->mayTakeEffect()},
             {"waitedMs", (m_dependencies.clock.now() - pending->receivedAt).count()}});
    ShardReply reply{outcome, {}, 0};
    reply.retryAfter = retryAfter;
    settle(pending, reply);
}

void CallerApi::settle(const std::shared_ptr<PendingRequest> &pending, const ShardReply &reply)
{
    m_pending.erase(pending);
    m_dependencies.loop.cancel(pending->deadlineTimer);
    m_dependencies.loop.cancel(pending->silenceTimer);
    // A late reply may keep the request alive, but must not keep the connection open.
    const AsyncHttpServer::Responder respond = std::exchange(pending->respond, {});
    respond(toResponse(*pending, reply));
}

HttpResponse CallerApi::toResponse(const PendingRequest &pending, const ShardReply &reply) const
{
    if (reply.outcome == ShardOutcome::UnknownJob)
        return {.status = 410, .headers = {}, .body = {}};
    if (reply.outcome != ShardOutcome::Ok) {
        if (!pending.mayTakeEffect())
            return serviceUnavailable(reply.retryAfter);
        return {.status = 504, .headers = {}, .body = {}};
    }
    if (std::holds_alternative<GetJobState>(pending.request))
        return {
            .status = 200, .headers = {}, .body = m_dependencies.codec.encodeJobState(reply.state)};
    if (std::holds_alternative<CountPendingJobs>(pending.request))
        return {.status = 200,
                .headers = {},
                .body = m_dependencies.codec.encodePendingCount(reply.pendingCount)};
    return {.status = 200, .headers = {}, .body = {}};
}

} // namespace savorywick
