#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/workercommands.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// Identifies one run of one task.
struct RunKey
{
    TaskRef task;
    int number = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
    auto operator<=>(const RunKey &) const = default;
};

// What is known of the start of a run.
enum class RunPhase {
    StartPending, // The start command has not been sent yet.
    StartSent, // The start command is in flight.
    Unconfirmed, // The start command got no answer, or an earlier owner sent it.
    Running, // The worker confirmed that it has the run.
};

// What the shard's owner knows of a run beyond the journal.
struct Run
{
    RunKey key;
    std::string workerId;
    WorkerIncarnation incarnation;
    RunPhase phase = RunPhase::StartPending;
    // The fence of the start command; 0 if this owner has not sent it.
    Fence startFence = 0;
    // When the start command was sent. Before that, or if an earlier owner sent it, when this owner
    // learned of the run.
    Instant startedAt;
    // The start command was sent, here or maybe by an earlier owner, and nothing tells whether the
    // worker has executed it: it may yet do so.
    bool startUnanswered = false;
    // The journal tells that the worker has the run.
    bool confirmationRecorded = false;
    // Of a run of an earlier owner: when the leases are over that its worker may have inherited, if
    // the journal tells.
    std::optional<Instant> inheritedLeasesEndAt;
    // When the worker first confirmed that it has the run.
    Instant confirmedAt;
    // Since when the step had been waiting for a worker; for a run of an earlier owner, when this
    // owner learned of it.
    Instant stepReadySince;
    // It was started beside long-running runs that missed their targets without it.
    bool besideMisses = false;
    // The task is suspected of crashing workers; no other is started on the worker until it lasts.
    bool onProbation = false;
    // How the run counts as ended if it is found to be gone, since its worker crashed.
    std::optional<RunOutcome> outcomeOfCrash;
    bool isProbe = false; // It shows whether its worker may leave the quarantine.
    // What is allocated to the run on its worker.
    ResourceVector allocated;
    // What the step requests for each task.
    ResourceVector requested;
    bool longRunning = false;
    bool bestEffort = false;
    Millis estimatedDuration;
    // How long a run like it takes at most, with few exceptions.
    Millis longDuration;
    // Its duration can't be compared with that of other runs: it began at a checkpoint, or on
    // another rack than preferred.
    bool hasUnusualStart = false;
    Millis latencyTarget;
    std::string image;

    // The latest checkpoint that the worker reported; empty if there was none.
    std::string checkpoint;
    // When `checkpoint` last changed; not set before.
    Instant checkpointedAt;
    // The progress in percent, as in RunningReport.
    int progressPercent = 0;
    // When `progressPercent` last changed, or when the run was started.
    Instant lastProgressAt;
    // The latest `measurement` in a RunningReport.
    std::optional<int> measurement;
    // The speed that was last commanded, in percent of full speed.
    int speedPercent = 100;
    // When the speed was last commanded.
    Instant speedChangedAt;
    bool stopRequested = false;
    // When the stop command was last sent, for its repetition.
    std::optional<Instant> stopSentAt;
};

// Returns the resources to allocate to a task of the step. Best-effort tasks get no processors.
ResourceVector allocationFor(const StepSpec &spec);

// Returns a run of a task of the step that has not been started, with the properties of the step.
Run makeRun(const RunKey &key, const StepSpec &spec, const WorkerIncarnation &worker, Instant now);

// The runs that are, or may be, executing on workers, with the resources allocated to them.
//
// Use one table for a shard to find runs by worker, task, step or job, and to learn how much of a
// worker is allocated. Not thread-safe. References and pointers hold until the run is removed.
//
// Example:
//   table.add(run);
//   const ResourceVector allocated = table.allocated("worker-7");
class RunTable
{
public:
    // Adds the run and returns it. The table must not have a run with the same key.
    Run &add(Run run);
    // Removes the run, if there is one.
    void remove(const RunKey &key);

    // Returns the run, or nullptr if there is none.
    Run *find(const RunKey &key);
    const Run *find(const RunKey &key) const;
    const std::map<RunKey, Run> &all() const { return m_runs; }
    // Returns the runs on the worker, sorted.
    std::vector<RunKey> onWorker(std::string_view worker) const;
    // Returns the runs of the task, the earliest first.
    std::vector<RunKey> ofTask(const TaskRef &task) const;
    // Returns the runs of the job, sorted.
    std::vector<RunKey> ofJob(const std::string &job) const;
    // Returns the runs of the step, sorted.
    std::vector<RunKey> ofStep(const StepRef &step) const;
    // Returns true if and only if there is a run on the worker.
    bool hasRunsOn(std::string_view worker) const;
    // Returns how many runs no worker has confirmed, in time proportional to the number of runs.
    std::size_t unconfirmedCount() const;
    // Assigns the run to another incarnation of its worker. The run must be in the table.
    void setIncarnation(const RunKey &key, const WorkerIncarnation &incarnation);

    // Returns what is allocated to the runs on the worker.
    ResourceVector allocated(std::string_view worker) const;
    // Returns the processors, in thousandths of a core, that the best-effort runs on the worker
    // request.
    int bestEffortMilliCores(std::string_view worker) const;
    // Returns the processors, in thousandths of a core, that the long-running runs on the worker
    // request.
    int longRunningMilliCores(std::string_view worker) const;

    // Adds the run to runsToStop(). Does nothing if there is no such run.
    void requestStop(const RunKey &key);
    // Returns the runs that are to be stopped.
    const std::set<RunKey> &runsToStop() const { return m_runsToStop; }

private:
    struct WorkerLoad
    {
        std::set<RunKey> runs;
        ResourceVector allocated;
        int bestEffortMilliCores = 0;
        int longRunningMilliCores = 0;
    };

    void addToLoad(const Run &run, int sign);

    std::map<RunKey, Run> m_runs;
    std::map<std::string, WorkerLoad, std::less<>> m_workerLoads;
    std::set<RunKey> m_runsToStop;
};

} // namespace savorywick::steps
