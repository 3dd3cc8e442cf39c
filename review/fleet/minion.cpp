#include "minion.h"

#include "platform/json.h"
#include "platform/workerreport.h"
#include "savorywick/steps/runtable.h"

#include <algorithm>

namespace savorywick::review {

namespace {

constexpr Millis tickInterval{20};
constexpr Millis entryInterval{1'100};
constexpr std::size_t maxListedEnds = 500;
constexpr int fullPercent = 100;
constexpr Millis greyWork{150}; // Of a task that a grey minion has started.

} // namespace

Minion::Minion(MinionWorld &world, Identity identity)
    : m_world(world)
    , m_identity(std::move(identity))
{
    beginLife();
    tick();
}

void Minion::beginLife()
{
    m_server = std::make_unique<AsyncHttpServer>(
        m_world.loop, AsyncHttpServerLimits{},
        [this](const HttpRequest &request, const Responder &respond) {
            receive(request, respond);
        });
    m_server->listen(m_identity.address);
    m_bornAt = m_world.clock.now();
    m_bornWallMs = wallClockMs();
    m_sequence = 0;
    m_nextEntryAt = m_bornAt;
    m_fence = 0;
    m_leaseUntilMs = 0;
    m_lastEnd = 0;
    m_ends.clear();
    m_highestEnded.clear();
    if (!m_keptStart || --m_livesUntilKept > 0)
        return;
    m_world.submissions.note(m_identity.id, "carries out the start that was kept back");
    handle(*std::exchange(m_keptStart, {}), [](const HttpResponse &) {});
}

void Minion::keepNextStart(std::string submission, int lives, std::function<void()> kept)
{
    m_keptSubmission = std::move(submission);
    m_livesUntilKept = lives;
    m_kept = std::move(kept);
}

void Minion::crash(Millis downtime)
{
    m_world.submissions.note(m_identity.id, "crashes");
    const std::vector<LiveRun> runs = std::exchange(m_runs, {});
    m_holds.clear();
    m_unanswered.clear();
    m_server.reset();
    for (const LiveRun &it : runs) {
        m_world.ended(it.task, it.number, "crashed");
        breakGang(it.task, it.number, "crashed");
    }
    m_world.loop.runAfter(downtime, [this] { beginLife(); });
}

void Minion::tick()
{
    if (m_server) {
        advanceRuns();
        answerHolds();
    }
    if (m_server && m_world.clock.now() >= m_nextEntryAt)
        writeEntry();
    m_world.loop.runAfter(tickInterval, [this] { tick(); });
}

void Minion::writeEntry()
{
    m_nextEntryAt = m_world.clock.now() + entryInterval;
    Json::Value entry;
    entry["service"] = m_identity.service;
    entry["address"] = m_identity.address;
    entry["zone"] = m_identity.zone;
    entry["version"] = "1";
    entry["slots"] = 8;
    entry["state"] = "ready";
    entry["coldRemainingMs"] = 0;
    entry["sequence"] = Json::Int64(++m_sequence);
    entry["born"] = Json::Int64(m_bornWallMs);
    entry["capacity"]["cpu"] = m_identity.capacity.milliCores;
    entry["capacity"]["memMb"] = m_identity.capacity.memoryMb;
    entry["capacity"]["gpu"] = m_identity.capacity.accelerators;
    for (const std::string &it : m_identity.labels)
        entry["labels"].append(it);
    m_world.store.put("servers", m_identity.id, platform::serializeJson(entry));
}

void Minion::setCut(bool cut)
{
    m_world.submissions.note(m_identity.id, cut ? "is cut off" : "can be reached again");
    m_cut = cut;
    if (!cut)
        m_unanswered.clear();
}

void Minion::setGrey(bool grey)
{
    m_world.submissions.note(m_identity.id, grey ? "fails all that it starts" : "is sound again");
    m_greySince = grey ? std::optional(m_world.clock.now()) : std::nullopt;
}

void Minion::failRuns()
{
    const std::vector<LiveRun> runs = m_runs;
    for (const LiveRun &it : runs)
        endRun(it.task, it.number, "failed");
}

void Minion::receive(const HttpRequest &request, const Responder &respond)
{
    if (m_cut)
        return m_unanswered.push_back(respond);
    const bool isKept = !m_keptSubmission.empty() && request.path == "/api/run-start"
        && request.body.find(m_keptSubmission) != std::string::npos;
    if (isKept) {
        m_world.submissions.note(m_identity.id, "leaves a start unanswered: " + request.body);
        m_keptSubmission.clear();
        m_keptStart = request;
        m_unanswered.push_back(respond);
        return m_kept();
    }
    const auto late = m_world.lateOrder();
    if (!late)
        return handle(request, respond);
    m_unanswered.push_back(respond);
    m_world.loop.runAfter(*late, [this, request, life = m_bornWallMs] {
        if (m_server && m_bornWallMs == life)
            handle(request, [](const HttpResponse &) {});
    });
}

void Minion::handle(const HttpRequest &request, const Responder &respond)
{
    if (headerValue(request.headers, "X-Savorywick-Expected-Instance") != m_identity.id)
        return respond({.status = 421, .headers = {}, .body = "{}"});
    const auto order = platform::parseJson(request.body);
    if (!order || !order->isObject())
        return respond({.status = 400, .headers = {}, .body = "{}"});
    const std::uint64_t fence = (*order)["fencingToken"].asUInt64();
    if (fence < m_fence)
        return answerClock(respond, "fence");
    m_fence = fence;
    if (request.path == "/api/run-start")
        return start(*order, respond);
    if (request.path == "/api/run-stop")
        return stop(*order, respond);
    if (request.path == "/api/hold")
        return hold(*order, respond);
    answerClock(respond); // The load of tasks is not played.
}

void Minion::answerClock(const Responder &respond, const char *reason) const
{
    Json::Value answer;
    answer["clockMs"] = Json::Int64(clockMs());
    if (reason)
        answer["reason"] = reason;
    respond({.status = reason ? 409 : 200, .headers = {}, .body = platform::serializeJson(answer)});
}

void Minion::start(const Json::Value &order, const Responder &respond)
{
    const auto task = platform::parseTaskRef(order["task"].asString());
    const int number = order["run"].asInt();
    const std::int64_t untilMs = order["untilMs"].asInt64();
    if (!task)
        return respond({.status = 400, .headers = {}, .body = "{}"});
    const bool present = std::any_of(m_runs.begin(), m_runs.end(), [&](const LiveRun &it) {
        return it.task == *task && it.number == number;
    });
    if (present)
        return answerClock(respond);
    if (untilMs <= clockMs())
        return answerClock(respond, "late");
    m_leaseUntilMs =
        std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + m_world.maxHold.count()));
    const auto ended = m_highestEnded.find(*task);
    if (ended != m_highestEnded.end() && ended->second >= number)
        return answerClock(respond, "old");
    if (!hasRoomFor(*task))
        return answerClock(respond, "room");
    m_world.submissions.note(m_identity.id,
                             "starts " + toString(*task) + " run " + std::to_string(number));
    m_runs.push_back({*task, number, m_world.clock.now(), {}});
    m_world.started(*task, number);
    joinGang(*task, number);
    answerClock(respond);
}

