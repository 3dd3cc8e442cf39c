#include "soakcallers.h"

#include "platform/json.h"

#include <algorithm>
#include <utility>

namespace savorywick::testing {

namespace {

constexpr int maxAttempts = 6;
constexpr int maxCancelAttempts =
    60; // Outlasts any time without entries: a cancel must get through.
constexpr Millis retryDelay{300};
constexpr Millis callTimeout{3'000};
constexpr int maxQuestions = 12; // At a time.
// An accepted job may be unknown to some entries for so long.
constexpr Millis visibilityDelay{3'000};

std::string encodeJob(const steps::JobSpec &spec)
{
    Json::Value json;
    json["spec"] = spec.payload;
    for (const steps::StepSpec &it : spec.steps) {
        Json::Value step;
        step["count"] = it.taskCount;
        step["cpu"] = it.demand.milliCores;
        step["memMb"] = it.demand.memoryMb;
        step["estimateMs"] = Json::Int64(it.estimatedDuration.count());
        for (const int predecessor : it.dependsOn)
            step["after"].append(predecessor);
        if (it.longRunning)
            step["longRunning"] = true;
        json["stepSpecs"].append(std::move(step));
    }
    return platform::serializeJson(json);
}

} // namespace

SoakCallers::SoakCallers(EventLoop &loop, const BootClock &clock, RunLedger &ledger,
                         std::vector<std::string> entries, unsigned seed)
    : m_loop(loop)
    , m_clock(clock)
    , m_ledger(ledger)
    , m_entries(std::move(entries))
    , m_random(seed)
    , m_http(loop)
{ }

HttpCall SoakCallers::callFor(const char *method, const std::string &id)
{
    HttpCall call;
    call.address = m_entries[m_random() % m_entries.size()];
    call.method = method;
    call.path = "/jobs/" + id;
    call.headers = {{"Host", "soak.example"},
                    {"X-Savorywick-Deadline-Ms", std::to_string(callTimeout.count())}};
    call.timeout = callTimeout;
    return call;
}

void SoakCallers::submit(SoakJob job)
{
    const SoakJob &added = m_ledger.addJob(std::move(job));
    ++m_openCalls;
    attempt(added.spec.id, encodeJob(added.spec), maxAttempts);
}

void SoakCallers::attempt(const std::string &id, const std::string &body, int attemptsLeft)
{
    HttpCall call = callFor("POST", id);
    call.body = body;
    m_http.exchange(std::move(call), [this, id, body, attemptsLeft](const HttpResult &result) {
        handleSubmitted(id, body, attemptsLeft - 1, result);
    });
}

void SoakCallers::handleSubmitted(const std::string &id, const std::string &body, int attemptsLeft,
                                  const HttpResult &result)
{
    SoakJob &job = m_ledger.job(id);
    const bool answered = result.outcome == HttpOutcome::ResponseReceived;
    if (answered && result.status == 200) {
        job.accepted = true;
        m_acceptedAt.emplace(id, m_clock.now());
        --m_openCalls;
        return;
    }
    const bool notRun = (answered && (result.status == 429 || result.status == 503))
        || result.outcome == HttpOutcome::NotSent;
    job.mayBeAccepted = job.mayBeAccepted || !notRun;
    if (attemptsLeft == 0) {
        job.refused = !job.mayBeAccepted;
        --m_openCalls;
        return;
    }
    m_loop.runAfter(retryDelay,
                    [this, id, body, attemptsLeft] { attempt(id, body, attemptsLeft); });
}

void SoakCallers::cancel(const std::string &id)
{
    m_ledger.job(id).cancelled = true;
    ++m_openCalls;
    attemptCancel(id, maxCancelAttempts);
}

void SoakCallers::attemptCancel(const std::string &id, int attemptsLeft)
{
    m_http.exchange(callFor("DELETE", id), [this, id, attemptsLeft](const HttpResult &result) {
        const bool done = result.outcome == HttpOutcome::ResponseReceived
            && (result.status == 200 || result.status == 410);
        if (done || attemptsLeft == 1) {
            --m_openCalls;
            return;
        }
        m_loop.runAfter(retryDelay,
                        [this, id, attemptsLeft] { attemptCancel(id, attemptsLeft - 1); });
    });
}

void SoakCallers::askForStates()
{
    std::vector<std::string> open;
    for (const auto &[id, job] : m_ledger.jobs()) {
        if (job.accepted && !job.ended)
            open.push_back(id);
    }
    std::shuffle(open.begin(), open.end(), m_random);
    open.resize(std::min<std::size_t>(open.size(), maxQuestions));
    for (const std::string &id : open)
        m_http.exchange(callFor("GET", id),
                        [this, id](const HttpResult &result) { handleState(id, result); });
}

void SoakCallers::handleState(const std::string &id, const HttpResult &result)
{
    if (result.outcome != HttpOutcome::ResponseReceived)
        return;
    const bool visible = m_clock.now() - m_acceptedAt.at(id) > visibilityDelay;
    if (result.status == 410 && visible)
        m_ledger.violate(id + " was accepted and is unknown");
    const auto json = platform::parseJson(result.body);
    const auto state = json ? platform::stringMember(*json, "state") : std::nullopt;
    if (result.status == 200 && state)
        m_ledger.noteShown(id, *state);
}

} // namespace savorywick::testing
