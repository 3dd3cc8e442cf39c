#pragma once

#include "savorywick/steps/earlycancellations.h"
#include "savorywick/steps/record.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// What a shard knows of a job that was handed over to it, or that it is handing over.
struct JobHandover
{
    int count = 0; // How often the job has been handed over.
    std::optional<int> to; // The shard that it is being handed over to.
    bool complete = false; // The job's state has arrived as a whole, or is being handed over.
};

// A life of a worker that was lost and may have crashed.
struct LostLife
{
    std::string address;
    std::int64_t lostWallMs = 0;
    std::set<TaskRef> tasks; // That had a suspected run there.

    bool operator==(const LostLife &) const = default;
};

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
    using Handovers = std::map<std::string, JobHandover, std::less<>>;
    using LostLives = std::map<WorkerIncarnation, LostLife>;

    // Applies the record. A record of an unknown job or task, such as a job that was purged, is
    // ignored.
    void apply(const Record &record);

    // Returns the job, or nullptr if it is unknown. The pointer holds until the next apply().
    const Job *find(std::string_view id) const;
    const Jobs &jobs() const { return m_jobs; }
    // Returns the jobs that were left to other shards, by id.
    const Delegations &delegations() const { return m_delegations; }

    // Returns the jobs that were handed over to this shard, or that it is handing over, by id. One
    // stays here when its job is purged, until it is purged again, so that a late repetition of
    // the hand-over has no effect.
    const Handovers &handovers() const { return m_handovers; }

    // Returns the jobs that were cancelled before they were accepted here.
    const EarlyCancellations &earlyCancellations() const { return m_earlyCancellations; }

    // Returns the worker's address, or an empty string if it is unknown.
    std::string workerAddress(std::string_view worker) const;

    // Returns the time that the worker's WorkerSilent record tells, unless it was heard since.
    std::optional<std::int64_t> silentUntilMs(std::string_view worker) const;

    // Returns the lives with suspected runs of which it is not settled what became of them.
    const LostLives &lostLives() const { return m_lostLives; }
    // Returns the life with the tasks that have suspected runs there, also if it was given up, or
    // nothing if there are none.
    std::optional<LostLife> lostLife(const WorkerIncarnation &life) const;

    // Returns records that produce this state when they are applied to an empty table. Of the tasks
    // of an ended job only those that still have a run are included, as no others matter any more,
    // and of what is known of workers only that of those that have runs.
    std::vector<Record> snapshot() const;
    // Returns the records among them that are of this job, of which the last is a JobStateSnapshot.
    std::vector<Record> snapshotOf(const Job &job) const;

private:
    struct RecordApplier;

    Job *findJob(std::string_view id);
    static Task *findTask(Job &job, const TaskRef &ref);
    static void finishTask(Job &job, const TaskRef &ref, std::int64_t wallMs);
    static void finishGang(Job &job, const RunEnded &end);
    static void endGangRun(Job &job, const RunEnded &end);
    static void endJob(Job &job, JobState state, std::int64_t wallMs);
    static void endIfCrashing(Job &job, const Task &task, std::int64_t wallMs);
    void addSuspectedRun(const RunSuspected &record);
    void settleLife(const LifeSettled &record);
    void giveUpLife(const WorkerIncarnation &life, const LostLife &lost);
    void clearSuspectedRuns(const TaskRef &ref, Task &task);
    void forgetLivesGivenUp(std::string_view job);

    Jobs m_jobs;
    Delegations m_delegations;
    Handovers m_handovers;
    EarlyCancellations m_earlyCancellations;
    std::map<std::string, std::string, std::less<>> m_workerAddresses; // By id.
    std::map<std::string, std::int64_t, std::less<>> m_silentUntilMs; // By the worker's id.
    LostLives m_lostLives;
    LostLives m_livesGivenUp; // Of open jobs. Their tasks stay suspected unless the life answers.
};

} // namespace savorywick::steps
