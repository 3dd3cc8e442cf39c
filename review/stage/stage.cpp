#include "stage.h"

#include "platform/json.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using savorywick::platform::serializeJson;

constexpr int storeHost = 1;
constexpr int firstNodeHost = 11;
constexpr int firstMinionHost = 101;
constexpr const char *program = "target/src/savorywick";
constexpr const char *clientHost = "review.example";
constexpr const char *prefix = "/jobs/";
constexpr Millis clientTimeout{3'000};

Json::Value defaultBounds()
{
    Json::Value bounds;
    bounds["contactMs"] = 4'000;
    bounds["ackTimeoutMs"] = 5'000;
    bounds["catchUpS"] = 4;
    bounds["drainMs"] = 2'500;
    bounds["graceS"] = 6;
    bounds["configApplyMs"] = 2'500;
    bounds["holdMaxMs"] = 10'000;
    bounds["stopMs"] = 900;
    bounds["gangTimeoutMs"] = 3'000;
    bounds["cancel_ms"] = 3'000;
    bounds["visible_ms"] = 3'000;
    bounds["early_ms"] = 250;
    bounds["finish_s"] = 14;
    bounds["status_s"] = 120;
    bounds["noticeMs"] = 5'500;
    bounds["leaseMs"] = 3'000;
    return bounds;
}

} // namespace

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

NodeProcess::NodeProcess(std::string name, std::string settingsPath, std::string logPath)
    : m_name(std::move(name))
    , m_settingsPath(std::move(settingsPath))
    , m_logPath(std::move(logPath))
{ }

NodeProcess::~NodeProcess()
{
    if (!isRunning())
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void NodeProcess::start()
{
    if (isRunning())
        return;
    m_endedHow.clear();
    const std::string variable = "SAVORYWICK_NODE_FILE=" + m_settingsPath;
    const char *arguments[] = {program, "node", nullptr};
    const char *environment[] = {variable.c_str(), "LANG=C", nullptr};
    const pid_t pid = ::fork();
    if (pid < 0)
        throw std::runtime_error("can't start a process");
    if (pid > 0) {
        m_pid = pid;
        return;
    }
    // Only async-signal-safe functions from here on.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(m_logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    constexpr int maxInherited = 4'096;
    for (int fd = STDERR_FILENO + 1; fd < maxInherited; ++fd)
        ::close(fd);
    ::execve(arguments[0], const_cast<char *const *>(arguments),
             const_cast<char *const *>(environment));
    ::_exit(127);
}

void NodeProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool NodeProcess::isRunning()
{
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_endedHow = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                         : "exit " + std::to_string(WEXITSTATUS(status));
        m_pid = 0;
    }
    return m_pid > 0;
}

Stage::Stage(const std::string &recordPath, const Settings &settings,
             const Minion::Listener &listener)
    : m_startedAt(m_clock.now())
    , m_record(recordPath, std::ios::trunc)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        throw std::runtime_error("no temporary folder");
    m_directory = name;
    m_store = std::make_unique<savorywick::testing::PlatformStandIn>(m_loop, m_clock,
                                                                     ipOf(storeHost) + ":8169", 1);
    writeManifest();
    for (int i = 0; i < settings.minions; ++i) {
        Minion::Settings minion;
        minion.name = "m" + std::to_string(i + 1);
        minion.ip = ipOf(firstMinionHost + i);
        m_minions.push_back(std::make_unique<Minion>(m_loop, m_clock, *m_store, minion, listener));
    }
    for (int i = 0; i < settings.nodes; ++i) {
        const std::string node = "edge-" + std::to_string(i + 1);
        m_nodes.push_back(std::make_unique<NodeProcess>(node, writeSettings(i, settings.bounds),
                                                        m_directory + "/" + node + ".log"));
    }
    m_http = std::make_unique<savorywick::AsyncHttpClient>(m_loop);
}