std::size_t Minion::runCountOf(const std::string &submission) const
{
    return static_cast<std::size_t>(
        std::count_if(m_runs.begin(), m_runs.end(),
                      [&](const LiveRun &it) { return it.task.job == submission; }));
}

steps::ResourceVector Minion::room() const
{
    steps::ResourceVector room = m_identity.capacity;
    for (const LiveRun &it : m_runs) {
        if (const steps::StepSpec *step = m_world.submissions.findStep(it.task))
            room -= steps::allocationFor(*step);
    }
    return room;
}

bool Minion::hasRoomFor(const steps::TaskRef &task) const
{
    const steps::StepSpec *step = m_world.submissions.findStep(task);
    return !step || steps::allocationFor(*step).fitsIn(room());
}

bool Minion::isGang(const steps::TaskRef &task) const
{
    const steps::StepSpec *step = m_world.submissions.findStep(task);
    return step && step->gang;
}

void Minion::joinGang(const steps::TaskRef &task, int run)
{
    if (!isGang(task))
        return;
    GangRun &gang = m_world.gangs[{task.stepRef(), run}];
    gang.members[task.index] = this;
    const int size = m_world.submissions.findStep(task)->taskCount;
    if (static_cast<int>(gang.members.size()) == size)
        gang.completeAt = m_world.clock.now();
}

// Ends the other members with the one that has ended.
void Minion::breakGang(const steps::TaskRef &task, int run, const std::string &how)
{
    const auto gang = m_world.gangs.find({task.stepRef(), run});
    if (gang == m_world.gangs.end() || gang->second.members.erase(task.index) == 0)
        return;
    if (!gang->second.completeAt)
        return; // Those that wait end alone.
    const auto members = gang->second.members;
    for (const auto &[index, minion] : members) {
        steps::TaskRef other = task;
        other.index = index;
        minion->endRun(other, run, how == "done" ? "done" : "broken");
    }
}

void Minion::stop(const Json::Value &order, const Responder &respond)
{
    const auto task = platform::parseTaskRef(order["task"].asString());
    const int number = order["run"].asInt();
    if (!task)
        return respond({.status = 400, .headers = {}, .body = "{}"});
    bool present = false;
    for (LiveRun &it : m_runs) {
        if (it.task != *task || it.number != number)
            continue;
        present = true;
        if (!it.stopsAt)
            it.stopsAt = m_world.clock.now() + m_world.stopTime;
    }
    if (!present) // It is rejected if it comes later.
        m_highestEnded[*task] = std::max(m_highestEnded[*task], number);
    answerClock(respond);
}

