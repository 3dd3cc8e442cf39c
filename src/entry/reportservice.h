#pragma once

#include "core/metrics.h"
#include "entry/documentservice.h"
#include "entry/leaseloop.h"
#include "entry/shardhost.h"
#include "peer/peerclient.h"

#include <functional>
#include <string>

namespace savorywick {

// Gathers what the system says of itself: this entry's part, and on demand every entry's.
//
// Thread-safe; both calls wait for the shards, whole() also for the peers.
class ReportService
{
public:
    struct Parts
    {
        std::string entry;
        std::string availabilityZone;
        std::string region;
        int shards = 16;
        const Clock *clock = nullptr;
        const Metrics *metrics = nullptr;
        const DocumentService *documents = nullptr;
        ShardHost *host = nullptr;
        const LeaseLoop *leases = nullptr;
        const Topology *topology = nullptr;
        PeerClient *peers = nullptr;
        std::function<bool()> ready;
    };

    // All that `parts` points to must outlive this object.
    explicit ReportService(Parts parts);

    // Returns this entry's report as the text of a JSON object; see docs/PROTOCOLS.md.
    std::string own() const;
    // Returns {"entries":[...]} with the report of every listed entry.
    std::string whole() const;

private:
    const Parts m_parts;
};

} // namespace savorywick
