#include "workerstandin.h"

#include "platform/json.h"
#include "platform/workerreport.h"
#include "savorywick/steps/runtable.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace savorywick::testing {

namespace {

constexpr steps::ResourceVector fullCapacity{8'000, 16'000, 0};
constexpr int fullPercent = 100;
constexpr Millis tickInterval{50};
constexpr Millis entryInterval{1'100};
constexpr Millis unlistingDelay{3'300};
constexpr Millis stopTime{60};
constexpr Millis startupTime{300}; // Until a long-running task is at work.
constexpr Millis crashDelay{10}; // From the start of a run to the crash that it causes.
constexpr int failingPercent = 3;
constexpr int lateCallsPercent = 50;
// For how long a start may still count on a capacity that has shrunk.
constexpr Millis capacityGrace{5'100};

bool grantsLease(const HttpRequest &request)
{
    const auto order = platform::parseJson(request.body);
    return order && order->isMember("untilMs");
}

} // namespace

WorkerStandIn::WorkerStandIn(EventLoop &loop, const BootClock &clock, PlatformStandIn &store,
                             RunLedger &ledger, std::string name, std::string address,
                             unsigned seed, Millis maxLeaseTerm)
    : m_loop(loop)
    , m_clock(clock)
    , m_store(store)
    , m_ledger(ledger)
    , m_address(std::move(address))
    , m_name(std::move(name))
    , m_random(seed)
    , m_maxLeaseTerm(maxLeaseTerm)
    , m_capacity(fullCapacity)
{
    beginLife(true);
    tick();
}

// Begins a life as soon as the address is free: an entry that was forked just now may still have
// the socket of the life before.
void WorkerStandIn::beginNextLife(bool underNewId)
{
    try {
        beginLife(underNewId);
    } catch (const std::exception &) {
        m_server.reset();
        m_loop.runAfter(tickInterval, [this, underNewId] { beginNextLife(underNewId); });
    }
}

void WorkerStandIn::beginLife(bool underNewId)
{
    m_server = std::make_unique<AsyncHttpServer>(
        m_loop, AsyncHttpServerLimits{}, [this](HttpRequest request, Responder respond) {
            receive(std::move(request), std::move(respond));
        });
    m_server->listen(m_address);
    if (underNewId)
        m_id = m_name + "-" + std::to_string(++m_lives);
    const Millis age = std::exchange(m_age, Millis{0});
    m_bornAt = m_clock.now() - age;
    m_bornWallMs = wallClockMs() - age.count();
    m_sequence = 0;
    m_fence = 0;
    m_leaseUntilMs = 0;
    m_ends.clear();
    m_lastEnd = 0;
    m_lapsedEnd = 0;
    m_highestEnded.clear();
    if (m_listingDelay > Millis{0})
        m_nextEntryAt = m_bornAt + std::exchange(m_listingDelay, Millis{0});
    else
        writeEntry();
    if (!m_callForNextLife)
        return;
    m_loop.runAfter(m_callDelay, [this, call = std::move(*m_callForNextLife)] {
        if (isUp() && !m_silent && !m_cutOff)
            handle(call, [](const HttpResponse &) {});
    });
    m_callForNextLife.reset();
}

void WorkerStandIn::receive(HttpRequest request, Responder respond)
{
    if (m_cutOff)
        return m_lostCalls.push_back(std::move(respond));
    if (m_silent)
        return m_heldCalls.push_back({std::move(request), std::move(respond)});
    if (m_restart && grantsLease(request)
        && (m_restart->path.empty() || m_restart->path == request.path)) {
        m_heldCalls.push_back({request, std::move(respond)});
        return restartWith(std::move(request));
    }
    handle(request, respond);
}

// Ends the life that the call was meant for before it carries out another one.
void WorkerStandIn::restartWith(HttpRequest request)
{
    m_silent = true;
    m_callForNextLife = std::move(request);
    m_callDelay = m_restart->callDelay;
    m_listingDelay = m_restart->listingDelay;
    const Millis downtime = std::exchange(m_restart, {})->downtime;
    m_loop.runAfter(Millis{0}, [this, downtime, life = m_bornWallMs] {
        if (m_bornWallMs == life)
            crash(downtime, false);
    });
}

void WorkerStandIn::restartUnlisted(Millis listingDelay)
{
    if (!isUp())
        return;
    m_listingDelay = listingDelay;
    crash(Millis{0}, false);
}

void WorkerStandIn::crash(Millis downtime, bool underNewId)
{
    if (!isUp())
        return;
    endLife();
    m_loop.runAfter(downtime, [this, underNewId] { beginNextLife(underNewId); });
}

void WorkerStandIn::vanish()
{
    if (isUp())
        endLife();
}

void WorkerStandIn::endLife()
{
    for (const LiveRun &it : m_runs)
        m_ledger.noteLostRun(it.task);
    m_runs.clear();
    m_holds.clear();
    m_heldCalls.clear();
    m_lostCalls.clear();
    m_silent = false;
    m_server.reset();
    m_staleId = m_id;
    m_unlistedAt = m_clock.now() + unlistingDelay;
}

void WorkerStandIn::setSilent(bool silent)
{
    m_silent = silent;
    if (silent)
        return;
    for (const HeldCall &it : std::exchange(m_heldCalls, {})) {
        if (randomBelow(100) < lateCallsPercent)
            handle(it.request, [](const HttpResponse &) {});
    }
}

void WorkerStandIn::setCutOff(bool cutOff)
{
    m_cutOff = cutOff;
    if (!cutOff)
        m_lostCalls.clear();
}

void WorkerStandIn::setCapacity(int percent)
{
    m_earlierCapacity = m_capacity;
    m_capacity = {fullCapacity.milliCores * percent / fullPercent,
                  fullCapacity.memoryMb * percent / fullPercent, 0};
    m_capacityChangedAt = m_clock.now();
    if (isUp())
        writeEntry();
}

void WorkerStandIn::tick()
{
    if (isUp()) {
        advanceRuns();
        answerHolds();
        if (!m_silent && m_clock.now() >= m_nextEntryAt)
            writeEntry();
    }
    if (m_unlistedAt && m_clock.now() >= *m_unlistedAt) {
        m_unlistedAt.reset();
        if (!isUp() || m_staleId != m_id)
            m_store.remove("servers", m_staleId);
    }
    m_loop.runAfter(tickInterval, [this] { tick(); });
}

void WorkerStandIn::writeEntry()
{
    m_nextEntryAt = m_clock.now() + entryInterval;
    Json::Value entry;
    entry["service"] = "soak";
    entry["address"] = m_address;
    entry["zone"] = "a";
    entry["state"] = "ready";
    entry["born"] = Json::Int64(m_bornWallMs);
    entry["capacity"]["cpu"] = m_capacity.milliCores;
    entry["capacity"]["memMb"] = m_capacity.memoryMb;
    entry["capacity"]["gpu"] = 0;
    entry["labels"].append("a");
    entry["labels"].append("r1");
    entry["sequence"] = Json::Int64(++m_sequence);
    m_store.put("servers", m_id, platform::serializeJson(entry));
}

void WorkerStandIn::handle(const HttpRequest &request, const Responder &respond)
{
    if (headerValue(request.headers, "X-Savorywick-Expected-Instance") != m_id)
        return respond({.status = 421, .headers = {}, .body = "{}"});
    const auto order = platform::parseJson(request.body);
    if (!order)
        return respond({.status = 400, .headers = {}, .body = "{}"});
    const std::uint64_t fence = (*order)["fencingToken"].asUInt64();
    if (fence < m_fence)
        return refuse(respond, "fence");
    m_fence = fence;
    if (request.path == "/api/run-start")
        return start(*order, respond);
    if (request.path == "/api/run-stop")
        return stop(*order, respond);
    if (request.path == "/api/hold")
        return hold(*order, respond);
    confirm(respond); // The tasks of a soak need not be slowed.
}

void WorkerStandIn::confirm(const Responder &respond) const
{
    Json::Value answer;
    answer["clockMs"] = Json::Int64(clockMs());
    respond({.status = 200, .headers = {}, .body = platform::serializeJson(answer)});
}

void WorkerStandIn::refuse(const Responder &respond, const char *reason) const
{
    Json::Value answer;
    answer["clockMs"] = Json::Int64(clockMs());
    answer["reason"] = reason;
    respond({.status = 409, .headers = {}, .body = platform::serializeJson(answer)});
}

void WorkerStandIn::start(const Json::Value &order, const Responder &respond)
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
        return confirm(respond);
    if (untilMs <= clockMs())
        return refuse(respond, "late");
    m_leaseUntilMs =
        std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + m_maxLeaseTerm.count()));
    const auto ended = m_highestEnded.find(*task);
    if (ended != m_highestEnded.end() && ended->second >= number)
        return refuse(respond, "old");
    addRun(*task, number);
    confirm(respond);
}

