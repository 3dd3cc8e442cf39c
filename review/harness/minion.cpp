#include "minion.h"

#include "platform/json.h"
#include "platform/workerreport.h"

#include <algorithm>
#include <utility>

namespace savorywick::review {

namespace {

using Responder = AsyncHttpServer::Responder;

constexpr Millis tickInterval{10};
constexpr Millis idleTickInterval{100};
constexpr Millis entryInterval{1'100}; // 'heartbeatMs'
constexpr Millis unlistingDelay{3'300}; // Three check-in intervals.
constexpr std::size_t maxEndsPerReport = 500; // "The others are returned again (500 at a time)."
constexpr int wholePercent = 100;
constexpr Millis startupTime{300}; // Until a task that lasts is at work.

} // namespace

Minion::Minion(EventLoop &loop, const BootClock &clock, testing::PlatformStandIn &store,
               Record &record, RunsSeen &runs, MinionSettings settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_store(store)
    , m_record(record)
    , m_runs(runs)
    , m_settings(std::move(settings))
{
    beginLife(true);
    tick();
}

void Minion::beginLife(bool underNewId)
{
    if (underNewId)
        m_id = m_settings.name + "-" + std::to_string(++m_lives);
    m_bornAt = m_clock.now();
    m_bornWallMs = wallClockMs();
    m_sequence = 0;
    m_fence = 0;
    m_leaseUntilMs = 0;
    m_ends.clear();
    m_lastEnd = 0;
    m_lapsedEnd = 0;
    m_highestEnded.clear();
    m_isUp = true;
    listen();
    m_record.line("minion " + m_id + " is up at " + m_settings.address + ", of kind "
                  + m_settings.kind + ", born " + std::to_string(m_bornWallMs));
    writeEntry();
}

void Minion::listen()
{
    AsyncHttpServerLimits limits;
    limits.idleTimeout = Millis{600'000};
    m_server = std::make_unique<AsyncHttpServer>(
        m_loop, limits,
        [this](const HttpRequest &request, const Responder &respond) { handle(request, respond); });
    m_server->listen(m_settings.address);
}

void Minion::cutOff(Millis duration)
{
    m_record.line("minion " + m_id + " is cut off, with " + std::to_string(m_live.size())
                  + " runs");
    m_holds.clear();
    m_server.reset();
    m_loop.runAfter(duration, [this] {
        listen();
        m_record.line("minion " + m_id + " can be reached again");
    });
}

void Minion::crash(Millis downtime)
{
    if (!isUp())
        return;
    die();
    m_loop.runAfter(unlistingDelay, [this, id = m_id] { m_store.remove("servers", id); });
    m_loop.runAfter(downtime, [this] { beginLife(true); });
}

void Minion::setSlowness(double factor)
{
    advance();
    m_slowness = factor;
}

void Minion::vanish()
{
    if (!isUp())
        return;
    die();
    m_loop.runAfter(unlistingDelay, [this, id = m_id] { m_store.remove("servers", id); });
}

void Minion::crashAndReturnAs(const std::string &kind, Millis downtime)
{
    if (!isUp())
        return;
    die();
    m_loop.runAfter(downtime, [this, kind] {
        m_settings.kind = kind;
        beginLife(false);
    });
}

void Minion::die()
{
    m_record.line("minion " + m_id + " crashes, with " + std::to_string(m_live.size()) + " runs");
    for (const Live &it : m_live) {
        RunSeen &seen = m_runs[it.task][it.seenIndex];
        seen.endedAt = m_clock.now();
        seen.how = "crash";
        m_record.line("minion " + m_id + " loses " + toString(it.task) + " run "
                      + std::to_string(it.number));
    }
    m_live.clear();
    m_holds.clear();
    m_server.reset();
    m_isUp = false;
}

void Minion::tick()
{
    if (isUp()) {
        advance();
        answerHolds();
        if (m_clock.now() >= m_nextEntryAt)
            writeEntry();
    }
    const bool isIdle = m_live.empty() && m_holds.empty();
    m_loop.runAfter(isIdle ? idleTickInterval : tickInterval, [this] { tick(); });
}

void Minion::writeEntry()
{
    m_nextEntryAt = m_clock.now() + entryInterval;
    Json::Value entry;
    entry["service"] = m_settings.service;
    entry["address"] = m_settings.address;
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
    m_store.put("servers", m_id, platform::serializeJson(entry));
}

void Minion::handle(const HttpRequest &request, const Responder &respond)
{
    if (headerValue(request.headers, "X-Savorywick-Expected-Instance") != m_id)
        return respond({.status = 421, .headers = {}, .body = "{}"});
    const auto order = platform::parseJson(request.body);
    if (!order)
        return respond({.status = 400, .headers = {}, .body = "{}"});
    advance();
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
    answer(respond, 200, nullptr); // '/api/pace': the tasks of these cases need not be slowed.
}

void Minion::answer(const Responder &respond, int status, const char *reason) const
{
    Json::Value json;
    json["clockMs"] = Json::Int64(clockMs());
    if (reason)
        json["reason"] = reason;
    respond({.status = status, .headers = {}, .body = platform::serializeJson(json)});
}

void Minion::extendLease(const Json::Value &order)
{
    const std::int64_t longest = clockMs() + m_settings.maxLease.count();
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(order["untilMs"].asInt64(), longest));
}

void Minion::start(const Json::Value &order, const Responder &respond)
{
    const auto task = platform::parseTaskRef(order["task"].asString());
    const int number = order["run"].asInt();
    if (!task)
        return answer(respond, 400, nullptr);
    const bool present = std::any_of(m_live.begin(), m_live.end(), [&](const Live &it) {
        return it.task == *task && it.number == number;
    });
    if (present)
        return answer(respond, 200, nullptr);
    if (order["untilMs"].asInt64() <= clockMs())
        return answer(respond, 409, "late");
    extendLease(order);
    const auto ended = m_highestEnded.find(*task);
    if (ended != m_highestEnded.end() && ended->second >= number)
        return answer(respond, 409, "old");
    addRun(*task, number);
    answer(respond, 200, nullptr);
}

void Minion::addRun(const steps::TaskRef &task, int number)
{
    std::vector<RunSeen> &seen = m_runs[task];
    m_live.push_back(
        {task, number, m_settings.workOf(task), m_clock.now(), std::nullopt, seen.size()});
    seen.push_back({m_id, m_settings.kind, number, m_clock.now(), std::nullopt, "", false});
    m_record.line("minion " + m_id + " starts " + toString(task) + " run "
                  + std::to_string(number));
}

void Minion::stop(const Json::Value &order, const Responder &respond)
{
    const auto task = platform::parseTaskRef(order["task"].asString());
    const int number = order["run"].asInt();
    if (!task)
        return answer(respond, 400, nullptr);
    bool present = false;
    for (Live &it : m_live) {
        if (it.task != *task || it.number != number)
            continue;
        present = true;
        if (!it.stopsAt)
            it.stopsAt = m_clock.now() + m_settings.stopTime;
    }
    if (!present) // It is rejected if it comes later.
        m_highestEnded[*task] = std::max(m_highestEnded[*task], number);
    answer(respond, 200, nullptr);
}

void Minion::hold(const Json::Value &order, const Responder &respond)
{
    acknowledge(order["lastSeen"].asInt64());
    if (order.isMember("untilMs"))
        extendLease(order);
    m_holds.push_back({m_clock.now() + Millis{order["waitMs"].asInt64()}, respond});
    answerHolds();
}

void Minion::acknowledge(std::int64_t lastSeen)
{
    for (const End &it : m_ends) {
        if (it.number > lastSeen)
            break;
        if (it.how == "done" && it.number > m_lapsedEnd)
            m_runs[it.task][it.seenIndex].notedDone = true;
    }
    const auto forgotten =
        std::erase_if(m_ends, [&](const End &it) { return it.number <= lastSeen; });
    if (forgotten > 0)
        m_record.line("minion " + m_id + " forgets the ends up to " + std::to_string(lastSeen));
}

void Minion::endRun(const Live &run, const std::string &how)
{
    RunSeen &seen = m_runs[run.task][run.seenIndex];
    seen.endedAt = m_clock.now();
    seen.how = how;
    m_ends.push_back({++m_lastEnd, run.task, run.number, how, run.seenIndex});
    m_highestEnded[run.task] = std::max(m_highestEnded[run.task], run.number);
    m_record.line("minion " + m_id + " ends " + toString(run.task) + " run "
                  + std::to_string(run.number) + " " + how + " as end "
                  + std::to_string(m_lastEnd));
}

void Minion::advance()
{
    const Instant now = m_clock.now();
    const bool lapsed = clockMs() > m_leaseUntilMs;
    if (lapsed)
        m_lapsedEnd = m_lastEnd;
    const Instant before = std::exchange(m_advancedAt, now);
    for (auto it = m_live.begin(); it != m_live.end();) {
        const Millis passed = now - std::max(before, it->startedAt);
        it->workedMs += static_cast<double>(passed.count()) / m_slowness;
        const bool worked = it->work && it->workedMs >= static_cast<double>(it->work->count());
        const bool stopped = it->stopsAt && now >= *it->stopsAt;
        if (!lapsed && !stopped && !worked) {
            ++it;
            continue;
        }
        endRun(*it, lapsed ? "lapsed" : worked ? "done" : "stopped");
        it = m_live.erase(it);
    }
}

void Minion::answerHolds()
{
    std::vector<WaitingHold> waiting = std::exchange(m_holds, {});
    for (WaitingHold &it : waiting) {
        if (m_ends.empty() && m_clock.now() < it.until)
            m_holds.push_back(std::move(it));
        else
            it.respond({.status = 200, .headers = {}, .body = report()});
    }
}

std::string Minion::report() const
{
    Json::Value json;
    json["clockMs"] = Json::Int64(clockMs());
    json["born"] = Json::Int64(m_bornWallMs);
    json["active"] = Json::arrayValue;
    json["finished"] = Json::arrayValue;
    for (const Live &it : m_live) {
        const auto worked = static_cast<std::int64_t>(it.workedMs);
        const std::int64_t percent = it.work ? worked * wholePercent / it.work->count()
            : worked >= startupTime.count()  ? wholePercent
                                             : 0;
        Json::Value row = Json::arrayValue;
        row.append(toString(it.task));
        row.append(it.number);
        row.append("");
        row.append(static_cast<int>(std::min<std::int64_t>(percent, wholePercent)));
        row.append(1);
        json["active"].append(std::move(row));
    }
    for (const End &it : m_ends) {
        if (json["finished"].size() == maxEndsPerReport)
            break;
        Json::Value row = Json::arrayValue;
        row.append(Json::Int64(it.number));
        row.append(toString(it.task));
        row.append(it.run);
        row.append(it.how);
        row.append("");
        json["finished"].append(std::move(row));
    }
    return platform::serializeJson(json);
}

} // namespace savorywick::review
