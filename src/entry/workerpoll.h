#pragma once

#include "entry/shardhost.h"
#include "entry/topology.h"
#include "savorywick/platform.h"
#include "savorywick/workerslices.h"

#include <atomic>

namespace savorywick {

// Reads the membership list, gives new workers to shards, and tells the shards of this entry which
// workers are theirs. poll() is called by one thread; it blocks on the platform.
class WorkerPoll
{
public:
    // All references must outlive this object.
    WorkerPoll(int shards, const Clock &clock, Membership &membership, Table &table,
               Topology &topology, ShardHost &host);

    void poll();
    // Returns true once the list has been read.
    bool listRead() const { return m_listRead; }

private:
    void assign();
    void tellShards();

    const Clock &m_clock;
    Membership &m_membership;
    Table &m_table;
    Topology &m_topology;
    ShardHost &m_host;
    WorkerSlices m_slices;
    std::atomic<bool> m_listRead{false};
};

} // namespace savorywick
