// Measures the overhead of an entry on urgent requests with real processes: latency compared with
// direct calls to the upstream stand-in, throughput per core, and memory with many callers.

#include "load.h"
#include "process/harness.h"
#include "report.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include <unistd.h>

using namespace savorywick;
using namespace savorywick::bench;
using savorywick::testing::Cluster;
using savorywick::testing::ClusterOptions;
using savorywick::testing::Process;

namespace {

constexpr const char *benchName = "entry";
constexpr int repeats = 3;

// Returns the user and system CPU time of a process in seconds.
double cpuSeconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    // The user and system times are fields 14 and 15 of the file; `fields` begins at field 3.
    constexpr int skippedFields = 11;
    std::string skipped;
    for (int i = 0; i < skippedFields; ++i)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Returns the resident memory of a process in MiB, or 0 if it cannot be read.
double residentMib(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stod(line.substr(6)) / 1024;
    }
    return 0;
}

void reportLoad(const std::string &caseName, LoadResult result)
{
    const double n = static_cast<double>(result.latenciesUs.size());
    report(benchName, caseName,
           {{"calls_per_s", n / result.seconds},
            {"p50_us", quantile(result.latenciesUs, 0.5)},
            {"p99_us", quantile(result.latenciesUs, 0.99)},
            {"p999_us", quantile(result.latenciesUs, 0.999)},
            {"refused", static_cast<double>(result.refused)},
            {"failed", static_cast<double>(result.failed)}});
}

LoadPlan directPlan(const Process &upstream, int connections)
{
    return {.address = upstream.address(),
            .path = "/serve",
            .headers = {{"X-Request-Id", "direct"}, {"X-Deadline-Ms", "5000"}},
            .body = R"({"part":"6204-2RS"})",
            .connections = connections};
}

LoadPlan entryPlan(const Process &entry, int connections)
{
    return {.address = entry.address("callers"),
            .path = "/v1/services/quotes/requests/quote",
            .headers = {{"X-Deadline-Ms", "5000"}},
            .body = R"({"part":"6204-2RS"})",
            .connections = connections};
}

void measureLatency(Cluster &cluster)
{
    for (int i = 0; i < repeats; ++i) {
        reportLoad("direct, 1 connection", runLoad(directPlan(cluster.upstream(0), 1)));
        reportLoad("entry, 1 connection", runLoad(entryPlan(cluster.entry(0), 1)));
    }
}

void measureThroughput(Cluster &cluster)
{
    for (const int connections : {4, 16, 48}) {
        const pid_t pid = cluster.entry(0).pid();
        const double before = cpuSeconds(pid);
        const LoadResult result = runLoad(entryPlan(cluster.entry(0), connections));
        const double used = cpuSeconds(pid) - before;
        const std::string caseName = "entry, " + std::to_string(connections) + " connections";
        const double n = static_cast<double>(result.latenciesUs.size());
        reportLoad(caseName, result);
        report(benchName, caseName + ", cost",
               {{"calls_per_core_s", n / used}, {"cores", used / result.seconds}});
    }
}

void measureMemory(Cluster &cluster)
{
    const pid_t pid = cluster.entry(0).pid();
    const double before = residentMib(pid);
    LoadPlan plan = entryPlan(cluster.entry(0), 1'000);
    plan.callsPerSecond = 500;
    plan.duration = Millis{4'000};
    const LoadResult result = runLoad(plan);
    const double after = residentMib(pid);
    reportLoad("entry, 1000 callers at 500/s", result);
    report(benchName, "memory, 1000 callers", {{"before_mb", before}, {"after_mb", after}});
}

} // namespace

int main()
{
    ClusterOptions shape;
    shape.entries = 1;
    shape.upstreams = 8;
    shape.workers = 1;
    shape.serviceMs = 0;
    Cluster cluster(shape);
    reportTableHeader("case", {"calls/s", "p50 us", "p99 us", "p99.9 us", "refused", "failed"});
    measureLatency(cluster);
    measureThroughput(cluster);
    measureMemory(cluster);
    return 0;
}
