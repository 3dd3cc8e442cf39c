#pragma once

#include "entry/documentservice.h"
#include "entry/shardsupervisor.h"
#include "entry/topology.h"
#include "savorywick/platform.h"
#include "savorywick/workerassigner.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace savorywick {

// Polls the platform's membership list and keeps the workers of this entry's shards up to date.
//
// The entry that owns shard 0 also assigns new workers to shards. Call poll() periodically from one
// thread; it blocks on the platform.
//
// Example:
//   WorkerPoller poller(16, clock, membership, table, topology, supervisor, documents);
//   executor.schedule(Millis{1'000}, [&] { poller.poll(); });
class WorkerPoller
{
public:
    // All references must outlive this object.
    WorkerPoller(int shardCount, const Clock &clock, Membership &membership, Table &table,
                 Topology &topology, ShardSupervisor &supervisor, const DocumentService &documents);

    // Reads the membership list and the assignment of workers, and sends the shards of this entry
    // their workers. An error is logged; the next call retries.
    void poll();
    // Returns true once the membership list has been read. Thread-safe.
    bool hasReadMembership() const { return m_membershipRead; }
    // Returns how many workers of each size every shard has. Never null. Thread-safe.
    std::shared_ptr<const ShardWorkerCounts> summary() const;

private:
    void assignWorkers(const Row &index);
    void notifyShards();
    BatchPolicy buildBatchPolicy() const;

    const Clock &m_clock;
    Membership &m_membership;
    Table &m_table;
    Topology &m_topology;
    ShardSupervisor &m_shardSupervisor;
    const DocumentService &m_documents;
    const int m_shardCount;
    WorkerAssigner m_slices;
    std::atomic<bool> m_membershipRead{false};
    mutable std::mutex m_mutex; // Guards m_summary.
    std::shared_ptr<const ShardWorkerCounts> m_summary = std::make_shared<ShardWorkerCounts>();
};

} // namespace savorywick