Stage::~Stage()
{
    m_nodes.clear();
    m_http.reset();
    if (const char *keep = std::getenv("KEEP_LOGS"))
        std::filesystem::copy(m_directory, keep,
                              std::filesystem::copy_options::recursive
                                  | std::filesystem::copy_options::overwrite_existing);
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

// Returns an address of the loopback network that other cases on this machine don't use.
std::string Stage::ipOf(int host) const
{
    constexpr int hostsPerByte = 250;
    const int process = ::getpid();
    return "127." + std::to_string(1 + process / hostsPerByte % hostsPerByte) + "."
        + std::to_string(1 + process % hostsPerByte) + "." + std::to_string(host);
}

void Stage::writeManifest()
{
    Json::Value route;
    route["name"] = "work";
    route["host"] = clientHost;
    route["pathPrefix"] = prefix;
    route["service"] = "match-svc";
    route["priority"] = 2;
    route["maxAttempts"] = 4;
    route["slackFactor"] = 2.0;
    route["targetDurationMs"] = 1'000;
    Json::Value service;
    service["name"] = "match-svc";
    service["admissionCheck"] = true;
    Json::Value manifest;
    manifest["version"] = 3;
    manifest["routes"].append(route);
    manifest["services"].append(service);
    m_store->put("op", "config", serializeJson(manifest));
}

std::string Stage::writeSettings(int node, const Json::Value &bounds) const
{
    const std::string ip = ipOf(firstNodeHost + node);
    const std::string name = "edge-" + std::to_string(node + 1);
    Json::Value json;
    json["nodeName"] = name;
    json["role"] = "entry";
    json["machineClass"] = "edge";
    json["serves"].append("edge");
    json["ip"] = ip;
    json["zone"] = "hobart";
    json["region"] = "south-tas";
    json["zones"]["hobart"] = "south-tas";
    json["bindAddresses"]["frontend"] = ip + ":8161";
    json["bindAddresses"]["readiness"] = ip + ":8167";
    json["bindAddresses"]["controlPlane"] = ip + ":8166";
    json["internalPorts"].append(7'720);
    json["internalPorts"].append(7'735);
    json["seeds"] = Json::arrayValue;
    json["bootstrap"] = true;
    json["countsAsLoss"] = false;
    json["limits"]["cpuShare"] = 0.25;
    json["limits"]["cores"] = 1;
    json["limits"]["memoryMb"] = 260;
    json["limits"]["maxFds"] = 1'000;
    json["limits"]["linkMbps"] = 1'000.0;
    json["limits"]["diskMb"] = 0;
    json["heartbeatMs"] = 1'100;
    json["bounds"] = defaultBounds();
    for (const std::string &it :
         bounds.isObject() ? bounds.getMemberNames() : std::vector<std::string>())
        json["bounds"][it] = bounds[it];
    json["orders"] = "invoke";
    Json::Value &store = json["platform"];
    store["address"] = ipOf(storeHost) + ":8169";
    store["form"] = "table";
    store["writesPerS"] = 600;
    store["readsPerS"] = 2'000;
    store["txMs"] = 5.0;
    store["partitionWritesS"] = 200;
    store["rowBytes"] = 65'536;
    store["across"] = false;
    store["historyS"] = 20;
    store["blobBytes"] = 8'388'608;
    std::string path = m_directory + "/" + name + ".json";
    std::ofstream(path) << serializeJson(json);
    return path;
}

void Stage::start(const std::function<void()> &ready)
{
    for (const auto &it : m_nodes)
        it->start();
    awaitReady(ready);
}

void Stage::awaitReady(const std::function<void()> &ready)
{
    // A node that has no manifest or no owner yet refuses; 410 says that it serves.
    call("GET", "00000000000000ff", "", [this, ready](int status, const std::string &) {
        if (status != 410)
            return after(Millis{200}, [this, ready] { awaitReady(ready); });
        record("the nodes serve");
        ready();
    });
}

Verdict Stage::run(Millis limit)
{
    after(limit, [this] { finish(Verdict::NotRun, "it took too long"); });
    m_loop.run();
    return m_verdict.value_or(Verdict::NotRun);
}

void Stage::finish(Verdict verdict, const std::string &why)
{
    if (m_verdict)
        return;
    m_verdict = verdict;
    constexpr const char *names[] = {"HELD", "BROKEN", "NOT RUN"};
    const std::string text = std::string(names[static_cast<int>(verdict)]) + ": " + why;
    record(text);
    std::cout << text << std::endl;
    m_loop.stop();
}

void Stage::call(const char *method, const std::string &id, const std::string &body,
                 StatusCallback done)
{
    savorywick::HttpCall request;
    const std::size_t node = m_nextNode++ % m_nodes.size();
    request.address = ipOf(firstNodeHost + static_cast<int>(node)) + ":8161";
    request.method = method;
    request.path = prefix + id;
    request.headers = {{"Host", clientHost},
                       {"X-Savorywick-Deadline-Ms", std::to_string(clientTimeout.count())}};
    request.body = body;
    request.timeout = clientTimeout;
    m_http->exchange(
        std::move(request), [done = std::move(done)](const savorywick::HttpResult &result) {
            const bool answered = result.outcome == savorywick::HttpOutcome::ResponseReceived;
            done(answered ? result.status : 0, result.body);
        });
}

void Stage::submit(const std::string &id, const std::string &body,
                   const std::function<void()> &accepted)
{
    record("client: POST " + id + " " + body);
    call("POST", id, body, [this, id, body, accepted](int status, const std::string &) {
        record("client: POST " + id + " is answered " + std::to_string(status));
        if (status >= 200 && status < 300)
            return accepted();
        after(Millis{500}, [this, id, body, accepted] { submit(id, body, accepted); });
    });
}

void Stage::watch(const std::string &id, Millis interval,
                  const std::function<bool(const std::string &state)> &seen)
{
    call("GET", id, "", [this, id, interval, seen](int status, const std::string &body) {
        const auto json = savorywick::platform::parseJson(body);
        std::string state = status == 200 && json ? (*json)["state"].asString() : "";
        if (state.empty())
            state = std::to_string(status);
        record("client: GET " + id + " is answered " + state);
        if (seen(state))
            after(interval, [this, id, interval, seen] { watch(id, interval, seen); });
    });
}

void Stage::record(const std::string &line)
{
    constexpr double msPerSecond = 1'000.0;
    m_record << std::fixed << std::setprecision(3) << std::setw(8)
             << static_cast<double>(elapsed().count()) / msPerSecond << " s  " << line << std::endl;
}

void Stage::after(Millis delay, std::function<void()> action)
{
    m_loop.runAfter(delay, std::move(action));
}

Minion &Stage::minion(const std::string &machine)
{
    const auto it = std::find_if(m_minions.begin(), m_minions.end(), [&](const auto &minion) {
        return minion->settings().name == machine;
    });
    if (it == m_minions.end())
        throw std::runtime_error("no minion " + machine);
    return **it;
}

} // namespace review
