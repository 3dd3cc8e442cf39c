#include "minion.h"

#include "platform/json.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace review {

namespace {

using savorywick::headerValue;
using savorywick::HttpRequest;
using Responder = savorywick::AsyncHttpServer::Responder;

constexpr Millis tickInterval{10};
constexpr Millis heartbeat{1'100};
constexpr Millis startupTime{300}; // Until a task that lasts is at work.
constexpr int silentBeats = 3; // After them the store removes the entry.
constexpr int port = 8'080;
constexpr int innerPort = 8'081;
constexpr int fullPercent = 100;

std::int64_t wallMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Returns the step of a task: ID.K.STEP of ID.K.STEP.INDEX.
std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

Minion::Minion(savorywick::EventLoop &loop, const savorywick::BootClock &clock,
               savorywick::testing::PlatformStandIn &store, Settings settings, Listener listener)
    : m_loop(loop)
    , m_clock(clock)
    , m_store(store)
    , m_settings(std::move(settings))
    , m_listener(std::move(listener))
    , m_address(m_settings.ip + ":" + std::to_string(port))
    , m_path(
          std::make_unique<Relay>(loop, m_address, m_settings.ip + ":" + std::to_string(innerPort)))
{
    beginLife(false);
    tick();
}

void Minion::beginLife(bool sameId)
{
    if (!sameId)
        m_id = "i-" + m_settings.name + "-" + std::to_string(++m_lives);
    m_bornAt = m_clock.now();
    m_bornWallMs = wallMs();
    m_sequence = 0;
    m_fence = 0;
    m_leaseUntilMs = 0;
    m_lastEnd = 0;
    m_runs.clear();
    m_ends.clear();
    m_holds.clear();
    m_highestEnded.clear();
    m_server = std::make_unique<savorywick::AsyncHttpServer>(
        m_loop, savorywick::AsyncHttpServerLimits{},
        [this](const HttpRequest &request, const Responder &respond) { handle(request, respond); });
    m_server->listen(m_settings.ip + ":" + std::to_string(innerPort));
    m_path->setMode(Relay::Mode::Open);
    writeEntry();
}

bool Minion::has(const std::string &task) const
{
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [&](const LiveRun &it) { return it.event.task == task; });
}

int Minion::membersOf(const std::string &step, int run) const
{
    return static_cast<int>(std::count_if(m_runs.begin(), m_runs.end(), [&](const LiveRun &it) {
        return stepOf(it.event.task) == step && it.event.run == run;
    }));
}

void Minion::beginWork(const std::string &step, int run)
{
    for (LiveRun &it : m_runs) {
        if (stepOf(it.event.task) == step && it.event.run == run && !it.worksSince)
            it.worksSince = m_clock.now();
    }
}

void Minion::endMembers(const std::string &step, int run, const std::string &how)
{
    for (auto next = m_runs.begin(); next != m_runs.end();) {
        const auto it = next++;
        if (stepOf(it->event.task) == step && it->event.run == run)
            endRun(it, how);
    }
    answerHolds();
}

void Minion::setCutOff(bool cutOff, Relay::Mode mode)
{
    m_cutOff = cutOff;
    m_path->setMode(cutOff ? mode : Relay::Mode::Open);
    if (!cutOff)
        writeEntry();
}

void Minion::crash(bool silent)
{
    m_runs.clear();
    m_holds.clear();
    m_path->setMode(silent ? Relay::Mode::Silent : Relay::Mode::Refuse);
    m_loop.post([server = std::shared_ptr<savorywick::AsyncHttpServer>(std::move(m_server))] {});
}

void Minion::restart(bool sameId, const std::string &kind)
{
    m_settings.kind = kind;
    const std::string before = m_id;
    beginLife(sameId);
    if (!sameId)
        m_store.remove("servers", before);
}

void Minion::tick()
{
    if (isUp()) {
        advanceRuns();
        answerHolds();
        if (!m_cutOff && m_clock.now() >= m_nextEntryAt)
            writeEntry();
    }
    if (m_listed && m_clock.now() - m_lastEntryAt > heartbeat * silentBeats) {
        m_listed = false;
        m_store.remove("servers", m_id);
    }
    m_loop.runAfter(tickInterval, [this] { tick(); });
}

void Minion::writeEntry()
{
    m_lastEntryAt = m_clock.now();
    m_nextEntryAt = m_lastEntryAt + heartbeat;
    m_listed = true;
    Json::Value entry;
    entry["service"] = "match-svc";
    entry["address"] = m_address;
    entry["zone"] = m_settings.zone;
    entry["version"] = "1";
    entry["slots"] = 8;
    entry["state"] = "ready";
    entry["coldRemainingMs"] = 0;
    entry["born"] = Json::Int64(m_bornWallMs);
    entry["capacity"]["cpu"] = m_settings.milliCores;
    entry["capacity"]["memMb"] = m_settings.memoryMb;
    entry["capacity"]["gpu"] = 0;
    entry["labels"].append(m_settings.kind);
    entry["labels"].append(m_settings.rack);
    entry["sequence"] = Json::Int64(++m_sequence);
    m_store.put("servers", m_id, savorywick::platform::serializeJson(entry));
}

void Minion::answer(const Responder &respond, int status, const std::string &reason) const
{
    Json::Value json;
    json["clockMs"] = Json::Int64(clockMs());
    if (!reason.empty())
        json["reason"] = reason;
    respond({.status = status, .headers = {}, .body = savorywick::platform::serializeJson(json)});
}

void Minion::handle(const HttpRequest &request, const Responder &respond)
{
    if (headerValue(request.headers, "X-Savorywick-Expected-Instance") != m_id)
        return respond({.status = 421, .headers = {}, .body = "{}"});
    const auto order = savorywick::platform::parseJson(request.body);
    if (!order)
        return respond({.status = 400, .headers = {}, .body = "{}"});
    const std::uint64_t fence = (*order)["fencingToken"].asUInt64();
    if (fence < m_fence)
        return answer(respond, 409, "fence");
    m_fence = fence;
    if (request.path == "/api/run-start")
        return start(*order, respond);
    if (request.path == "/api/run-stop")
        return stop(*order, respond);
    if (request.path == "/api/hold")
        return hold(*order, respond);
    answer(respond, 200);
}

void Minion::start(const Json::Value &order, const Responder &respond)
{
    const std::string task = order["task"].asString();
    const int run = order["run"].asInt();
    const std::int64_t untilMs = order["untilMs"].asInt64();
    const bool present = std::any_of(m_runs.begin(), m_runs.end(), [&](const LiveRun &it) {
        return it.event.task == task && it.event.run == run;
    });
    if (present)
        return answer(respond, 200);
    if (untilMs <= clockMs())
        return answer(respond, 409, "late");
    m_leaseUntilMs =
        std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + m_settings.maxLease.count()));
    const auto ended = m_highestEnded.find(task);
    if (ended != m_highestEnded.end() && ended->second >= run)
        return answer(respond, 409, "old");
    const RunEvent event{m_id, m_settings.name, task, run};
    const RunPlan plan = m_listener.plan(event);
    LiveRun added{event, plan, m_clock.now(), {}, {}};
    if (!m_listener.isGang(stepOf(task)))
        added.worksSince = added.startedAt;
    m_runs.push_back(added);
    m_listener.started(event);
    answer(respond, 200);
    if (!plan.crashAfter)
        return;
    m_loop.runAfter(*plan.crashAfter, [this, event, life = m_bornWallMs] {
        if (isUp() && m_bornWallMs == life && has(event.task))
            m_listener.crashing(event);
    });
}

