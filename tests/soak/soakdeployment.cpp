#include "soakdeployment.h"

#include "platform/json.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include <unistd.h>

namespace savorywick::testing {

namespace {

constexpr int storeHost = 1;
constexpr int firstEntryHost = 11;
constexpr int firstWorkerHost = 100;

void writeFile(const std::string &path, const Json::Value &json)
{
    std::ofstream(path) << platform::serializeJson(json);
}

} // namespace

SoakDeployment::SoakDeployment(SoakDeploymentSettings settings)
    : m_settings(std::move(settings))
{
    std::signal(SIGPIPE, SIG_IGN); // Peers come and go.
    m_store = std::make_unique<PlatformStandIn>(m_loop, m_clock, ipOf(storeHost) + ":8169",
                                                m_settings.seed);
    writeConfiguration();
    for (int i = 0; i < m_settings.workers; ++i)
        m_workers.push_back(std::make_unique<WorkerStandIn>(
            m_loop, m_clock, *m_store, m_ledger, "w" + std::to_string(i),
            ipOf(firstWorkerHost + i) + ":8080", m_settings.seed + i, m_settings.maxLeaseTerm));
    std::vector<std::string> addresses;
    for (int i = 0; i < m_settings.entries; ++i) {
        const std::string name = m_settings.directory + "/entry-" + std::to_string(i);
        m_entries.push_back(
            std::make_unique<NodeProcess>(m_settings.program, writeNodeFile(i), name + ".log"));
        addresses.push_back(ipOfEntry(i) + ":8161");
    }
    m_restartAt.resize(m_entries.size());
    m_callers = std::make_unique<SoakCallers>(m_loop, m_clock, m_ledger, std::move(addresses),
                                              m_settings.seed);
}

// Returns an address of the loopback network that other soaks on this machine don't use.
std::string SoakDeployment::ipOf(int host) const
{
    constexpr int hostsPerByte = 250;
    const int process = ::getpid();
    return "127." + std::to_string(1 + process / hostsPerByte % hostsPerByte) + "."
        + std::to_string(1 + process % hostsPerByte) + "." + std::to_string(host);
}

std::string SoakDeployment::ipOfEntry(int entry) const
{
    return ipOf(firstEntryHost + entry);
}

void SoakDeployment::writeConfiguration()
{
    Json::Value route;
    route["name"] = "r-soak";
    route["host"] = "soak.example";
    route["pathPrefix"] = "/jobs/";
    route["service"] = "soak";
    route["maxAttempts"] = 4;
    route["slackFactor"] = 2.0;
    route["targetDurationMs"] = 1'000;
    Json::Value configuration;
    configuration["version"] = 1;
    configuration["routes"].append(route);
    if (m_settings.maxHeaderBytes)
        configuration["limits"]["maxHeaderBytes"] = *m_settings.maxHeaderBytes;
    if (m_settings.maxBodyBytes)
        configuration["limits"]["maxBodyBytes"] = *m_settings.maxBodyBytes;
    m_store->put("op", "config", platform::serializeJson(configuration));
}

std::string SoakDeployment::writeNodeFile(int entry) const
{
    const std::string ip = ipOfEntry(entry);
    Json::Value node;
    node["nodeName"] = "entry-" + std::to_string(entry);
    node["ip"] = ip;
    node["bindAddresses"]["frontend"] = ip + ":8161";
    node["bindAddresses"]["readiness"] = ip + ":8167";
    node["internalPorts"].append(7'720);
    node["internalPorts"].append(7'735);
    node["platform"]["address"] = ipOf(storeHost) + ":8169";
    node["platform"]["rowBytes"] = 65'536;
    node["bounds"]["holdMaxMs"] = Json::Int64(m_settings.maxLeaseTerm.count());
    node["bounds"]["status_s"] = 120;
    node["bounds"]["graceS"] = 6;
    std::string path = m_settings.directory + "/entry-" + std::to_string(entry) + ".json";
    writeFile(path, node);
    return path;
}

// Starts the entries that don't run and whose time has come, now and from time to time.
void SoakDeployment::keepEntriesRunning()
{
    constexpr Millis checkInterval{100};
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (!m_entries[i]->isRunning() && m_clock.now() >= m_restartAt[i])
            m_entries[i]->start();
    }
    m_loop.runAfter(checkInterval, [this] { keepEntriesRunning(); });
}

void SoakDeployment::killEntry(std::size_t entry, Millis downtime)
{
    m_restartAt[entry] = m_clock.now() + downtime;
    m_entries[entry]->signal(SIGKILL);
}

void SoakDeployment::killAllEntries(Millis downtime)
{
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        killEntry(i, downtime);
}

std::vector<WorkerStandIn *> SoakDeployment::busiestWorkers() const
{
    std::vector<WorkerStandIn *> workers;
    for (const auto &it : m_workers)
        workers.push_back(it.get());
    std::stable_sort(workers.begin(), workers.end(),
                     [](const auto *a, const auto *b) { return a->runCount() > b->runCount(); });
    return workers;
}

} // namespace savorywick::testing
