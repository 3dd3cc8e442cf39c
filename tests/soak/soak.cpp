#include "soak.h"

#include "platform/json.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <utility>

#include <unistd.h>

namespace savorywick::testing {

namespace {

constexpr Millis warmUpTime{3'500}; // Until the first job: the entries agree on their shards.
constexpr Millis jobInterval{180};
constexpr Millis pollInterval{400};
constexpr int storeHost = 1;
constexpr int firstEntryHost = 11;
constexpr int firstWorkerHost = 100;
constexpr int maxTaskCores = 2'500;

void writeFile(const std::string &path, const Json::Value &json)
{
    std::ofstream(path) << platform::serializeJson(json);
}

} // namespace

Soak::Soak(SoakSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
    std::signal(SIGPIPE, SIG_IGN); // Peers come and go.
    m_store = std::make_unique<PlatformStandIn>(m_loop, m_clock, ipOf(storeHost) + ":8169",
                                                m_settings.seed);
    writeConfiguration();
    for (int i = 0; i < m_settings.workers; ++i)
        m_workers.push_back(std::make_unique<WorkerStandIn>(
            m_loop, m_clock, *m_store, m_ledger, "w" + std::to_string(i),
            ipOf(firstWorkerHost + i) + ":8080", m_settings.seed + i));
    std::vector<std::string> addresses;
    for (int i = 0; i < m_settings.entries; ++i) {
        const std::string name = m_settings.directory + "/entry-" + std::to_string(i);
        m_entries.push_back(
            std::make_unique<NodeProcess>(m_settings.program, writeNodeFile(i), name + ".log"));
        addresses.push_back(ipOf(firstEntryHost + i) + ":8161");
    }
    m_restartAt.resize(m_entries.size());
    m_callers = std::make_unique<SoakCallers>(m_loop, m_clock, m_ledger, std::move(addresses),
                                              m_settings.seed);
}

// Returns an address of the loopback network that other soaks on this machine don't use.
std::string Soak::ipOf(int host) const
{
    constexpr int hostsPerByte = 250;
    const int process = ::getpid();
    return "127." + std::to_string(1 + process / hostsPerByte % hostsPerByte) + "."
        + std::to_string(1 + process % hostsPerByte) + "." + std::to_string(host);
}

void Soak::writeConfiguration()
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
    m_store->put("op", "config", platform::serializeJson(configuration));
}

std::string Soak::writeNodeFile(int entry)
{
    const std::string ip = ipOf(firstEntryHost + entry);
    Json::Value node;
    node["nodeName"] = "entry-" + std::to_string(entry);
    node["ip"] = ip;
    node["bindAddresses"]["frontend"] = ip + ":8161";
    node["bindAddresses"]["readiness"] = ip + ":8167";
    node["internalPorts"].append(7'720);
    node["internalPorts"].append(7'735);
    node["platform"]["address"] = ipOf(storeHost) + ":8169";
    node["platform"]["rowBytes"] = 65'536;
    node["bounds"]["holdMaxMs"] = 4'000;
    node["bounds"]["status_s"] = 120;
    node["bounds"]["graceS"] = 6;
    std::string path = m_settings.directory + "/entry-" + std::to_string(entry) + ".json";
    writeFile(path, node);
    return path;
}

SoakResult Soak::run()
{
    keepEntriesRunning();
    m_faultsEndAt = m_clock.now() + warmUpTime + m_settings.faultTime;
    m_loop.runAfter(warmUpTime, [this] {
        submitJobs();
        injectFaults();
    });
    m_loop.runAfter(warmUpTime + m_settings.faultTime, [this] {
        endFaults();
        awaitEnds();
    });
    m_loop.run();
    SoakResult result{m_ledger.violations(),   m_jobCount,  0, m_ledger.startCount(),
                      m_ledger.lostRunCount(), m_faultCount};
    for (const auto &[id, job] : m_ledger.jobs())
        result.accepted += job.accepted ? 1 : 0;
    return result;
}

SoakJob Soak::randomJob()
{
    constexpr int crashingPercent = 8;
    constexpr int lastingPercent = 6;
    SoakJob job;
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", m_settings.seed, ++m_jobCount);
    job.spec.id = id;
    job.spec.payload = "soak";
    job.spec.policy.maxAttempts = 4;
    const int stepCount = 1 + randomBelow(3);
    for (int s = 0; s < stepCount; ++s) {
        steps::StepSpec step;
        step.taskCount = 1 + randomBelow(4);
        step.demand = {500 + randomBelow(maxTaskCores), 200 + randomBelow(2'000), 0};
        step.estimatedDuration = Millis{500};
        if (s > 0)
            step.dependsOn = {randomBelow(s)};
        job.spec.steps.push_back(std::move(step));
    }
    const int kind = randomBelow(100);
    job.crashesWorkers = kind < crashingPercent;
    if (kind >= 100 - lastingPercent) {
        job.spec.steps.resize(1);
        job.spec.steps.front().longRunning = true;
        job.spec.steps.front().demand.milliCores = 400;
    }
    return job;
}

void Soak::submitJobs()
{
    if (m_faultsOver)
        return;
    m_callers->submit(randomJob());
    constexpr int cancelOneIn = 12;
    if (randomBelow(cancelOneIn) == 0) {
        auto it = m_ledger.jobs().begin();
        std::advance(it, randomBelow(static_cast<int>(m_ledger.jobs().size())));
        if (it->second.accepted && !it->second.cancelled)
            m_callers->cancel(it->first);
    }
    m_loop.runAfter(jobInterval, [this] { submitJobs(); });
}

void Soak::injectFaults()
{
    if (m_faultsOver)
        return;
    injectFault();
    m_loop.runAfter(randomTime(200, 1'000), [this] { injectFaults(); });
}

void Soak::injectFault()
{
    ++m_faultCount;
    const int kind = randomBelow(9);
    if (kind < 3)
        return injectEntryFault(*m_entries[randomBelow(static_cast<int>(m_entries.size()))], kind);
    if (kind < 7)
        return injectWorkerFault(*m_workers[randomBelow(static_cast<int>(m_workers.size()))],
                                 kind - 3);
    if (kind == 7)
        return m_store->forgetHistory();
    injectStoreFault();
}

void Soak::injectEntryFault(NodeProcess &entry, int kind)
{
    const auto index =
        static_cast<std::size_t>(std::find_if(m_entries.begin(), m_entries.end(),
                                              [&](const auto &it) { return it.get() == &entry; })
                                 - m_entries.begin());
    switch (kind) {
    case 0:
        m_restartAt[index] = m_clock.now() + randomTime(200, 3'000);
        return entry.signal(SIGKILL);
    case 1:
        entry.signal(SIGSTOP);
        m_loop.runAfter(randomTime(500, 4'500), [&entry] { entry.signal(SIGCONT); });
        return;
    default:
        return entry.signal(SIGTERM);
    }
}

void Soak::injectWorkerFault(WorkerStandIn &worker, int kind)
{
    constexpr int fullPercent = 100;
    switch (kind) {
    case 0:
        return worker.crash(randomTime(500, 6'000), randomBelow(2) == 0);
    case 1:
        worker.setSilent(true);
        m_loop.runAfter(randomTime(300, 4'000), [&worker] { worker.setSilent(false); });
        return;
    default:
        worker.setCapacity(25 + randomBelow(50));
        m_loop.runAfter(randomTime(1'000, 6'000), [&worker] { worker.setCapacity(fullPercent); });
    }
}

void Soak::injectStoreFault()
{
    constexpr StoreFault faults[] = {StoreFault::Refuses, StoreFault::Silent,
                                     StoreFault::LosesAnswers, StoreFault::Slow};
    m_store->setFault(faults[randomBelow(4)]);
    m_loop.runAfter(randomTime(300, 2'500), [this] { m_store->setFault(StoreFault::None); });
}

// Starts the entries that don't run and whose time has come, now and from time to time.
void Soak::keepEntriesRunning()
{
    constexpr Millis checkInterval{100};
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (!m_entries[i]->isRunning() && m_clock.now() >= m_restartAt[i])
            m_entries[i]->start();
    }
    m_loop.runAfter(checkInterval, [this] { keepEntriesRunning(); });
}

void Soak::endFaults()
{
    m_faultsOver = true;
    m_settledBy = m_clock.now() + m_settings.settlingTime;
    m_store->setFault(StoreFault::None);
    for (const auto &it : m_entries)
        it->signal(SIGCONT);
    for (const auto &it : m_workers) {
        it->setSilent(false);
        it->setCapacity(100);
    }
}

// Returns true if and only if all has come of the job that must.
bool Soak::isSettled(const SoakJob &job) const
{
    const int liveRuns = m_ledger.liveRuns(job.spec.id);
    if (job.cancelled || !job.accepted)
        return !job.cancelled || liveRuns == 0;
    const steps::StepSpec &first = job.spec.steps.front();
    const bool lasts = first.longRunning && !job.crashesWorkers;
    return job.ended || (lasts && liveRuns == first.taskCount);
}

// Ends the soak once all jobs have settled, or their time is over.
void Soak::awaitEnds()
{
    m_callers->askForStates();
    const bool settled = m_callers->openCalls() == 0
        && std::all_of(m_ledger.jobs().begin(), m_ledger.jobs().end(),
                       [&](const auto &it) { return isSettled(it.second); });
    if (settled)
        return m_loop.stop();
    if (m_clock.now() < m_settledBy) {
        m_loop.runAfter(pollInterval, [this] { awaitEnds(); });
        return;
    }
    for (const auto &[id, job] : m_ledger.jobs()) {
        if (!isSettled(job))
            m_ledger.violate(id
                             + (job.cancelled ? " is cancelled and still runs"
                                              : " was accepted and does not end"));
    }
    m_loop.stop();
}

} // namespace savorywick::testing
