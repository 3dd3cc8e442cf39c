#pragma once

#include "savorywick/steps/record.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// The durable state of a shard's jobs, built by replaying the records of its journal.
//
// Use it to restore the state of a shard and to keep it up to date. Tables to which the same
// records were applied in the same order are equal. Not thread-safe.
//
// Example:
//   JobTable table;
//   for (const std::string &line : journal)
//       table.apply(decodeRecord(line));
class JobTable
{
public:
    using Jobs = std::map<std::string, Job, std::less<>>;
    using Delegations = std::map<std::string, JobDelegated, std::less<>>;

    // Applies the record. A record of an unknown job or task, such as a job that was purged, is
    // ignored.
    void apply(const Record &record);

    // Returns the job, or nullptr if it is unknown. The pointer holds until the next apply().
    const Job *find(std::string_view id) const;
    const Jobs &jobs() const { return m_jobs; }
    // Returns the jobs that were left to other shards, by id.
    const Delegations &delegations() const { return m_delegations; }

    // Returns the worker's address, or an empty string if it is unknown.
    std::string workerAddress(std::string_view worker) const;

    // Returns records that produce this state when they are applied to an empty table. Of the tasks
    // of an ended job only those that still have a run are included, as no others matter any more,
    // and of the addresses only those of workers that have runs.
    std::vector<Record> snapshot() const;

private:
    struct RecordApplier;

    Job *findJob(std::string_view id);
    static Task *findTask(Job &job, const TaskRef &ref);
    static void finishTask(Job &job, const TaskRef &ref, std::int64_t wallMs);
    static void finishGang(Job &job, const RunEnded &end);
    static void endGangRun(Job &job, const RunEnded &end);
    static void endJob(Job &job, JobState state, std::int64_t wallMs);

    Jobs m_jobs;
    Delegations m_delegations;
    std::map<std::string, std::string, std::less<>> m_workerAddresses; // By id.
};

} // namespace savorywick::steps
