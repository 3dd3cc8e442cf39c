// Shows how an allocation table and a placement policy start tasks: no host is overcommitted, and
// tasks are spread evenly over the racks.
#include "savorywick/placement.h"

#include <cstdio>

using namespace savorywick;

namespace {

constexpr int hostCount = 4;
constexpr int tasksPerHost = 2;
constexpr Resources hostCapacity{.cores = 16, .memoryMb = 32'768};
constexpr Resources taskDemand{.cores = 6, .memoryMb = 8'192}; // The cores limit tasksPerHost.

std::string rackOf(int host)
{
    return host < hostCount / 2 ? "rack-1" : "rack-2";
}

AllocationTable makeAllocationTable()
{
    AllocationTable allocations;
    for (int n = 0; n < hostCount; ++n) {
        HostInfo info;
        info.id = "worker-" + std::to_string(n);
        info.role = HostRole::Worker;
        info.rack = rackOf(n);
        info.cores = hostCapacity.cores;
        info.memoryMb = hostCapacity.memoryMb;
        allocations.setHost(info);
    }
    return allocations;
}

// Starts tasks until no host has room for another. Returns the number of tasks on each rack after
// each start.
std::vector<std::map<std::string, int>> startTasks(AllocationTable &allocations)
{
    const SpreadPlacement placement;
    RackSpreadCost spread(0.05);
    const PlacementRequest request{
        .service = "matching", .runClass = "batch", .demand = taskDemand, .excludedHosts = {}};
    std::vector<std::map<std::string, int>> history;
    std::map<std::string, int> tasksPerRack;
    while (const auto host = placement.choose(request, allocations, &spread)) {
        const std::string task = "run-" + std::to_string(history.size());
        if (!allocations.allocate(*host, task, taskDemand))
            break;
        const std::string rack = rackOf(host->back() - '0');
        spread.taskStarted(rack, request.service, request.runClass);
        ++tasksPerRack[rack];
        history.push_back(tasksPerRack);
        std::printf("%s runs on %s in %s\n", task.c_str(), host->c_str(), rack.c_str());
    }
    return history;
}

bool isOvercommitted(const AllocationTable &allocations)
{
    for (const std::string &it : allocations.hosts()) {
        if (!allocations.allocated(it).fitsIn(allocations.capacity(it)))
            return true;
    }
    return false;
}

} // namespace

int main()
{
    AllocationTable allocations = makeAllocationTable();
    auto history = startTasks(allocations);
    const bool full = history.size() == std::size_t{tasksPerHost} * hostCount;
    const bool evenlySpread = full && history[3]["rack-1"] == 2 && history[3]["rack-2"] == 2;
    std::printf("%zu tasks fill the hosts; the first 4 are spread evenly over both racks: %s\n",
                history.size(), evenlySpread ? "yes" : "no");

    const bool refused = !allocations.allocate("worker-0", "one-too-many", taskDemand);
    const std::string endedTask = allocations.tasks("worker-0").front();
    allocations.release("worker-0", endedTask);
    const bool acceptedAfterRelease = allocations.allocate("worker-0", "one-too-many", taskDemand);
    std::printf("another task is refused: %s; it is accepted after %s ended: %s\n",
                refused ? "yes" : "no", endedTask.c_str(), acceptedAfterRelease ? "yes" : "no");

    const HostFit fit = allocations.fitsAnyHost({.cores = 17});
    std::printf("a task of 17 cores: %s\n", fit.reason.c_str());
    const bool tooLarge = fit.status == HostFitStatus::TooLarge;
    const bool holds = full && evenlySpread && refused && acceptedAfterRelease && tooLarge;
    return holds && !isOvercommitted(allocations) ? 0 : 1;
}
