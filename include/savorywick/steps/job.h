#pragma once

#include "savorywick/clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// Amounts of a worker's resources: what a task requests or what a worker offers.
//
// Use it to add up what is allocated on a worker and to test whether a task fits into the rest.
//
// Example:
//   ResourceVector available = info.capacity;
//   available -= runs.allocated(info.incarnation.workerId);
//   if (step.demand.fitsIn(available))
//       start(task);
struct ResourceVector
{
    // 1,000 is one processor core.
    int milliCores = 0;
    int memoryMb = 0;
    int accelerators = 0;

    bool operator==(const ResourceVector &) const = default;
    ResourceVector &operator+=(const ResourceVector &other);
    ResourceVector &operator-=(const ResourceVector &other);
    // Returns true if and only if no amount is larger than the same amount in `available`.
    bool fitsIn(const ResourceVector &available) const;
};

// A step of a job: identical tasks that may run in parallel once all steps in `dependsOn` are done.
struct StepSpec
{
    int taskCount = 1;
    // What each task requests of its worker.
    ResourceVector demand;
    // How long one task runs, as roughly estimated by the caller.
    Millis estimatedDuration;
    // The indices, from 0, of the earlier steps that must be done before this one starts.
    std::vector<int> dependsOn;
    // Whether the tasks save checkpoints while they run and when they are stopped.
    bool checkpointing = false;
    // Whether the tasks are gang-scheduled: they work only all together and end together.
    bool gang = false;
    // Whether placement prefers one rack for all tasks, because they run longer on several.
    bool preferSameRack = false;
    // Whether two copies of a task may run at the same time; the first to finish counts. The
    // coordinator starts a second one of a task that takes too long, unless the tasks are
    // gang-scheduled or long-running.
    bool allowDuplicates = false;
    // Whether the tasks run until the job is cancelled, as those of a service do.
    bool longRunning = false;
    // Whether the tasks are best-effort: they are allocated no processors and use those that other
    // tasks leave idle.
    bool bestEffort = false;
    // The label that a worker must have to run the tasks; empty if any worker will do.
    std::string neededLabel;
    // The rack that placement prefers; empty if there is no preference.
    std::string preferredRack;
    // The image that the tasks run. Interference is learned per image, since tasks of one image
    // behave alike.
    std::string image;
    // The most tasks of one occurrence that may run on one worker; 0 means no limit.
    int maxTasksPerWorker = 0;
    // The tail latency that long-running tasks should offer their users; 0 means no target.
    Millis latencyTarget;
    // The most long-running tasks that the scheduler may make unavailable at once; 0 means no
    // limit. It is recorded but not enforced yet.
    int maxUnavailable = 0;
};

// The scheduling policy of a queue. A job keeps the policy that was in force when the queue
// accepted it.
struct QueuePolicy
{
    std::string queue;
    // The service whose workers run the job.
    std::string service;
    // Jobs with a lower number are placed first; 0 is the highest priority.
    int priority = 0;
    // The job fails once this many runs of a task have failed, unless the task is long-running.
    // Only runs that end as RunOutcome::Failed count.
    int maxAttempts = 1;
    // A job should complete within `slackFactor` times its critical path plus `targetDuration`
    // after it is due. The critical path is the estimated duration of the longest chain of
    // dependent steps.
    double slackFactor = 1.0;
    Millis targetDuration;
};

// When a job runs: once, or repeatedly. Occurrence K of a repeated job is due at
// `firstDueWallMs` + K x `interval`.
struct Schedule
{
    // The number of occurrences; 0 means that the job runs once, as soon as it is accepted.
    int occurrenceCount = 0;
    // Wall-clock time in milliseconds since the Unix epoch.
    std::int64_t firstDueWallMs = 0;
    Millis interval;
};

// A job as its caller submits it.
struct JobSpec
{
    // The caller chooses the id. It must never have been used for another job.
    std::string id;
    QueuePolicy policy;
    // Opaque data that is passed unchanged to every task.
    std::string payload;
    std::vector<StepSpec> steps;
    Schedule schedule;
};

// Identifies one step of one occurrence of a job.
struct StepRef
{
    std::string job;
    int occurrence = 0;
    int step = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
    auto operator<=>(const StepRef &) const = default;
};

// Identifies one task of one occurrence of a job.
struct TaskRef
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
    auto operator<=>(const TaskRef &) const = default;
    // Returns the step that the task belongs to.
    StepRef stepRef() const { return {job, occurrence, step}; }
};

// Returns the task's name for logs and for commands to workers, such as "5c0e7a21d94b36f8.0.1.17":
// the job, the occurrence, the step and the index.
std::string toString(const TaskRef &task);

// Identifies one incarnation of a worker: the time from one start to the next.
//
// A restarted worker has the same id, but none of the runs, ends and fences of the incarnation
// before.
struct WorkerIncarnation
{
    std::string workerId;
    // When the incarnation started, in wall-clock milliseconds since the Unix epoch.
    std::int64_t startedWallMs = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
    auto operator<=>(const WorkerIncarnation &) const = default;
};