void Minion::stop(const Json::Value &order, const Responder &respond)
{
    const std::string task = order["task"].asString();
    const int run = order["run"].asInt();
    bool present = false;
    for (LiveRun &it : m_runs) {
        if (it.event.task != task || it.event.run != run)
            continue;
        present = true;
        if (!it.stopsAt)
            it.stopsAt = m_clock.now() + m_settings.stopTime;
    }
    if (!present) // It is rejected if it comes later.
        m_highestEnded[task] = std::max(m_highestEnded[task], run);
    answer(respond, 200);
}

void Minion::hold(const Json::Value &order, const Responder &respond)
{
    const std::int64_t lastSeen = order["lastSeen"].asInt64();
    std::erase_if(m_ends, [&](const End &it) { return it.number <= lastSeen; });
    if (order.isMember("untilMs"))
        m_leaseUntilMs =
            std::max(m_leaseUntilMs,
                     std::min(order["untilMs"].asInt64(), clockMs() + m_settings.maxLease.count()));
    const Millis wait{order["waitMs"].asInt64()};
    m_holds.push_back({m_clock.now() + wait, respond});
    m_listener.held(m_settings.name, wait);
    answerHolds();
}

void Minion::endRun(std::list<LiveRun>::iterator it, const std::string &how)
{
    const RunEvent event = it->event;
    m_ends.push_back({++m_lastEnd, event.task, event.run, how});
    m_highestEnded[event.task] = std::max(m_highestEnded[event.task], event.run);
    m_runs.erase(it);
    m_listener.ended(event, m_ends.back().how); // `how` may have been a part of the run.
}

void Minion::advanceRuns()
{
    const Instant now = m_clock.now();
    const bool lapsed = clockMs() > m_leaseUntilMs;
    for (auto next = m_runs.begin(); next != m_runs.end();) {
        const auto it = next++;
        const bool worked =
            !it->plan.end.empty() && it->worksSince && now - *it->worksSince >= it->plan.work;
        const bool alone = !it->worksSince && now - it->startedAt >= m_settings.gangTimeout;
        if (lapsed)
            endRun(it, "lapsed");
        else if (it->stopsAt && now >= *it->stopsAt)
            endRun(it, "stopped");
        else if (worked)
            endRun(it, it->plan.end);
        else if (alone)
            endRun(it, "alone");
    }
}

void Minion::answerHolds()
{
    for (WaitingHold &it : std::exchange(m_holds, {})) {
        if (m_ends.empty() && m_clock.now() < it.until)
            m_holds.push_back(std::move(it));
        else
            it.respond({.status = 200,
                        .headers = {},
                        .body = savorywick::platform::serializeJson(report())});
    }
}

Json::Value Minion::report() const
{
    Json::Value json;
    json["clockMs"] = Json::Int64(clockMs());
    json["born"] = Json::Int64(m_bornWallMs);
    json["active"] = Json::arrayValue;
    json["finished"] = Json::arrayValue;
    for (const LiveRun &it : m_runs) {
        const Millis worked = it.worksSince ? m_clock.now() - *it.worksSince : Millis{0};
        const bool lasts = it.plan.end.empty();
        const int percent = lasts
            ? (worked >= startupTime ? fullPercent : 0)
            : static_cast<int>(worked.count() * (fullPercent - 1)
                               / std::max<std::int64_t>(1, it.plan.work.count()));
        Json::Value row = Json::arrayValue;
        row.append(it.event.task);
        row.append(it.event.run);
        row.append("");
        row.append(std::min(percent, fullPercent));
        row.append(0);
        json["active"].append(std::move(row));
    }
    for (const End &it : m_ends) {
        Json::Value row = Json::arrayValue;
        row.append(Json::Int64(it.number));
        row.append(it.task);
        row.append(it.run);
        row.append(it.how);
        row.append("");
        json["finished"].append(std::move(row));
    }
    return json;
}

} // namespace review