void WorkerStandIn::addRun(const steps::TaskRef &task, int number)
{
    constexpr Millis minWork{100};
    constexpr int workRangeMs = 700;
    m_ledger.noteStart(task);
    m_runs.push_back({task, number, minWork + Millis{randomBelow(workRangeMs)}, m_clock.now(), {}});
    checkCapacity(task);
    const auto job = m_ledger.jobs().find(task.job);
    if (job == m_ledger.jobs().end() || !job->second.crashesWorkers || task.index != 0)
        return;
    constexpr Millis minDowntime{500};
    constexpr int downtimeRangeMs = 4'000;
    const Millis downtime = minDowntime + Millis{randomBelow(downtimeRangeMs)};
    const bool underNewId = randomBelow(3) != 0;
    m_loop.runAfter(crashDelay, [this, downtime, underNewId, life = m_bornWallMs] {
        if (m_bornWallMs == life)
            crash(downtime, underNewId);
    });
}

// A worker that starts what it is told to must not be told too much.
void WorkerStandIn::checkCapacity(const steps::TaskRef &task)
{
    steps::ResourceVector booked;
    for (const LiveRun &it : m_runs) {
        if (const steps::StepSpec *step = m_ledger.findStep(it.task))
            booked += steps::allocationFor(*step);
    }
    const bool countsOnEarlier =
        m_clock.now() - m_capacityChangedAt <= capacityGrace && booked.fitsIn(m_earlierCapacity);
    if (!booked.fitsIn(m_capacity) && !countsOnEarlier)
        m_ledger.violate(toString(task) + " brings " + m_id + " over its capacity");
}

