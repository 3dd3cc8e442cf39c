#pragma once

#include "entry/documentservice.h"
#include "entry/shardhost.h"
#include "entry/topology.h"
#include "savorywick/platform.h"
#include "savorywick/workerassigner.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace savorywick {

// Reads the membership list, gives new workers to shards, and tells the shards of this entry which
// workers are theirs. poll() is called by one thread; it blocks on the platform.
class WorkerPoll
{
public:
    // All references must outlive this object.
    WorkerPoll(int shards, const Clock &clock, Membership &membership, Table &table,
               Topology &topology, ShardHost &host, const DocumentService &documents);

    void poll();
    // Returns true once the list has been read.
    bool listRead() const { return m_listRead; }
    // Returns how many workers of each size every shard has. Thread-safe.
    std::shared_ptr<const ShardWorkerCounts> summary() const;

private:
    void assign(const Row &index);
    void tellShards();
    BatchPolicy policy() const;

    const Clock &m_clock;
    Membership &m_membership;
    Table &m_table;
    Topology &m_topology;
    ShardHost &m_host;
    const DocumentService &m_documents;
    const int m_shards;
    WorkerAssigner m_slices;
    std::atomic<bool> m_listRead{false};
    mutable std::mutex m_mutex; // For the member below.
    std::shared_ptr<const ShardWorkerCounts> m_summary = std::make_shared<ShardWorkerCounts>();
};

} // namespace savorywick
