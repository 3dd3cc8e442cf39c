#include "deployment.h"

#include "platform/json.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace savorywick::review {

namespace {

constexpr int storeHost = 1;
constexpr int firstEntryHost = 11;
constexpr int firstGateHost = 51;
constexpr const char *storePort = ":8169";
constexpr const char *frontendPort = ":8161";
constexpr Millis callTime{3'000}; // 'time limit' of the small deployments.
constexpr Millis retryDelay{300};

// Lets the process, and the entries after it, hold as many descriptors as a case needs, if the
// system allows it that many.
void raiseDescriptorLimit()
{
    constexpr rlim_t neededDescriptors = 8'192;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = std::max(limit.rlim_cur, std::min(limit.rlim_max, neededDescriptors));
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

EntryProcess::EntryProcess(std::string program, std::string settingsPath, std::string logPath)
    : m_program(std::move(program))
    , m_settingsPath(std::move(settingsPath))
    , m_logPath(std::move(logPath))
{ }

EntryProcess::~EntryProcess()
{
    if (m_pid == 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void EntryProcess::start()
{
    const std::string variable = "SAVORYWICK_NODE_FILE=" + m_settingsPath;
    const char *arguments[] = {m_program.c_str(), "node", nullptr};
    const char *environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
    const pid_t pid = ::fork();
    if (pid < 0)
        throw std::runtime_error("can't start " + m_program);
    if (pid > 0) {
        m_pid = pid;
        return;
    }
    // Only async-signal-safe functions from here on.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(m_logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // The sockets of the case must not stay open in the child.
    constexpr int maxInherited = 20'000;
    for (int fd = STDERR_FILENO + 1; fd < maxInherited; ++fd)
        ::close(fd);
    ::execve(arguments[0], const_cast<char *const *>(arguments),
             const_cast<char *const *>(environment));
    ::_exit(127);
}

void EntryProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool EntryProcess::hasEnded()
{
    if (m_pid > 0 && ::waitpid(m_pid, &m_endStatus, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid == 0;
}

StoreGate::StoreGate(EventLoop &loop, const std::string &address, std::string store)
    : m_store(std::move(store))
    , m_http(loop)
    , m_server(loop, AsyncHttpServerLimits{},
               [this](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                   handle(request, respond);
               })
{
    m_server.listen(address);
}

void StoreGate::setMode(Mode mode)
{
    m_mode = mode;
}

void StoreGate::handle(const HttpRequest &request, const AsyncHttpServer::Responder &respond)
{
    if (m_listener)
        m_listener(request);
    if (m_mode == Mode::Busy)
        return respond({.status = 503, .headers = {}, .body = "{}"});
    if (m_mode == Mode::Silent)
        return m_unanswered.push_back(respond);
    HttpCall call;
    call.address = m_store;
    call.method = request.method;
    call.path = request.path;
    char separator = '?';
    for (const HttpHeader &it : request.queryParameters) {
        call.path += separator + it.name + "=" + it.value;
        separator = '&';
    }
    call.body = request.body;
    call.timeout = Millis{35'000};
    m_http.exchange(std::move(call), [this, respond](const HttpResult &result) {
        if (m_mode == Mode::Silent || result.outcome != HttpOutcome::ResponseReceived)
            return m_unanswered.push_back(respond);
        respond({.status = result.status, .headers = {}, .body = result.body});
    });
}

Deployment::Deployment(DeploymentSettings settings, const BootClock &clock, Record &record)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_record(record)
{
    std::signal(SIGPIPE, SIG_IGN); // Peers come and go.
    m_store =
        std::make_unique<testing::PlatformStandIn>(m_loop, m_clock, ipOf(storeHost) + storePort, 1);
    writeManifest();
    for (int i = 0; i < m_settings.entries; ++i) {
        if (m_settings.gated)
            m_gates.push_back(std::make_unique<StoreGate>(
                m_loop, ipOf(firstGateHost + i) + storePort, ipOf(storeHost) + storePort));
        m_entries.push_back(
            std::make_unique<EntryProcess>(m_settings.program, writeSettings(i), logOf(i)));
    }
}

// The cases run one at a time, but a soak may run beside them.
std::string Deployment::ipOf(int host) const
{
    constexpr int hostsPerByte = 250;
    const int process = ::getpid();
    return "127." + std::to_string(1 + process / hostsPerByte % hostsPerByte) + "."
        + std::to_string(1 + process % hostsPerByte) + "." + std::to_string(host);
}

std::string Deployment::frontendOf(std::size_t entry) const
{
    return ipOf(firstEntryHost + static_cast<int>(entry)) + frontendPort;
}

std::string Deployment::logOf(std::size_t entry) const
{
    return m_settings.directory + "/entry-" + std::to_string(entry) + ".log";
}

void Deployment::writeManifest()
{
    Json::Value route;
    route["name"] = "queue-a";
    route["host"] = host;
    route["pathPrefix"] = prefix;
    route["service"] = service;
    route["priority"] = 0;
    route["maxAttempts"] = 4;
    route["slackFactor"] = 2.0;
    route["targetDurationMs"] = 1'000;
    Json::Value manifest;
    manifest["version"] = 1;
    manifest["routes"].append(route);
    manifest["services"][service]["admissionCheck"] = true;
    m_store->put("op", "config", platform::serializeJson(manifest));
}

// Writes a settings file as the platform does, with the bounds of the small deployments.
std::string Deployment::writeSettings(int entry)
{
    const std::string ip = ipOf(firstEntryHost + entry);
    Json::Value node;
    node["nodeName"] = "edge-a-" + std::to_string(entry + 1);
    node["role"] = "entry";
    node["machineClass"] = "edge";
    node["serves"].append("edge");
    node["ip"] = ip;
    node["zone"] = "a";
    node["region"] = "south";
    node["zones"]["a"] = "south";
    node["bindAddresses"]["frontend"] = ip + frontendPort;
    node["bindAddresses"]["readiness"] = ip + ":8167";
    node["internalPorts"].append(7'720);
    node["internalPorts"].append(7'735);
    node["seeds"] = Json::arrayValue;
    node["bootstrap"] = true;
    node["limits"]["cpuShare"] = 0.25;
    node["limits"]["cores"] = 1;
    node["limits"]["memoryMb"] = 260;
    node["limits"]["maxFds"] = 4'100;
    node["limits"]["linkMbps"] = 1'000.0;
    node["heartbeatMs"] = 1'100;
    node["bounds"]["holdMaxMs"] = 10'000;
    node["bounds"]["status_s"] = 120;
    node["bounds"]["graceS"] = 6;
    node["orders"] = "invoke";
    node["platform"]["address"] =
        ipOf(m_settings.gated ? firstGateHost + entry : storeHost) + storePort;
    node["platform"]["form"] = "table";
    node["platform"]["rowBytes"] = 65'536;
    std::string path = m_settings.directory + "/node-" + std::to_string(entry) + ".json";
    std::ofstream(path) << platform::serializeJson(node);
    return path;
}

void Deployment::startEntries()
{
    for (const auto &it : m_entries)
        it->start();
}

void Deployment::addMinion(MinionSettings settings)
{
    settings.service = service;
    m_minions.push_back(
        std::make_unique<Minion>(m_loop, m_clock, *m_store, m_record, m_runs, std::move(settings)));
}

void Deployment::every(Millis interval, const std::function<bool()> &step)
{
    m_loop.runAfter(interval, [this, interval, step] {
        if (step())
            every(interval, step);
    });
}

Callers::Callers(Deployment &deployment)
    : m_deployment(deployment)
    , m_http(deployment.loop())
{ }

void Callers::send(const char *method, const std::string &id, const std::string &body,
                   const StatusCallback &done)
{
    HttpCall call;
    call.address = m_deployment.frontendOf(m_next++ % m_deployment.entries().size());
    call.method = method;
    call.path = std::string(Deployment::prefix) + id;
    call.headers = {{"Host", Deployment::host},
                    {"X-Savorywick-Deadline-Ms", std::to_string(callTime.count())}};
    call.body = body;
    call.timeout = callTime;
    const std::string what = "caller " + call.method + " " + id + " at " + call.address + " -> ";
    m_http.exchange(std::move(call), [this, what, done](const HttpResult &result) {
        const bool answered = result.outcome == HttpOutcome::ResponseReceived;
        const int status = answered ? result.status : 0;
        m_deployment.record().line(what + std::to_string(status) + " " + result.body);
        done(status, result.body);
    });
}

void Callers::submit(const std::string &id, const std::string &body, int attempts,
                     const StatusCallback &done)
{
    send("POST", id, body, [=, this](int status, const std::string &answer) {
        if ((status >= 200 && status < 300) || status == 400 || attempts <= 1)
            return done(status, answer);
        m_deployment.loop().runAfter(retryDelay,
                                     [=, this] { submit(id, body, attempts - 1, done); });
    });
}

void Callers::cancel(const std::string &id, int attempts, const StatusCallback &done)
{
    send("DELETE", id, "", [=, this](int status, const std::string &answer) {
        if ((status >= 200 && status < 300) || status == 410 || attempts <= 1)
            return done(status, answer);
        m_deployment.loop().runAfter(retryDelay, [=, this] { cancel(id, attempts - 1, done); });
    });
}

void Callers::ask(const std::string &id, const StatusCallback &done)
{
    send("GET", id, "", done);
}

std::string stateOf(const std::string &body)
{
    const auto json = platform::parseJson(body);
    return json ? platform::stringMember(*json, "state").value_or("") : "";
}

bool troubleWanted()
{
    const char *text = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe): One thread.
    return !text || std::string(text) != "0";
}

int caseMain(int argc, char **argv, const RunCase &run)
{
    constexpr int cannotRun = 2;
    if (argc != 4) {
        std::cerr << "usage: case PROGRAM FOLDER RECORD\n";
        return cannotRun;
    }
    raiseDescriptorLimit();
    try {
        const BootClock clock;
        Record record(clock, argv[3]);
        DeploymentSettings settings;
        settings.program = argv[1];
        settings.directory = argv[2];
        return run(settings, clock, record);
    } catch (const std::exception &e) {
        std::cerr << e.what() << "\n";
        return cannotRun;
    }
}

} // namespace savorywick::review
