#pragma once

#include "savorywick/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace savorywick::internal {

// The kinds of journal records. Every kind but `Mark` records a change of one job.
enum class RecordKind {
    Submit, // A run was accepted.
    Watch, // A watcher was accepted.
    Place, // An attempt was assigned to a worker.
    End, // The latest attempt finished.
    Fail, // The latest attempt failed; another may follow.
    Evict, // The latest attempt was checkpointed and is being stopped, to be resumed elsewhere.
    Free, // The latest attempt is known not to run any more.
    Cancel, // A client cancelled the job.
    GiveUp, // The run has failed too often and is not tried again.
    Fire, // The watcher's condition holds.
    Forget, // A final job is past its retention and is deleted.
    Mark, // No change; carries the shard time only.
};

// One journal record. Fields that its kind does not use are empty.
struct JobRecord
{
    RecordKind kind = RecordKind::Mark;
    std::string id;
    Millis at; // In shard time, see JobScheduler.
    JobSpec spec; // Submit, Watch.
    std::string untilRun; // Watch.
    Millis delay; // Watch.
    int attempt = 0; // Place, and all kinds that concern a job with an active attempt.
    std::string worker; // Place, Fail.
    std::string incarnation; // Place.
    std::string checkpoint; // Evict.
    // End, Fire: the result. Fail, GiveUp: the cause. Free: why the attempt cannot be running.
    std::string text;
};

// Returns the record as one line of JSON without a line end.
std::string encode(const JobRecord &record);
// Returns the record that encode() wrote as `line`.
// Throws Error(InvalidInput) if it is no JSON object or its kind is unknown.
JobRecord decodeRecord(const std::string &line);

// Holds the durable state of a shard's jobs, as the result of applying journal records.
//
// Use it for live decisions and for replay alike: both go through apply(), so that a replay yields
// the same state that the decisions were based on. Not thread-safe.
//
// Example:
//   JobTable table;
//   table.restore(snapshot);
//   for (const std::string &line : lines)
//       table.apply(decodeRecord(line));
class JobTable
{
public:
    using Jobs = std::unordered_map<std::string, Job>;

    // Applies one record. Throws Error(InvalidInput) and changes nothing if the record cannot
    // follow the present state.
    void apply(const JobRecord &record);

    // Returns a job, or null if the id is unknown. The pointer is valid until the job is deleted.
    const Job *find(const std::string &id) const;
    // Returns the job that was submitted under an idempotency key, or null if there is none.
    const Job *findByKey(const std::string &service, const std::string &key) const;
    // Returns all jobs by id.
    const Jobs &jobs() const { return m_jobs; }
    // Returns the shard time of the latest record.
    Millis lastRecordTime() const { return m_lastRecordTime; }
    // Returns the number of jobs in `state`.
    std::size_t count(JobState state) const;

    // Returns the whole state as text; equal states give equal texts.
    std::string snapshot() const;
    // Replaces the whole state by what snapshot() returned.
    // Throws Error(InvalidInput) if the text is no snapshot or is truncated.
    void restore(const std::string &text);

private:
    void insert(Job job);
    void erase(const JobRecord &record);
    void applyTransition(Job &job, const JobRecord &record);
    void setState(Job &job, JobState state, Millis at);

    Jobs m_jobs;
    std::unordered_map<std::string, std::string> m_idsByKey; // By service and idempotency key.
    std::map<JobState, std::size_t> m_countsByState;
    Millis m_lastRecordTime;
};

} // namespace savorywick::internal
