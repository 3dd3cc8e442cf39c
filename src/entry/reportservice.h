#pragma once

#include "core/metrics.h"
#include "entry/documentservice.h"
#include "entry/leasecontroller.h"
#include "entry/shardsupervisor.h"
#include "peer/peerclient.h"

#include <functional>
#include <string>

namespace savorywick {

// Builds the status report of this entry and the combined report of all listed entries.
//
// Thread-safe; both calls wait for the shards, clusterReport() also for the peers.
class ReportService
{
public:
    struct Dependencies
    {
        std::string entry; // The id of this entry.
        std::string availabilityZone;
        std::string region;
        int shardCount = 16;
        const Clock *clock = nullptr;
        const MetricsRegistry *metrics = nullptr;
        const DocumentService *documents = nullptr;
        ShardSupervisor *host = nullptr;
        const LeaseController *leases = nullptr;
        const Topology *topology = nullptr;
        PeerClient *peers = nullptr;
        std::function<bool()> ready;
    };

    // All objects that `dependencies` points to must outlive this object.
    explicit ReportService(Dependencies dependencies);

    // Returns this entry's report as a JSON object, described in docs/PROTOCOLS.md. Shards that do
    // not answer in time are left out.
    std::string entryReport() const;
    // Returns {"entries":[...]} with the report of every listed entry; an entry that does not
    // answer in time is marked as unreachable.
    std::string clusterReport() const;

private:
    const Dependencies m_dependencies;
};

} // namespace savorywick
