#pragma once

#include "entry/shardsupervisor.h"
#include "entry/topology.h"
#include "peer/peerclient.h"
#include "savorywick/servicedocument.h"

#include <optional>
#include <string>
#include <vector>

namespace savorywick {

// Counts the unfinished runs and watchers of a service over all shards of all entries.
//
// Use it before a change of a service document that would remove a class that is in use.
// Thread-safe. countLocal() blocks on the shards of this entry, countAll() on all entries.
//
// Example:
//   const auto live = liveWork.countAll("quotes");
//   if (!live)
//       refuse(); // Some shard did not answer, so work of the class may exist.
class LiveWorkService
{
public:
    // `shardCount` is the number of shards of the cluster. All references must outlive this object.
    LiveWorkService(int shardCount, const Clock &clock, ShardSupervisor &supervisor,
                    const Topology &topology, PeerClient &peers);

    // Returns the counts of this entry's shards and the numbers of these shards, as a JSON object.
    // Shards that do not answer in time or are not owned any more are left out.
    std::string countLocal(const std::string &service) const;
    // Returns the counts of all entries, or nothing if a listed entry or any shard did not answer.
    std::optional<std::vector<LiveWork>> countAll(const std::string &service) const;

private:
    const int m_shardCount;
    const Clock &m_clock;
    ShardSupervisor &m_shardSupervisor;
    const Topology &m_topology;
    PeerClient &m_peers;
};

} // namespace savorywick
