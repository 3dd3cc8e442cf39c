#pragma once

#include "savorywick/steps/record.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// The durable state of a shard's jobs: what the records in their order amount to.
//
// Two tables that were given the same records are equal. Records that name what is unknown (a job
// that was forgotten) change nothing. Not thread-safe.
//
// Example:
//   JobTable table;
//   for (const std::string &line : journal)
//       table.apply(decode(line));
class JobTable
{
public:
    using Jobs = std::map<std::string, Job, std::less<>>;

    void apply(const Record &record);

    // Returns the job, or nothing if it is unknown. The pointer holds until the next apply().
    const Job *find(std::string_view id) const;
    const Jobs &jobs() const { return m_jobs; }

    // Returns records that bring an empty table to this state.
    std::vector<Record> snapshot() const;

private:
    struct Applier;

    Job *findJob(std::string_view id);
    static Task *findTask(Job &job, const TaskRef &ref);
    static void finishTask(Job &job, const TaskRef &ref, std::int64_t wallMs);
    static void finishGang(Job &job, const RunEnded &end);
    static void endGangRun(Job &job, const RunEnded &end);
    static void settle(Job &job, JobState state, std::int64_t wallMs);

    Jobs m_jobs;
};

} // namespace savorywick::steps
