#pragma once

#include "savorywick/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace savorywick::internal {

enum class RecordKind {
    Submit, // A run was accepted.
    Watch, // A watcher was accepted.
    Place, // An attempt was given to a worker.
    End, // The latest attempt finished.
    Fail, // The latest attempt failed; another may follow.
    Evict, // The latest attempt's checkpoint is kept; it is being stopped.
    Free, // The latest attempt is surely not running.
    Cancel, // The caller wants the job no more.
    GiveUp, // The job has failed for good.
    Fire, // The watcher's condition holds.
    Forget, // A final job is past its retention.
    Mark, // Only tells the shard's time.
};

// One decision. Fields that the kind does not use are empty.
struct JobRecord
{
    RecordKind kind = RecordKind::Mark;
    std::string id;
    Millis at; // The shard's own time.
    JobSpec spec; // Submit and Watch.
    std::string untilRun; // Watch.
    Millis after; // Watch.
    int attempt = 0;
    std::string worker; // Place, Fail.
    std::string incarnation; // Place.
    std::string checkpoint; // Evict.
    std::string text; // End and Fire: the result. Fail and GiveUp: the cause. Free: the proof.
};

// Returns the record as one line of text.
std::string encode(const JobRecord &record);
// Returns the record that `line` holds. Throws Error(InvalidInput) if it holds none.
JobRecord decodeRecord(const std::string &line);

// The durable part of a shard's jobs: what the journal's records make of them.
//
// Live decisions and replay go through the same apply(), so that replay gives the state that was
// acted on. Not thread-safe.
class JobTable
{
public:
    using Jobs = std::unordered_map<std::string, Job>;

    // Takes in one record. Throws Error(InvalidInput) if it does not follow from the state.
    void apply(const JobRecord &record);

    const Job *find(const std::string &id) const;
    // Returns the job that was submitted under an idempotency key, or nothing.
    const Job *findByKey(const std::string &service, const std::string &key) const;
    const Jobs &jobs() const { return m_jobs; }
    // Returns the time of the latest record, in the shard's own time.
    Millis lastAt() const { return m_lastAt; }
    // Returns how many jobs are in `state`.
    std::size_t count(JobState state) const;

    // Returns all state as text, the same for equal states.
    std::string snapshot() const;
    // Replaces all state by what snapshot() returned.
    // Throws Error(InvalidInput) if the text is no snapshot.
    void restore(const std::string &text);

private:
    void insert(Job job);
    void erase(const JobRecord &record);
    void change(Job &job, const JobRecord &record);
    void setState(Job &job, JobState state, Millis at);

    Jobs m_jobs;
    std::unordered_map<std::string, std::string> m_idsByKey;
    std::map<JobState, std::size_t> m_counts;
    Millis m_lastAt;
};

} // namespace savorywick::internal
