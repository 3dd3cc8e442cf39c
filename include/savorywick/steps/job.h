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

// What a task needs of a worker, or what a worker has.
struct Demand
{
    int milliCores = 0; // Thousandths of a processor.
    int memoryMb = 0;
    int accelerators = 0;

    bool operator==(const Demand &) const = default;
    Demand &operator+=(const Demand &other);
    Demand &operator-=(const Demand &other);
    // Returns true if and only if `room` has at least this much of everything.
    bool fitsIn(const Demand &room) const;
};

// A step of a job: equal tasks that may run side by side once all steps in `after` are done.
struct StepSpec
{
    int count = 1;
    Demand demand; // Of each task.
    Millis estimate; // Roughly how long a task takes.
    std::vector<int> after; // Earlier steps, counted from 0.
    bool checkpointing = false; // Its tasks save their progress as they go and when stopped.
    bool gang = false; // Its tasks work only all together, and end together.
    bool sameRack = false; // Its tasks take longer on more than one rack.
    bool allowDuplicates = false; // Copies of a task may run; the first to finish counts.
    bool standing = false; // Its tasks run until the job is cancelled.
    bool fillIn = false; // Its tasks use the processors that others leave unused.
    std::string neededLabel; // Empty if any worker will do.
    std::string preferredRack; // Empty if every rack is alike.
    std::string image; // Tasks of one image behave alike.
    int maxPerWorker = 0; // Tasks of one occurrence on one worker; 0 for no limit.
    Millis latencyTarget; // For the answers of standing tasks to their own users; 0 for none.
    int maxUnavailable = 0; // Standing tasks that may be away by our doing; 0 for no limit.
};

// What the queue promised when it took the job.
struct QueuePolicy
{
    std::string queue;
    std::string service; // Whose workers run the job.
    int priority = 0; // 0 comes first.
    int maxAttempts = 1; // Of a task, counting only runs that failed by themselves.
    double slackFactor = 1.0; // Times the longest chain of work ...
    Millis targetDuration; // ... plus this: how soon the job should be complete.
};

// Occurrence K of a repeated job is due at `first` + K x `interval`.
struct Schedule
{
    int count = 0; // 0: the job runs once, as soon as it is accepted.
    std::int64_t firstWallMs = 0; // Time of day, since 1970.
    Millis interval;
};

// A job as its caller submits it.
struct JobSpec
{
    std::string id; // Chosen by the caller, unique for ever.
    QueuePolicy policy;
    std::string payload; // Handed to every task as it is.
    std::vector<StepSpec> steps;
    Schedule schedule;
};

// Names one step of one occurrence of a job.
struct StepRef
{
    std::string job;
    int occurrence = 0;
    int step = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
    auto operator<=>(const StepRef &) const = default;
};

// Names one task.
struct TaskRef
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
    auto operator<=>(const TaskRef &) const = default;
    StepRef stepRef() const { return {job, occurrence, step}; }
};

// Returns the name of a task for logs, such as "5c0e7a21d94b36f8.0.1.17".
std::string toString(const TaskRef &task);

// One life of a worker: an id may come back with nothing of what it held before.
struct WorkerLife
{
    std::string id;
    std::int64_t bornWallMs = 0; // Time of day of its start, since 1970.

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
    auto operator<=>(const WorkerLife &) const = default;
};

// How a run of a task ended.
enum class RunEnd {
    Done,
    Failed, // By its own fault or the worker's; counts as an attempt.
    Stopped, // On our order.
    Lapsed, // The worker's lease ran out, or its life ended.
    Broken, // Another member of its gang ended.
    Alone, // The other members of its gang did not come in time.
    NeverStarted, // The order had no effect and never will.
};

// Returns the end's name for logs and counters, such as "never-started".
std::string_view toString(RunEnd end);

// A run that may be on a worker.
struct ActiveRun
{
    int number = 0;
    WorkerLife worker;
};

struct Task
{
    int lastRun = 0; // Number of the latest start; 0 before the first.
    int failures = 0; // Runs that ended Failed.
    int lastFailedRun = 0; // Of a gang's leader: the latest run that is counted in `failures`.
    bool done = false;
    std::string checkpoint; // The next run resumes from it; empty to start anew.
    std::vector<ActiveRun> runs; // More than one only if the step allows duplicates.
};

struct Step
{
    std::vector<Task> tasks;
    int doneTasks = 0;

    bool done() const { return doneTasks == static_cast<int>(tasks.size()); }
};

// One round of a job's steps.
struct Occurrence
{
    std::vector<Step> steps;
    int doneSteps = 0;

    bool done() const { return doneSteps == static_cast<int>(steps.size()); }
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

// Returns the state's name for logs, such as "completed".
std::string_view toString(JobState state);

// Returns true if and only if nothing is started for the job any more.
bool isFinal(JobState state);

// A job with all that is durable about it.
struct Job
{
    JobSpec spec;
    std::int64_t acceptedWallMs = 0;
    JobState state = JobState::Queued;
    std::int64_t endedWallMs = 0; // Set once the state is final.
    int doneOccurrences = 0;
    // By number; those that nothing was started for yet are absent.
    std::map<int, Occurrence> occurrences;

    // Returns how many occurrences there are in all.
    int occurrenceCount() const { return spec.schedule.count > 0 ? spec.schedule.count : 1; }
    // Returns when the occurrence is due, as time of day.
    std::int64_t dueWallMs(int occurrence) const;
    const Task *find(const TaskRef &task) const;
};

// Returns what a step looks like before anything was started.
Step emptyStep(const StepSpec &spec);
// Returns what an occurrence looks like before anything was started.
Occurrence emptyOccurrence(const JobSpec &spec);

} // namespace savorywick::steps
