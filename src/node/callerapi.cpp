#include "node/callerapi.h"

#include "core/log.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace savorywick {

// One caller's request on its way to the owner and back.
struct CallerApi::Call
{
    std::string key;
    ShardRequest request;
    AsyncHttpServer::Responder respond;
    Instant begunAt;
    Instant answerBy; // Whatever is known by then.
    bool undecided = false; // An earlier try may still take effect.
};

CallerApi::CallerApi(const CallerApiSettings &settings, Parts parts)
    : m_settings(settings)
    , m_parts(std::move(parts))
{ }

HttpResponse CallerApi::comeBack() const
{
    return {.status = 503,
            .headers = {{"Retry-After", std::to_string(m_settings.retryAfterSeconds)}},
            .body = {}};
}

void CallerApi::handle(const HttpRequest &request, const AsyncHttpServer::Responder &respond)
{
    if (!m_parts.queues.hasConfiguration())
        return respond(comeBack());
    const steps::QueueMatch match =
        m_parts.queues.find(headerValue(request.headers, "Host"), request.path);
    if (!match.queue)
        return respond({.status = 404, .headers = {}, .body = {}});
    HttpResponse refusal{.status = 404, .headers = {}, .body = {}};
    std::string key;
    auto shardRequest = toShardRequest(request, match, refusal, key);
    if (!shardRequest)
        return respond(refusal);
    const Instant now = m_parts.clock.now();
    const Millis patience =
        m_parts.codec.patience(request.headers).value_or(m_settings.defaultPatience);
    const Instant answerBy = now + std::max(patience - m_settings.answerMargin, patience / 2);
    ask(std::make_shared<Call>(
        Call{std::move(key), std::move(*shardRequest), respond, now, answerBy}));
}

std::optional<ShardRequest> CallerApi::toShardRequest(const HttpRequest &request,
                                                      const steps::QueueMatch &match,
                                                      HttpResponse &refusal, std::string &key) const
{
    const steps::QueuePolicy &policy = match.queue->policy;
    if (match.pathSuffix.empty() && request.method == "GET") {
        key = policy.queue;
        return CountPending{policy.queue};
    }
    if (!m_parts.codec.isJobId(match.pathSuffix))
        return {};
    key = std::string(match.pathSuffix);
    if (request.method == "GET")
        return ShowJob{key};
    if (request.method == "DELETE")
        return CancelJob{key};
    if (request.method != "POST") {
        refusal.status = 405;
        return {};
    }
    std::string error;
    auto spec = m_parts.codec.decodeJob(request.body, key, policy, error);
    if (spec)
        return SubmitJob{std::move(*spec)};
    logInfo("job-unreadable", {{"requestId", key}, {"why", error}});
    refusal.status = 400;
    refusal.body = error + "\n";
    refusal.contentType = "text/plain";
    return {};
}

void CallerApi::ask(const std::shared_ptr<Call> &call)
{
    const Millis left = call->answerBy - m_parts.clock.now();
    m_parts.ask(call->key, call->request, std::min(left, m_settings.askTimeout),
                [this, call](const ShardAnswer &answer) { answered(call, answer); });
}

void CallerApi::answered(const std::shared_ptr<Call> &call, const ShardAnswer &answer)
{
    const bool settled =
        answer.outcome == ShardOutcome::Ok || answer.outcome == ShardOutcome::UnknownJob;
    const Instant now = m_parts.clock.now();
    if (settled) {
        m_answerTimes.record(now - call->begunAt);
        return call->respond(toResponse(*call, answer));
    }
    if (answer.outcome == ShardOutcome::Undecided)
        call->undecided = true;
    const Instant retryAt = now + m_settings.retryEvery;
    // Asking again is safe: a job is accepted once an id, and the other requests are idempotent.
    const bool mayStart = answer.outcome != ShardOutcome::StoreDown
        && retryAt < call->begunAt + m_settings.longestRetry;
    // What may have taken effect is asked for until it is settled: the caller could not tell.
    if ((mayStart || call->undecided) && retryAt < call->answerBy) {
        m_parts.loop.after(m_settings.retryEvery, [this, call] { ask(call); });
        return;
    }
    ++m_refusals[answer.outcome];
    logInfo("request-refused",
            {{"requestId", call->key},
             {"why", toString(answer.outcome)},
             {"undecided", call->undecided},
             {"waitedMs", (now - call->begunAt).count()}});
    call->respond(toResponse(*call, answer));
}

HttpResponse CallerApi::toResponse(const Call &call, const ShardAnswer &answer) const
{
    if (answer.outcome == ShardOutcome::UnknownJob)
        return {.status = 410, .headers = {}, .body = {}};
    if (answer.outcome != ShardOutcome::Ok) {
        if (!call.undecided)
            return comeBack();
        return {.status = 504, .headers = {}, .body = {}};
    }
    if (std::holds_alternative<ShowJob>(call.request))
        return {.status = 200, .headers = {}, .body = m_parts.codec.encodeState(answer.state)};
    if (std::holds_alternative<CountPending>(call.request))
        return {.status = 200, .headers = {}, .body = m_parts.codec.encodePending(answer.pending)};
    return {.status = 200, .headers = {}, .body = {}};
}

} // namespace savorywick
