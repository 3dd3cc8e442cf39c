#include "node/shardlink.h"

#include "core/log.h"
#include "savorywick/errors.h"
#include "savorywick/steps/record.h"

#include <charconv>
#include <optional>
#include <sstream>
#include <variant>

namespace savorywick {

namespace {

// POST   /shards/N/jobs          a JobAccepted record
// GET    /shards/N/jobs/ID
// DELETE /shards/N/jobs/ID
// GET    /shards/N/pending/QUEUE
// POST   /freed
// Answers of shards are three words: the outcome, the job's state and the pending count.
constexpr std::string_view shardsPath = "/shards/";
constexpr std::string_view freedPath = "/freed";
constexpr Millis tellTimeout{500};

constexpr ShardOutcome allOutcomes[] = {ShardOutcome::Ok, ShardOutcome::UnknownJob,
                                        ShardOutcome::NotOwner, ShardOutcome::StoreDown,
                                        ShardOutcome::Undecided};
constexpr steps::JobState allStates[] = {steps::JobState::Queued, steps::JobState::Running,
                                         steps::JobState::Completed, steps::JobState::Failed,
                                         steps::JobState::Cancelled};

struct CallBuilder
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
        return call("POST", "jobs", steps::encodeRecord(steps::JobAccepted{it.spec, 0}));
    }
    HttpCall operator()(const ShowJob &it) const { return call("GET", "jobs/" + it.job); }
    HttpCall operator()(const CancelJob &it) const { return call("DELETE", "jobs/" + it.job); }
    HttpCall operator()(const CountPending &it) const { return call("GET", "pending/" + it.queue); }
};

std::string toText(const ShardAnswer &answer)
{
    std::string text(toString(answer.outcome));
    text += ' ';
    text += steps::toString(answer.state);
    return text + ' ' + std::to_string(answer.pending);
}

std::optional<ShardAnswer> parseAnswer(const std::string &text)
{
    std::istringstream in(text);
    std::string outcome;
    std::string state;
    ShardAnswer answer;
    if (!(in >> outcome >> state >> answer.pending))
        return {};
    bool known = false;
    for (const ShardOutcome it : allOutcomes) {
        if (toString(it) != outcome)
            continue;
        answer.outcome = it;
        known = true;
    }
    for (const steps::JobState it : allStates) {
        if (steps::toString(it) == state)
            answer.state = it;
    }
    return known ? std::optional(answer) : std::nullopt;
}

ShardAnswer toAnswer(const HttpAnswer &http)
{
    if (http.outcome == HttpOutcome::NotSent)
        return {ShardOutcome::NotOwner, {}, 0};
    if (http.outcome != HttpOutcome::Answered || http.status != 200)
        return {ShardOutcome::Undecided, {}, 0};
    return parseAnswer(http.body).value_or(ShardAnswer{});
}

struct PeerQuestion
{
    int shard = 0;
    ShardRequest request;
};

std::optional<ShardRequest> parseRequest(const HttpRequest &http, std::string_view rest)
{
    constexpr std::string_view jobs = "jobs/";
    constexpr std::string_view pending = "pending/";
    if (http.method == "POST" && rest == "jobs") {
        const steps::Record record = steps::decodeRecord(http.body);
        if (const auto *accepted = std::get_if<steps::JobAccepted>(&record))
            return SubmitJob{accepted->spec};
        return {};
    }
    if (http.method == "GET" && rest.starts_with(jobs))
        return ShowJob{std::string(rest.substr(jobs.size()))};
    if (http.method == "DELETE" && rest.starts_with(jobs))
        return CancelJob{std::string(rest.substr(jobs.size()))};
    if (http.method == "GET" && rest.starts_with(pending))
        return CountPending{std::string(rest.substr(pending.size()))};
    return {};
}

std::optional<PeerQuestion> parseQuestion(const HttpRequest &http)
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
    return PeerQuestion{shard, std::move(*request)};
}

} // namespace

void ShardClient::ask(const std::string &peer, int shard, const ShardRequest &request,
                      Millis timeout, ShardAnswered answered)
{
    if (!mayTry(peer))
        return answered({ShardOutcome::NotOwner, {}, 0});
    HttpCall call = std::visit(CallBuilder{shard}, request);
    call.address = peer;
    call.timeout = timeout;
    m_http.exchange(std::move(call),
                    [this, peer, answered = std::move(answered)](const HttpAnswer &answer) {
                        noteEnd(peer, answer.outcome);
                        answered(toAnswer(answer));
                    });
}

bool ShardClient::mayTry(const std::string &peer)
{
    const auto it = m_nextTry.find(peer);
    if (it == m_nextTry.end())
        return true;
    const Instant now = m_clock.now();
    if (now < it->second)
        return false;
    it->second = now + pause;
    return true;
}

void ShardClient::noteEnd(const std::string &peer, HttpOutcome outcome)
{
    const bool wasSilent = m_nextTry.contains(peer);
    if (outcome == HttpOutcome::Answered && wasSilent) {
        m_nextTry.erase(peer);
        logInfo("peer-reached", {{"peer", peer}});
    }
    if (outcome != HttpOutcome::NotSent)
        return;
    m_nextTry[peer] = m_clock.now() + pause;
    if (!wasSilent)
        logInfo("peer-unreachable", {{"peer", peer}});
}

void ShardClient::tellFreed(const std::string &peer)
{
    HttpCall call;
    call.address = peer;
    call.method = "POST";
    call.path = freedPath;
    call.timeout = tellTimeout;
    m_http.exchange(std::move(call), [](const HttpAnswer &) {});
}

void ShardServer::handle(const HttpRequest &request,
                         const AsyncHttpServer::Responder &respond) const
{
    if (request.path == freedPath) {
        m_listeners.freed();
        return respond({.status = 200, .headers = {}, .body = {}});
    }
    std::optional<PeerQuestion> question;
    try {
        question = parseQuestion(request);
    } catch (const Error &e) {
        logWarning("peer-request-unreadable", {{"why", e.what()}});
    }
    if (!question)
        return respond({.status = 400, .headers = {}, .body = {}});
    m_listeners.asked(question->shard, question->request, [respond](const ShardAnswer &answer) {
        respond(
            {.status = 200, .headers = {}, .body = toText(answer), .contentType = "text/plain"});
    });
}

} // namespace savorywick
