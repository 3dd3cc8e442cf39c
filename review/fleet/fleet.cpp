#include "fleet.h"

#include "platform/json.h"

#include <csignal>
#include <fstream>
#include <utility>

#include <unistd.h>

namespace savorywick::review {

namespace {

constexpr int storeMachine = 1;
constexpr int firstEntry = 11;
constexpr int firstGate = 51;
constexpr int firstMinion = 100;
constexpr Millis clientDeadline{3'000};
constexpr Millis retryDelay{300};

Json::Value bounds()
{
    Json::Value json;
    json["contactMs"] = 4'000;
    json["ackTimeoutMs"] = 5'000;
    json["drainMs"] = 2'500;
    json["graceS"] = 6;
    json["configApplyMs"] = 2'500;
    json["recoveryS"] = 12;
    json["holdMaxMs"] = 10'000;
    json["stopMs"] = 900;
    json["gangTimeoutMs"] = 3'000;
    json["cancel_ms"] = 3'000;
    json["visible_ms"] = 3'000;
    json["early_ms"] = 250;
    json["finish_s"] = 14;
    json["status_s"] = 120;
    json["checkpointS"] = 2;
    json["noticeMs"] = 5'500;
    json["leaseMs"] = 3'000;
    json["enforceFencing"] = false;
    return json;
}

} // namespace

Fleet::Fleet(FleetSettings settings)
    : m_settings(std::move(settings))
    , m_submissions(m_clock, m_settings.recordPath)
    , m_store(m_loop, m_clock, ipOf(storeMachine) + ":8169", 1)
    , m_world({.loop = m_loop,
               .clock = m_clock,
               .store = m_store,
               .submissions = m_submissions,
               .ownEnd = [](const steps::TaskRef &, int) -> std::optional<OwnEnd> { return {}; }})
    , m_clients(m_loop)
{
    std::signal(SIGPIPE, SIG_IGN);
}

// Returns an address of the loopback network that other cases at the same time don't use.
std::string Fleet::ipOf(int machine)
{
    constexpr int perByte = 250;
    const int process = ::getpid();
    return "127." + std::to_string(1 + process / perByte % perByte) + "."
        + std::to_string(1 + process % perByte) + "." + std::to_string(machine);
}

std::string Fleet::entryIp(int entry)
{
    return ipOf(firstEntry + entry);
}

void Fleet::start()
{
    writeManifest();
    constexpr int minionsPerRack = 3;
    for (int i = 0; i < m_settings.minions; ++i) {
        const std::string rack = "r1-" + std::to_string(i / minionsPerRack);
        m_minions.push_back(
            std::make_unique<Minion>(m_world,
                                     Minion::Identity{"m" + std::to_string(i),
                                                      ipOf(firstMinion + i) + ":8648",
                                                      service,
                                                      {"a", rack},
                                                      {64'000, 256'000, 0}}));
    }
    for (int i = 0; i < m_settings.entries; ++i)
        m_gates.push_back(std::make_unique<StoreGate>(m_loop, ipOf(firstGate + i) + ":8169",
                                                      ipOf(storeMachine) + ":8169"));
    for (int i = 0; i < m_settings.entries; ++i)
        m_entries.push_back(std::make_unique<testing::NodeProcess>(
            m_settings.program, writeSettings(i),
            m_settings.directory + "/edge-" + std::to_string(i) + ".log"));
    keepRunning();
}

void Fleet::writeManifest()
{
    Json::Value route;
    route["name"] = "q1";
    route["host"] = host;
    route["pathPrefix"] = prefix;
    route["service"] = service;
    route["priority"] = 0;
    route["maxAttempts"] = m_settings.maxAttempts;
    route["slackFactor"] = 2.0;
    route["targetDurationMs"] = 1'000;
    Json::Value known;
    known["name"] = service;
    known["admissionCheck"] = true;
    Json::Value manifest;
    manifest["version"] = 7;
    manifest["routes"].append(route);
    manifest["services"].append(known);
    manifest["limits"]["maxBodyBytes"] = 262'144;
    m_store.put("op", "config", platform::serializeJson(manifest));
}

std::string Fleet::writeSettings(int entry) const
{
    const std::string ip = entryIp(entry);
    Json::Value json;
    json["nodeName"] = "edge-hobart-" + std::to_string(entry);
    json["role"] = "entry";
    json["machineClass"] = "edge";
    json["serves"].append("edge");
    json["ip"] = ip;
    json["zone"] = "hobart";
    json["region"] = "south-tas";
    json["bindAddresses"]["frontend"] = ip + ":8161";
    json["bindAddresses"]["readiness"] = ip + ":8167";
    json["internalPorts"].append(7'720);
    json["internalPorts"].append(7'735);
    json["bootstrap"] = true;
    json["limits"]["cpuShare"] = 0.25;
    json["limits"]["cores"] = 1;
    json["limits"]["memoryMb"] = 260;
    json["limits"]["maxFds"] = 4'100;
    json["limits"]["linkMbps"] = 1'000.0;
    json["heartbeatMs"] = 1'100;
    json["bounds"] = bounds();
    json["orders"] = "invoke";
    json["platform"]["address"] = ipOf(firstGate + entry) + ":8169";
    json["platform"]["form"] = "table";
    json["platform"]["rowBytes"] = 65'536;
    std::string path = m_settings.directory + "/edge-" + std::to_string(entry) + ".json";
    std::ofstream(path) << platform::serializeJson(json);
    return path;
}

void Fleet::keepRunning()
{
    constexpr Millis interval{300};
    for (const auto &it : m_entries) {
        if (m_restarts)
            it->start();
    }
    m_loop.runAfter(interval, [this] { keepRunning(); });
}

void Fleet::call(int entry, const std::string &method, const std::string &id,
                 const std::string &body, const std::function<void(const HttpResult &)> &done)
{
    HttpCall call;
    call.address = entryIp(entry) + ":8161";
    call.method = method;
    call.path = prefix + id;
    call.headers = {{"Host", host},
                    {"X-Savorywick-Deadline-Ms", std::to_string(clientDeadline.count())}};
    call.body = body;
    call.timeout = clientDeadline;
    const std::string what = method + " " + call.path + " at edge " + std::to_string(entry);
    m_submissions.note("client", what);
    m_clients.exchange(std::move(call), [this, what, done](const HttpResult &answer) {
        m_submissions.note("client",
                           what + " -> " + std::to_string(answer.status) + " " + answer.body);
        done(answer);
    });
}

void Fleet::submit(const steps::JobSpec &spec, const std::function<void()> &accepted)
{
    m_submissions.add(spec);
    call(0, "POST", spec.id, encodeSubmission(spec), [this, spec, accepted](const auto &answer) {
        if (answer.outcome == HttpOutcome::ResponseReceived && answer.status == 200)
            return accepted();
        m_loop.runAfter(retryDelay, [this, spec, accepted] { submit(spec, accepted); });
    });
}

void Fleet::await(const std::function<bool()> &condition, Millis patience,
                  const std::function<void()> &then, const std::function<void()> &otherwise)
{
    constexpr Millis pollInterval{50};
    if (condition())
        return then();
    if (patience <= Millis{0})
        return otherwise();
    m_loop.runAfter(pollInterval, [this, condition, patience, then, otherwise, pollInterval] {
        await(condition, patience - pollInterval, then, otherwise);
    });
}

std::string encodeSubmission(const steps::JobSpec &spec)
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
        if (it.gang)
            step["gang"] = true;
        if (it.longRunning)
            step["longRunning"] = true;
        if (it.maxTasksPerWorker > 0)
            step["maxPerServer"] = it.maxTasksPerWorker;
        json["stepSpecs"].append(std::move(step));
    }
    if (spec.schedule.occurrenceCount > 0) {
        json["repeatCount"] = spec.schedule.occurrenceCount;
        json["firstMs"] = Json::Int64(spec.schedule.firstDueWallMs);
        json["intervalMs"] = Json::Int64(spec.schedule.interval.count());
    }
    return platform::serializeJson(json);
}

std::string stateIn(const HttpResult &answer)
{
    const auto json = answer.status == 200 ? platform::parseJson(answer.body) : std::nullopt;
    const auto state = json ? platform::stringMember(*json, "state") : std::nullopt;
    return state.value_or("");
}

} // namespace savorywick::review
