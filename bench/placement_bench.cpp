// Measures packing, fragmentation and decision time of placement policies, with fixed seeds.

#include "report.h"
#include "savorywick/placement.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <vector>

using namespace savorywick;

namespace {

constexpr Resources workerSize{64, 250'000, 0};
constexpr Resources wideTask{32, 100'000, 0};
constexpr int hostsPerSlice = 500;
constexpr int timedStarts = 20'000;
constexpr double rackSpreadCost = 0.001;

// Baseline: best fit by linear scan, which takes the fitting host with the fewest free cores.
class LinearBestFit final : public Placement
{
public:
    std::optional<std::string> choose(const PlacementRequest &request,
                                      const AllocationTable &allocations,
                                      const HostCost *) const override
    {
        std::optional<std::string> best;
        int least = std::numeric_limits<int>::max();
        for (const std::string &id : allocations.hosts()) {
            const Resources free = allocations.free(id);
            if (!request.demand.fitsIn(free) || free.cores >= least)
                continue;
            best = id;
            least = free.cores;
        }
        return best;
    }
};

struct Fleet
{
    AllocationTable allocations;
    RackSpreadCost spread{rackSpreadCost};
    std::map<std::string, std::string> rackByHost;

    Fleet(int hosts, int perRack)
    {
        for (int i = 0; i < hosts; ++i) {
            HostInfo host;
            host.id = "worker-" + std::to_string(i);
            host.role = HostRole::Worker;
            host.rack = "rack-" + std::to_string(i / perRack);
            host.cores = workerSize.cores;
            host.memoryMb = workerSize.memoryMb;
            host.accelerators = i % 8 == 0 ? 4 : 0;
            allocations.setHost(host);
            rackByHost[host.id] = host.rack;
        }
    }
};

struct RunningTask
{
    std::string host;
    std::string task;
    std::string runClass;
};

Resources randomDemand(std::mt19937 &random)
{
    const int cores =
        std::discrete_distribution<int>{0, 3, 4, 0, 4, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 1}(random);
    const int memoryMb = cores * std::uniform_int_distribution<int>(1'000, 7'000)(random);
    const bool accelerated = std::uniform_int_distribution<int>(0, 19)(random) == 0;
    return {cores, memoryMb, accelerated ? 1 : 0};
}

// Workload that fills the fleet and then replaces tasks at random, timing placement decisions.
class ChurnWorkload
{
public:
    ChurnWorkload(Fleet &fleet, const Placement &placement, const HostCost *cost, unsigned seed)
        : m_fleet(fleet)
        , m_placement(placement)
        , m_cost(cost)
        , m_random(seed)
    { }

    // Starts one task of random size. Returns false if no host fits.
    bool startTask()
    {
        const Resources need = randomDemand(m_random);
        const std::string runClass = "class-" + std::to_string(m_nextTask % 5);
        const PlacementRequest request{"service", runClass, need, {}};
        const auto before = std::chrono::steady_clock::now();
        const auto host = m_placement.choose(request, m_fleet.allocations, m_cost);
        m_decisionTime += std::chrono::steady_clock::now() - before;
        ++m_decisionCount;
        if (!host)
            return false;
        const std::string task = "task-" + std::to_string(m_nextTask++);
        m_fleet.allocations.allocate(*host, task, need);
        m_fleet.spread.taskStarted(m_fleet.rackByHost.at(*host), "service", runClass);
        m_running.push_back({*host, task, runClass});
        return true;
    }
    void endRandomTask()
    {
        std::uniform_int_distribution<std::size_t> indexDistribution(0, m_running.size() - 1);
        std::swap(m_running[indexDistribution(m_random)], m_running.back());
        const RunningTask &it = m_running.back();
        m_fleet.allocations.release(it.host, it.task);
        m_fleet.spread.taskEnded(m_fleet.rackByHost.at(it.host), "service", it.runClass);
        m_running.pop_back();
    }
    void fill()
    {
        for (int consecutiveFailures = 0; consecutiveFailures < 8;)
            consecutiveFailures = startTask() ? 0 : consecutiveFailures + 1;
    }
    void churn(int starts)
    {
        for (int i = 0; i < starts; ++i) {
            endRandomTask();
            startTask();
        }
    }
    void endShare(double share)
    {
        const auto keep =
            static_cast<std::size_t>(static_cast<double>(m_running.size()) * (1 - share));
        while (m_running.size() > keep)
            endRandomTask();
    }
    double microsPerDecision() const
    {
        return std::chrono::duration<double, std::micro>(m_decisionTime).count() / m_decisionCount;
    }
    void resetTime()
    {
        m_decisionTime = {};
        m_decisionCount = 0;
    }
    const std::vector<RunningTask> &running() const { return m_running; }

private:
    Fleet &m_fleet;
    const Placement &m_placement;
    const HostCost *m_cost;
    std::mt19937 m_random;
    std::vector<RunningTask> m_running;
    std::chrono::steady_clock::duration m_decisionTime{};
    int m_decisionCount = 0;
    int m_nextTask = 0;
};

double bookedShare(const Fleet &fleet)
{
    double booked = 0;
    for (const std::string &id : fleet.allocations.hosts())
        booked += fleet.allocations.allocated(id).cores;
    return booked / (static_cast<double>(fleet.allocations.hostCount()) * workerSize.cores);
}

// Returns how many wide tasks fit, relative to how many would if free cores were not fragmented.
double wideTaskFitShare(const Fleet &fleet)
{
    double fit = 0;
    double freeCores = 0;
    for (const std::string &id : fleet.allocations.hosts()) {
        const Resources free = fleet.allocations.free(id);
        freeCores += free.cores;
        fit += std::min(free.cores / wideTask.cores, free.memoryMb / wideTask.memoryMb);
    }
    return freeCores > 0 ? fit * wideTask.cores / freeCores : 0;
}

// Returns the largest share of the running tasks of class-0 on a single rack.
double largestRackShare(const Fleet &fleet, const std::vector<RunningTask> &running)
{
    std::map<std::string, int> perRack;
    int total = 0;
    for (const RunningTask &it : running) {
        if (it.runClass != "class-0")
            continue;
        ++perRack[fleet.rackByHost.at(it.host)];
        ++total;
    }
    int most = 0;
    for (const auto &[rack, n] : perRack)
        most = std::max(most, n);
    return total > 0 ? static_cast<double>(most) / total : 0;
}

struct PlacementCase
{
    std::string name;
    const Placement &placement;
    bool withRacks;
};

void measurePacking(const PlacementCase &it, int hosts, int perRack)
{
    Fleet fleet(hosts, perRack);
    ChurnWorkload churn(fleet, it.placement, it.withRacks ? &fleet.spread : nullptr, 7);
    churn.fill();
    churn.churn(10'000);
    churn.fill();
    const double full = bookedShare(fleet);
    churn.endShare(0.4);
    churn.churn(10'000);
    const double wide = wideTaskFitShare(fleet);
    const double rack = largestRackShare(fleet, churn.running());
    const std::string name = std::to_string(hosts) + "/" + it.name;
    bench::report("placement", name,
                  {{"cores_booked_when_full", full},
                   {"wide_tasks_that_fit", wide},
                   {"worst_rack_share", rack}});
}

void measureTime(const PlacementCase &it, int hosts, int starts)
{
    Fleet fleet(hosts, 8);
    ChurnWorkload churn(fleet, it.placement, it.withRacks ? &fleet.spread : nullptr, 7);
    // Books about a third of the cores, so that filling the largest fleet stays quick.
    for (int i = 0; i < hosts * 5; ++i)
        churn.startTask();
    churn.resetTime();
    churn.churn(starts);
    const std::string name = std::to_string(hosts) + "/" + it.name;
    bench::report("placement", name, {{"microseconds_per_start", churn.microsPerDecision()}});
}

// Divides the hosts into slices, one per shard; a placement considers only one slice.
void measureSlices(const PlacementCase &it, int hosts)
{
    double sum = 0;
    double full = 0;
    const int slices = hosts / hostsPerSlice;
    for (int i = 0; i < slices; ++i) {
        Fleet fleet(hostsPerSlice, 8);
        ChurnWorkload churn(fleet, it.placement, it.withRacks ? &fleet.spread : nullptr, 100 + i);
        churn.fill();
        churn.resetTime();
        churn.churn(timedStarts / slices);
        sum += churn.microsPerDecision();
        full += bookedShare(fleet);
    }
    const std::string name = std::to_string(hosts) + "-sliced/" + it.name;
    bench::report(
        "placement", name,
        {{"microseconds_per_start", sum / slices}, {"cores_booked_when_full", full / slices}});
}

} // namespace

int main()
{
    const BestFitPlacement bestFit;
    const SpreadPlacement spread;
    const LinearBestFit linear;
    const std::vector<PlacementCase> cases{{"best-fit", bestFit, false},
                                           {"best-fit-racks", bestFit, true},
                                           {"spread", spread, false},
                                           {"spread-racks", spread, true}};
    bench::reportTableHeader("hosts/placement", {"full", "wide fit", "worst rack"});
    for (const PlacementCase &it : cases) {
        measurePacking(it, 50, 8);
        measurePacking(it, 65, 11);
    }
    bench::reportTableHeader("hosts/placement", {"microseconds per start"});
    for (const int hosts : {50, 500, 5'000, 30'000}) {
        for (const PlacementCase &it : cases)
            measureTime(it, hosts, timedStarts);
        if (hosts <= 500)
            measureTime({"linear-scan", linear, false}, hosts, 1'000);
    }
    bench::reportTableHeader("hosts/placement", {"microseconds per start", "full"});
    for (const PlacementCase &it : cases)
        measureSlices(it, 30'000);
    return 0;
}
