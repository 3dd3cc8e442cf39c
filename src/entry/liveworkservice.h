#pragma once

#include "entry/shardhost.h"
#include "entry/topology.h"
#include "peer/peerclient.h"
#include "savorywick/servicedocument.h"

#include <optional>
#include <string>
#include <vector>

namespace savorywick {

// Counts the unfinished runs and watchers of a service over all shards of all entries.
//
// Thread-safe; both calls wait for the shards, everywhere() also for the peers.
//
// Example:
//   const auto live = liveWork.everywhere("quotes");
//   if (!live)
//       refuse(); // It is not known; nobody may guess.
class LiveWorkService
{
public:
    // All references must outlive this object.
    LiveWorkService(int shards, const Clock &clock, ShardHost &host, const Topology &topology,
                    PeerClient &peers);

    // Returns the count of the shards here and which they are, as the text of a JSON object.
    std::string own(const std::string &service) const;
    // Returns the count of all shards; nothing if a listed entry or a shard did not answer.
    std::optional<std::vector<LiveWork>> everywhere(const std::string &service) const;

private:
    const int m_shards;
    const Clock &m_clock;
    ShardHost &m_host;
    const Topology &m_topology;
    PeerClient &m_peers;
};

} // namespace savorywick
