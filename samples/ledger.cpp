// A host ledger with placement: nothing is overbooked, and racks share the tasks.
#include "savorywick/placement.h"

#include <cstdio>

using namespace savorywick;

namespace {

constexpr int hosts = 4;
constexpr Resources hostSize{.cores = 16, .memoryMb = 32'768};
constexpr Resources taskSize{.cores = 6, .memoryMb = 8'192}; // Two of them fit on a host.

std::string rackOf(int host)
{
    return host < hosts / 2 ? "rack-1" : "rack-2";
}

AllocationTable fourHosts()
{
    AllocationTable ledger;
    for (int n = 0; n < hosts; ++n) {
        HostInfo info;
        info.id = "worker-" + std::to_string(n);
        info.role = HostRole::Worker;
        info.rack = rackOf(n);
        info.cores = hostSize.cores;
        info.memoryMb = hostSize.memoryMb;
        ledger.setHost(info);
    }
    return ledger;
}

// Starts tasks until no host has room. Returns the tasks on each rack after each start.
std::vector<std::map<std::string, int>> fill(AllocationTable &ledger)
{
    const SpreadPlacement placement;
    RackSpreadCost spread(0.05);
    const PlacementRequest request{
        .service = "matching", .runClass = "batch", .demand = taskSize, .excludedHosts = {}};
    std::vector<std::map<std::string, int>> history;
    std::map<std::string, int> onRack;
    while (const auto host = placement.choose(request, ledger, &spread)) {
        const std::string task = "run-" + std::to_string(history.size());
        if (!ledger.allocate(*host, task, taskSize))
            break;
        const std::string rack = rackOf(host->back() - '0');
        spread.taskStarted(rack, request.service, request.runClass);
        ++onRack[rack];
        history.push_back(onRack);
        std::printf("%s runs on %s in %s\n", task.c_str(), host->c_str(), rack.c_str());
    }
    return history;
}

bool isOverbooked(const AllocationTable &ledger)
{
    for (const std::string &it : ledger.hosts()) {
        if (!ledger.allocated(it).fitsIn(ledger.capacity(it)))
            return true;
    }
    return false;
}

} // namespace

int main()
{
    AllocationTable ledger = fourHosts();
    auto history = fill(ledger);
    const bool full = history.size() == std::size_t{2} * hosts;
    const bool even = full && history[3]["rack-1"] == 2 && history[3]["rack-2"] == 2;
    std::printf("%zu tasks fill the hosts; the first 4 were spread over both racks: %s\n",
                history.size(), even ? "yes" : "no");

    const bool refused = !ledger.allocate("worker-0", "one-too-many", taskSize);
    const std::string ended = ledger.tasks("worker-0").front();
    ledger.release("worker-0", ended);
    const bool fitsNow = ledger.allocate("worker-0", "one-too-many", taskSize);
    std::printf("one more is refused: %s; once %s has ended it fits: %s\n", refused ? "yes" : "no",
                ended.c_str(), fitsNow ? "yes" : "no");

    const HostFit fit = ledger.fitsAnyHost({.cores = 17});
    std::printf("17 cores: %s\n", fit.reason.c_str());
    const bool tooLarge = fit.status == HostFitStatus::TooLarge;
    return full && even && refused && fitsNow && tooLarge && !isOverbooked(ledger) ? 0 : 1;
}
