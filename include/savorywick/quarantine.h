#pragma once

#include "savorywick/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

struct QuarantineOptions
{
    int jobWorkers = 3; // Distinct trusted workers that a job may fail on before it is given up.
    int workerJobs = 3; // Distinct jobs that a worker may fail before it is quarantined.
    Millis window{900'000}; // Failures and successes older than this no longer count.
    Millis firstProbeAfter{30'000};
    Millis longestProbeAfter{1'920'000};
    Millis probeTimeout{600'000}; // A probe without a result is tried again after this time.
    int maxQuarantinedPercent = 20; // Of the known workers; one may always be quarantined.
};

struct FailureCause
{
    std::string worker;
    std::string cause;
    Instant at;
};

// What follows from one failure.
struct FailureVerdict
{
    bool giveUpJob = false;
    bool quarantineWorker = false;
    std::vector<std::string> releasedWorkers; // Freed from quarantine, as the job was at fault.
};

enum class WorkerStanding {
    Open,
    Quarantined, // Takes no work before its next probe.
    ProbeDue, // May be given one task, after `beginProbe`.
    Probing,
};

// Tells bad jobs and bad workers apart by their failures.
//
// A job is given up once it failed on `jobWorkers` distinct trusted workers, or on twice as many of
// any kind. A worker is trusted if it has finished another job within the window and is not
// quarantined. A worker is quarantined once `workerJobs` distinct jobs failed on it within the
// window without a success in between; a job that failed on another trusted worker before does not
// count. Whoever is found at fault is no evidence against the other: failures on a quarantined
// worker no longer count against jobs, and failures of a job that is given up no longer count
// against workers, which releases those that were quarantined for them. Not thread-safe.
//
// Example:
//   const FailureVerdict verdict = quarantine.failed("run-12", "worker-7", "exit 3", now);
//   if (verdict.giveUpJob)
//       report("run-12", quarantine.causes("run-12"));
class Quarantine
{
public:
    explicit Quarantine(const QuarantineOptions &options);

    void addWorker(std::string_view worker);
    void removeWorker(std::string_view worker);

    // Notes that a task of `job` failed on `worker`. A failed probe puts the next one off.
    FailureVerdict failed(std::string_view job, std::string_view worker, std::string_view cause,
                          Instant now);
    // Notes that a task of `job` ended well on `worker`. Returns true if and only if that released
    // the worker from quarantine.
    bool succeeded(std::string_view job, std::string_view worker, Instant now);
    // Forgets a job that has ended.
    void forgetJob(std::string_view job);

    WorkerStanding standing(std::string_view worker, Instant now) const;
    // Marks a due probe as begun; returns false if none is due.
    bool beginProbe(std::string_view worker, Instant now);

    // Returns the job's failures, the earliest first; at most one, the latest, a worker.
    std::vector<FailureCause> causes(std::string_view job) const;
    // Returns the workers that the job failed on, sorted; placement should avoid them.
    std::vector<std::string> workersFailed(std::string_view job) const;
    // Returns when the worker was quarantined, or nothing if it is not.
    std::optional<Instant> quarantinedAt(std::string_view worker) const;
    // Returns the workers in quarantine, sorted, including those that are probed.
    std::vector<std::string> quarantined() const;

private:
    struct Job
    {
        std::map<std::string, FailureCause, std::less<>> byWorker;
        bool givenUp = false;
    };
    struct Worker
    {
        std::map<std::string, Instant, std::less<>> failedJobs; // Since the last success; evidence.
        bool hasSucceeded = false;
        Instant lastSuccess;
        std::string lastJob; // The job of the last success.
        bool quarantined = false;
        Instant quarantinedAt;
        bool probing = false;
        Instant probeAt; // When the next probe is due, or when the present one times out.
        Millis backOff;
    };

    bool isTrusted(const Worker &worker, std::string_view job, Instant now) const;
    bool shouldGiveUp(const Job &job, std::string_view id, Instant now) const;
    bool shouldQuarantine(Worker &worker, Instant now) const;
    void beginQuarantine(Worker &worker, Instant now);
    bool isSuspect(const Job &job, std::string_view id, std::string_view worker, Instant now) const;
    void release(Worker &worker);
    std::vector<std::string> withdrawJob(std::string_view job);

    QuarantineOptions m_options;
    std::map<std::string, Job, std::less<>> m_jobs;
    std::map<std::string, Worker, std::less<>> m_workers;
    int m_quarantinedCount = 0;
};

} // namespace savorywick
