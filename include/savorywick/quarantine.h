#pragma once

#include "savorywick/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// The thresholds and delays of a Quarantine.
struct QuarantineOptions
{
    // A job is given up once it has failed on this many distinct trusted workers.
    int jobFailureThreshold = 3;
    // A worker is quarantined once this many distinct jobs have failed on it.
    int workerFailureThreshold = 3;
    // Failures and successes that are older than this no longer count.
    Millis failureWindow{900'000};
    // The delay from the start of a quarantine to the first probe. It doubles after each failed
    // probe, up to the maximum below.
    Millis initialProbeDelay{30'000};
    Millis maxProbeDelay{1'920'000};
    // A probe without a result after this time counts as lost, and the next one is due.
    Millis probeTimeout{600'000};
    // The largest share of the known workers that may be quarantined at once, in percent, rounded
    // down. One worker may be quarantined whatever the share.
    int maxQuarantinedPercent = 20;
};

// The latest failure of a job on one worker.
struct FailureRecord
{
    std::string worker;
    std::string cause;
    Instant failedAt;
};

// What the caller has to do about a reported failure.
struct QuarantineDecision
{
    bool giveUpJob = false;
    bool quarantineWorker = false;
    // The workers released from quarantine because, without those of the job that is given up, too
    // few of the failures that put them there are left.
    std::vector<std::string> releasedWorkers;
};

// Whether a worker may be given work.
enum class WorkerAvailability {
    Available, // The worker is not in quarantine.
    Quarantined, // The worker takes no work before its next probe is due.
    ProbeDue, // The worker may be given one task as a probe, after a call of beginProbe().
    Probing, // A probe is in progress; the worker takes no other work.
};

// Tells from their failures whether jobs or workers are at fault.
//
// Use it to stop retrying a job that fails everywhere, and to stop placing work on a worker where
// everything fails, without a fault of the one being taken for a fault of the other.
//
// A job is given up once it has failed on `jobFailureThreshold` distinct trusted workers, or on
// twice as many workers of any kind. For a given job, a worker is trusted if its last success was
// with another job, lies within the window, and the worker is not quarantined. A worker is
// quarantined once `workerFailureThreshold` distinct jobs have failed on it within the window
// without a success in between; a job that has failed on another trusted worker does not count.
// The failures of whichever is found to be at fault are no evidence against the other: failures on
// a quarantined worker do not count against jobs, and failures of a job that is given up do not
// count against workers, which releases workers that were quarantined because of them.
//
// Not thread-safe.
//
// Example:
//   const QuarantineDecision decision =
//       quarantine.recordFailure("run-12", "worker-7", "exit 3", now);
//   if (decision.giveUpJob)
//       report("run-12", quarantine.failures("run-12"));
class Quarantine
{
public:
    explicit Quarantine(const QuarantineOptions &options);

    // Adds a worker to the known workers, of which a share may be quarantined. Does nothing if it
    // is known already.
    void addWorker(std::string_view worker);
    // Removes a worker and its history. Does nothing if it is unknown.
    void removeWorker(std::string_view worker);

    // Records that a task of `job` failed on `worker`, and returns what follows from it. If the
    // worker is being probed, the probe has failed and the delay to the next one doubles. An
    // unknown worker is added.
    QuarantineDecision recordFailure(std::string_view job, std::string_view worker,
                                     std::string_view cause, Instant now);
    // Records that a task of `job` succeeded on `worker`. Returns true if and only if this ended
    // the worker's quarantine. An unknown worker is added.
    bool recordSuccess(std::string_view job, std::string_view worker, Instant now);
    // Removes the failures of a job that has ended. Does nothing if there are none.
    void removeJob(std::string_view job);

    // Returns whether `worker` may be given work at `now`. An unknown worker is available.
    WorkerAvailability availability(std::string_view worker, Instant now) const;
    // Returns true if and only if `worker` is in quarantine and for at least `rest` neither was
    // given a task nor has one failed there.
    bool hasRested(std::string_view worker, Millis rest, Instant now) const;
    // Makes the next probe of `worker` due now, unless one is in progress: then the worker may be
    // given one further task. Use it if nothing but this worker can run a job. Does nothing if the
    // worker is not in quarantine.
    void hastenProbe(std::string_view worker, Instant now);
    // Starts the probe that is due for `worker`. Returns false and does nothing if none is due.
    bool beginProbe(std::string_view worker, Instant now);
    // Records that the probe of `worker` ended and showed nothing, so that the next one is due.
    // Does nothing if no probe is in progress.
    void abandonProbe(std::string_view worker, Instant now);

    // Returns the latest failure of the job on each worker, the earliest first.
    std::vector<FailureRecord> failures(std::string_view job) const;
    // Returns the workers that the job has failed on, sorted. Placement should avoid them.
    std::vector<std::string> failedWorkers(std::string_view job) const;
    // Returns when the worker was quarantined, or nothing if it is not quarantined.
    std::optional<Instant> quarantinedAt(std::string_view worker) const;
    // Returns the workers in quarantine, sorted, including those that are being probed.
    std::vector<std::string> quarantinedWorkers() const;
    // Returns the number of workers in quarantine.
    int quarantinedCount() const { return m_quarantinedCount; }

private:
    struct Job
    {
        std::map<std::string, FailureRecord, std::less<>> failuresByWorker;
        bool givenUp = false;
    };
    struct Worker
    {
        // The jobs that count against the worker, with their last failure since its last success.
        std::map<std::string, Instant, std::less<>> failedJobs;
        bool hasSucceeded = false;
        Instant lastSuccess;
        std::string lastSucceededJob;
        bool quarantined = false;
        Instant quarantinedAt;
        bool probing = false;
        Instant nextProbeAt; // While a probe is in progress, the time at which it times out.
        Instant lastTriedAt; // When it last was given a task in quarantine, or one failed.
        Millis probeDelay;
    };

    bool isTrusted(const Worker &worker, std::string_view job, Instant now) const;
    bool shouldGiveUp(const Job &job, std::string_view id, Instant now) const;
    bool shouldQuarantine(Worker &worker, Instant now) const;
    void beginQuarantine(Worker &worker, Instant now);
    bool failedOnAnotherTrustedWorker(const Job &job, std::string_view id, std::string_view worker,
                                      Instant now) const;
    void release(Worker &worker);
    std::vector<std::string> discardFailuresOf(std::string_view job);

    QuarantineOptions m_options;
    std::map<std::string, Job, std::less<>> m_jobs;
    std::map<std::string, Worker, std::less<>> m_workers;
    int m_quarantinedCount = 0;
};

} // namespace savorywick