// How a run of a task ended. The journal stores the numeric values, so they must not change.
enum class RunOutcome {
    Done, // The task completed its work.
    Failed, // The run failed by its own fault or the worker's. Only this counts as an attempt.
    Stopped, // The worker stopped the run on command.
    LeaseExpired, // The worker's lease expired or the worker restarted.
    GangBroken, // Another member of the gang ended.
    GangIncomplete, // The other members of the gang did not start in time.
    NeverStarted, // The start command had no effect and never will.
    WorkerCrashed, // The worker crashed after it had lately started this run and others.
    CausedCrash, // The worker crashed, and only this run, or others of its job, can be why.
};

// Returns the outcome's name for logs and metrics, such as "never-started".
std::string_view toString(RunOutcome outcome);
// Returns true if and only if the run was found to be gone, rather than that its worker told of its
// end.
bool isFoundGone(RunOutcome outcome);

// A run that may be executing on a worker.
struct ActiveRun
{
    int number = 0;
    WorkerIncarnation worker;
    bool confirmed = false; // The worker reported that it has it; set for long-running ones only.
    std::int64_t inheritedLeasesEndMs = 0; // Of a confirmed run, as in RunConfirmed.
};

// What became of a life of a worker that was lost and may have crashed. The journal stores the
// numeric values, so they must not change.
enum class LifeVerdict {
    Unknown, // Nothing has proved it for long.
    Crashed, // Another life has taken its place, and it was not about to leave.
    NotCrashed, // It answered again, or was about to leave.
};

// A run that was lost with a worker that may have crashed because of it. The task is suspected
// until that is settled or one of its runs lasts.
struct SuspectedRun
{
    int number = 0;
    WorkerIncarnation worker;
    std::string address; // Of the worker.
    // If the worker has crashed, only this run, or others of its job, can be why.
    bool isCause = false;
    std::int64_t lostWallMs = 0;

    bool operator==(const SuspectedRun &) const = default;
};

// A start that its worker left unanswered, and may execute late, also in its next life.
struct UnansweredStart
{
    int run = 0;
    std::string workerId;
    // When it was sent at the latest, on the store's clock in milliseconds; 0 if that is not known.
    std::int64_t sentMs = 0;

    bool operator==(const UnansweredStart &) const = default;
};

// The durable state of a task.
struct Task
{
    // The number of the latest run; 0 before the first.
    int lastRunNumber = 0;
    // How many runs have failed. Members of a gang share run numbers; a failed run of a gang counts
    // once, on its first task, however many members failed.
    int failedRuns = 0;
    // On the first task of a gang, the number of the latest run that `failedRuns` includes.
    int lastFailedRunNumber = 0;
    bool done = false;
    // The checkpoint that the next run resumes from; empty to start from the beginning.
    std::string checkpoint;
    // There is more than one active run only if the step allows duplicates.
    std::vector<ActiveRun> activeRuns;
    // How many workers have crashed under its runs, which may be why, since a run last lasted; and
    // how many of these crashes it has been found to be the cause of.
    int crashes = 0;
    int causedCrashes = 0;
    // Runs that count among `crashes` as soon as their worker is known to have crashed.
    std::vector<SuspectedRun> suspectedRuns;
    // The latest one, unless the worker has told since how a run of the task ended there, or the
    // task has been started elsewhere.
    std::optional<UnansweredStart> unansweredStart;
};

// Returns true if and only if the task ends its job if so many workers have crashed under its runs
// in a row, of which it has caused `causedCrashes`.
bool isOverCrashLimit(int crashes, int causedCrashes);

// The durable state of a step.
struct Step
{
    std::vector<Task> tasks;
    int doneTasks = 0;

    // Returns true if and only if all tasks are done.
    bool done() const { return doneTasks == static_cast<int>(tasks.size()); }
};

// The durable state of one occurrence of a job: one execution of all its steps.
struct Occurrence
{
    std::vector<Step> steps;
    int doneSteps = 0;

    // Returns true if and only if all steps are done.
    bool done() const { return doneSteps == static_cast<int>(steps.size()); }
};

// The journal stores the numeric values, so they must not change.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

// Returns the state's name for logs, such as "completed".
std::string_view toString(JobState state);

// Returns true if and only if the job has ended, so that none of its tasks is started any more.
bool isFinal(JobState state);

// A job with all its durable state.
struct Job
{
    JobSpec spec;
    std::int64_t acceptedWallMs = 0;
    JobState state = JobState::Queued;
    // This is set once the state is final.
    std::int64_t endedWallMs = 0;
    int doneOccurrences = 0;
    // Occurrences by number, from 0. One of which no task has been started yet is absent.
    std::map<int, Occurrence> occurrences;

    // Returns how many occurrences the schedule has; 1 if the job is not repeated.
    int occurrenceCount() const
    {
        return spec.schedule.occurrenceCount > 0 ? spec.schedule.occurrenceCount : 1;
    }
    // Returns when the occurrence is due, in wall-clock milliseconds since the Unix epoch.
    std::int64_t dueWallMs(int occurrence) const;
    // Returns the task's state, or nullptr if the task is unknown or its occurrence has not begun.
    const Task *findTask(const TaskRef &task) const;
};

// Returns the state of a step before any of its tasks has been started.
Step initialStep(const StepSpec &spec);
// Returns the state of an occurrence before any of its tasks has been started.
Occurrence initialOccurrence(const JobSpec &spec);

} // namespace savorywick::steps
