#pragma once

#include "savorywick/steps/backlogestimator.h"
#include "savorywick/steps/jobtable.h"
#include "savorywick/steps/record.h"
#include "savorywick/steps/refusedjobs.h"

#include <cstdint>
#include <map>
#include <string>

namespace savorywick::steps {

struct JobAdmissionSettings
{
    bool enabled = true;
    // Sets the horizon as well: BacklogSettings::usefulDeadlines.
    BacklogSettings backlog;
    Millis minRetryAfter{1'000};
    Millis maxRetryAfter{30'000};
    // Bounds the memory of refused jobs; at 100 submissions a second it covers the longest retry
    // time.
    std::size_t maxRefusedJobs = 4'096;
    Millis retryGrace{3'000}; // A refused job that retries later than this counts as new.
};

// When a job is expected to complete, with what that is computed from.
struct CompletionForecast
{
    ProcessorClass processors = ProcessorClass::Booked; // That complete the job last.
    PoolBacklog backlog;
    bool inTime = true; // It is expected to meet its deadline.
    Millis completesAfter; // From now on.
    Millis usefulFor; // From now on.
};

// The decision on one job.
struct JobAdmissionDecision
{
    bool admitted = true;
    Millis retryAfter; // Whole seconds; set if the job is refused.
    CompletionForecast forecast;
};

// Counts of decisions on the jobs of one queue since this owner took the shard over.
struct QueueAdmissionCounts
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

// Decides whether a new job is accepted, and when the caller of a refused one should retry.
//
// Use one in the owner of a shard, which tells it of each record. A job is refused if and only if
// it is expected to complete after `usefulDeadlines` relative deadlines, judging by the work of the
// jobs that come before it and the rate at which work is completed. While that rate is not known
// nothing is refused. An accepted job stays accepted. Refused jobs that retry when told come before
// new ones that would be late. It is pure and not thread-safe.
//
// Example:
//   const JobAdmissionDecision d = admission.decide(spec, now, wallMs);
//   if (d.admitted)
//       accept(spec); // Its JobAccepted record is passed to apply().
//   else
//       refuse(spec.id, d.retryAfter);
class JobAdmission
{
public:
    explicit JobAdmission(const JobAdmissionSettings &settings);

    // Returns true if and only if such a job may be refused at all: it counts for the backlog, and
    // the policy of its queue states a deadline, as the default policy does not.
    static bool mayRefuse(const JobSpec &spec);
    // Replaces the caller's estimates of durations, as BacklogEstimator::setDurations() does.
    void setDurations(const DurationPredictor &durations) { m_backlog.setDurations(durations); }
    // Adds a job that was accepted before.
    void restore(const Job &job) { m_backlog.addJob(job); }
    // Takes in a record that has been applied to `table`.
    void apply(const Record &record, const JobTable &table);
    // Leaves out the job, which has ended.
    void removeJob(const std::string &id) { m_backlog.removeJob(id); }
    // Sets the present time. Call it at least every few hundred milliseconds.
    void advance(Instant now, std::int64_t wallMs);
    // Returns the decision on a job that is not known, and remembers it if it is refused.
    JobAdmissionDecision decide(const JobSpec &spec, Instant now, std::int64_t wallMs);

    const BacklogEstimator &backlog() const { return m_backlog; }
    // Returns the counts by queue.
    const std::map<std::string, QueueAdmissionCounts> &counts() const { return m_counts; }

private:
    struct Candidate;

    CompletionForecast forecastFor(const Candidate &candidate, ProcessorClass processors) const;
    Millis retryAfter(const Candidate &candidate, const CompletionForecast &forecast) const;
    bool isUseful(const CompletionForecast &forecast) const;

    const JobAdmissionSettings m_settings;
    BacklogEstimator m_backlog;
    RefusedJobs m_refused;
    std::map<std::string, QueueAdmissionCounts> m_counts;
};

} // namespace savorywick::steps