void WorkerStandIn::stop(const Json::Value &order, const Responder &respond)
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
            it.stopsAt = m_clock.now() + stopTime;
    }
    if (!present) // It is rejected if it comes later.
        m_highestEnded[*task] = std::max(m_highestEnded[*task], number);
    confirm(respond);
}

void WorkerStandIn::hold(const Json::Value &order, const Responder &respond)
{
    acknowledge(order["lastSeen"].asInt64());
    if (order.isMember("untilMs"))
        m_leaseUntilMs =
            std::max(m_leaseUntilMs,
                     std::min(order["untilMs"].asInt64(), clockMs() + m_maxLeaseTerm.count()));
    m_holds.push_back({m_clock.now() + Millis{order["waitMs"].asInt64()}, respond});
    answerHolds();
}

void WorkerStandIn::acknowledge(std::int64_t lastSeen)
{
    for (const steps::RunEndReport &it : m_ends) {
        const bool stands = it.endNumber <= lastSeen && it.endNumber > m_lapsedEnd;
        if (stands && it.outcome == steps::RunOutcome::Done)
            m_ledger.noteDoneAcknowledged(it.task);
    }
    std::erase_if(m_ends, [&](const steps::RunEndReport &it) { return it.endNumber <= lastSeen; });
}

void WorkerStandIn::endRun(const LiveRun &run, steps::RunOutcome outcome)
{
    m_ends.push_back({++m_lastEnd, run.task, run.number, outcome, ""});
    m_highestEnded[run.task] = std::max(m_highestEnded[run.task], run.number);
    m_ledger.noteEnd(run.task, outcome);
}

void WorkerStandIn::advanceRuns()
{
    const bool lapsed = clockMs() > m_leaseUntilMs;
    if (lapsed)
        m_lapsedEnd = m_lastEnd;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const steps::StepSpec *step = m_ledger.findStep(it->task);
        const bool lasts = step && step->longRunning;
        const bool worked = !lasts && m_clock.now() - it->startedAt >= it->work;
        const bool stopped = it->stopsAt && m_clock.now() >= *it->stopsAt;
        if (!lapsed && !stopped && !worked) {
            ++it;
            continue;
        }
        const bool fails = randomBelow(100) < failingPercent;
        const steps::RunOutcome atEnd = fails ? steps::RunOutcome::Failed : steps::RunOutcome::Done;
        endRun(*it,
               lapsed        ? steps::RunOutcome::LeaseExpired
                   : stopped ? steps::RunOutcome::Stopped
                             : atEnd);
        it = m_runs.erase(it);
    }
}

void WorkerStandIn::answerHolds()
{
    if (m_silent || m_cutOff)
        return;
    std::vector<WaitingHold> waiting = std::exchange(m_holds, {});
    for (WaitingHold &it : waiting) {
        if (m_ends.empty() && m_clock.now() < it.until)
            m_holds.push_back(std::move(it));
        else
            it.respond({.status = 200, .headers = {}, .body = platform::serializeJson(report())});
    }
}

Json::Value WorkerStandIn::report() const
{
    Json::Value json;
    json["clockMs"] = Json::Int64(clockMs());
    json["born"] = Json::Int64(m_bornWallMs);
    json["active"] = Json::arrayValue;
    json["finished"] = Json::arrayValue;
    for (const LiveRun &it : m_runs) {
        const Millis passed = m_clock.now() - it.startedAt;
        const steps::StepSpec *step = m_ledger.findStep(it.task);
        const bool lasts = step && step->longRunning;
        const auto percent = lasts ? (passed >= startupTime ? fullPercent : 0)
                                   : static_cast<int>(passed.count() * 99 / it.work.count());
        Json::Value row = Json::arrayValue;
        row.append(toString(it.task));
        row.append(it.number);
        row.append("");
        row.append(std::min(percent, fullPercent));
        json["active"].append(std::move(row));
    }
    for (const steps::RunEndReport &it : m_ends) {
        Json::Value row = Json::arrayValue;
        row.append(Json::Int64(it.endNumber));
        row.append(toString(it.task));
        row.append(it.run);
        row.append(std::string(toString(it.outcome))); // Named alike in the protocol.
        row.append(it.checkpoint);
        json["finished"].append(std::move(row));
    }
    return json;
}

} // namespace savorywick::testing