void Minion::hold(const Json::Value &order, const Responder &respond)
{
    const std::int64_t lastSeen = order["lastSeen"].asInt64();
    for (; !m_ends.empty() && m_ends.front().number <= lastSeen; m_ends.pop_front())
        m_world.noted(m_ends.front().task, m_ends.front().run, m_ends.front().how);
    if (order.isMember("untilMs"))
        m_leaseUntilMs =
            std::max(m_leaseUntilMs,
                     std::min(order["untilMs"].asInt64(), clockMs() + m_world.maxHold.count()));
    m_holds.push_back({m_world.clock.now() + Millis{order["waitMs"].asInt64()}, respond});
    answerHolds();
}

void Minion::answerHolds()
{
    if (m_cut)
        return;
    std::vector<WaitingHold> waiting = std::exchange(m_holds, {});
    for (WaitingHold &it : waiting) {
        if (m_ends.empty() && m_world.clock.now() < it.until)
            m_holds.push_back(std::move(it));
        else
            it.respond({.status = 200, .headers = {}, .body = platform::serializeJson(lists())});
    }
}

void Minion::endRun(const steps::TaskRef &task, int run, const char *how)
{
    const auto it = std::find_if(m_runs.begin(), m_runs.end(), [&](const LiveRun &r) {
        return r.task == task && r.number == run;
    });
    if (it == m_runs.end())
        return;
    m_runs.erase(it);
    m_ends.push_back({++m_lastEnd, task, run, how});
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    m_world.submissions.note(
        m_identity.id, "ends " + toString(task) + " run " + std::to_string(run) + " as " + how);
    m_world.ended(task, run, how);
    breakGang(task, run, how);
}

// Returns since when the run is at work, or nothing while it waits for the rest of its gang.
std::optional<Instant> Minion::worksSince(const LiveRun &run) const
{
    if (!isGang(run.task))
        return run.startedAt;
    const auto gang = m_world.gangs.find({run.task.stepRef(), run.number});
    return gang == m_world.gangs.end() ? std::nullopt : gang->second.completeAt;
}

// Returns how the run ends now, or an empty text if it goes on.
std::string Minion::howItEnds(const LiveRun &run) const
{
    const Instant now = m_world.clock.now();
    if (clockMs() > m_leaseUntilMs)
        return "lapsed";
    if (run.stopsAt && now >= *run.stopsAt)
        return "stopped";
    const auto since = worksSince(run);
    if (!since)
        return now - run.startedAt >= m_world.gangTimeout ? "alone" : "";
    if (m_greySince && run.startedAt >= *m_greySince && now - *since >= greyWork)
        return "failed";
    const auto end = m_world.ownEnd(run.task, run.number);
    return end && now - *since >= end->afterWork ? end->how : "";
}

void Minion::advanceRuns()
{
    const std::vector<LiveRun> runs = m_runs; // An end may end others.
    for (const LiveRun &it : runs) {
        const std::string how = howItEnds(it);
        if (how == "crash") // No end that a minion lists: the task takes it down.
            return crash(m_world.crashDowntime);
        if (!how.empty())
            endRun(it.task, it.number, how.c_str());
    }
}

int Minion::percentOf(const LiveRun &run) const
{
    const auto since = worksSince(run);
    if (!since)
        return 0;
    const Millis worked = m_world.clock.now() - *since;
    const steps::StepSpec *step = m_world.submissions.findStep(run.task);
    if (step && step->longRunning)
        return worked >= m_world.startupTime ? fullPercent : 0;
    const auto end = m_world.ownEnd(run.task, run.number);
    if (!end || end->afterWork.count() == 0)
        return 0;
    const std::int64_t percent = worked.count() * fullPercent / end->afterWork.count();
    return static_cast<int>(std::min<std::int64_t>(percent, fullPercent - 1));
}

Json::Value Minion::lists() const
{
    Json::Value json;
    json["clockMs"] = Json::Int64(clockMs());
    json["born"] = Json::Int64(m_bornWallMs);
    json["active"] = Json::arrayValue;
    json["finished"] = Json::arrayValue;
    for (const LiveRun &it : m_runs) {
        Json::Value row = Json::arrayValue;
        row.append(toString(it.task));
        row.append(it.number);
        row.append("");
        row.append(percentOf(it));
        row.append(0);
        json["active"].append(std::move(row));
    }
    for (const End &it : m_ends) {
        if (json["finished"].size() == maxListedEnds)
            break;
        Json::Value row = Json::arrayValue;
        row.append(Json::Int64(it.number));
        row.append(toString(it.task));
        row.append(it.run);
        row.append(it.how);
        row.append("");
        json["finished"].append(std::move(row));
    }
    return json;
}

} // namespace savorywick::review
